package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestEveryFailureLogged guards against a job failing while the log lacks some of its
// counted failures. That happened for attempts that ended during a change of owners.
func TestEveryFailureLogged(t *testing.T) {
	now := clock.Time(1_000_000)
	spec := document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}
	p := newSingleTask(t, now, spec, nil)
	const later = "00000000000000bb"
	p.TakeLog()
	answerRenewal(p, now.Add(100), "w1", Report{Ended: []Ended{
		{Number: 1, Task: TaskID{Job: loneJob}, Attempt: 7, How: EndFailed},
		{Number: 2, Task: TaskID{Job: later}, Attempt: 8, How: EndFailed},
	}})
	p.Handle(now.Add(200), Submitted{Accepted: now, Job: document.StagedJob{ID: later, Queue: "q", Steps: []document.Step{spec}}})
	logged := map[string]int{}
	for _, n := range p.TakeLog() {
		if n.Event == "task-failed" {
			assert.Equal(t, n.Worker, "w1")
			logged[n.Task] = n.Attempt
		}
	}
	assert.DeepEqual(t, logged, map[string]int{loneJob + "/0/0/0": 7, later + "/0/0/0": 8})
	assert.DeepEqual(t, p.findTask(TaskID{Job: loneJob}).failedAttempts, []int{7})
	assert.DeepEqual(t, p.findTask(TaskID{Job: later}).failedAttempts, []int{8})
}

// TestEndBeforeJobSeen guards against a done task running again: it ended while a new
// owner knew of the attempt but not yet of the job.
func TestEndBeforeJobSeen(t *testing.T) {
	now := clock.Time(1_000_000)
	spec := document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}
	p := newSingleTask(t, now, spec, nil)
	const later = "00000000000000bb"
	id := TaskID{Job: later}
	answerRenewal(p, now.Add(100), "w1", Report{Running: []Running{{Task: id, Attempt: 1}}})
	answerRenewal(p, now.Add(200), "w1", Report{Ended: []Ended{{Number: 1, Task: id, Attempt: 1, How: EndDone}}})
	p.Handle(now.Add(300), Submitted{Accepted: now, Inherited: true, Job: document.StagedJob{ID: later, Queue: "q", Steps: []document.Step{spec}}})
	assert.Equal(t, p.jobs[later].state, StateCompleted)
	assert.Equal(t, p.workers["w1"].allocated.Processors <= 1, true, "the room that it took is free again")
}

// TestUnclaimedEndIsNotAcknowledged guards against a done task running again: a new owner
// acknowledged its end before it knew of the job, and was lost before the end was durable.
func TestUnclaimedEndIsNotAcknowledged(t *testing.T) {
	const later = "00000000000000bb"
	ended := []Ended{{Number: 1, Task: TaskID{Job: later}, Attempt: 1, How: EndDone}}
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}, nil)
	now = now.Add(clock.Second)
	answerRenewal(p, now, "w1", Report{Ended: ended})
	decideAndCommit(p, now)
	orders := decideAndCommit(p, now.Add(waitUncommitted))
	assert.Assert(t, renewsLease(orders, "w1"))
	assert.Equal(t, p.workers["w1"].ackedEnd, uint64(0), "the end is in no record")
	now = now.Add(clock.Second)
	p.Handle(now, Submitted{Accepted: now, Inherited: true, Job: document.StagedJob{ID: later, Queue: "q", Steps: p.jobs[loneJob].spec.Steps}})
	assert.Equal(t, p.jobs[later].state, StateCompleted)
	answerRenewal(p, now, "w1", Report{Ended: ended})
	decideAndCommit(p, now)
	assert.Equal(t, p.workers["w1"].ackedEnd, uint64(1), "the end is durable")
}

// TestEndOfUnreadJobIsHeld guards against a done task that runs again under a later owner: one
// whose reads of jobs took longer than 5 s took the job for one that no longer exists, and
// acknowledged the end.
func TestEndOfUnreadJobIsHeld(t *testing.T) {
	const unread = "00000000000000bb"
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}, nil)
	ended := []Ended{{Number: 1, Task: TaskID{Job: unread}, Attempt: 1, How: EndDone}}
	for range 60 {
		now = now.Add(clock.Second)
		answerRenewal(p, now, "w1", Report{Ended: ended})
		p.Handle(now, Ticked{})
		decideAndCommit(p, now.Add(waitUncommitted)) // sends the next renewal
		assert.Equal(t, p.workers["w1"].ackedEnd, uint64(0), "at %d", now)
	}
	p.Handle(now, Submitted{Accepted: now, Inherited: true, Job: document.StagedJob{ID: unread, Queue: "q", Steps: p.jobs[loneJob].spec.Steps}})
	p.Handle(now, JobsRead{})
	assert.Equal(t, p.jobs[unread].state, StateCompleted)
}

// TestEndOfNoJobIsAcknowledged guards against a worker that lists ever more ends because one
// of them is of a job that no longer exists, and against an owner that keeps those ends.
func TestEndOfNoJobIsAcknowledged(t *testing.T) {
	for _, test := range []struct {
		name      string
		readFirst bool
	}{{"jobs read before the report", true}, {"jobs read after the report", false}} {
		t.Run(test.name, func(t *testing.T) {
			now := clock.Time(1_000_000)
			p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}, nil)
			now = now.Add(clock.Second)
			ended := []Ended{{Number: 1, Task: TaskID{Job: "00000000000000bb"}, Attempt: 1, How: EndDone}}
			if test.readFirst {
				p.Handle(now, JobsRead{})
			}
			answerRenewal(p, now, "w1", Report{Ended: ended})
			decideAndCommit(p, now)
			if !test.readFirst {
				assert.Equal(t, p.workers["w1"].ackedEnd, uint64(0))
				p.Handle(now, JobsRead{})
			}
			answerRenewal(p, now, "w1", Report{Ended: ended})
			decideAndCommit(p, now.Add(waitUncommitted)) // sends the next renewal
			assert.Equal(t, p.workers["w1"].ackedEnd, uint64(1))
			assert.Equal(t, len(p.unclaimedEnds), 0)
		})
	}
}
