package planner

import (
	"fmt"
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// hold is why the last pass did not start a waiting task of a step.
type hold int

const (
	// holdUnseen: the pass did not come to the step.
	holdUnseen hold = iota
	// holdInherited: an earlier owner may have left the task running.
	holdInherited
	// holdLike: a task of its kind had no place in the same pass.
	holdLike
	// holdShort: the place that was found is left to short tasks.
	holdShort
	// holdPlace: no worker may have it.
	holdPlace
)

var holdNames = [...]string{"not looked at", "inherited", "like one without a place", "leaves room to short tasks", "no place"}

// String returns the hold's name for logs.
func (h hold) String() string { return holdNames[h] }

const (
	// waitNotedAfter is how long a task that lasts waits before the log says why,
	// waitNotedEvery how often it says so again, and waitNotesMost how many lines a
	// pass may write.
	waitNotedAfter = 1500 * clock.Millisecond
	waitNotedEvery = 1 * clock.Second
	waitNotesMost  = 4
)

// waitsSince is from when on the task could have been at work.
func (t *task) waitsSince() clock.Time { return max(t.lastEnd, t.step.occurrence.due) }

// noteWaiting logs why tasks that last wait, those first that have waited longest.
func (p *Planner) noteWaiting(now clock.Time, backlog []*step) {
	var long []*task
	for _, s := range backlog {
		if !s.spec.LongRunning || now.Sub(s.waitNoted) < waitNotedEvery {
			continue
		}
		if t := s.longestWaiting(now); t != nil && now.Sub(t.waitsSince()) >= waitNotedAfter {
			long = append(long, t)
		}
	}
	slices.SortStableFunc(long, func(a, b *task) int { return int(a.waitsSince().Sub(b.waitsSince())) })
	for _, t := range long[:min(len(long), waitNotesMost)] {
		t.step.waitNoted = now
		p.note(LogEntry{
			Event:   "task-waits",
			Job:     t.job().spec.ID,
			Task:    t.id().String(),
			Attempt: t.attempt,
			Reason:  t.step.held.String() + "; " + p.takeCensus(now, t).String(),
			Age:     now.Sub(t.waitsSince()),
		})
	}
}

func (s *step) longestWaiting(now clock.Time) *task {
	var longest *task
	for _, t := range s.tasks {
		if t.waiting(now) && (longest == nil || t.waitsSince().Before(longest.waitsSince())) {
			longest = t
		}
	}
	return longest
}

// census counts the workers of a task's pool by what keeps the task from them.
type census struct {
	demand     document.Size
	unusable   int
	failing    int // in quarantine
	unsuited   int // without the label, at the limit of the step, or not permitted
	promised   int // with room only for tasks that move there
	processors int // without free processors
	memory     int // with processors, without free memory
	fitting    int
	// most is the most that is free of each on any worker that is usable.
	most document.Size
}

func (p *Planner) takeCensus(now clock.Time, t *task) census {
	c := census{demand: room(t.step.spec)}
	for _, w := range p.fleet {
		if w.info.Pool == t.job().terms.Pool {
			p.countWorker(now, t, w, &c)
		}
	}
	return c
}

func (p *Planner) countWorker(now clock.Time, t *task, w *worker, c *census) {
	if !p.usable(now, w) {
		c.unusable++
		return
	}
	free := w.info.Capacity.Minus(w.reserved)
	c.most.Processors = max(c.most.Processors, free.Processors)
	c.most.Memory = max(c.most.Memory, free.Memory)
	switch {
	case w.health.until.After(now):
		c.failing++
	case !p.allowedBeside(now, t, w):
		c.unsuited++
	case c.demand.Processors > free.Processors:
		c.processors++
	case !c.demand.Fits(free):
		c.memory++
	case !c.demand.Fits(free.Minus(w.promised(now, t))):
		c.promised++
	default:
		c.fitting++
	}
}

// String formats the census for logs: processors in thousandths, memory in MB.
func (c census) String() string {
	return fmt.Sprintf("needs %d/%d, free at most %d/%d; workers: fitting %d, without processors %d, without memory %d, promised %d, unsuited %d, failing %d, unusable %d",
		c.demand.Processors, c.demand.Memory, c.most.Processors, c.most.Memory,
		c.fitting, c.processors, c.memory, c.promised, c.unsuited, c.failing, c.unusable)
}
