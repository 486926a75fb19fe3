package planner

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPassExaminesNoPlacedStep guards against an owner without processor time to spare
// because each pass collects and sorts all jobs and examines all of their tasks, although
// all of them run.
func TestPassExaminesNoPlacedStep(t *testing.T) {
	p, now := idlePlanner(t, 48, 60)
	replaced := 0
	for _, j := range p.active {
		for _, s := range j.occurrences[0].steps {
			if !slices.ContainsFunc(s.tasks, func(t *task) bool { return len(t.runs) == 0 }) {
				s.tasks = make([]*task, len(s.tasks)) // nil, so that examining any panics
				replaced++
			}
		}
	}
	assert.Assert(t, replaced > 6, "%d steps are placed", replaced)
	p.adviceLimit = 1
	for _, pass := range []struct {
		name   string
		run    func()
		result bool // run allocates its result
	}{
		{"backlog", func() { p.backlog(now) }, true},
		{"Summary", func() { p.Summary(now) }, false},
		{"stopBrokenGangs", func() { p.stopBrokenGangs(now) }, false},
		{"prefetchAdvice", func() { p.prefetchAdvice(now) }, false},
	} {
		t.Run(pass.name, func(t *testing.T) {
			defer func() { assert.Assert(t, recover() == nil, "a task of a placed step was examined") }()
			allocations := testing.AllocsPerRun(10, pass.run)
			assert.Assert(t, pass.result || allocations == 0, "%v allocations", allocations)
		})
	}
}

// TestSpeculateAllocatesNothing guards against an owner without processor time to spare
// because each pass sorts all jobs and copies the durations of each running step.
func TestSpeculateAllocatesNothing(t *testing.T) {
	p, now := idlePlanner(t, 48, 60)
	for _, j := range p.active {
		for _, s := range j.occurrences[0].steps {
			s.recordDuration(2700)
		}
	}
	assert.Equal(t, testing.AllocsPerRun(10, func() { p.speculate(now) }), 0.0, "allocations")
}

// checkActive returns a description of what is wrong with the list of jobs that have not
// ended and with their counts, "" if nothing is.
func (p *Planner) checkActive() string {
	var ids []string
	for _, j := range p.activeJobs {
		ids = append(ids, j.spec.ID)
	}
	if sorted := slices.Sorted(maps.Keys(p.active)); !slices.Equal(ids, sorted) {
		return fmt.Sprintf("the active jobs are %v, the list has %v", sorted, ids)
	}
	for _, j := range p.activeJobs {
		if fault := j.checkJudged(); fault != "" {
			return fault
		}
		var sumIdle, sumRunning int
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				idle, running := s.count()
				if idle != s.idle || running != s.running {
					return fmt.Sprintf("%v: %d idle, %d running, counted %d, %d", s.id(), idle, running, s.idle, s.running)
				}
				sumIdle += idle
				sumRunning += running
			}
		}
		if sumIdle != j.idle || sumRunning != j.running {
			return fmt.Sprintf("%s: %d idle, %d running, counted %d, %d", j.spec.ID, sumIdle, sumRunning, j.idle, j.running)
		}
	}
	return ""
}

func (s *step) count() (idle, running int) {
	for _, t := range s.tasks {
		running += len(t.runs)
		if !t.done && len(t.runs) == 0 {
			idle++
		}
	}
	return idle, running
}

// checkJudged returns a description of a straggler that the next pass would not examine,
// "" if there is none.
func (j *job) checkJudged() string {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if !s.finite || s.running == 0 || !j.judged && !s.judged {
				continue
			}
			typical, ok := s.typicalDuration()
			for _, t := range s.tasks {
				if ok && !t.done && len(t.runs) == 1 && t.runs[0].phase == runStarted && t.runs[0].straggles(typical) {
					return fmt.Sprintf("%s straggles and would not be examined", t.id())
				}
			}
		}
	}
	return ""
}
