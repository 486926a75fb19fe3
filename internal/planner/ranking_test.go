package planner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// rankingPlanner returns a planner whose workers have answered, with one queue.
func rankingPlanner(now clock.Time, workers int) *Planner {
	p := New(Options{Epoch: 1, Takeover: now, LeaseMax: 6000, StopGrace: 200})
	p.Handle(now, Configured{Operations: document.Operations{
		Revision: 1,
		Queues:   []document.Queue{{Name: "q", Pool: "pool", MaxAttempts: 4, Stretch: 1500, Slack: 1000}},
	}})
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		p.Handle(now, WorkerListed{Worker: Worker{
			ID: id, Pool: "pool", Zone: "z", Rack: fmt.Sprint("r", i%3),
			Capacity: document.Size{Processors: 64000, Memory: 256000},
		}})
		answerRenewal(p, now, id, Report{})
		p.workers[id].record = recordInexact
	}
	return p
}

// TestPlacementCost guards against a pass that examines every worker for every task of
// a step: the owner had no processor time left, so starts were late and few. The tasks
// of a step differ in nothing, so each worker is examined once, and once more after
// each start on it.
func TestPlacementCost(t *testing.T) {
	const workers, tasks = 60, 40
	small := document.Size{Processors: 2000, Memory: 4000}
	for name, spec := range map[string]document.Step{
		"short":        {Demand: small, Estimate: 2000},
		"limited":      {Demand: small, Estimate: 2000, MaxPerWorker: 1},
		"best-effort":  {Demand: small, Estimate: 2000, BestEffort: true, Image: "b"},
		"long-running": {Demand: small, LongRunning: true, Image: "s", TailTarget: 18},
		"gang":         {Demand: small, Estimate: 2000, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := clock.Time(1_000_000)
			p := rankingPlanner(now, workers)
			p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{
				ID: loneJob, Queue: "q", Steps: []document.Step{withTasks(spec, tasks)},
			}})
			p.Decide(now)
			assert.Equal(t, countStarts(p.TakeOrders()), tasks)
			assert.Assert(t, p.examinations <= workers+2*tasks, "%d examinations for %d tasks and %d workers", p.examinations, tasks, workers)
		})
	}
}

func withTasks(spec document.Step, n int) document.Step {
	spec.Tasks = n
	return spec
}

// TestRankingFollowsChoose checks that choose, and ranking the workers once per step, yield
// the worker that is the best by the definition of the score, also while starts make pairs of
// images share a worker and while some tasks have failed, move or have a reservation.
func TestRankingFollowsChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Time(1_000_000)
		p := rankingPlanner(now, rapid.IntRange(2, 8).Draw(t, "workers"))
		kinds := rapid.SliceOfN(rapid.IntRange(0, 3), 2, 12).Draw(t, "steps")
		for i, kind := range kinds {
			p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{
				ID: fmt.Sprintf("%016x", i), Queue: "q", Steps: []document.Step{drawStep(t, kind)},
			}})
			s := p.jobs[fmt.Sprintf("%016x", i)].occurrences[0].steps[0]
			now = now.Add(10)
			p.updateColocation(now)
			disturb(t, p, now, s)
			ranked := p.newRanking("")
			for _, task := range s.tasks {
				want := chooseByDefinition(p, now, task)
				assert.Equal(t, p.choose(now, task, ""), want)
				got := p.chooseNext(now, task, ranked)
				assert.Equal(t, got, want)
				if got != nil {
					p.start(now, task, got)
				} else if task.alike() {
					break
				}
			}
		}
	})
}

// chooseByDefinition returns the worker that choose must return: of those that can run the
// task and may get it, the one with the highest score.
func chooseByDefinition(p *Planner, now clock.Time, t *task) *worker {
	to := p.destination(now, t)
	var best *worker
	var bestScore float64
	for _, w := range p.fleet {
		if to != nil && w != to || !p.canRun(now, t, w) {
			continue
		}
		if w == to {
			return w
		}
		score, ok := 0.0, true
		if t.step.spec.BestEffort {
			score, ok = p.scoreBestEffort(t, w)
			score += p.penalties(now, t, w)
		} else {
			score = p.score(now, t, w)
		}
		if ok && (best == nil || score > bestScore) {
			best = w
			bestScore = score
		}
	}
	return best
}

