package planner

import (
	"fmt"
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// hold is why the last pass did not start a waiting task of a step.
type waitReason int

const (
	// holdUnseen: the pass did not come to the step.
	waitNotExamined waitReason = iota
	// holdInherited: an earlier owner may have left the task running.
	waitInherited
	// holdLike: a task of its kind had no place in the same pass.
	waitSimilarUnplaced
	// holdShort: the place that was found is left to short tasks.
	waitYieldsToShort
	// holdPlace: no worker may have it.
	waitNoWorker
)

var waitReasonNames = [...]string{"not looked at", "inherited", "like one without a place", "leaves room to short tasks", "no place"}

// String returns the hold's name for logs.
func (r waitReason) String() string { return waitReasonNames[r] }

const (
	// waitNotedAfter is how long a task that lasts waits before the log says why,
	// waitNotedEvery how often it says so again, and waitNotesMost how many lines a
	// pass may write.
	waitLogAfter       = 1500 * clock.Millisecond
	waitLogInterval    = 1 * clock.Second
	maxWaitLogsPerPass = 4
)

// waitsSince is from when on the task could have been at work.
func (t *task) waitingSince() clock.Time { return max(t.lastEnd, t.step.occurrence.scheduledAt) }

// noteWaiting logs why tasks that last wait, those first that have waited longest.
func (p *Planner) noteWaiting(now clock.Time, backlog []*step) {
	var overdue []*task
	for _, s := range backlog {
		if !s.spec.LongRunning || now.Sub(s.waitLoggedAt) < waitLogInterval {
			continue
		}
		if t := s.longestWaiting(now); t != nil && now.Sub(t.waitingSince()) >= waitLogAfter {
			overdue = append(overdue, t)
		}
	}
	slices.SortStableFunc(overdue, func(a, b *task) int { return int(a.waitingSince().Sub(b.waitingSince())) })
	for _, t := range overdue[:min(len(overdue), maxWaitLogsPerPass)] {
		t.step.waitLoggedAt = now
		p.log(LogEntry{
			Event:   "task-waits",
			Job:     t.job().spec.ID,
			Task:    t.id().String(),
			Attempt: t.lastAttempt,
			Reason:  t.step.holdReason.String() + "; " + p.countWorkers(now, t).String(),
			Age:     now.Sub(t.waitingSince()),
		})
	}
}

func (s *step) longestWaiting(now clock.Time) *task {
	var longest *task
	for _, t := range s.tasks {
		if t.waiting(now) && (longest == nil || t.waitingSince().Before(longest.waitingSince())) {
			longest = t
		}
	}
	return longest
}

// census counts the workers of a task's pool by what keeps the task from them.
type workerCounts struct {
	demand         document.Size
	unusable       int
	failing        int // in quarantine
	ineligible     int // without the label, at the limit of the step, or not permitted
	reserved       int // with room only for tasks that move there
	lackProcessors int // without free processors
	lackMemory     int // with processors, without free memory
	fitting        int
	// most is the most that is free of each on any worker that is usable.
	maxFree document.Size
}

func (p *Planner) countWorkers(now clock.Time, t *task) workerCounts {
	c := workerCounts{demand: allocation(t.step.spec)}
	for _, w := range p.fleet {
		if w.info.Pool == t.job().queue.Pool {
			p.countWorker(now, t, w, &c)
		}
	}
	return c
}

func (p *Planner) countWorker(now clock.Time, t *task, w *worker, c *workerCounts) {
	if !p.usable(now, w) {
		c.unusable++
		return
	}
	free := w.info.Capacity.Minus(w.allocated)
	c.maxFree.Processors = max(c.maxFree.Processors, free.Processors)
	c.maxFree.Memory = max(c.maxFree.Memory, free.Memory)
	switch {
	case w.health.quarantinedUntil.After(now):
		c.failing++
	case !p.eligible(now, t, w):
		c.ineligible++
	case c.demand.Processors > free.Processors:
		c.lackProcessors++
	case !c.demand.Fits(free):
		c.lackMemory++
	case !c.demand.Fits(free.Minus(w.reservedForOthers(now, t))):
		c.reserved++
	default:
		c.fitting++
	}
}

// String formats the census for logs: processors in thousandths, memory in MB.
func (c workerCounts) String() string {
	return fmt.Sprintf("needs %d/%d, free at most %d/%d; workers: fitting %d, without processors %d, without memory %d, promised %d, unsuited %d, failing %d, unusable %d",
		c.demand.Processors, c.demand.Memory, c.maxFree.Processors, c.maxFree.Memory,
		c.fitting, c.lackProcessors, c.lackMemory, c.reserved, c.ineligible, c.failing, c.unusable)
}
