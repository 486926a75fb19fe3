package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestKeptFromWhenShown guards against a job being forgotten before its retention has
// passed: its end became durable, and so visible, long after it occurred.
func TestKeptFromWhenShown(t *testing.T) {
	const retention = 20 * clock.Second
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}, nil)
	r := onlyRun(t, p)
	ended := now.Add(500)
	answerRenewal(p, ended, r.worker.id, Report{Ended: []Ended{{Number: 1, Task: r.key.task, Attempt: r.key.attempt, How: EndDone}}})
	assert.Equal(t, p.jobs[loneJob].state, StateCompleted)
	batch, ok := p.TakeChanges(60)
	assert.Assert(t, ok)
	shown := ended.Add(retention + clock.Second)
	assert.Equal(t, len(p.Forget(shown.Add(-retention))), 0, "the end is not visible yet")
	p.Handle(shown, Committed{Number: batch.Number})
	assert.Equal(t, len(p.Forget(shown.Add(-1))), 0)
	assert.DeepEqual(t, p.Forget(shown.Add(1)), []string{loneJob})
}

// TestKeptUnderAnotherClock guards against all ended jobs being forgotten at once when
// a VM whose clock is ahead becomes the owner.
func TestKeptUnderAnotherClock(t *testing.T) {
	now := clock.Time(1_000_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}, &Progress{
		State: StateCompleted,
		Queue: "q",
		Ended: now.Add(-clock.Hour),
	})
	assert.Equal(t, len(p.Forget(now.Add(-1))), 0)
	assert.DeepEqual(t, p.Forget(now.Add(1)), []string{loneJob})
}
