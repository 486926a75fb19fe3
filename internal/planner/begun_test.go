package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// newStartedTask returns a planner that has sent the first start of the only task of a job, and
// that start.
func newStartedTask(t *testing.T) (*Planner, *run) {
	p := newSingleTask(t, 1_000_000, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}, nil)
	return p, onlyRun(t, p)
}

// TestWaitingUntilBegun guards against a job that is shown as running, and not counted as
// waiting, though all of its starts were refused or got lost: no task of it has begun. What has
// begun is not counted, whoever says so first.
func TestWaitingUntilBegun(t *testing.T) {
	type event struct {
		outcome Outcome // of the start, if there is no report
		report  *Report // with the attempt in Running or Ended, if it is to be listed
		newLife bool    // the worker has restarted before
	}
	running := &Report{Running: []Running{{Attempt: 1}}}
	ended := func(how End) *Report { return &Report{Ended: []Ended{{Number: 1, Attempt: 1, How: how}}} }
	for _, c := range []struct {
		name   string
		events []event
		begun  bool
	}{
		{"not answered yet", nil, false},
		{"not sent", []event{{outcome: OutcomeNotSent}}, false},
		{"busy", []event{{outcome: OutcomeBusy}}, false},
		{"too late", []event{{outcome: OutcomeLate}}, false},
		{"no room", []event{{outcome: OutcomeFull}}, false},
		{"another worker at the address", []event{{outcome: OutcomeReplaced}}, false},
		{"no ticket", []event{{outcome: OutcomeTicket}}, false},
		{"malformed", []event{{outcome: OutcomeMalformed}}, false},
		{"old", []event{{outcome: OutcomeOld}}, false},
		{"no answer", []event{{outcome: OutcomeUnknown}}, false},
		{"no answer, not listed", []event{{outcome: OutcomeUnknown}, {report: &Report{}}}, false},
		{"no answer, the worker restarts", []event{{outcome: OutcomeUnknown}, {report: &Report{}, newLife: true}}, false},
		{"taken", []event{{outcome: OutcomeTaken}}, true},
		{"taken by a life that is over", []event{{report: &Report{}, newLife: true}, {outcome: OutcomeTaken}}, true},
		{"no answer, listed", []event{{outcome: OutcomeUnknown}, {report: running}}, true},
		{"listed before the answer", []event{{report: running}}, true},
		{"failed before the answer", []event{{report: ended(EndFailed)}}, true},
		{"no answer, stopped", []event{{outcome: OutcomeUnknown}, {report: ended(EndStopped)}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, r := newStartedTask(t)
			w, key := r.worker.id, r.key
			now := clock.Time(1_000_100)
			incarnation := r.worker.incarnation
			for _, e := range c.events {
				now = now.Add(5)
				if e.report == nil {
					p.Handle(now, StartEnded{Worker: w, Task: key.task, Attempt: key.attempt, Outcome: e.outcome, WorkerTime: now})
					continue
				}
				if e.newLife {
					incarnation += 1000
				}
				report := *e.report
				report.Incarnation = incarnation
				for i := range report.Running {
					report.Running[i].Task = key.task
				}
				for i := range report.Ended {
					report.Ended[i].Task = key.task
				}
				report.WorkerTime = now
				p.Handle(now, Renewed{Worker: w, Ordered: now, Received: now, Report: report})
			}
			state, waiting := StatePending, 1
			if c.begun {
				state, waiting = StateRunning, 0
			}
			assert.Equal(t, p.Waiting()["q"], waiting)
			assert.Equal(t, p.jobs[loneJob].state, state)
		})
	}
}

// TestInheritedBegunJobIsNotWaiting guards against the reverse under a new owner: a job that
// earlier owners began, whose record doesn't say so yet, is told by what workers list.
func TestInheritedBegunJobIsNotWaiting(t *testing.T) {
	steps := []document.Step{{Tasks: 2, Demand: document.Size{Processors: 1, Memory: 1}}}
	id := TaskID{Job: loneJob}
	for _, c := range []struct {
		name   string
		report Report
		begun  bool
	}{
		{"nothing listed", Report{}, false},
		{"running", Report{Running: []Running{{Task: id, Attempt: 1}}}, true},
		{"done", Report{Ended: []Ended{{Number: 1, Task: id, Attempt: 1, How: EndDone}}}, true},
		{"failed", Report{Ended: []Ended{{Number: 1, Task: id, Attempt: 1, How: EndFailed}}}, true},
	} {
		for _, jobFirst := range []bool{true, false} {
			name := c.name + ", the job is read later"
			if jobFirst {
				name = c.name
			}
			t.Run(name, func(t *testing.T) {
				now := clock.Time(1_000_000)
				p := newConfigured(now, Options{Epoch: 2, Takeover: now, LeaseMax: 6000, StopGrace: 200})
				submitted := Submitted{Accepted: now, Inherited: true, Job: document.StagedJob{ID: loneJob, Queue: "q", Steps: steps}}
				if jobFirst {
					p.Handle(now, submitted)
				}
				p.Handle(now, WorkerInherited{Worker: Worker{ID: "w1", Address: "w1"}})
				p.Handle(now, WorkerListed{Worker: Worker{ID: "w1", Address: "w1", Pool: "pool", Capacity: document.Size{Processors: 8, Memory: 8}}})
				answerRenewal(p, now, "w1", c.report)
				p.Handle(now, submitted)
				waiting := 1
				if c.begun {
					waiting = 0
				}
				assert.Equal(t, p.Waiting()["q"], waiting)
			})
		}
	}
}
