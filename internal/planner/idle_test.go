package planner

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// idlePlanner returns a planner with a full cell in which no pass, renewal or record is
// due, and a time at which that holds.
func idlePlanner(t testing.TB, workers, jobs int) (*Planner, clock.Time) {
	t.Helper()
	p := fullPlanner(workers, jobs)
	now := p.lastPass
	for _, w := range p.fleet {
		p.Handle(now, Renewed{Worker: w.id, Received: now, Report: reportOf(w, now)})
	}
	for range 50 {
		now = now.Add(maxPassInterval)
		p.Handle(now, Ticked{})
		p.Decide(now)
		p.acceptStarts(now)
		if batch, ok := p.TakeChanges(60); ok {
			p.Handle(now, Committed{Number: batch.Number})
		}
	}
	now = now.Add(maxPassInterval)
	p.Decide(now)
	p.TakeOrders()
	assert.Assert(t, !p.passNeeded && !p.Dirty())
	return p, now
}

// reportOf returns a report that lists the worker's runs.
func reportOf(w *worker, now clock.Time) Report {
	report := Report{WorkerTime: now}
	for _, r := range w.sortedRuns() {
		report.Running = append(report.Running, Running{Task: r.key.task, Attempt: r.key.attempt})
	}
	return report
}

// TestIdleDecideExaminesNoWorker guards against an owner without processor time to spare
// because it examines every worker after each message, although nothing is due.
func TestIdleDecideExaminesNoWorker(t *testing.T) {
	p, now := idlePlanner(t, 48, 60)
	for _, idle := range []struct {
		name string
		run  func()
	}{
		{"Decide", func() { p.Decide(now) }},
		{"expireLeases", func() { p.expireLeases(now) }},
		{"renewLeases", func() { p.renewLeases(now) }},
		{"Dirty", func() { p.Dirty() }},
	} {
		t.Run(idle.name, func(t *testing.T) {
			assert.Equal(t, testing.AllocsPerRun(10, idle.run), 0.0, "allocations")
			fleet := p.fleet
			defer func() {
				p.fleet = fleet
				assert.Assert(t, recover() == nil, "a worker was examined")
			}()
			p.fleet = make([]*worker, len(fleet)) // nil, so that examining any panics
			idle.run()
		})
	}
}

// TestLeaseExpiresWithoutAnswer guards against tasks that are not restarted because the
// renewal of their worker's lease has neither been answered nor failed.
func TestLeaseExpiresWithoutAnswer(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}, LongRunning: true}, nil)
	silent := onlyRun(t, p).worker
	for _, w := range p.fleet {
		assert.Assert(t, w.renewInFlight && w.renewFailures == 0)
	}
	expiry := p.leaseExpiry(silent)
	p.Decide(expiry)
	assert.Equal(t, len(silent.runs), 1)
	p.Decide(expiry.Add(1))
	assert.Equal(t, len(silent.runs), 0)
}

// checkDue returns a description of what the planner has left undone after Decide, "" if
// nothing. It examines every worker.
func (p *Planner) checkDue(now clock.Time) string {
	stale := false
	for _, w := range p.fleet {
		expired := now.After(p.leaseExpiry(w))
		switch {
		case !w.renewInFlight && !w.renewAt.After(now):
			return fmt.Sprintf("the renewal of %s is due and was not ordered", w.id)
		case !w.leaseMayExpire():
		case expired && len(w.runs) > 0:
			return fmt.Sprintf("the lease of %s has expired and its runs were not ended", w.id)
		case expired && w.renewFailures > 0 && w.record != recordNone:
			return fmt.Sprintf("the lease of %s has expired and its record was not dropped", w.id)
		case expired && w.renewFailures > 0 && !w.listed && now.Sub(w.unlistedAt) > unlistedGrace:
			return fmt.Sprintf("%s is unlisted and unreachable and was not dropped", w.id)
		}
		stale = stale || w.unrecordedStarts > 0 || p.wantedRecord(w) != w.record
	}
	p.Dirty()
	if stale && p.recordsCurrent {
		return "a worker's record is to be written and recordsCurrent is true"
	}
	return ""
}

// TestHeartbeatChangesNothing guards against an owner that makes a pass and compares all
// records after each heartbeat of a worker, of which a large pool sends hundreds a second.
func TestHeartbeatChangesNothing(t *testing.T) {
	p, now := idlePlanner(t, 10, 4)
	p.Decide(now)
	p.Dirty()
	p.passNeeded = false
	info := p.fleet[0].info
	info.Labels = slices.Clone(info.Labels)
	p.Handle(now, WorkerListed{Worker: info})
	assert.Assert(t, !p.passNeeded && p.recordsCurrent)
	info.Leaving = true
	p.Handle(now, WorkerListed{Worker: info})
	assert.Assert(t, p.passNeeded && !p.recordsCurrent)
}
