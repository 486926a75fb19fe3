package planner

import (
	"fmt"
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// waitReason is why the last pass did not start a waiting task of a step.
type waitReason int

const (
	// waitNotExamined: the pass ended before it reached the step.
	waitNotExamined waitReason = iota
	// waitInherited: an attempt started by an earlier owner may still run.
	waitInherited
	// waitSimilarUnplaced: a task with similar demands was not placed in the same pass.
	waitSimilarUnplaced
	// waitYieldsToShort: the worker that was found is left to short tasks.
	waitYieldsToShort
	// waitNoWorker: no worker can run the task.
	waitNoWorker
	// waitQuota: the customer's quota is used up.
	waitQuota
	// waitAboveRate: the room is left to work within the agreed rates.
	waitAboveRate
)

var waitReasonNames = [...]string{"not examined", "inherited", "similar task was not placed", "yields to short tasks", "no worker can run it", "quota of the customer", "above the agreed rate"}

// String describes the reason for logs.
func (r waitReason) String() string { return waitReasonNames[r] }

const (
	// waitLogAfter is how long a long-running task waits before the reason is logged,
	// waitLogInterval how often it is logged again, and maxWaitLogsPerPass how many
	// lines a pass may write.
	waitLogAfter       = 1500 * clock.Millisecond
	waitLogInterval    = 1 * clock.Second
	maxWaitLogsPerPass = 4
)

// noteContention notes whether a pass has left steps for want of workers.
func (p *Planner) noteContention(backlog []*step) {
	p.contended = slices.ContainsFunc(backlog, func(s *step) bool {
		return s.idle > 0 && (s.lastWaitReason == waitNoWorker || s.lastWaitReason == waitSimilarUnplaced)
	})
}

// waitingSince returns since when the task could have been running.
func (t *task) waitingSince() clock.Time { return max(t.lastEnd, t.step.occurrence.scheduledAt) }

// logWaiting logs why tasks wait that last or are best-effort, the longest waiting first.
func (p *Planner) logWaiting(now clock.Time, backlog []*step) {
	p.logBestEffortWaiting(now, backlog)
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
			Reason:  p.describeWait(now, t) + "; " + p.countWorkers(now, t).String(),
			Age:     now.Sub(t.waitingSince()),
		})
	}
}

// describeWait describes why the last pass did not start a task.
func (p *Planner) describeWait(now clock.Time, t *task) string {
	reason := t.step.lastWaitReason.String()
	if t.step.lastWaitReason == waitQuota {
		return reason + ", " + t.job().customer.describe()
	}
	if t.step.lastWaitReason != waitInherited {
		return reason
	}
	if w := p.possibleHolder(now, t.id()); w != nil {
		return reason + ", worker " + w.id + " has not answered and its record lists the task"
	}
	return reason
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

// workerCounts counts the workers of a task's pool by the first reason why they cannot run
// the task.
type workerCounts struct {
	demand         document.Size
	unusable       int
	quarantined    int // after failed tasks
	ineligible     int // without the label, at the step's limit per worker, or not permitted by the adviser
	reserved       int // with enough free, but reserved for other tasks
	lackProcessors int // too few free processors
	lackMemory     int // enough free processors, too little free memory
	fitting        int
	// maxFree is the maximum of each free resource on any usable worker.
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
		c.quarantined++
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

// String formats the counts for logs: processors in thousandths, memory in MB.
func (c workerCounts) String() string {
	return fmt.Sprintf("needs %d/%d processors/memory, free at most %d/%d; workers: fitting %d, too few processors %d, too little memory %d, reserved %d, ineligible %d, quarantined %d, unusable %d",
		c.demand.Processors, c.demand.Memory, c.maxFree.Processors, c.maxFree.Memory,
		c.fitting, c.lackProcessors, c.lackMemory, c.reserved, c.ineligible, c.quarantined, c.unusable)
}
