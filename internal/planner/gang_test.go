package planner

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Steps of the job of newInheritedGang.
const (
	stepBeforeGang = iota
	stepGang
	stepAfterGang
)

const gangMembers = 4

// gangJob returns a job with a short task, a gang after it and a short task after that.
func gangJob() document.StagedJob {
	short := document.Step{
		Tasks:    1,
		Demand:   document.Size{Processors: 1, Memory: 1},
		Estimate: 500,
	}
	gang := short
	gang.Tasks = gangMembers
	gang.Gang = true
	gang.After = []int{stepBeforeGang}
	last := short
	last.After = []int{stepGang}
	return document.StagedJob{
		ID:    loneJob,
		Queue: "q",
		Steps: []document.Step{short, gang, last},
	}
}

// newInheritor returns an owner whose worker w1 was in use by an earlier one and has not
// answered yet. It has just passed over the waiting tasks, so the next pass is not due.
func newInheritor(now clock.Time) *Planner {
	p := newConfigured(now, Options{
		Epoch:     2,
		Takeover:  now,
		LeaseMax:  6000,
		StopGrace: 200,
	})
	info := Worker{
		ID:       "w1",
		Pool:     "pool",
		Zone:     "z",
		Capacity: document.Size{Processors: 100, Memory: 100},
	}
	p.Handle(now, WorkerInherited{Worker: info})
	p.Handle(now, WorkerListed{Worker: info})
	decideAndCommit(p, now)
	return p
}

// doneEnds returns the ends of the job's first step and of one member of its gang, as a
// worker lists them that no owner has recorded.
func doneEnds() []Ended {
	return []Ended{
		{
			Number:  1,
			Task:    TaskID{Job: loneJob, Step: stepBeforeGang},
			Attempt: 1,
			How:     EndDone,
		},
		{
			Number:  2,
			Task:    TaskID{Job: loneJob, Step: stepGang},
			Attempt: 1,
			How:     EndDone,
		},
	}
}

// startedSteps returns the steps of the started tasks, in order and each once.
func startedSteps(orders []Order) []int {
	var steps []int
	for _, order := range orders {
		if s, ok := order.(Start); ok {
			steps = append(steps, s.Task.Step)
		}
	}
	slices.Sort(steps)
	return slices.Compact(steps)
}

// TestEndedGangStaysEnded guards against a gang that has ended as done being run again by
// an owner that learns of its end together with, or after, the end of the step before it.
func TestEndedGangStaysEnded(t *testing.T) {
	now := clock.Time(1_000_000)
	submitted := Submitted{
		Job:       gangJob(),
		Accepted:  now,
		Inherited: true,
	}
	recorded := submitted
	recorded.Progress = &Progress{
		State: StateRunning,
		Queue: "q",
		Steps: []StepRecord{{Step: stepBeforeGang, All: true}, {Step: stepGang, All: true}},
	}
	for _, c := range []struct {
		name string
		play func(p *Planner)
	}{
		{"one report lists both ends", func(p *Planner) {
			p.Handle(now, submitted)
			decideAndCommit(p, now)
			answerRenewal(p, now.Add(maxPassInterval+1), "w1", Report{Ended: doneEnds()})
		}},
		{"the job is known after its ends", func(p *Planner) {
			answerRenewal(p, now, "w1", Report{Ended: doneEnds()})
			decideAndCommit(p, now)
			p.Handle(now.Add(maxPassInterval+1), submitted)
		}},
		{"the ends are recorded, the job is known late", func(p *Planner) {
			answerRenewal(p, now, "w1", Report{})
			decideAndCommit(p, now)
			p.Handle(now.Add(maxPassInterval+1), recorded)
		}},
		{"the gang waits for the start limit", func(p *Planner) {
			answerRenewal(p, now, "w1", Report{Ended: doneEnds()[:1]})
			p.starts.inFlight = maxStartLimit
			p.Handle(now, submitted)
			decideAndCommit(p, now)
			p.starts.inFlight = 0
			assert.Equal(t, len(p.deferred), 1)
			answerRenewal(p, now.Add(maxPassInterval+1), "w1", Report{Ended: doneEnds()})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newInheritor(now)
			c.play(p)
			p.Decide(now.Add(maxPassInterval + 1))
			started := startedSteps(p.TakeOrders())
			assert.Assert(t, !slices.Contains(started, stepGang), "steps %v were started", started)
			decideAndCommit(p, now.Add(3*maxPassInterval))
			assert.Equal(t, len(p.findTask(TaskID{Job: loneJob, Step: stepAfterGang}).runs), 1)
		})
	}
}
