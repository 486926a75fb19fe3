package scheduler

import (
	"sort"

	"marjoramstack/internal/leaser"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
)

// taskTries is how many workers may fail a task before it has failed for good.
const taskTries = 3

// answer reconciles the cell with what a worker says runs on it.
func (c *Cell) answer(now clock.Time, m Answered) {
	w := c.members[m.Worker]
	if w == nil {
		return
	}
	w.exchanging = false
	if m.Answer.Refused {
		w.nextAt = now.Add(retryEvery)
		return
	}
	restarted := w.boot != "" && w.boot != m.Answer.Boot
	oldBoot := w.boot
	w.anchor = leaser.Anchor{
		Reading:  m.Answer.Now,
		Received: m.Received,
	}
	first := !w.synced
	w.boot = m.Answer.Boot
	w.answered = now
	w.synced = true
	w.silent = false
	w.kills = nil
	w.acks = nil
	reported := c.takeReports(now, w, m.Answer.Reports)
	c.releaseAbsent(now, w, reported, first, restarted, oldBoot)
	c.learn(now, w, m)
	c.reopen(now, w)
	if first {
		w.dirty = true
	}
}

// takeReports handles each report and returns the attempts that were named.
func (c *Cell) takeReports(now clock.Time, w *member, reports []worker.Report) map[worker.Ack]bool {
	named := make(map[worker.Ack]bool, len(reports))
	for _, r := range reports {
		key := worker.Ack{
			Task:    r.Task,
			Attempt: r.Attempt,
		}
		named[key] = true
		t := c.current(w, r)
		switch {
		case t != nil:
			c.takeReport(now, w, t, r)
		case r.State == worker.StateRunning:
			c.killUnknown(now, w, r)
		case c.settled(w, key):
			w.acks = append(w.acks, key)
		}
	}
	c.forgetEnding(w, named)
	return named
}

// current returns the task whose present attempt the report is about, or nil
// if the attempt is over or of another worker.
func (c *Cell) current(w *member, r worker.Report) *task {
	id, ok := ParseTaskID(r.Task)
	if !ok {
		return nil
	}
	t := c.find(id)
	if t == nil || t.phase != phasePlaced || t.attempt != r.Attempt || t.worker != w.id {
		return nil
	}
	return t
}

// killUnknown stops an attempt that this cell has given up or never made.
func (c *Cell) killUnknown(now clock.Time, w *member, r worker.Report) {
	w.kills = append(w.kills, worker.Command{
		Task:    r.Task,
		Attempt: r.Attempt,
		Order:   worker.OrderKill,
	})
	w.dirty = true
	c.note(Note{
		At:     now,
		What:   "kill",
		Task:   r.Task,
		Worker: w.id,
		Reason: "attempt-is-over",
	})
}

// settled reports whether the end of an attempt is durable, so that the worker
// may forget it.
func (c *Cell) settled(w *member, key worker.Ack) bool {
	seq, ok := w.ending[key]
	return !ok || seq <= c.committed
}

func (c *Cell) forgetEnding(w *member, named map[worker.Ack]bool) {
	for key, seq := range w.ending {
		if !named[key] && seq <= c.committed {
			delete(w.ending, key)
		}
	}
}

func (c *Cell) takeReport(now clock.Time, w *member, t *task, r worker.Report) {
	t.reported = true
	t.sent = true
	t.throttled = r.Throttled
	if t.startBy == 0 {
		t.startBy = now
	}
	t.done = r.Done
	t.checkpoint = max(t.checkpoint, r.Checkpoint)
	if r.State == worker.StateRunning {
		if t.evict != evictNone {
			w.dirty = true
		}
		return
	}
	w.ending[worker.Ack{Task: r.Task, Attempt: r.Attempt}] = c.nextSeq()
	switch r.State {
	case worker.StateFinished:
		c.finish(now, w, t)
	case worker.StateFailed:
		c.fail(now, w, t, r.Reason)
	case worker.StateStopped:
		c.stopped(now, t)
	case worker.StateLapsed:
		c.stats.Lapsed++
		c.release(now, t, "lease-lapsed", false)
	}
}

