package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const loneJob = "00000000000000aa"

// newSingleTask returns a planner with two workers that have answered and one job with
// one task.
func newSingleTask(t *testing.T, now clock.Time, spec document.Step, progress *Progress) *Planner {
	t.Helper()
	p := newConfigured(now, Options{Epoch: 1, Takeover: now, LeaseMax: 6000, StopGrace: 200})
	for _, id := range []string{"w1", "w2"} {
		p.Handle(now, WorkerListed{Worker: Worker{ID: id, Pool: "pool", Zone: "z", Capacity: document.Size{Processors: 8, Memory: 8}}})
		answerRenewal(p, now, id, Report{})
	}
	p.Handle(now, Submitted{Accepted: now, Progress: progress, Job: document.StagedJob{ID: loneJob, Queue: "q", Steps: []document.Step{spec}}})
	decideAndCommit(p, now)
	decideAndCommit(p, now.Add(maxPassInterval))
	return p
}

// newConfigured returns a planner that knows the queue q of the pool.
func newConfigured(now clock.Time, opts Options) *Planner {
	return newWithQueue(now, opts, document.Queue{
		Name:        "q",
		Pool:        "pool",
		MaxAttempts: 2,
		Stretch:     1500,
	})
}

// newWithQueue returns a planner that knows a queue.
func newWithQueue(now clock.Time, opts Options, queue document.Queue) *Planner {
	p := New(opts)
	p.Handle(now, Configured{Operations: document.Operations{
		Revision: 1,
		Queues:   []document.Queue{queue},
	}})
	return p
}

// decideAndCommit makes the planner decide, commits its changes, and returns its
// orders.
func decideAndCommit(p *Planner, now clock.Time) []Order {
	p.Handle(now, Ticked{})
	p.Decide(now)
	if batch, ok := p.TakeChanges(60); ok {
		p.Handle(now, Committed{Number: batch.Number})
	}
	p.Decide(now.Add(maxPassInterval))
	return p.TakeOrders()
}

// renewsLease reports whether the orders contain a regular renewal for a worker.
func renewsLease(orders []Order, worker string) bool {
	for _, order := range orders {
		if r, ok := order.(Renew); ok && r.Worker == worker && !r.Extra {
			return true
		}
	}
	return false
}

func answerRenewal(p *Planner, now clock.Time, worker string, report Report) {
	report.Incarnation = 1
	report.WorkerTime = now
	p.Handle(now, Renewed{Worker: worker, Received: now, Report: report})
}

// onlyRun returns the only attempt of the single task.
func onlyRun(t *testing.T, p *Planner) *run {
	t.Helper()
	task := p.findTask(TaskID{Job: loneJob})
	assert.Equal(t, len(task.runs), 1)
	return task.runs[0]
}

// TestSilentWorker checks that the task of a worker that stops answering starts
// elsewhere once the lease has expired. Repeated renewal attempts must not extend the
// lease.
func TestSilentWorker(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}, LongRunning: true}, nil)
	first := onlyRun(t, p)
	silent, other := first.worker.id, "w1"
	if silent == "w1" {
		other = "w2"
	}
	moved := clock.Span(0)
	asked := true
	for span := clock.Span(100); span < 12*clock.Second && moved == 0; span += 100 {
		at := now.Add(span)
		answerRenewal(p, at, other, Report{})
		if asked {
			p.Handle(at, RenewFailed{Worker: silent, Outcome: OutcomeUnknown})
		}
		asked = renewsLease(decideAndCommit(p, at), silent)
		if runs := p.findTask(TaskID{Job: loneJob}).runs; len(runs) == 1 && runs[0].worker.id == other {
			moved = span
		}
	}
	assert.Assert(t, moved > 5*clock.Second, "moved after %s, while the lease may still be valid", moved)
	assert.Assert(t, moved < 8*clock.Second, "moved after %s", moved)
}

// TestFailureCountedOnce checks that a failure is not counted twice if an earlier owner
// has recorded it and the worker reports it again.
func TestFailureCountedOnce(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}, &Progress{
		State: StateRunning,
		Queue: "q",
		Tasks: []TaskRecord{{Failed: []int{1}}},
	})
	answerRenewal(p, now.Add(200), "w2", Report{Ended: []Ended{{Number: 1, Task: TaskID{Job: loneJob}, Attempt: 1, How: EndFailed}}})
	assert.Equal(t, p.jobs[loneJob].state, StateRunning)
}

// TestHopeless checks that a job with a task larger than every worker stays pending at
// first and then fails.
func TestHopeless(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 9, Memory: 1}}, nil)
	assert.Equal(t, p.jobs[loneJob].state, StatePending)
	decideAndCommit(p, now.Add(infeasibleAfter))
	assert.Equal(t, p.jobs[loneJob].state, StateFailed)
}

