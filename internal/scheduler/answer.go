package scheduler

import (
	"sort"

	"marjoramstack/internal/leaser"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
)

// maxFailedWorkers is how many workers may fail a task before it has failed for good.
const maxFailedWorkers = 3

// reconcile reconciles the cell with what a worker says runs on it.
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

// handleReports handles each report and returns the attempts that were named.
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

// reportedTask returns the task whose present attempt the report is about, or nil
// if the attempt is over or of another worker.
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

// killUnknown stops an attempt that this cell has given up or never made.
func (c *Cell) killUnknown(now clock.Time, w *workerState, r worker.Report) {
	w.kills = append(w.kills, worker.Command{
		Task:    r.Task,
		Attempt: r.Attempt,
		Order:   worker.OrderKill,
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
// may forget it.
func (c *Cell) endDurable(w *workerState, key worker.Ack) bool {
	seq, ok := w.endSeq[key]
	return !ok || seq <= c.committed
}

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

// distinctFailures counts the workers that failed the task, leaving out those
// that fail everything.
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

// releaseMissing ends the attempts that the worker should know and does not.
func (c *Cell) releaseMissing(now clock.Time, w *workerState, seen map[worker.Ack]bool, firstAnswer, restarted bool, oldBoot string) {
	for _, t := range c.tasksOn(w.id) {
		if seen[worker.Ack{Task: t.id().String(), Attempt: t.attempt}] {
			continue
		}
		switch {
		case !t.startSent:
			c.expireTask(now, t)
		case firstAnswer:
			// The worker has now seen this epoch: no older start can follow.
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

// expireLeases ends the attempts whose lease has run out for certain. A worker that
// answers renews its leases, so only the others are looked at here.
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
