package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestEndsAreReadBeforeStarts guards against tasks that have ended as done being run again by
// an owner that has read only the first part of a worker's list of ends: a report holds
// maxEndsPerReport of them, and the rest only after these are acknowledged.
func TestEndsAreReadBeforeStarts(t *testing.T) {
	const tasks = maxEndsPerReport + 20
	now := clock.Time(1_000_000)
	var ends []Ended
	for i := range tasks {
		ends = append(ends, Ended{
			Number:  uint64(i + 1),
			Task:    TaskID{Job: loneJob, Index: i},
			Attempt: 1,
			How:     EndDone,
		})
	}
	job := document.StagedJob{
		ID:    loneJob,
		Queue: "q",
		Steps: []document.Step{{
			Tasks:    tasks,
			Demand:   document.Size{Processors: 1, Memory: 1},
			Estimate: 500,
		}},
	}
	var held []TaskID
	for _, e := range ends {
		held = append(held, e.Task)
	}
	for _, c := range []struct {
		name   string
		record WorkerInherited
	}{
		{"any task may be on the worker", WorkerInherited{}},
		{"its record lists them", WorkerInherited{Exact: true, Held: held}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newInheritor(now)
			c.record.Worker = p.workers["w1"].info
			p.Handle(now, c.record)
			idle := c.record.Worker
			idle.ID = "w2"
			p.Handle(now, WorkerListed{Worker: idle})
			answerRenewal(p, now, "w2", Report{})
			decideAndCommit(p, now)
			p.Handle(now, Submitted{
				Job:       job,
				Accepted:  now,
				Inherited: true,
			})
			started := 0
			for span := clock.Span(0); span < 10*clock.Second; span += 200 {
				answerRenewal(p, now.Add(span), "w1", Report{Ended: ends[:maxEndsPerReport]})
				answerRenewal(p, now.Add(span), "w2", Report{})
				p.Handle(now.Add(span), Ticked{})
				p.Decide(now.Add(span))
				started += countStarts(p.TakeOrders())
			}
			assert.Equal(t, started, 0)
			assert.Equal(t, p.jobs[loneJob].state, StateRunning)
			answerRenewal(p, now.Add(10*clock.Second), "w1", Report{Ended: ends[maxEndsPerReport:]})
			assert.Equal(t, p.jobs[loneJob].state, StateCompleted)
		})
	}
}

// TestWorkersAreAskedBeforeStarts guards against tasks that run twice because an owner took
// longer to read the jobs than the longest lease lasts, and then counted leases as over under
// workers that it had never asked: their lists hold ends of these tasks as done.
func TestWorkersAreAskedBeforeStarts(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newInheritor(now)
	late := p.inheritedUntil().Add(clock.Second)
	idle := p.workers["w1"].info
	idle.ID = "w2"
	p.Handle(late, WorkerListed{Worker: idle})
	answerRenewal(p, late, "w2", Report{})
	decideAndCommit(p, late)
	p.Handle(late, Submitted{
		Job: document.StagedJob{
			ID:    loneJob,
			Queue: "q",
			Steps: []document.Step{lastingStep(1)},
		},
		Accepted:  now,
		Inherited: true,
	})
	assert.Equal(t, countStarts(decideAndCommit(p, late.Add(100))), 0, "w1 has not answered")
	p.Handle(late.Add(200), RenewFailed{Worker: "w1", Outcome: OutcomeUnknown})
	assert.Equal(t, countStarts(decideAndCommit(p, late.Add(300))), 1, "w1 does not answer, and its lease is over")
}

// TestUnreadRecordIsKept guards against the same under the owner after that: the record that
// lists the tasks must not be written anew from a list of ends that was read in part.
func TestUnreadRecordIsKept(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newInheritor(now)
	held := []TaskID{{Job: loneJob}}
	p.Handle(now, WorkerInherited{
		Worker: p.workers["w1"].info,
		Exact:  true,
		Held:   held,
	})
	ends := make([]Ended, maxEndsPerReport)
	for i := range ends {
		ends[i] = Ended{
			Number:  uint64(i + 1),
			Task:    TaskID{Job: "00000000000000bb", Index: i},
			Attempt: 1,
			How:     EndDone,
		}
	}
	answerRenewal(p, now, "w1", Report{Ended: ends})
	p.Handle(now.Add(clock.Second), Ticked{})
	rows := recordedRows{"w1": WorkerRecord{
		Worker: p.workers["w1"].info,
		Exact:  true,
		Held:   held,
	}}
	rows.commitAll(p, now.Add(clock.Second))
	assert.DeepEqual(t, rows["w1"].Held, held)
}

// TestLeaseFollowsRowAtOnce guards against work that is given up on a worker that answers again
// shortly before its lease is over: once its row is replaced, it gets a lease without delay.
func TestLeaseFollowsRowAtOnce(t *testing.T) {
	s := newOwnerSeries(t)
	s.play(3 * clock.Second)
	answerRenewal(s.owner, s.now, "lost", Report{Running: []Running{{Task: TaskID{Job: loneJob}, Attempt: 1}}})
	s.owner.Decide(s.now)
	s.owner.TakeOrders()
	s.rows.commitAll(s.owner, s.now)
	s.owner.Decide(s.now)
	assert.Assert(t, s.grantsLease("lost"))
}