// TestLeaving checks that leaving workers and workers in leaving zones get no starts.
func TestLeaving(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}, nil)
	w := onlyRun(t, p).worker
	assert.Assert(t, p.usable(now, w))
	w.info.Leaving = true
	assert.Assert(t, !p.usable(now, w))
	w.info.Leaving = false
	p.ops.LeavingZones = map[string]bool{"z": true}
	assert.Assert(t, !p.usable(now, w))
}

// TestReplacedWorker checks that the tasks of a worker start elsewhere at once when
// another worker answers at its present address, but not at an earlier one.
func TestReplacedWorker(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}, LongRunning: true}, nil)
	lost := onlyRun(t, p).worker
	lost.info.Address = "10.0.0.1:80"
	lost.reachedAt = lost.info.Address
	p.Handle(now.Add(300), RenewFailed{Worker: lost.id, Address: "10.0.0.9:80", Outcome: OutcomeReplaced})
	assert.Equal(t, onlyRun(t, p).worker.id, lost.id, "the answer came from an earlier address")
	p.Handle(now.Add(400), RenewFailed{Worker: lost.id, Address: "10.0.0.1:80", Outcome: OutcomeReplaced})
	decideAndCommit(p, now.Add(500))
	assert.Assert(t, onlyRun(t, p).worker.id != lost.id)
}

// TestReplacedBeforeTakeover checks that a new owner does not wait for the leases of a
// worker if another one answers at its address.
func TestReplacedBeforeTakeover(t *testing.T) {
	now := clock.Time(1_000_000)
	p := New(Options{Epoch: 2, Takeover: now, LeaseMax: 6000, StopGrace: 200})
	p.Handle(now, WorkerInherited{Worker: Worker{ID: "w1", Address: "10.0.0.1:80"}})
	assert.Assert(t, !p.inheritanceKnown(now))
	p.Handle(now, RenewFailed{Worker: "w1", Address: "10.0.0.1:80", Outcome: OutcomeReplaced})
	assert.Assert(t, p.inheritanceKnown(now))
	assert.Assert(t, p.recordsToDrop["w1"])
}

// TestAddressOfAnother guards against a task that runs twice because another writer's row
// names a wrong address for its worker: that another worker answers there does not show
// that this one has stopped, neither to its owner nor to the next one.
func TestAddressOfAnother(t *testing.T) {
	const own, other = "10.0.0.1:80", "10.0.0.2:80"
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}, LongRunning: true}, nil)
	w := onlyRun(t, p).worker
	info := w.info
	info.Address = own
	p.Handle(now, WorkerListed{Worker: info})
	report := Report{Running: []Running{{Task: onlyRun(t, p).key.task, Attempt: onlyRun(t, p).key.attempt}}}
	for _, at := range []clock.Time{now.Add(1000), now.Add(2000)} { // the first one was sent before
		answerRenewal(p, at, w.id, report)
		p.Decide(at)
	}
	info.Address = other
	p.Handle(now.Add(2100), WorkerListed{Worker: info})
	p.Handle(now.Add(2200), RenewFailed{Worker: w.id, Address: other, Outcome: OutcomeReplaced})
	assert.Equal(t, onlyRun(t, p).worker.id, w.id)
	assert.Equal(t, p.recordAs(w, recordInexact).Worker.Address, own)

	next := New(Options{Epoch: 2, Takeover: now, LeaseMax: 6000, StopGrace: 200})
	next.Handle(now, WorkerInherited{Worker: p.recordAs(w, recordInexact).Worker})
	next.Handle(now, WorkerListed{Worker: info})
	next.Handle(now, RenewFailed{Worker: w.id, Address: other, Outcome: OutcomeReplaced})
	assert.Assert(t, !next.inheritanceKnown(now))
}

