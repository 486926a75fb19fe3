package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// stragglerSim simulates workers of which some are slow, and passes the same messages to
// several planners.
type stragglerSim struct {
	random   *rand.Rand
	planners []*Planner
	running  map[string]map[runKey]*stragglerRun // by worker
	ended    map[string][]Ended
	ends     uint64
	events   map[string]int // log entries by event
}

type stragglerRun struct {
	startedAt clock.Time
	span      clock.Span
}

const stragglerWorkers = 12

func newStragglerSim(now clock.Time, seed uint64, planners int) *stragglerSim {
	sim := &stragglerSim{
		random:  rand.New(rand.NewPCG(seed, 1)),
		running: map[string]map[runKey]*stragglerRun{},
		ended:   map[string][]Ended{},
		events:  map[string]int{},
	}
	for range planners {
		sim.planners = append(sim.planners, New(Options{Epoch: 1, Takeover: now, LeaseMax: 6000, StopGrace: 200}))
	}
	sim.handle(now, Configured{Operations: document.Operations{
		Revision: 1,
		Queues:   []document.Queue{{Name: "q", Pool: "pool", MaxAttempts: 4, Stretch: 1500}},
	}})
	for i := range stragglerWorkers {
		id := fmt.Sprintf("w%02d", i)
		sim.running[id] = map[runKey]*stragglerRun{}
		sim.handle(now, WorkerListed{Worker: Worker{ID: id, Pool: "pool", Capacity: document.Size{Processors: 8000, Memory: 8000}}})
	}
	return sim
}

func (sim *stragglerSim) handle(now clock.Time, m Message) {
	for _, p := range sim.planners {
		p.Handle(now, m)
	}
}

// step lets a third of the workers report, and executes the orders of the planners, which
// must all be the same.
func (sim *stragglerSim) step(t *testing.T, now clock.Time) {
	t.Helper()
	for i := range stragglerWorkers {
		if sim.random.IntN(3) == 0 {
			sim.report(now, fmt.Sprintf("w%02d", i))
		}
	}
	sim.handle(now, Ticked{})
	var orders []Order
	var entries []LogEntry
	for i, p := range sim.planners {
		p.Decide(now)
		assert.Equal(t, p.checkBookkeeping(now), "")
		nextOrders, nextEntries := p.TakeOrders(), p.TakeLog()
		if batch, ok := p.TakeChanges(60); ok {
			p.Handle(now, Committed{Number: batch.Number})
		}
		if i > 0 {
			assert.DeepEqual(t, nextOrders, orders)
			assert.DeepEqual(t, nextEntries, entries)
		}
		orders, entries = nextOrders, nextEntries
	}
	for _, e := range entries {
		sim.events[e.Event]++
	}
	for _, order := range orders {
		sim.execute(now, order)
	}
}

func (sim *stragglerSim) execute(now clock.Time, order Order) {
	switch o := order.(type) {
	case Start:
		span := clock.Span(800 + sim.random.IntN(400))
		if sim.random.IntN(8) == 0 {
			span *= clock.Span(2 + sim.random.IntN(4))
		}
		sim.running[o.Worker][runKey{task: o.Task, attempt: o.Attempt}] = &stragglerRun{startedAt: now, span: span}
		sim.handle(now, StartEnded{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, WorkerTime: now, Outcome: OutcomeTaken})
	case Stop:
		sim.end(o.Worker, runKey{task: o.Task, attempt: o.Attempt}, EndStopped)
		sim.handle(now, StopEnded{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, WorkerTime: now, Outcome: OutcomeTaken})
	}
}

func (sim *stragglerSim) end(worker string, key runKey, how End) {
	if sim.running[worker][key] == nil {
		return
	}
	delete(sim.running[worker], key)
	sim.ends++
	sim.ended[worker] = append(sim.ended[worker], Ended{Number: sim.ends, Task: key.task, Attempt: key.attempt, How: how, Checkpoint: "x"})
}

