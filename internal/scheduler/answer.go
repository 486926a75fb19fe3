package scheduler

import (
	"sort"

	"marjoramstack/internal/leaser"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
)

// maxFailedWorkers is the number of workers on which a task may fail before it has
// failed permanently.
const maxFailedWorkers = 3

// reconcile updates the cell from a worker's answer: it applies the reports, ends
// attempts that the worker no longer has and learns from the measurements.
func (c *Cell) reconcile(now clock.Time, m Answered) {
	w := c.workers[m.Worker]
	if w == nil {
		return
	}
	w.exchanging = false
	if m.Answer.Refused {
		w.nextExchange = now.Add(retryInterval)
		return
	}
	restarted := w.boot != "" && w.boot != m.Answer.Boot
	oldBoot := w.boot
	w.anchor = leaser.Anchor{
		Reading:  m.Answer.Now,
		Received: m.Received,
	}
	firstAnswer := !w.synced
	w.boot = m.Answer.Boot
	w.answeredAt = now
	w.synced = true
	w.silent = false
	w.kills = nil
	w.acks = nil
	reported := c.handleReports(now, w, m.Answer.Reports)
	c.releaseMissing(now, w, reported, firstAnswer, restarted, oldBoot)
	c.observeSlowdowns(now, w, m)
	c.updateOpen(now, w)
	if firstAnswer {
		w.exchangeWanted = true
	}
}

// handleReports handles each report and returns the attempts that were reported.
func (c *Cell) handleReports(now clock.Time, w *workerState, reports []worker.Report) map[worker.Ack]bool {
	seen := make(map[worker.Ack]bool, len(reports))
	for _, r := range reports {
		key := worker.Ack{
			Task:    r.Task,
			Attempt: r.Attempt,
		}
		seen[key] = true
		t := c.reportedTask(w, r)
		switch {
		case t != nil:
			c.handleReport(now, w, t, r)
		case r.State == worker.StateRunning:
			c.killUnknown(now, w, r)
		case c.endDurable(w, key):
			w.acks = append(w.acks, key)
		}
	}
	c.pruneEnds(w, seen)
	return seen
}

