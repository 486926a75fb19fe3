package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// ownerSeries plays owners of a cell, one after the other, with a worker "lost" that never
// answers and one, "sound", that does.
type ownerSeries struct {
	t     *testing.T
	rows  recordedRows
	now   clock.Time
	epoch uint64
	owner *Planner
}

const seriesLease = 6 * clock.Second

// takeOver starts the next owner, which sees the rows as the last one left them.
func (s *ownerSeries) takeOver(since uint64) {
	s.epoch++
	s.owner = newConfigured(s.now, Options{
		Epoch:       s.epoch,
		Takeover:    s.now,
		LeaseMax:    seriesLease,
		StopGrace:   200,
		LeasesSince: since,
		LeaseBase:   s.now,
	})
	for _, id := range []string{"lost", "sound"} {
		if record, ok := s.rows[id]; ok {
			s.owner.Handle(s.now, WorkerInherited(record))
		}
		s.owner.Handle(s.now, WorkerListed{Worker: seriesWorker(id)})
	}
	s.owner.Handle(s.now, Submitted{
		Job: document.StagedJob{
			ID:    loneJob,
			Queue: "q",
			Steps: []document.Step{lastingStep(1)},
		},
		Accepted:  s.now,
		Inherited: true,
		Progress:  &Progress{State: StateRunning, Queue: "q"},
	})
}

func seriesWorker(id string) Worker {
	return Worker{
		ID:       id,
		Pool:     "pool",
		Zone:     "z",
		Capacity: document.Size{Processors: 8, Memory: 8},
	}
}

// play lets the owner act for a span, and reports whether it starts the task.
func (s *ownerSeries) play(span clock.Span) bool {
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(20) {
		answerRenewal(s.owner, s.now, "sound", Report{})
		s.owner.Handle(s.now, RenewFailed{Worker: "lost", Outcome: OutcomeUnknown})
		s.owner.Handle(s.now, Ticked{})
		s.owner.Decide(s.now)
		s.rows.commitAll(s.owner, s.now)
		if countStarts(s.owner.TakeOrders()) > 0 {
			return true
		}
	}
	return false
}

// newOwnerSeries returns a series whose first owner has just renewed the lease of the worker
// "lost", which runs the task.
func newOwnerSeries(t *testing.T) *ownerSeries {
	t.Helper()
	s := &ownerSeries{
		t:    t,
		rows: recordedRows{},
		now:  1_000_000,
	}
	s.takeOver(1)
	running := Report{Running: []Running{{Task: TaskID{Job: loneJob}, Attempt: 1}}}
	for range 2 {
		answerRenewal(s.owner, s.now, "lost", running)
		answerRenewal(s.owner, s.now, "sound", Report{})
		s.owner.Decide(s.now)
		s.rows.commitAll(s.owner, s.now)
		s.now = s.now.Add(20)
	}
	s.owner.TakeOrders()
	return s
}

// TestLeaseWaitEndsUnderOwnersInSeries guards against tasks of a lost worker that wait as long
// as owners follow each other, since each of them began the wait for its lease anew.
func TestLeaseWaitEndsUnderOwnersInSeries(t *testing.T) {
	for _, c := range []struct {
		name     string
		handOver bool
		tenure   clock.Span
	}{
		{"ten owners that give the cell up", true, 600},
		{"owners that are killed, each at work for 2 s", false, 2 * clock.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newOwnerSeries(t)
			lost := s.now
			for !s.play(c.tenure) {
				assert.Assert(t, s.now.Sub(lost) < 20*clock.Second, "the task waits under owner %d", s.epoch)
				if c.handOver {
					s.owner.HandOver()
					s.rows.commitAll(s.owner, s.now)
				}
				s.takeOver(1)
			}
			took := s.now.Sub(lost)
			assert.Assert(t, took > seriesLease-200, "started %s after the loss: the lease may still hold", took)
			assert.Assert(t, took <= seriesLease+clock.Second, "started %s after the loss", took)
		})
	}
}

// TestLeaseOfEarlierBuildIsWaitedFor guards against tasks that run twice because a row with the
// rest of a lease was written before an owner of an earlier build, which does not keep to it.
func TestLeaseOfEarlierBuildIsWaitedFor(t *testing.T) {
	s := newOwnerSeries(t)
	s.play(5 * clock.Second)
	s.owner.HandOver()
	s.rows.commitAll(s.owner, s.now)
	s.epoch++ // the owner of the earlier build
	s.now = s.now.Add(2 * clock.Second)
	s.takeOver(0)
	assert.Assert(t, !s.play(seriesLease-200))
}

// TestSilentWorkerGetsNoLeaseBeforeItsRow guards against tasks that run twice because a worker
// that answers again gets a lease that the recorded rest does not cover.
func TestSilentWorkerGetsNoLeaseBeforeItsRow(t *testing.T) {
	s := newOwnerSeries(t)
	s.play(3 * clock.Second)
	s.takeOver(1)
	s.now = s.now.Add(100)
	answerRenewal(s.owner, s.now, "lost", Report{Running: []Running{{Task: TaskID{Job: loneJob}, Attempt: 1}}})
	s.now = s.now.Add(200)
	s.owner.Decide(s.now)
	assert.Assert(t, !s.grantsLease("lost"), "before the row is written")
	s.rows.commitAll(s.owner, s.now)
	answerRenewal(s.owner, s.now, "lost", Report{Running: []Running{{Task: TaskID{Job: loneJob}, Attempt: 1}}})
	s.now = s.now.Add(200)
	s.owner.Decide(s.now)
	assert.Assert(t, s.grantsLease("lost"), "once the row is written")
}

// grantsLease reports whether the owner has just ordered a renewal with a deadline.
func (s *ownerSeries) grantsLease(worker string) bool {
	for _, order := range s.owner.TakeOrders() {
		if r, ok := order.(Renew); ok && r.Worker == worker && r.Deadline != 0 {
			return true
		}
	}
	return false
}
