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

// handedIn is a job that a caller has handed in, and what became of it.
type handedIn struct {
	job        document.StagedJob
	accepted   atomic.Int64 // when, as a clock.Time; 0 for not
	cancelSent atomic.Bool
	cancelled  atomic.Bool
	told       bool // a breach was reported; under the judge's lock
}

// roster has the jobs that were handed in. It is safe for concurrent use.
type roster struct {
	mu   sync.Mutex
	jobs []*handedIn
}

func (r *roster) add(job document.StagedJob) *handedIn {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &handedIn{job: job}
	r.jobs = append(r.jobs, h)
	return h
}

func (r *roster) all() []*handedIn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*handedIn(nil), r.jobs...)
}

// pick returns a job that was accepted, or nil if it finds none.
func (r *roster) pick(random *rand.Rand) *handedIn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.jobs) == 0 {
		return nil
	}
	h := r.jobs[random.IntN(len(r.jobs))]
	if h.accepted.Load() == 0 {
		return nil
	}
	return h
}

const (
	queueName   = "quick"
	maxAttempts = 4
	// oneInHopeless jobs of short tasks have one step whose tasks always fail, and
	// in oneInFailing steps the first attempt of each task fails.
	oneInHopeless = 20
	oneInFailing  = 8
	// Tasks that last fill between leastFilled and mostFilled percent of all workers.
	// Some attempts fail after a while.
	leastFilled  = 60
	mostFilled   = 85
	largestShare = 60 // percent of a worker
	failsAfter   = 8 * clock.Second
)

// maker draws jobs.
type maker struct {
	random   *rand.Rand
	seed     uint64
	capacity document.Size
	filled   int // percent, drawn if 0
	made     int
}

func (m *maker) name() string {
	m.made++
	return fmt.Sprintf("%08x%08x", uint32(m.seed), m.made)
}

// short draws a job of short tasks in steps that follow each other.
func (m *maker) short() document.StagedJob {
	steps := 1 + m.random.IntN(3)
	hopeless := -1
	if m.random.IntN(oneInHopeless) == 0 {
		hopeless = m.random.IntN(steps)
	}
	var job document.StagedJob
	var script standin.Script
	for i := range steps {
		step := document.Step{
			Tasks:    1 + m.random.IntN(5),
			Demand:   m.demand(500, 4000),
			Estimate: clock.Span(50 + m.random.IntN(700)),
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		work := standin.ScriptStep{
			Span:   step.Estimate,
			Demand: step.Demand,
		}
		switch {
		case i == hopeless:
			work.Fails = maxAttempts
			work.AlwaysFails = true
		case m.random.IntN(oneInFailing) == 0:
			work.Fails = 1
		}
		job.Steps = append(job.Steps, step)
		script.Steps = append(script.Steps, work)
	}
	return m.finish(job, script)
}

// filling draws jobs of tasks that last, of unequal sizes, which fill a share of
// workers.
func (m *maker) filling(workers int) []document.StagedJob {
	percent := m.filled
	if percent == 0 {
		percent = leastFilled + m.random.IntN(mostFilled-leastFilled)
	}
	left := workers * m.capacity.Processors * percent / 100
	var jobs []document.StagedJob
	for {
		most := m.capacity.Processors * largestShare / 100
		step := document.Step{
			Tasks:       1 + m.random.IntN(6),
			Demand:      m.demand(300, 400+m.random.IntN(most)),
			Estimate:    clock.Second,
			LongRunning: true,
		}
		left -= step.Tasks * step.Demand.Processors
		if left < 0 {
			return jobs
		}
		jobs = append(jobs, m.finish(document.StagedJob{Steps: []document.Step{step}}, standin.Script{
			Steps: []standin.ScriptStep{{
				Span:   failsAfter,
				Lasts:  true,
				Demand: step.Demand,
			}},
		}))
	}
}

// demand draws what a task needs, between two numbers of thousandths of processors.
func (m *maker) demand(least, most int) document.Size {
	return document.Size{
		Processors: least + m.random.IntN(most-least),
		Memory:     100 + m.random.IntN(900),
	}
}

func (m *maker) finish(job document.StagedJob, script standin.Script) document.StagedJob {
	job.ID = m.name()
	job.Queue = queueName
	job.Payload = script.Encode()
	return job
}
