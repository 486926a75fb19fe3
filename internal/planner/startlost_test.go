package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestStartBeingStoppedIsNotLost guards against a task that runs twice because a start that was
// not answered arrives just before the stop that follows it: while the run is being stopped it
// is in neither list of the worker, and it must not be taken for one that never began.
func TestStartBeingStoppedIsNotLost(t *testing.T) {
	for _, c := range []struct {
		name     string
		stopLost bool // the stop is carried out and its answer is lost
		ends     bool // the run had begun, and its end is reported
	}{
		{"the stop is acknowledged, the run had begun", false, true},
		{"the answer to the stop is lost, the run had begun", true, true},
		{"the start never arrives", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := clock.Time(1_000_000)
			p := newSingleTask(t, now, document.Step{
				Tasks:  1,
				Demand: document.Size{Processors: 1, Memory: 1},
			}, nil)
			r := onlyRun(t, p)
			w, key := r.worker.id, r.key
			p.Handle(now.Add(400), StartEnded{Worker: w, Task: key.task, Attempt: key.attempt, Outcome: OutcomeUnknown})
			answerRenewal(p, now.Add(410), w, Report{})
			assert.Equal(t, r.phase, runStopping)
			// The start is carried out at 415 and the stop at 418.
			outcome := OutcomeTaken
			if c.stopLost {
				outcome = OutcomeUnknown
			}
			p.Handle(now.Add(420), StopEnded{Worker: w, Task: key.task, Attempt: key.attempt, Outcome: outcome, WorkerTime: now.Add(418)})
			p.TakeOrders()
			first := clock.Span(425)
			if c.stopLost {
				first = startWindow + 100 // later than the start's deadline
			}
			for span := first; span < first+200; span += 25 {
				answerRenewal(p, now.Add(span), w, Report{})
				assert.Equal(t, countStarts(decideAndCommit(p, now.Add(span))), 0, "%s after the first report", span-first)
			}
			last := Report{}
			if c.ends {
				last.Ended = []Ended{{Number: 1, Task: key.task, Attempt: key.attempt, How: EndStopped}}
			}
			answerRenewal(p, now.Add(first+400), w, last)
			assert.Equal(t, countStarts(decideAndCommit(p, now.Add(first+400))), 1)
		})
	}
}

// TestStartInDoubtEndsAfterRestart guards against a task that never runs again because its
// worker restarts while a start is in doubt: the time since which a run is missing is one on
// the clock of the earlier incarnation, and the clock of the new one starts at 0.
func TestStartInDoubtEndsAfterRestart(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{
		Tasks:  1,
		Demand: document.Size{Processors: 1, Memory: 1},
	}, nil)
	r := onlyRun(t, p)
	w, key := r.worker.id, r.key
	p.Handle(now.Add(400), StartEnded{Worker: w, Task: key.task, Attempt: key.attempt, Outcome: OutcomeUnknown})
	answerRenewal(p, now.Add(410), w, Report{})
	p.Handle(now.Add(420), StopEnded{Worker: w, Task: key.task, Attempt: key.attempt, Outcome: OutcomeTaken, WorkerTime: now.Add(418)})
	answerRenewal(p, now.Add(430), w, Report{})
	p.TakeOrders()

	restart := now.Add(500)
	starts := 0
	for span := clock.Span(20); span < 2*clock.Second; span += 50 {
		at := restart.Add(span)
		report := Report{
			Incarnation: 2,
			WorkerTime:  clock.Time(span),
		}
		p.Handle(at, Renewed{Worker: w, Received: at, Report: report})
		for _, order := range decideAndCommit(p, at) {
			switch o := order.(type) {
			case Start:
				starts++
			case Stop:
				p.Handle(at, StopEnded{Worker: w, Task: o.Task, Attempt: o.Attempt, Outcome: OutcomeTaken, WorkerTime: clock.Time(span)})
			}
		}
	}
	assert.Equal(t, starts, 1)
}

// TestStopOfEarlierIncarnation guards against a task that runs twice because the answer to a
// stop comes from the incarnation before the worker's restart: the next one, whose clock soon shows
// as much, has not taken a stop, and still carries out the start.
func TestStopOfEarlierIncarnation(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{
		Tasks:  1,
		Demand: document.Size{Processors: 1, Memory: 1},
	}, nil)
	r := onlyRun(t, p)
	w, key := r.worker.id, r.key
	p.Handle(now.Add(400), StartEnded{Worker: w, Task: key.task, Attempt: key.attempt, Outcome: OutcomeUnknown})
	answerRenewal(p, now.Add(410), w, Report{})
	assert.Equal(t, r.phase, runStopping)
	p.TakeOrders()

	restart := now.Add(430)
	report := func(span clock.Span) {
		p.Handle(restart.Add(span), Renewed{Worker: w, Received: restart.Add(span), Report: Report{
			Incarnation: 2,
			WorkerTime:  clock.Time(span),
		}})
	}
	report(10)
	stopped := StopEnded{Worker: w, Incarnation: 2, Task: key.task, Attempt: key.attempt, Outcome: OutcomeUnknown}
	p.Handle(restart.Add(20), StopEnded{Worker: w, Incarnation: 1, Task: key.task, Attempt: key.attempt, Outcome: OutcomeTaken, WorkerTime: 15})
	for span := clock.Span(50); span < 2*clock.Second; span += 50 {
		report(span)
		orders := decideAndCommit(p, restart.Add(span))
		assert.Equal(t, countStarts(orders), 0, "%s after the restart", span)
		for _, order := range orders {
			if _, ok := order.(Stop); ok {
				p.Handle(restart.Add(span), stopped)
			}
		}
	}
	stopped.Outcome = OutcomeTaken
	stopped.WorkerTime = clock.Time(2 * clock.Second)
	p.Handle(restart.Add(2*clock.Second), stopped)
	starts := 0
	for span := 2 * clock.Second; span < 3*clock.Second; span += 50 {
		report(span)
		starts += countStarts(decideAndCommit(p, restart.Add(span)))
	}
	assert.Equal(t, starts, 1)
}
