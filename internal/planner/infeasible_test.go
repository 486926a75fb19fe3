package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestHopelessOnlyIfCertain guards against a job that fails as infeasible although workers
// that are large enough are only unreachable or not known yet.
func TestHopelessOnlyIfCertain(t *testing.T) {
	began := clock.Time(1_000_000)
	step := document.Step{Tasks: 1, Demand: document.Size{Processors: 9, Memory: 1}}
	large := Worker{ID: "w3", Pool: "pool", Zone: "z", Capacity: document.Size{Processors: 16, Memory: 8}}
	// advance simulates a span in which only the small workers answer.
	advance := func(p *Planner, span clock.Span) {
		for at := began; at.Before(began.Add(span)); at = at.Add(100) {
			for _, w := range p.fleet {
				if w.id != large.ID {
					answerRenewal(p, at, w.id, Report{})
				}
			}
			decideAndCommit(p, at)
		}
	}
	p := newSingleTask(t, began, step, nil)
	advance(p, 2*infeasibleAfter)
	assert.Check(t, p.jobs[loneJob].state == StateFailed)

	p = newSingleTask(t, began, step, nil)
	p.Handle(began, WorkerListed{Worker: large})
	advance(p, 2*infeasibleAfter)
	assert.Check(t, p.jobs[loneJob].state == StatePending, "a worker that has not answered yet is large enough")

	p = newSingleTask(t, began, step, nil)
	p.Handle(began, WorkerListed{Worker: large})
	p.dropWorker(large.ID)
	advance(p, 2*infeasibleAfter)
	assert.Check(t, p.jobs[loneJob].state == StatePending, "a worker that was seen before is large enough")

	p = newSingleTask(t, began, step, nil)
	p.jobs[loneJob].accepted = began.Add(-clock.Minute)
	advance(p, infeasibleAfter-clock.Second)
	assert.Check(t, p.jobs[loneJob].state == StatePending, "not all workers may be listed yet after a takeover")
}

// TestHopelessBestEffort guards against a best-effort job that fails as infeasible because of
// its processors, which do not count against a worker's capacity.
func TestHopelessBestEffort(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 2, Demand: document.Size{Processors: 1, Memory: 8}, LongRunning: true}, nil)
	const bestEffortJob = "00000000000000bb"
	p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{ID: bestEffortJob, Queue: "q", Steps: []document.Step{
		{Tasks: 1, Demand: document.Size{Processors: 9, Memory: 1}, BestEffort: true},
	}}})
	decideAndCommit(p, now.Add(2*infeasibleAfter))
	assert.Equal(t, p.jobs[bestEffortJob].state, StatePending)
}

// TestNothingStartsOfHopeless guards against starting tasks of a job that has failed as
// infeasible in the same pass, as another of its steps was examined first.
func TestNothingStartsOfHopeless(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}, nil)
	now = now.Add(2 * infeasibleAfter)
	for _, w := range p.fleet {
		answerRenewal(p, now, w.id, Report{})
	}
	decideAndCommit(p, now)
	const infeasibleJob = "00000000000000bb"
	p.Handle(now, Submitted{Accepted: now.Add(-clock.Minute), Inherited: true, Job: document.StagedJob{ID: infeasibleJob, Queue: "q", Steps: []document.Step{
		{Tasks: 1, Demand: document.Size{Processors: 9, Memory: 1}},
		{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}},
	}}})
	p.newlyReady = nil
	decideAndCommit(p, now.Add(100))
	assert.Equal(t, p.jobs[infeasibleJob].state, StateFailed)
	assert.Equal(t, len(p.findTask(TaskID{Job: infeasibleJob, Step: 1}).runs), 0)
}
