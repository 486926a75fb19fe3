package scheduler

import (
	"sort"

	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
)

const (
	exchangeInterval = 1 * clock.Second
	retryInterval    = 500 * clock.Millisecond
	// silentAfter is how long after its last answer a worker counts as silent.
	silentAfter        = 3 * clock.Second
	checkpointInterval = 30 * clock.Second
)

// requestExchange makes an exchange with the worker due at once, unless the worker
// is silent.
func (c *Cell) requestExchange(id string) {
	if w := c.workers[id]; w != nil {
		w.exchangeWanted = true
	}
}

// Due returns the workers with which an exchange should begin now, sorted.
func (c *Cell) Due(now clock.Time) []string {
	var due []string
	for id, w := range c.workers {
		if w.exchanging || w.address == "" {
			continue
		}
		if !now.Before(w.nextExchange) || (w.exchangeWanted && !w.silent) {
			due = append(due, id)
		}
	}
	sort.Strings(due)
	return due
}

// Address returns the network address of the worker, or "" if it is unknown.
func (c *Cell) Address(id string) string {
	if w := c.workers[id]; w != nil {
		return w.address
	}
	return ""
}

// Plan begins an exchange with a worker and returns the request to send. At most
// one exchange per worker is in flight; Plan reports false if there is one or the
// worker is unknown.
func (c *Cell) Plan(now clock.Time, id string) (worker.Request, bool) {
	w := c.workers[id]
	if w == nil || w.exchanging {
		return worker.Request{}, false
	}
	w.exchanging = true
	w.exchangeWanted = false
	w.nextExchange = now.Add(exchangeInterval)
	if w.synced && !w.silent && now.Sub(w.answeredAt) > silentAfter {
		w.silent = true
		c.updateOpen(now, w)
	}
	request := worker.Request{
		Cell:     c.opts.ID,
		Epoch:    c.opts.Epoch,
		Boot:     w.boot,
		Commands: append([]worker.Command(nil), w.kills...),
		Acks:     append([]worker.Ack(nil), w.acks...),
	}
	if w.synced && !w.silent {
		c.planTasks(now, w, &request)
	}
	return request, true
}

// planTasks adds the starts, renewals and commands for the worker's tasks. The
// caller does not call it for a silent worker, so that its leases expire.
func (c *Cell) planTasks(now clock.Time, w *workerState, request *worker.Request) {
	tasks := c.tasksOn(w.id)
	for _, t := range tasks {
		switch {
		case t.placedSeq > c.committed || t.startDeadline == 0:
			// The attempt is not durable yet and must not be sent.
		case !t.reported:
			c.planStart(now, w, t, request)
		default:
			c.planRenewal(now, w, t, request)
			c.planCommands(now, t, request)
		}
	}
	c.extendLeaseBounds(w, tasks, request.Until)
}

// extendLeaseBounds accounts for the common renewal in the lease bounds of all
// attempts whose start was sent. The renewal also reaches attempts that the worker
// has started but not yet reported to this owner.
func (c *Cell) extendLeaseBounds(w *workerState, tasks []*task, reading clock.Time) {
	if reading == 0 {
		return
	}
	bound := w.anchor.Bound(w.anchor.OwnerTime(reading))
	for _, t := range tasks {
		if t.startSent {
			t.leaseBound = max(t.leaseBound, bound)
		}
	}
}

func (c *Cell) tasksOn(id string) []*task {
	tasks := make([]*task, 0, len(c.tasksByWorker[id]))
	for t := range c.tasksByWorker[id] {
		tasks = append(tasks, t)
	}
	sort.Slice(tasks, func(i, j int) bool { return less(tasks[i].id(), tasks[j].id()) })
	return tasks
}

func less(a, b TaskID) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	return a.Index < b.Index
}

func (c *Cell) planStart(now clock.Time, w *workerState, t *task, request *worker.Request) {
	until := c.authority.RenewUntil(now, t.job.origin.Terms)
	if !now.Before(t.startDeadline) || t.evict != evictNone || until == 0 {
		return
	}
	t.startSent = true
	t.startBoot = w.boot
	t.leaseBound = max(t.leaseBound, w.anchor.Bound(until))
	request.Starts = append(request.Starts, worker.Start{
		Task:     t.id().String(),
		Attempt:  t.attempt,
		Class:    t.job.origin.Spec.Class,
		Size:     t.job.size(),
		Work:     t.job.declared,
		Payload:  t.job.origin.Spec.Payload,
		Resume:   t.resumeFrom,
		Until:    w.anchor.Until(until),
		NotAfter: w.anchor.NotAfter(t.startDeadline),
	})
}

// planRenewal renews the lease of one attempt. Attempts with the same lease end
// share the common renewal of the request; the others get one of their own.
func (c *Cell) planRenewal(now clock.Time, w *workerState, t *task, request *worker.Request) {
	until := c.authority.RenewUntil(now, t.job.origin.Terms)
	if until == 0 {
		request.Renewals = append(request.Renewals, renewal(t, 0))
		return
	}
	t.leaseBound = max(t.leaseBound, w.anchor.Bound(until))
	reading := w.anchor.Until(until)
	if request.Until == 0 {
		request.Until = reading
	}
	if reading != request.Until {
		request.Renewals = append(request.Renewals, renewal(t, reading))
	}
}

func renewal(t *task, until clock.Time) worker.Renewal {
	return worker.Renewal{
		Task:    t.id().String(),
		Attempt: t.attempt,
		Until:   until,
	}
}

func (c *Cell) planCommands(now clock.Time, t *task, request *worker.Request) {
	action := worker.Action("")
	switch {
	case t.evict == evictCancelled:
		action = worker.ActionKill
	case t.evict != evictNone:
		action = worker.ActionStop
	case t.throttleWanted && !t.throttled:
		action = worker.ActionThrottle
	case !t.throttleWanted && t.throttled:
		action = worker.ActionRelease
	case now.Sub(t.checkpointOrderedAt) >= checkpointInterval && !t.job.origin.Watcher:
		action = worker.ActionCheckpoint
		t.checkpointOrderedAt = now
	}
	if action != "" {
		request.Commands = append(request.Commands, worker.Command{
			Task:    t.id().String(),
			Attempt: t.attempt,
			Action:  action,
		})
	}
}

func (c *Cell) unanswered(now clock.Time, m Unanswered) {
	w := c.workers[m.Worker]
	if w == nil {
		return
	}
	w.exchanging = false
	w.nextExchange = now.Add(retryInterval)
}

// evictable reports whether the task can be evicted: the worker has reported its
// attempt and it is not being stopped already.
func (t *task) evictable() bool {
	return t.phase == phasePlaced && t.reported && t.evict == evictNone
}

func (c *Cell) startEviction(now clock.Time, t *task, why eviction) {
	t.evict = why
	t.evictedAt = now
	c.stats.Evicted++
	c.requestExchange(t.worker)
	c.note(Note{
		At:     now,
		What:   "evict",
		Job:    t.job.origin.Spec.ID,
		Task:   t.id().String(),
		Worker: t.worker,
		Reason: why.String(),
	})
}