// reportedTask returns the task whose current attempt is the reported one. It
// returns nil if the attempt has ended or is assigned to another worker.
func (c *Cell) reportedTask(w *workerState, r worker.Report) *task {
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

// killUnknown kills an attempt that has ended for this cell or that it never
// placed.
func (c *Cell) killUnknown(now clock.Time, w *workerState, r worker.Report) {
	w.kills = append(w.kills, worker.Command{
		Task:    r.Task,
		Attempt: r.Attempt,
		Action:  worker.ActionKill,
	})
	w.exchangeWanted = true
	c.note(Note{
		At:     now,
		What:   "kill",
		Task:   r.Task,
		Worker: w.id,
		Reason: "attempt-is-over",
	})
}

// endDurable reports whether the end of an attempt is durable, so that the worker
// can be told to forget the attempt.
func (c *Cell) endDurable(w *workerState, key worker.Ack) bool {
	seq, ok := w.endSeq[key]
	return !ok || seq <= c.committed
}

// pruneEnds deletes the ends that are durable and that the worker no longer
// reports.
func (c *Cell) pruneEnds(w *workerState, seen map[worker.Ack]bool) {
	for key, seq := range w.endSeq {
		if !seen[key] && seq <= c.committed {
			delete(w.endSeq, key)
		}
	}
}

func (c *Cell) handleReport(now clock.Time, w *workerState, t *task, r worker.Report) {
	t.reported = true
	t.startSent = true
	t.throttled = r.Throttled
	if t.startDeadline == 0 {
		t.startDeadline = now
	}
	t.done = r.Done
	t.checkpoint = max(t.checkpoint, r.Checkpoint)
	if r.State == worker.StateRunning {
		if t.evict != evictNone {
			w.exchangeWanted = true
		}
		return
	}
	w.endSeq[worker.Ack{Task: r.Task, Attempt: r.Attempt}] = c.nextSeq()
	switch r.State {
	case worker.StateFinished:
		c.finish(now, w, t)
	case worker.StateFailed:
		c.fail(now, w, t, r.Reason)
	case worker.StateStopped:
		c.handleStopped(now, t)
	case worker.StateLapsed:
		c.stats.Lapsed++
		c.release(now, t, "lease-lapsed", false)
	}
}

func (c *Cell) finish(now clock.Time, w *workerState, t *task) {
	c.recordSuccess(w)
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

func (c *Cell) fail(now clock.Time, w *workerState, t *task, reason string) {
	c.recordFailure(now, w, t)
	if t.job.cancelled {
		c.end(now, t, EndCancelled, reason)
		return
	}
	if c.distinctFailures(t, w.id) >= maxFailedWorkers {
		c.stats.Failed++
		c.end(now, t, EndFailed, "failed-on-several-workers: "+reason)
		return
	}
	c.release(now, t, "failed: "+reason, true)
}

// distinctFailures returns the number of workers on which the task has failed,
// including the last one. Quarantined workers do not count: they fail every task.
func (c *Cell) distinctFailures(t *task, last string) int {
	failedIDs := map[string]bool{last: true}
	for _, id := range t.failedOn {
		failedIDs[id] = true
	}
	n := 0
	for id := range failedIDs {
		if w := c.workers[id]; w == nil || !w.quarantined() {
			n++
		}
	}
	return n
}

func (c *Cell) handleStopped(now clock.Time, t *task) {
	if t.job.cancelled {
		c.end(now, t, EndCancelled, "stopped")
		return
	}
	c.release(now, t, t.evict.String(), false)
}

// release ends the current attempt. The task waits again and resumes from its
// checkpoint, unless its job is cancelled.
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

// releaseMissing ends the attempts that the worker should have reported but did
// not.
func (c *Cell) releaseMissing(now clock.Time, w *workerState, seen map[worker.Ack]bool, firstAnswer, restarted bool, oldBoot string) {
	for _, t := range c.tasksOn(w.id) {
		if seen[worker.Ack{Task: t.id().String(), Attempt: t.attempt}] {
			continue
		}
		switch {
		case !t.startSent:
			c.expireTask(now, t)
		case firstAnswer:
			// The worker has now seen this epoch and rejects starts of older ones.
			c.release(now, t, "not-on-worker", false)
		case restarted && t.startBoot == oldBoot:
			c.release(now, t, "worker-restarted", false)
		case t.reported:
			c.release(now, t, "not-on-worker", false)
		case now.After(t.startDeadline):
			c.release(now, t, "never-started", false)
		}
	}
}

// expireLeases ends the attempts whose lease has certainly expired. Workers that
// answer get renewals, so only those that do not are checked.
func (c *Cell) expireLeases(now clock.Time) {
	var unreachable []string
	for id, tasks := range c.tasksByWorker {
		w := c.workers[id]
		if len(tasks) > 0 && (w == nil || !w.synced || now.Sub(w.answeredAt) > silentAfter) {
			unreachable = append(unreachable, id)
		}
	}
	sort.Strings(unreachable)
	for _, id := range unreachable {
		for _, t := range c.tasksOn(id) {
			c.expireTask(now, t)
		}
	}
}

// expireTask ends the attempt if its lease has certainly expired, or if no start
// was sent and its start window has passed or it is being evicted.
func (c *Cell) expireTask(now clock.Time, t *task) {
	switch {
	case t.startSent && now.After(t.leaseBound):
		c.stats.Lapsed++
		c.release(now, t, "lease-lapsed", false)
	case !t.startSent && t.startDeadline != 0 && now.After(t.startDeadline):
		c.release(now, t, "start-window-passed", false)
	case !t.startSent && t.evict != evictNone:
		c.release(now, t, t.evict.String(), false)
	}
}
