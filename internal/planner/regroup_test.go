package planner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestRegroup starts with a sensitive and a robust image on every worker, so that heavy
// best-effort tasks can run nowhere. It checks that serving tasks move, one of a step at a
// time, until some workers run no sensitive image, and that heavy tasks run there.
func TestRegroup(t *testing.T) {
	now := clock.Time(1_000_000)
	p := New(Options{Epoch: 1, Takeover: now, LeaseMax: 6000, StopGrace: 200, Seed: 3})
	p.Handle(now, Configured{Operations: document.Operations{
		Revision: 1,
		Queues: []document.Queue{
			{Name: "watch", Pool: "pool", MaxAttempts: 4, Stretch: 1500, Slack: 250},
			{Name: "render", Pool: "pool", Priority: 2, MaxAttempts: 4, Stretch: 2000, Slack: 1000},
		},
	}})
	for i := range 4 {
		p.Handle(now, WorkerListed{Worker: Worker{
			ID: fmt.Sprintf("w%d", i), Pool: "pool", Zone: "z", Rack: "r",
			Capacity: document.Size{Processors: 64000, Memory: 512000},
		}})
	}
	sim := &colocationSim{t: t, planner: p, endNumbers: map[string]uint64{}, startedAt: map[runKey]clock.Time{}, remaining: map[runKey]clock.Span{}, speed: map[runKey]int{}}
	sim.step(now)
	for i, image := range []string{"sensitive", "sensitive", "robust", "robust"} {
		p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{
			ID: fmt.Sprintf("%016x", i), Queue: "watch",
			Steps: []document.Step{{Tasks: 4, MaxPerWorker: 1, Demand: document.Size{Processors: 13000, Memory: 1000}, LongRunning: true, Image: image, TailTarget: tailTargetMs}},
		}})
	}
	for range 5 {
		now = now.Add(100)
		sim.step(now)
	}
	for _, w := range p.fleet {
		assert.Equal(t, len(w.servingTasks), 2, "each worker runs both images at first")
	}
	for i := range 4 {
		p.jobs[fmt.Sprintf("%016x", i)].occurrences[0].steps[0].spec.MaxPerWorker = 0
	}
	done, maxNotRunning := 0, 0
	for step := range 300 {
		now = now.Add(100)
		if step%10 == 0 {
			p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{
				ID: fmt.Sprintf("%016x", 1000+step), Queue: "render",
				Steps: []document.Step{{Tasks: 4, Demand: document.Size{Processors: 7000, Memory: 1000}, Estimate: 2500, BestEffort: true, Checkpoints: true, Image: "heavy"}},
			}})
		}
		done += sim.step(now)
		for i := range 4 {
			maxNotRunning = max(maxNotRunning, notRunning(p.jobs[fmt.Sprintf("%016x", i)].occurrences[0].steps[0]))
		}
	}
	free := 0
	for _, w := range p.fleet {
		if w.servingTasks["sensitive"] == 0 {
			free++
		}
	}
	assert.Assert(t, free >= 1, "every worker still runs a sensitive image")
	assert.Assert(t, done >= 30, "only %d heavy tasks completed", done)
	assert.Assert(t, maxNotRunning <= 1, "%d tasks of a step were down at once", maxNotRunning)
}

// notRunning counts the tasks of a step that are not running.
func notRunning(s *step) int {
	count := 0
	for _, t := range s.tasks {
		if len(t.runs) == 0 || t.runs[0].phase != runStarted {
			count++
		}
	}
	return count
}
