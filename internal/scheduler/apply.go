package scheduler

import (
	"marjoramstack/internal/leaser"
	"marjoramstack/internal/placer"
	"marjoramstack/pkg/clock"
)

// Replay applies durable events of earlier owners, oldest first.
func (c *Cell) Replay(events []Stamped) {
	for _, s := range events {
		c.apply(s.At, s.Event)
	}
}

// Inherit ends the recovery from the platform, before any message is handled:
// whatever an earlier owner placed may still be running, until its worker
// answers or the last lease that the earlier owner could have given has run
// out.
func (c *Cell) Inherit() {
	c.unopened = nil
	for _, tasks := range c.onWorker {
		for t := range tasks {
			t.sent = true
			t.placedSeq = 0
			t.startBy = c.opts.Takeover
			t.bound = leaser.InheritedExpiry(c.opts.Takeover, t.job.origin.Terms)
		}
	}
}

// apply changes the state by one event, alike when it is decided and when it
// is replayed.
func (c *Cell) apply(at clock.Time, e Event) {
	switch ev := e.(type) {
	case JobAdded:
		c.applyJobAdded(at, ev)
	case JobDropped:
		c.applyJobDropped(ev)
	case JobCancelled:
		c.applyJobCancelled(at, ev)
	case TaskPlaced:
		c.applyPlaced(at, ev)
	case TaskReleased:
		c.applyReleased(at, ev)
	case TaskEnded:
		c.applyEnded(at, ev)
	case TaskMoved:
		c.applyMoved(at, ev)
	case TaskTaken:
		c.applyTaken(at, ev)
	case JobForgotten:
		delete(c.jobs, ev.Job)
	}
}

func (c *Cell) newJob(origin Origin) *job {
	j := &job{
		origin:   origin,
		declared: origin.Spec.Declared(),
		tasks:    map[int]*task{},
		queueAt:  -1,
	}
	c.jobs[origin.Spec.ID] = j
	return j
}

func (c *Cell) applyJobAdded(at clock.Time, ev JobAdded) {
	j := c.newJob(ev.Origin)
	for i := ev.Spec.Tasks - 1; i >= 0; i-- {
		c.enqueue(&task{
			job:   j,
			index: i,
		})
	}
	c.note(Note{
		At:     at,
		What:   "job-added",
		Job:    ev.Spec.ID,
		Reason: "accepted",
	})
}

// enqueue puts a task that is new to the cell among the waiting.
func (c *Cell) enqueue(t *task) {
	j := t.job
	j.tasks[t.index] = t
	j.waiting = append(j.waiting, t)
	j.counts.Waiting++
	c.requeue(j)
}

func (c *Cell) requeue(j *job) {
	c.queue.remove(j)
	if len(j.waiting) == 0 {
		return
	}
	j.rank = c.latestStart(j)
	c.queue.add(j)
}

func (c *Cell) applyJobDropped(ev JobDropped) {
	j := c.jobs[ev.Job]
	if j == nil {
		return
	}
	for _, t := range j.tasks {
		if t.phase == phasePlaced {
			c.unbook(t)
		}
	}
	c.queue.remove(j)
	delete(c.jobs, ev.Job)
}

func (c *Cell) applyJobCancelled(at clock.Time, ev JobCancelled) {
	j := c.jobs[ev.Job]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	j.counts.Cancelled += len(j.waiting)
	j.counts.Waiting = 0
	for _, t := range j.waiting {
		delete(j.tasks, t.index)
	}
	j.waiting = nil
	c.queue.remove(j)
	for _, t := range j.tasks {
		t.evict = evictCancelled
		t.evictedAt = at
		c.stir(t.worker)
	}
	c.note(Note{
		At:     at,
		What:   "job-cancelled",
		Job:    ev.Job,
		Reason: "cancelled-by-caller",
	})
}

func (c *Cell) find(id TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.tasks[id.Index]
}

func (c *Cell) applyPlaced(at clock.Time, ev TaskPlaced) {
	t := c.find(ev.Task)
	if t == nil {
		return
	}
	j := t.job
	j.dropWaiting(t)
	j.counts.Waiting--
	j.counts.Placed++
	j.reason = ""
	t.resetAttempt()
	t.phase = phasePlaced
	t.attempt = ev.Attempt
	t.worker = ev.Worker
	t.placedAt = at
	t.checkedAt = at
	t.placedSeq = c.nextSeq()
	c.unopened = append(c.unopened, t)
	c.requeue(j)
	c.book(t)
}

