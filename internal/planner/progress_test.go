package planner

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestEndsAreRecordedBesideWorkers guards against done tasks that run again: an owner that
// took over recorded all workers before the ends that they had reported, and lost the cell
// before it recorded these.
func TestEndsAreRecordedBesideWorkers(t *testing.T) {
	const workers, limit = 400, 90
	now := clock.Time(1_000_000)
	p := New(Options{Epoch: 2, Takeover: now, LeaseMax: 6000})
	p.Handle(now, Configured{Operations: document.Operations{
		Revision: 1,
		Queues:   []document.Queue{{Name: "quote", Pool: "pool", MaxAttempts: 4, Stretch: 1500, Slack: 300}},
	}})
	size := document.Size{Processors: 1000, Memory: 1}
	p.Handle(now, Submitted{
		Job:       document.StagedJob{ID: "000000000000000a", Queue: "quote", Steps: []document.Step{{Tasks: 2, Demand: size}}},
		Inherited: true,
		Accepted:  now.Add(-1000),
		Progress:  &Progress{State: StateRunning, Queue: "quote"},
	})
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		p.Handle(now, WorkerListed{Worker: Worker{ID: id, Address: id, Pool: "pool", Capacity: size}})
		p.Handle(now, Renewed{Worker: id, Received: now, Report: Report{Incarnation: 1, WorkerTime: 5000}})
	}
	done := Ended{Number: 1, Task: TaskID{Job: "000000000000000a"}, Attempt: 1, How: EndDone}
	p.Handle(now, Renewed{Worker: "w399", Received: now, Report: Report{Incarnation: 1, WorkerTime: 5001, Ended: []Ended{done}}})
	batch, ok := p.TakeChanges(limit)
	assert.Assert(t, ok)
	assert.Equal(t, len(batch.Changes), 1)
	assert.Equal(t, len(batch.Changes[0].Progress.Steps), 1)
	assert.Equal(t, len(batch.Used), limit-1)
}

// TestRecordHoldsEndsUntilDurable guards against done tasks that run again: the record of a
// worker in the owner's zone no longer listed a task whose end was not durable yet, and the
// zone was cut off then.
func TestRecordHoldsEndsUntilDurable(t *testing.T) {
	const limit = 10
	now := clock.Time(1_000_000)
	p := New(Options{Epoch: 2, Zone: "z", Takeover: now, LeaseMax: 6000})
	p.Handle(now, Configured{Operations: document.Operations{
		Revision: 1,
		Queues:   []document.Queue{{Name: "quote", Pool: "pool", MaxAttempts: 4, Stretch: 1500, Slack: 300}},
	}})
	size := document.Size{Processors: 1000, Memory: 1}
	for i := range 2 * limit {
		id := fmt.Sprintf("%016x", i)
		p.Handle(now, Submitted{
			Job:      document.StagedJob{ID: id, Queue: "quote", Steps: []document.Step{{Tasks: 2, Demand: size}}},
			Accepted: now,
		})
		p.dirty[id] = p.jobs[id]
	}
	p.Handle(now, WorkerListed{Worker: Worker{ID: "w", Address: "w", Pool: "pool", Zone: "z", Capacity: size}})
	id := TaskID{Job: fmt.Sprintf("%016x", 2*limit-1)}
	done := Ended{Number: 1, Task: id, Attempt: 1, How: EndDone}
	p.Handle(now, Renewed{Worker: "w", Received: now, Report: Report{Incarnation: 1, WorkerTime: 5000, Ended: []Ended{done}}})
	var durable, held bool
	for !durable {
		batch, ok := p.TakeChanges(limit)
		assert.Assert(t, ok)
		for _, change := range batch.Changes {
			durable = durable || change.Job == id.Job
		}
		for _, record := range batch.Used {
			held = record.Exact && slices.Contains(record.Held, id)
			assert.Assert(t, held || durable, "the record neither lists the task nor is its end durable")
		}
		p.Handle(now, Committed{Number: batch.Number})
	}
	assert.Assert(t, held, "the worker's record was not written before the end")
}
