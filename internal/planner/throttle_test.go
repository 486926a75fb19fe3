package planner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestPausedTasksSearchSeldom guards against an owner that spends its processor time on
// paused tasks: each of them examined every worker in each pass, some hundred times a second.
func TestPausedTasksSearchSeldom(t *testing.T) {
	const workers = 200
	now := clock.Time(1_000_000)
	p := New(Options{Epoch: 1, Takeover: now, LeaseMax: 6000})
	p.Handle(now, Configured{Operations: document.Operations{
		Revision: 1,
		Queues:   []document.Queue{{Name: "q", Pool: "pool", MaxAttempts: 4, Stretch: 1500, Slack: 300}},
	}})
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		p.Handle(now, WorkerListed{Worker: Worker{ID: id, Address: id, Pool: "pool", Capacity: document.Size{Processors: 64000, Memory: 10}}})
		w := p.workers[id]
		w.synced = true
		w.record = recordInexact
	}
	size := document.Size{Processors: 8000, Memory: 5}
	p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{ID: "000000000000000a", Queue: "q", Steps: []document.Step{
		{Tasks: workers, MaxPerWorker: 1, Demand: size, LongRunning: true, Image: "s", TailTarget: 18},
		{Tasks: workers, MaxPerWorker: 1, Demand: size, BestEffort: true, Checkpoints: true, Image: "f", Estimate: 100_000},
	}}})
	tick := func(span clock.Span) {
		for end := now.Add(span); now.Before(end); now = now.Add(5) {
			p.Handle(now, Ticked{})
			p.Decide(now)
			p.acceptStarts(now)
			p.TakeLog()
		}
	}
	report := func() {
		for _, w := range p.fleet {
			answer := Report{Incarnation: w.incarnation, WorkerTime: now}
			for _, r := range w.sortedRuns() {
				metric := 8000
				if r.target() != 0 {
					metric = 90 // ms, far over the target
				}
				answer.Running = append(answer.Running, Running{Task: r.key.task, Attempt: r.key.attempt, Percent: 50, Metric: metric})
			}
			p.Handle(now, Renewed{Worker: w.id, Received: now, Report: answer})
		}
	}
	for range 40 {
		tick(100)
		report()
	}
	paused := 0
	for _, w := range p.fleet {
		for _, r := range w.sortedRuns() {
			if r.bestEffort() && r.speed == 0 {
				paused++
			}
		}
	}
	assert.Equal(t, paused, workers)
	before := p.examinations
	tick(1000)
	most := paused * (workersPerSearchMillisecond*int(clock.Second) + workers)
	assert.Assert(t, p.examinations-before <= most, "%d examinations in a second, want at most %d", p.examinations-before, most)
}
