package planner

import (
	"fmt"
	"math"
	"testing"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// The workload: serving tasks of a sensitive and of a robust image reserve most processors
// and use about half of them, with a load that oscillates. Best-effort tasks of a heavy and
// of a light image are submitted all the time. The margin of a serving task falls with its
// load and with the usage of its neighbours, as measured in simulated days.
const (
	trueLoss     = 22.0 // of the sensitive image on a worker fully used by the heavy image
	otherLoss    = 0.5  // of every other pair of images
	minTail      = 4.0  // ms, without any load
	maxTail      = 300.0
	tailTargetMs = 18 // ms
)

// simulatedTail returns the tail latency, in milliseconds, of a serving task of a job that
// loses a margin to best-effort tasks.
func simulatedTail(now clock.Time, job string, loss float64) int {
	phase := float64(now)/10_000 + float64(len(job)+int(job[len(job)-1]))/3
	load := 0.42 + 0.2*math.Sin(2*math.Pi*phase)
	left := 1 - load - loss*minTail/tailTargetMs
	return int(math.Min(minTail/math.Max(left, minTail/maxTail), maxTail))
}

// TestDisturbance checks that the planner learns which pair of images cannot share a
// worker: serving tasks are not over their target for long enough to count as harm, and
// the heavy tasks still run, on workers where they do not interfere.
func TestDisturbance(t *testing.T) {
	now := clock.Time(1_000_000)
	p := New(Options{Epoch: 1, Takeover: now, LeaseMax: 6000, StopGrace: 200})
	p.Handle(now, Configured{Operations: document.Operations{
		Revision: 1,
		Queues: []document.Queue{
			{Name: "watch", Pool: "pool", MaxAttempts: 4, Stretch: 1500, Slack: 250},
			{Name: "render", Pool: "pool", Priority: 2, MaxAttempts: 4, Stretch: 2000, Slack: 1000},
		},
	}})
	for i := range 8 {
		p.Handle(now, WorkerListed{Worker: Worker{
			ID: fmt.Sprintf("w%d", i), Pool: "pool", Zone: "z", Rack: "r",
			Capacity: document.Size{Processors: 64000, Memory: 512000},
		}})
	}
	sim := &colocationSim{t: t, planner: p, endNumbers: map[string]uint64{}, startedAt: map[runKey]clock.Time{}, remaining: map[runKey]clock.Span{}, speed: map[runKey]int{}}
	serve := func(i int, image string) {
		p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{
			ID: fmt.Sprintf("%016x", i), Queue: "watch",
			Steps: []document.Step{{Tasks: 13, Demand: document.Size{Processors: 12000, Memory: 1000}, LongRunning: true, Image: image, TailTarget: tailTargetMs}},
		}})
	}
	for i := range 3 {
		serve(i, "sensitive")
	}
	worst, done := clock.Span(0), 0
	for step := range 600 { // of 100 ms
		now = now.Add(100)
		if step == 100 {
			// Until now every worker ran sensitive tasks, so heavy tasks had no other worker.
			p.Handle(now, Cancelled{Job: fmt.Sprintf("%016x", 2)})
			serve(3, "robust")
			serve(4, "robust")
		}
		if step%8 == 0 {
			image := []string{"heavy", "light"}[step/8%2]
			p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{
				ID: fmt.Sprintf("%016x", 1000+step), Queue: "render",
				Steps: []document.Step{{Tasks: 5, Demand: document.Size{Processors: 7000, Memory: 1000}, Estimate: 2500, BestEffort: true, Checkpoints: true, Image: image}},
			}})
		}
		done += sim.step(now)
		for _, w := range p.fleet {
			for _, r := range w.runs {
				if r.overTargetSince != 0 {
					worst = max(worst, now.Sub(r.overTargetSince))
				}
			}
		}
	}
	if worst >= 3*clock.Second {
		t.Errorf("a serving task was over its target for %s", worst)
	}
	if heavy := p.interferenceModel.effect(p.interferenceModel.id("heavy"), p.interferenceModel.id("sensitive")); heavy < trueLoss/2 {
		t.Errorf("learned effect %.1f of a heavy task, the true one is %.1f", heavy, trueLoss)
	}
	if light := p.interferenceModel.effect(p.interferenceModel.id("light"), p.interferenceModel.id("sensitive")); light > trueLoss/6 {
		t.Errorf("learned effect %.1f of a light task, which is too high", light)
	}
	if submitted := 75 * 5; done < submitted*9/10 {
		t.Errorf("only %d of %d best-effort tasks completed", done, submitted)
	}
}