// TestMarginsComputedOnDemand checks that no margins are computed for a worker that
// cannot run a best-effort task: they are cached, so later decisions would use loads that
// are out of date.
func TestMarginsComputedOnDemand(t *testing.T) {
	now := clock.Time(1_000_000)
	p := rankingPlanner(now, 2)
	p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{ID: loneJob, Queue: "q", Steps: []document.Step{{
		Tasks: 1, Demand: document.Size{Processors: 1000, Memory: 1000}, BestEffort: true, Image: "b",
	}}}})
	task := p.findTask(TaskID{Job: loneJob})
	full, idle := p.fleet[0], p.fleet[1]
	full.allocated.Memory = full.info.Capacity.Memory
	assert.Equal(t, p.choose(now, task, ""), idle)
	assert.Assert(t, full.forecast == nil)
	assert.Assert(t, idle.forecast != nil)
}

// drawStep returns a step of one of four kinds: short, limited per worker, best-effort
// and serving.
func drawStep(t *rapid.T, kind int) document.Step {
	spec := document.Step{
		Tasks: rapid.IntRange(1, 8).Draw(t, "tasks"),
		Demand: document.Size{
			Processors: 1000 * rapid.IntRange(1, 20).Draw(t, "processors"),
			Memory:     1000 * rapid.IntRange(1, 80).Draw(t, "memory"),
		},
		Estimate: 2000,
	}
	image := fmt.Sprint("i", rapid.IntRange(0, 2).Draw(t, "image"))
	switch kind {
	case 1:
		spec.MaxPerWorker = rapid.IntRange(1, 2).Draw(t, "limit")
		spec.Rack = "r1"
	case 2:
		spec.BestEffort = true
		spec.Image = image
	case 3:
		spec.LongRunning = true
		spec.TailTarget = 18
		spec.Image = image
	}
	return spec
}

// disturb makes some tasks of a step unlike the others.
func disturb(t *rapid.T, p *Planner, now clock.Time, s *step) {
	for _, task := range s.tasks {
		w := p.fleet[rapid.IntRange(0, len(p.fleet)-1).Draw(t, "worker")]
		switch rapid.IntRange(0, 8).Draw(t, "difference") {
		case 0:
			task.failedWorkers = append(task.failedWorkers, w.id)
		case 1:
			task.reserveOn(w, now.Add(1000))
		case 2:
			task.moveTarget = w
			w.reservations = append(w.reservations, reservation{task: task, until: now.Add(1000)})
		case 3:
			w.health.markSlow(now, 1.5)
		case 4:
			task.refused(w)
			task.avoidUntil = now.Add(1000)
		}
	}
}

// TestProbeOnce checks that only one task of a step is placed next to a serving image on
// which its effect is unknown, although every worker could take one: the first start
// changes what the other workers may run.
func TestProbeOnce(t *testing.T) {
	const workers = 4
	now := clock.Time(1_000_000)
	p := rankingPlanner(now, workers)
	submit := func(id int, spec document.Step) {
		p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{
			ID: fmt.Sprintf("%016x", id), Queue: "q", Steps: []document.Step{spec},
		}})
	}
	submit(1, document.Step{
		Tasks: workers, MaxPerWorker: 1, Demand: document.Size{Processors: 10000, Memory: 1000},
		LongRunning: true, Image: "s", TailTarget: 18,
	})
	p.Decide(now)
	assert.Equal(t, countStarts(p.TakeOrders()), workers)
	now = now.Add(1000)
	for _, w := range p.fleet {
		w.renewInFlight = false
	}
	submit(2, document.Step{
		Tasks: workers, Demand: document.Size{Processors: 7000, Memory: 1000},
		Estimate: 2000, BestEffort: true, Image: "b",
	})
	p.Decide(now)
	assert.Equal(t, countStarts(p.TakeOrders()), 1)
}
