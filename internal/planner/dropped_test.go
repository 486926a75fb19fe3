package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestDroppedQueue guards against an accepted job that never runs, or fails too early,
// because a new owner took over after operators had deleted its queue.
func TestDroppedQueue(t *testing.T) {
	now := clock.Time(1_000_000)
	spec := document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}, Estimate: 1000}
	p := newSingleTask(t, now, spec, nil)
	const dropped = "00000000000000bb"
	p.Handle(now, Submitted{
		Accepted: now,
		Job:      document.StagedJob{ID: dropped, Queue: "dropped", Steps: []document.Step{spec}},
		Terms:    &document.Queue{Pool: "pool", MaxAttempts: 2, Stretch: 1500, Slack: 250},
	})
	assert.Equal(t, p.jobs[dropped].deadline, now.Add(1750))
	id := TaskID{Job: dropped}
	for attempt := 1; attempt <= 2; attempt++ {
		assert.Equal(t, p.jobs[dropped].state.Final(), false)
		now = now.Add(clock.Second)
		decideAndCommit(p, now)
		decideAndCommit(p, now.Add(maxPassInterval))
		runs := p.findTask(id).runs
		assert.Equal(t, len(runs), 1)
		answerRenewal(p, now.Add(200), runs[0].worker.id, Report{Ended: []Ended{
			{Number: uint64(attempt), Task: id, Attempt: runs[0].key.attempt, How: EndFailed},
		}})
	}
	assert.Equal(t, p.jobs[dropped].state, StateFailed)
}

// TestUnknownTerms guards against a job that fails, or gets a wrong deadline, while its
// queue is neither configured nor recorded.
func TestUnknownTerms(t *testing.T) {
	now := clock.Time(1_000_000)
	spec := document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}, Estimate: 1000}
	p := newSingleTask(t, now, spec, nil)
	const unknown = "00000000000000bb"
	p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{ID: unknown, Queue: "later", Steps: []document.Step{spec}}})
	answerRenewal(p, now.Add(100), "w1", Report{Ended: []Ended{
		{Number: 1, Task: TaskID{Job: unknown}, Attempt: 1, How: EndFailed},
	}})
	assert.Equal(t, p.jobs[unknown].state, StateRunning)
	p.Handle(now.Add(200), Configured{Operations: document.Operations{
		Queues: []document.Queue{{Name: "later", Pool: "pool", MaxAttempts: 2, Stretch: 2000}},
	}})
	assert.Equal(t, p.jobs[unknown].deadline, now.Add(2000))
	decideAndCommit(p, now.Add(300))
	decideAndCommit(p, now.Add(400))
	assert.Equal(t, len(p.findTask(TaskID{Job: unknown}).runs), 1)
}