func (sim *stragglerSim) report(now clock.Time, worker string) {
	report := Report{Incarnation: 1, WorkerTime: now}
	var keys []runKey
	for key := range sim.running[worker] {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	for _, key := range keys {
		r := sim.running[worker][key]
		percent := int(now.Sub(r.startedAt) * fullProgress / r.span)
		if percent >= fullProgress {
			sim.end(worker, key, EndDone)
			continue
		}
		report.Running = append(report.Running, Running{Task: key.task, Attempt: key.attempt, Percent: percent, Metric: 900})
	}
	report.Ended = slices.Clone(sim.ended[worker])
	sim.ended[worker] = nil
	sim.handle(now, Renewed{Worker: worker, Received: now, Report: report})
}

// TestStragglersAreFoundAsBefore guards against stragglers that are not copied or moved
// because their step does not count as changed: a second planner examines every step in
// each pass and must decide the same.
func TestStragglersAreFoundAsBefore(t *testing.T) {
	events := map[string]int{}
	for seed := range uint64(4) {
		now := clock.Time(1_000_000)
		sim := newStragglerSim(now, seed, 2)
		for step := range 400 {
			now = now.Add(50)
			if step%4 == 0 {
				spec := document.Step{Tasks: 6, Demand: document.Size{Processors: 1000, Memory: 1}, Estimate: 1000}
				spec.Speculative = sim.random.IntN(3) == 0
				spec.Checkpoints = sim.random.IntN(3) == 0
				spec.BestEffort = sim.random.IntN(3) == 0
				sim.handle(now, Submitted{Accepted: now, Job: document.StagedJob{ID: fmt.Sprintf("%016x", step), Queue: "q", Steps: []document.Step{spec}}})
			}
			for _, j := range sim.planners[1].activeJobs {
				j.judged = false
				for _, s := range j.occurrences[0].steps {
					s.judged = false
				}
			}
			sim.step(t, now)
		}
		for event, count := range sim.events {
			events[event] += count
		}
	}
	for _, event := range []string{"task-copy", "task-move", "task-done"} {
		assert.Assert(t, events[event] > 20, "%s: %d times", event, events[event])
	}
}

// placedStep returns a planner with one step, whose tasks all run and none of which
// straggles, after a pass.
func placedStep(t *testing.T) (*Planner, *step, clock.Time) {
	t.Helper()
	now := clock.Time(1_000_000)
	sim := newStragglerSim(now, 0, 1)
	p := sim.planners[0]
	spec := document.Step{Tasks: 6, Demand: document.Size{Processors: 1000, Memory: 1}, Estimate: 1000}
	sim.handle(now, Submitted{Accepted: now, Job: document.StagedJob{ID: loneJob, Queue: "q", Steps: []document.Step{spec}}})
	for range 10 {
		now = now.Add(50)
		sim.step(t, now)
	}
	s := p.jobs[loneJob].occurrences[0].steps[0]
	assert.Equal(t, s.running, spec.Tasks)
	p.speculate(now)
	return p, s, now
}

// TestPassExaminesNoUnchangedStep guards against an owner without processor time to spare
// because each pass looks for stragglers in every step, although no worker has reported
// since the last pass.
func TestPassExaminesNoUnchangedStep(t *testing.T) {
	p, s, now := placedStep(t)
	s.tasks = make([]*task, len(s.tasks)) // nil, so that examining any panics
	s.durations = []clock.Span{1000, 1000, 1000}
	defer func() { assert.Assert(t, recover() == nil, "a task of an unchanged step was examined") }()
	p.speculate(now)
}

// TestChangedStepIsExamined guards against stragglers that are not found because the pause,
// stop or end of another attempt, which changes the median, does not count as a change.
func TestChangedStepIsExamined(t *testing.T) {
	for _, change := range []struct {
		name string
		make func(p *Planner, now clock.Time, r *run)
	}{
		{"pause", func(p *Planner, now clock.Time, r *run) { p.setSpeed(now, r, 0) }},
		{"stop", func(p *Planner, now clock.Time, r *run) { p.stop(now, r, "") }},
		{"end", func(p *Planner, now clock.Time, r *run) { p.endRun(now, r, EndStopped, "") }},
		{"duration", func(p *Planner, now clock.Time, r *run) { r.task.step.recordDuration(1000) }},
		{"report", func(p *Planner, now clock.Time, r *run) { r.update(now, Running{Percent: 50}) }},
	} {
		t.Run(change.name, func(t *testing.T) {
			p, s, now := placedStep(t)
			assert.Assert(t, s.judged && s.occurrence.job.judged)
			change.make(p, now, s.tasks[0].runs[0])
			assert.Assert(t, !s.judged && !s.occurrence.job.judged)
		})
	}
}