// TestFollowsLoad checks that a best-effort task with a large effect is placed next to a
// serving task whose load is currently low, although it could not stay there at peak load,
// and not next to one whose load is high.
func TestFollowsLoad(t *testing.T) {
	now := clock.Time(1_000_000)
	p := New(Options{Epoch: 1, Takeover: now, LeaseMax: 6000, StopGrace: 200})
	w := newWorker(now, "w")
	w.info.Capacity = document.Size{Processors: 64000, Memory: 512000}
	task := func(spec document.Step) *task {
		o := &occurrence{job: &job{spec: document.StagedJob{Steps: []document.Step{spec}}}}
		return newStep(o, 0).tasks[0]
	}
	servingTask := task(document.Step{Tasks: 1, Demand: document.Size{Processors: 20000}, Image: "served", TailTarget: tailTargetMs, LongRunning: true})
	p.attach(w, servingTask, runKey{attempt: 1})
	p.interferenceModel.setEffect(p.interferenceModel.id("heavy"), p.interferenceModel.id("served"), 10, 0)
	heavy := task(document.Step{Tasks: 1, Demand: document.Size{Processors: 7000}, Image: "heavy", BestEffort: true})
	for _, test := range []struct {
		margin, low float64
		placed      bool
	}{
		{3.4, 1.7, true},
		{2.0, 1.7, false},
		{1.7, 1.7, false},
	} {
		servingTask.step.load = loadEstimate{known: true, margin: test.margin, recentMin: test.low}
		w.forecast = nil
		if _, placed := p.scoreBestEffort(heavy, w); placed != test.placed {
			t.Errorf("with margin %.1f and recent minimum %.1f: placed %v", test.margin, test.low, placed)
		}
	}
}

// colocationSim simulates workers that execute orders at once and report metrics of the
// workload above.
type colocationSim struct {
	t          *testing.T
	planner    *Planner
	endNumbers map[string]uint64
	startedAt  map[runKey]clock.Time
	remaining  map[runKey]clock.Span
	speed      map[runKey]int
}

// step advances all workers by 100 ms and returns how many tasks completed.
func (s *colocationSim) step(now clock.Time) int {
	p := s.planner
	p.Handle(now, Ticked{})
	p.Decide(now)
	if fault := p.checkBookkeeping(now); fault != "" {
		s.t.Fatal(fault)
	}
	p.TakeLog()
	ended := map[string][]Ended{}
	end := func(worker string, key runKey, how End) {
		s.endNumbers[worker]++
		ended[worker] = append(ended[worker], Ended{Number: s.endNumbers[worker], Task: key.task, Attempt: key.attempt, How: how, Checkpoint: "x"})
	}
	done := 0
	for _, w := range p.fleet {
		for _, r := range w.sortedRuns() {
			if !r.bestEffort() || r.phase != runStarted {
				continue
			}
			s.remaining[r.key] -= 100 * clock.Span(s.speed[r.key]) / fullSpeed
			if s.remaining[r.key] <= 0 {
				done++
				end(w.id, r.key, EndDone)
			}
		}
	}
	for _, order := range p.TakeOrders() {
		switch o := order.(type) {
		case Start:
			key := runKey{task: o.Task, attempt: o.Attempt}
			s.startedAt[key] = now
			s.remaining[key] = 2500
			s.speed[key] = fullSpeed
			p.Handle(now, StartEnded{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, Outcome: OutcomeTaken, WorkerTime: now})
		case Stop:
			end(o.Worker, runKey{task: o.Task, attempt: o.Attempt}, EndStopped)
			p.Handle(now, StopEnded{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, Outcome: OutcomeTaken, WorkerTime: now})
		case Throttle:
			s.speed[runKey{task: o.Task, attempt: o.Attempt}] = o.Percent
		}
	}
	if batch, ok := p.TakeChanges(60); ok {
		p.Handle(now, Committed{Number: batch.Number})
	}
	for _, w := range p.fleet {
		p.Handle(now, Renewed{Worker: w.id, Received: now, Report: s.report(now, w, ended[w.id])})
	}
	return done
}

func (s *colocationSim) report(now clock.Time, w *worker, ended []Ended) Report {
	report := Report{Incarnation: 1, WorkerTime: now, Ended: ended}
	hasEnded := map[runKey]bool{}
	for _, e := range ended {
		hasEnded[runKey{task: e.Task, attempt: e.Attempt}] = true
	}
	var heavy, light float64
	for _, r := range w.runs {
		if !r.bestEffort() || hasEnded[r.key] {
			continue
		}
		share := w.share(7000) * float64(s.speed[r.key]) / fullSpeed
		if r.image() == "heavy" {
			heavy += share
		} else {
			light += share
		}
	}
	for _, r := range w.sortedRuns() {
		if hasEnded[r.key] {
			continue
		}
		row := Running{Task: r.key.task, Attempt: r.key.attempt, Percent: 50, Checkpoint: "x"}
		if r.target() != 0 {
			row.Percent = readyPercent
		}
		switch {
		case r.bestEffort():
			row.Metric = 7000 * s.speed[r.key] / fullSpeed
		case r.image() == "sensitive":
			row.Metric = simulatedTail(now, r.key.task.Job, trueLoss*heavy+otherLoss*light)
		default:
			row.Metric = simulatedTail(now, r.key.task.Job, otherLoss*(heavy+light))
		}
		report.Running = append(report.Running, row)
	}
	return report
}
