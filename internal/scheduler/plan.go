package scheduler

import (
	"sort"

	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
)

const (
	exchangeInterval   = 1 * clock.Second
	retryInterval      = 500 * clock.Millisecond
	silentAfter        = 3 * clock.Second
	checkpointInterval = 30 * clock.Second
)

// requestExchange has the worker exchanged with soon.
func (c *Cell) requestExchange(id string) {
	if w := c.workers[id]; w != nil {
		w.exchangeWanted = true
	}
}

// Due returns the workers with which an exchange should begin now.
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

// Address returns where the worker listens.
func (c *Cell) Address(id string) string {
	if w := c.workers[id]; w != nil {
		return w.address
	}
	return ""
}

// Plan makes the request for an exchange with a worker that begins now. At most
// one exchange per worker is under way.
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

// planTasks adds what the worker's tasks need. A silent worker gets none of it,
// so that the leases it holds run out.
func (c *Cell) planTasks(now clock.Time, w *workerState, request *worker.Request) {
	tasks := c.tasksOn(w.id)
	for _, t := range tasks {
		switch {
		case t.placedSeq > c.committed || t.startDeadline == 0:
			// Not durable yet: the worker must not hear of it.
		case !t.reported:
			c.planStart(now, w, t, request)
		default:
			c.planRenewal(now, w, t, request)
			c.planCommands(now, t, request)
		}
	}
	c.extendLeaseBounds(w, tasks, request.Until)
}

// extendLeaseBounds reckons with the common renewal reaching attempts that the worker
// has started without this owner having heard of it.
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

// planRenewal renews one attempt. Attempts on the same terms share the
// request's common time; the others are named.
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
	order := worker.Order("")
	switch {
	case t.evict == evictCancelled:
		order = worker.OrderKill
	case t.evict != evictNone:
		order = worker.OrderStop
	case t.throttleWanted && !t.throttled:
		order = worker.OrderThrottle
	case !t.throttleWanted && t.throttled:
		order = worker.OrderRelease
	case now.Sub(t.checkpointOrderedAt) >= checkpointInterval && !t.job.origin.Watcher:
		order = worker.OrderCheckpoint
		t.checkpointOrderedAt = now
	}
	if order != "" {
		request.Commands = append(request.Commands, worker.Command{
			Task:    t.id().String(),
			Attempt: t.attempt,
			Order:   order,
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

// evictable reports whether the task may be stopped now to resume elsewhere.
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