func (c *Cell) ask(t *task) placer.Ask {
	ask := placer.Ask{
		Class: t.job.origin.Spec.Class,
		Size:  t.job.size(),
		Avoid: t.triedOn,
	}
	if t.job.origin.Watcher {
		ask.Group = t.job.origin.Spec.Class
	}
	return ask
}

func (c *Cell) book(t *task) {
	tasks := c.onWorker[t.worker]
	if tasks == nil {
		tasks = map[*task]bool{}
		c.onWorker[t.worker] = tasks
	}
	tasks[t] = true
	c.index.Reserve(t.worker, c.ask(t))
	c.running[t.job.origin.Spec.Team] = c.running[t.job.origin.Spec.Team].Plus(t.job.size())
	c.remember(t.worker)
}

func (c *Cell) unbook(t *task) {
	delete(c.onWorker[t.worker], t)
	c.index.Release(t.worker, c.ask(t))
	c.running[t.job.origin.Spec.Team] = c.running[t.job.origin.Spec.Team].Minus(t.job.size())
	c.remember(t.worker)
}

func (c *Cell) applyReleased(at clock.Time, ev TaskReleased) {
	t := c.find(ev.Task)
	if t == nil || t.phase != phasePlaced || t.attempt != ev.Attempt {
		return
	}
	c.note(Note{
		At:     at,
		What:   "task-released",
		Job:    ev.Task.Job,
		Task:   ev.Task.String(),
		Worker: t.worker,
		Reason: ev.Reason,
	})
	c.unbook(t)
	j := t.job
	j.counts.Placed--
	if ev.Failed {
		t.failures++
		t.triedOn = append(t.triedOn, t.worker)
	}
	t.resume = ev.Checkpoint
	t.resetAttempt()
	if j.cancelled {
		j.counts.Cancelled++
		delete(j.tasks, t.index)
		return
	}
	j.counts.Waiting++
	j.waiting = append(j.waiting, t)
	c.requeue(j)
}

func (c *Cell) applyEnded(at clock.Time, ev TaskEnded) {
	t := c.find(ev.Task)
	if t == nil {
		return
	}
	j := t.job
	c.note(Note{
		At:     at,
		What:   "task-" + string(ev.State),
		Job:    ev.Task.Job,
		Task:   ev.Task.String(),
		Worker: t.worker,
		Reason: ev.Reason,
	})
	c.detach(t)
	switch ev.State {
	case EndFinished:
		j.counts.Finished++
	case EndFailed:
		j.counts.Failed++
		j.reason = ev.Reason
	case EndCancelled:
		j.counts.Cancelled++
	}
	delete(j.tasks, t.index)
	c.requeue(j)
}

// detach takes a task out of the waiting or off its worker.
func (c *Cell) detach(t *task) {
	if t.phase == phasePlaced {
		c.unbook(t)
		t.job.counts.Placed--
		return
	}
	t.job.dropWaiting(t)
	t.job.counts.Waiting--
}

func (c *Cell) applyMoved(at clock.Time, ev TaskMoved) {
	t := c.find(ev.Task)
	if t == nil || t.phase != phaseWaiting {
		return
	}
	c.note(Note{
		At:     at,
		What:   "task-moved",
		Job:    ev.Task.Job,
		Task:   ev.Task.String(),
		Second: ev.To,
		Reason: "to-other-cell",
	})
	c.detach(t)
	t.job.counts.Moved++
	delete(t.job.tasks, t.index)
	c.requeue(t.job)
}

func (c *Cell) applyTaken(at clock.Time, ev TaskTaken) {
	j := c.jobs[ev.Spec.ID]
	if j == nil {
		j = c.newJob(ev.Origin)
	}
	t := &task{
		job:        j,
		index:      ev.Index,
		attempt:    ev.Attempt,
		resume:     ev.Checkpoint,
		done:       ev.Checkpoint,
		checkpoint: ev.Checkpoint,
		failures:   ev.Failures,
	}
	if j.cancelled {
		j.counts.Cancelled++
		return
	}
	c.enqueue(t)
	c.note(Note{
		At:     at,
		What:   "task-taken",
		Job:    ev.Spec.ID,
		Task:   t.id().String(),
		Reason: "from-other-cell",
	})
}
