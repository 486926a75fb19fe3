package soaker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/platform/standin"
)

// submission is a job that a caller has submitted, with its acceptance and cancellation.
type submission struct {
	job            document.StagedJob
	accepted       atomic.Int64 // acceptance time as a clock.Time; 0 if not accepted
	cancelSent     atomic.Bool
	cancelled      atomic.Bool
	breachReported bool // guarded by the mutex of the checker
}

// submissions is the list of submitted jobs. It is safe for concurrent use.
type submissions struct {
	mu   sync.Mutex
	jobs []*submission
}

func (s *submissions) add(job document.StagedJob) *submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &submission{job: job}
	s.jobs = append(s.jobs, sub)
	return sub
}

func (s *submissions) all() []*submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*submission(nil), s.jobs...)
}

// pick draws one job and returns it, or nil if it was not accepted or there are no jobs.
func (s *submissions) pick(rng *rand.Rand) *submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.jobs) == 0 {
		return nil
	}
	sub := s.jobs[rng.IntN(len(s.jobs))]
	if sub.accepted.Load() == 0 {
		return nil
	}
	return sub
}

const (
	queueName   = "quick"
	maxAttempts = 4
	// One in alwaysFailOneIn jobs of short tasks has a step whose tasks always fail. In
	// one in firstAttemptFailsOneIn steps the first attempt of each task fails.
	alwaysFailOneIn        = 20
	firstAttemptFailsOneIn = 8
	// Long-running tasks fill between minFilledPercent and maxFilledPercent of the
	// capacity of all workers. Some of their attempts fail after longTaskFailsAfter.
	minFilledPercent   = 60
	maxFilledPercent   = 85
	maxTaskPercent     = 60 // percent of a worker
	longTaskFailsAfter = 8 * clock.Second
)

// jobGenerator draws random jobs.
type jobGenerator struct {
	rng           *rand.Rand
	seed          uint64
	capacity      document.Size
	filledPercent int // drawn if 0
	count         int
}

func (g *jobGenerator) nextID() string {
	g.count++
	return fmt.Sprintf("%08x%08x", uint32(g.seed), g.count)
}

// shortJob draws a job of short tasks whose steps run one after another.
func (g *jobGenerator) shortJob() document.StagedJob {
	steps := 1 + g.rng.IntN(3)
	failingStep := -1
	if g.rng.IntN(alwaysFailOneIn) == 0 {
		failingStep = g.rng.IntN(steps)
	}
	var job document.StagedJob
	var script standin.Script
	for i := range steps {
		step := document.Step{
			Tasks:    1 + g.rng.IntN(5),
			Demand:   g.demand(500, 4000),
			Estimate: clock.Span(50 + g.rng.IntN(700)),
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		scriptStep := standin.ScriptStep{
			Span:   step.Estimate,
			Demand: step.Demand,
		}
		switch {
		case i == failingStep:
			scriptStep.Fails = maxAttempts
			scriptStep.AlwaysFails = true
		case g.rng.IntN(firstAttemptFailsOneIn) == 0:
			scriptStep.Fails = 1
		}
		job.Steps = append(job.Steps, step)
		script.Steps = append(script.Steps, scriptStep)
	}
	return g.addScript(job, script)
}

// longTaskJobs draws jobs of long-running tasks of unequal sizes that fill the chosen
// share of the capacity of the workers.
func (g *jobGenerator) longTaskJobs(workers int) []document.StagedJob {
	percent := g.filledPercent
	if percent == 0 {
		percent = minFilledPercent + g.rng.IntN(maxFilledPercent-minFilledPercent)
	}
	remaining := workers * g.capacity.Processors * percent / 100
	var jobs []document.StagedJob
	for {
		maxProcessors := g.capacity.Processors * maxTaskPercent / 100
		step := document.Step{
			Tasks:       1 + g.rng.IntN(6),
			Demand:      g.demand(300, 400+g.rng.IntN(maxProcessors)),
			Estimate:    clock.Second,
			LongRunning: true,
		}
		remaining -= step.Tasks * step.Demand.Processors
		if remaining < 0 {
			return jobs
		}
		jobs = append(jobs, g.addScript(document.StagedJob{Steps: []document.Step{step}}, standin.Script{
			Steps: []standin.ScriptStep{{
				Span:   longTaskFailsAfter,
				Lasts:  true,
				Demand: step.Demand,
			}},
		}))
	}
}

// demand draws the resources of a task. The processors, in thousandths, lie between the
// given bounds.
func (g *jobGenerator) demand(minProcessors, maxProcessors int) document.Size {
	return document.Size{
		Processors: minProcessors + g.rng.IntN(maxProcessors-minProcessors),
		Memory:     100 + g.rng.IntN(900),
	}
}

func (g *jobGenerator) addScript(job document.StagedJob, script standin.Script) document.StagedJob {
	job.ID = g.nextID()
	job.Queue = queueName
	job.Payload = script.Encode()
	return job
}