func (c *Cell) finish(now clock.Time, w *member, t *task) {
	c.succeeded(w)
	if t.job.cancelled {
		c.end(now, t, EndCancelled, "finished-after-cancel")
		return
	}
	c.stats.Finished++
	c.stats.Done += t.done
	c.runtimes.Observe(t.job.origin.Spec.Class, t.job.declared, t.done)
	c.end(now, t, EndFinished, "")
}

func (c *Cell) end(now clock.Time, t *task, state EndState, reason string) {
	c.emit(now, TaskEnded{
		Task:   t.id(),
		State:  state,
		Reason: reason,
	})
}

func (c *Cell) fail(now clock.Time, w *member, t *task, reason string) {
	c.failed(now, w, t)
	if t.job.cancelled {
		c.end(now, t, EndCancelled, reason)
		return
	}
	if c.distinctFailures(t, w.id) >= taskTries {
		c.stats.Failed++
		c.end(now, t, EndFailed, "failed-on-several-workers: "+reason)
		return
	}
	c.release(now, t, "failed: "+reason, true)
}

// distinctFailures counts the workers that failed the task, leaving out those
// that fail everything.
func (c *Cell) distinctFailures(t *task, present string) int {
	workers := map[string]bool{present: true}
	for _, id := range t.triedOn {
		workers[id] = true
	}
	n := 0
	for id := range workers {
		if w := c.members[id]; w == nil || !w.quarantined() {
			n++
		}
	}
	return n
}

func (c *Cell) stopped(now clock.Time, t *task) {
	if t.job.cancelled {
		c.end(now, t, EndCancelled, "stopped")
		return
	}
	c.release(now, t, t.evict.String(), false)
}

// release ends the present attempt; the task resumes from its checkpoint.
func (c *Cell) release(now clock.Time, t *task, reason string, failed bool) {
	c.stats.Lost += max(t.done-t.checkpoint, 0)
	if t.job.cancelled {
		c.end(now, t, EndCancelled, reason)
		return
	}
	c.emit(now, TaskReleased{
		Task:       t.id(),
		Attempt:    t.attempt,
		Reason:     reason,
		Checkpoint: t.checkpoint,
		Failed:     failed,
	})
}

// releaseAbsent ends the attempts that the worker should know and does not.
func (c *Cell) releaseAbsent(now clock.Time, w *member, named map[worker.Ack]bool, first, restarted bool, oldBoot string) {
	for _, t := range c.tasksOn(w.id) {
		if named[worker.Ack{Task: t.id().String(), Attempt: t.attempt}] {
			continue
		}
		switch {
		case !t.sent:
			c.expireTask(now, t)
		case first:
			// The worker has now seen this epoch: no older start can follow.
			c.release(now, t, "not-on-worker", false)
		case restarted && t.sentBoot == oldBoot:
			c.release(now, t, "worker-restarted", false)
		case t.reported:
			c.release(now, t, "not-on-worker", false)
		case now.After(t.startBy):
			c.release(now, t, "never-started", false)
		}
	}
}

// expire ends the attempts whose lease has run out for certain. A worker that
// answers renews its leases, so only the others are looked at here.
func (c *Cell) expire(now clock.Time) {
	var quiet []string
	for id, tasks := range c.onWorker {
		w := c.members[id]
		if len(tasks) > 0 && (w == nil || !w.synced || now.Sub(w.answered) > silentAfter) {
			quiet = append(quiet, id)
		}
	}
	sort.Strings(quiet)
	for _, id := range quiet {
		for _, t := range c.tasksOn(id) {
			c.expireTask(now, t)
		}
	}
}

func (c *Cell) expireTask(now clock.Time, t *task) {
	switch {
	case t.sent && now.After(t.bound):
		c.stats.Lapsed++
		c.release(now, t, "lease-lapsed", false)
	case !t.sent && t.startBy != 0 && now.After(t.startBy):
		c.release(now, t, "start-window-passed", false)
	case !t.sent && t.evict != evictNone:
		c.release(now, t, t.evict.String(), false)
	}
}