// TestNamedBeforeStart checks that a task starts on a worker in the owner's zone only
// after the durable record names it, and that the task is placed again if the write
// takes too long.
func TestNamedBeforeStart(t *testing.T) {
	now := clock.Time(1_000_000)
	p := New(Options{Epoch: 1, Zone: "z", Takeover: now, LeaseMax: 6000, StopGrace: 200})
	p.Handle(now, Configured{Operations: document.Operations{
		Revision: 1,
		Queues:   []document.Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, Stretch: 1500}},
	}})
	p.Handle(now, WorkerListed{Worker: Worker{ID: "w1", Pool: "pool", Zone: "z", Capacity: document.Size{Processors: 8, Memory: 8}}})
	answerRenewal(p, now, "w1", Report{})
	decideAndCommit(p, now)
	p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{ID: loneJob, Queue: "q", Steps: []document.Step{
		{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}},
	}}})
	now = now.Add(100)
	p.Handle(now, Ticked{})
	p.Decide(now)
	assert.Equal(t, countStarts(p.TakeOrders()), 0)
	batch, ok := p.TakeChanges(60)
	assert.Assert(t, ok)
	assert.Equal(t, len(batch.Used), 1)
	assert.Assert(t, batch.Used[0].Exact)
	assert.DeepEqual(t, batch.Used[0].Held, []TaskID{{Job: loneJob}})

	late := now.Add(maxPlannedWait + 1)
	p.Handle(late, Ticked{})
	p.Decide(late)
	p.Handle(late, Committed{Number: batch.Number})
	assert.Equal(t, countStarts(p.TakeOrders()), 0, "the planned start has been dropped")
	decideAndCommit(p, late.Add(100))
	p.Decide(late.Add(200))
	assert.Equal(t, onlyRun(t, p).phase, runStartSent)
}

func countStarts(orders []Order) int {
	n := 0
	for _, order := range orders {
		if _, ok := order.(Start); ok {
			n++
		}
	}
	return n
}

// TestHandOverNamesAll checks that an owner that gives up the cell records the tasks on
// every worker, so that the next one can start all other tasks without waiting.
func TestHandOverNamesAll(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}, nil)
	held := onlyRun(t, p).worker.id
	p.HandOver()
	batch, ok := p.TakeChanges(60)
	assert.Assert(t, ok)
	assert.Equal(t, len(batch.Used), 2)
	next := New(Options{Epoch: 2, Takeover: now, LeaseMax: 6000, StopGrace: 200})
	for _, record := range batch.Used {
		assert.Assert(t, record.Exact)
		assert.Equal(t, len(record.Held) == 1, record.Worker.ID == held)
		next.Handle(now, WorkerInherited(record))
	}
	assert.Assert(t, next.inheritanceKnown(now))
	assert.Assert(t, next.mayStillRun(now, TaskID{Job: loneJob}))
	assert.Assert(t, !next.mayStillRun(now, TaskID{Job: loneJob, Index: 1}))
	p.Handle(now, Committed{Number: batch.Number})
	assert.Assert(t, !p.Dirty())
}

// TestFreshSteps checks that a short task starts at once even when the interval between
// placement passes is long.
func TestFreshSteps(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}, nil)
	now = now.Add(clock.Second)
	decideAndCommit(p, now)
	now = now.Add(100)
	p.passInterval = maxPassInterval
	p.lastPass = now
	p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{ID: "00000000000000bb", Queue: "q", Steps: []document.Step{
		{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}},
	}}})
	p.Decide(now.Add(2))
	assert.Equal(t, countStarts(p.TakeOrders()), 1)
}

// TestRestartRecordedFirst checks that a restarted worker, which has forgotten the
// epoch, gets starts only after a record write that began after its restart. A replaced
// owner cannot complete such a write.
func TestRestartRecordedFirst(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}, LongRunning: true}, nil)
	w := onlyRun(t, p).worker
	now = now.Add(100)
	p.Handle(now, Renewed{Worker: w.id, Received: now, Report: Report{Incarnation: 2, WorkerTime: now}})
	assert.Assert(t, !p.usable(now, w))
	batch, ok := p.TakeChanges(60)
	assert.Assert(t, ok)
	p.Handle(now, Renewed{Worker: w.id, Received: now, Report: Report{Incarnation: 3, WorkerTime: now}})
	p.Handle(now, Committed{Number: batch.Number})
	assert.Assert(t, !p.usable(now, w), "the write began before the worker restarted again")
	batch, ok = p.TakeChanges(60)
	assert.Assert(t, ok)
	p.Handle(now, Committed{Number: batch.Number})
	assert.Assert(t, p.usable(now, w))
}

// TestUnusedWorkerSilent guards against inherited tasks waiting for seconds, after a
// planned change of owners, for a listed worker that does not answer. The worker has no
// record, so no earlier owner can have started anything on it.
func TestUnusedWorkerSilent(t *testing.T) {
	now := clock.Time(1_000_000)
	p := New(Options{Epoch: 2, Takeover: now, LeaseMax: 6000, StopGrace: 200})
	p.Handle(now, WorkerInherited{Worker: Worker{ID: "w1"}})
	p.Handle(now, WorkerListed{Worker: Worker{ID: "w1"}})
	p.Handle(now, WorkerListed{Worker: Worker{ID: "w2"}})
	assert.Assert(t, !p.inheritanceKnown(now), "any task may be running on the first worker")
	answerRenewal(p, now, "w1", Report{})
	assert.Assert(t, p.inheritanceKnown(now))
}
