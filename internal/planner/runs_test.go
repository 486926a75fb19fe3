package planner

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
)

// TestPassSortsNoRuns guards against an owner without processor time to spare because each
// pass collects and sorts the runs of every worker, although none is to be stopped, resumed
// or dropped.
func TestPassSortsNoRuns(t *testing.T) {
	p := fullPlanner(48, 400)
	now := p.lastPass
	j := p.jobs[fmt.Sprintf("%016x", 0)]
	for _, pass := range []struct {
		name string
		run  func()
	}{
		{"resendStops", func() { p.resendStops(now) }},
		{"dropOverduePlanned", func() { p.dropOverduePlanned(now) }},
		{"throttleBestEffort", func() { p.throttleBestEffort(now) }},
		{"claimUnknown", func() { p.claimUnknown(now, j) }},
	} {
		t.Run(pass.name, func(t *testing.T) {
			assert.Equal(t, testing.AllocsPerRun(10, pass.run), 0.0, "allocations for %d workers", len(p.fleet))
		})
	}
}

// TestPassExaminesNoSatisfiedServingTask guards against an owner without processor time to
// spare because each pass examines the serving images of every worker, although none is
// near its target.
func TestPassExaminesNoSatisfiedServingTask(t *testing.T) {
	p, now := idlePlanner(t, 48, 60)
	examined := 0
	for _, w := range p.fleet {
		report := reportOf(w, now)
		for i := range report.Running {
			report.Running[i].Metric = 5 // a third of the target
		}
		p.Handle(now, Renewed{Worker: w.id, Received: now, Report: report})
		if len(w.servedImages) > 0 && w.bestEffortProcessors > 0 {
			examined++
		}
		for image := range w.servedImages {
			w.servedImages[image] = nil // so that examining it panics
		}
	}
	assert.Assert(t, examined > 6, "%d workers run both kinds of tasks", examined)
	defer func() { assert.Assert(t, recover() == nil, "a serving image was examined") }()
	p.throttleBestEffort(now)
}

// TestMissedTargetPauses guards against best-effort tasks that keep running next to serving
// tasks over their targets because the pass skips the worker.
func TestMissedTargetPauses(t *testing.T) {
	p, now := idlePlanner(t, 48, 60)
	for range 2 {
		now = now.Add(throttleAllAfter + 1)
		for _, w := range p.fleet {
			report := reportOf(w, now)
			for i := range report.Running {
				report.Running[i].Metric = 30 // the target is 18
			}
			p.Handle(now, Renewed{Worker: w.id, Received: now, Report: report})
		}
	}
	p.throttleBestEffort(now)
	examined := 0
	for _, w := range p.fleet {
		if len(w.servedImages) == 0 || w.bestEffortProcessors == 0 {
			continue
		}
		examined++
		assert.Equal(t, w.pausedRuns, len(w.bestEffortRuns()), w.id)
	}
	assert.Assert(t, examined > 6, "%d workers run both kinds of tasks", examined)
}

// TestReportSortsNoRuns guards against an owner without processor time to spare because
// each report sorts the worker's runs.
func TestReportSortsNoRuns(t *testing.T) {
	p := fullPlanner(1, 8)
	w := p.fleet[0]
	now := p.lastPass
	report := reportOf(w, now)
	assert.Assert(t, len(report.Running) > 4, "%d runs", len(report.Running))
	assert.Equal(t, testing.AllocsPerRun(10, func() {
		now = now.Add(clock.Second)
		p.applyRunning(now, w, report, true)
	}), 0.0, "allocations")
}

// checkRuns returns a description of what is wrong with the worker's sorted runs and their
// counts, "" if nothing is.
func (w *worker) checkRuns() string {
	for image, s := range w.servedImages {
		if s.lowestMargin.margin() < w.lowestMargin {
			return fmt.Sprintf("%s: the margin of %s is %f, below the lowest, %f", w.id, image, s.lowestMargin.margin(), w.lowestMargin)
		}
	}
	var stopping, paused, planned, unknown int
	for _, r := range w.ordered {
		if w.runs[r.key] != r {
			return fmt.Sprintf("%s: run %v is not in the map", w.id, r.key)
		}
		if r.phase == runStopping {
			stopping++
		}
		if r.phase == runPlanned {
			planned++
		}
		if r.speed == 0 {
			paused++
		}
		if r.task == nil {
			unknown++
		}
	}
	sorted := slices.IsSortedFunc(w.ordered, func(a, b *run) int { return compareKeys(a.key, b.key) })
	counted := [...]int{len(w.runs), w.stoppingRuns, w.pausedRuns, w.plannedStarts, w.unknownRuns}
	if counts := [...]int{len(w.ordered), stopping, paused, planned, unknown}; counts != counted || !sorted {
		return fmt.Sprintf("%s: runs, stopping, paused, planned, unknown are %v, counted %v; sorted: %t", w.id, counts, counted, sorted)
	}
	return ""
}

// checkBookkeeping returns a description of what is wrong with the lists and counts that
// the planner keeps up to date, "" if nothing is. It is called after Decide.
func (p *Planner) checkBookkeeping(now clock.Time) string {
	for _, w := range p.fleet {
		if fault := w.checkRuns(); fault != "" {
			return fault
		}
	}
	if fault := p.checkActive(); fault != "" {
		return fault
	}
	return p.checkDue(now)
}
