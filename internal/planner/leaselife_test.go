package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// siteLease is the longest lease that workers grant in these tests, more than owners ask for.
	siteLease = 10 * clock.Second
	// cutAt is when the worker is cut off, after its restart.
	cutAt = 800 * clock.Millisecond
)

// lostLife is a worker "lost" that restarts under its identifier, takes the task's start in its
// new incarnation, carries out a start or renewal that was sent to the earlier one, which
// gives it the longest lease, and is then cut off.
type lostLife struct {
	rows    recordedRows
	owner   *Planner
	restart clock.Time
}

// newLostLife returns an owner that knows the worker.
func newLostLife(now clock.Time) *lostLife {
	s := &lostLife{
		rows:  recordedRows{},
		owner: newConfigured(now, Options{Epoch: 1, Takeover: now, LeaseMax: siteLease, StopGrace: 200}),
	}
	s.owner.Handle(now, WorkerListed{Worker: seriesWorker("lost")})
	return s
}

func playLostLife(t *testing.T) *lostLife {
	t.Helper()
	now := clock.Time(1_000_000)
	s := newLostLife(now)
	p := s.owner
	answerRenewal(p, now, "lost", Report{})
	s.rows.commitAll(p, now)
	p.Decide(now) // the renewal of the earlier incarnation is under way
	assert.Assert(t, renewsLease(p.TakeOrders(), "lost"))

	s.restart = now.Add(200)
	noticed := s.restart.Add(300)
	s.answer(noticed)
	p.Handle(noticed, Submitted{Accepted: noticed, Job: document.StagedJob{ID: loneJob, Queue: "q", Steps: []document.Step{lastingStep(1)}}})
	for at := noticed; at.Before(noticed.Add(400)); at = at.Add(50) {
		p.Handle(at, Ticked{})
		p.Decide(at)
		s.rows.commitAll(p, at)
		for _, order := range p.TakeOrders() {
			if o, ok := order.(Start); ok {
				p.Handle(at, StartEnded{Worker: "lost", Task: o.Task, Attempt: o.Attempt, WorkerTime: clock.Time(at.Sub(s.restart))})
			}
		}
		s.answer(at)
	}
	assert.Equal(t, len(p.findTask(TaskID{Job: loneJob}).runs), 1)
	return s
}

// answer lets the worker's new incarnation report what the owner knows to run there.
func (s *lostLife) answer(at clock.Time) {
	report := Report{
		Incarnation: 2,
		WorkerTime:  clock.Time(at.Sub(s.restart)),
	}
	for _, r := range s.owner.workers["lost"].ordered {
		if r.phase == runStarted {
			report.Running = append(report.Running, Running{
				Task:    r.key.task,
				Attempt: r.key.attempt,
			})
		}
	}
	s.owner.Handle(at, Renewed{Worker: "lost", Received: at, Report: report})
}

// startedElsewhere returns when the owner starts the task on another worker while "lost" does
// not answer; 0 if it does not within a minute.
func (s *lostLife) startedElsewhere(from clock.Time) clock.Time {
	s.owner.Handle(from, WorkerListed{Worker: seriesWorker("sound")})
	for at := from; at.Before(from.Add(clock.Minute)); at = at.Add(50) {
		answerRenewal(s.owner, at, "sound", Report{})
		s.owner.Handle(at, Ticked{})
		s.owner.Decide(at)
		s.rows.commitAll(s.owner, at)
		for _, order := range s.owner.TakeOrders() {
			switch o := order.(type) {
			case Start:
				return at
			case Renew:
				if o.Worker == "lost" {
					s.owner.Handle(at, RenewFailed{Worker: "lost", Outcome: OutcomeUnknown, Extra: o.Extra})
				}
			}
		}
	}
	return 0
}

// TestLeaseOfNextIncarnation guards against a task that runs twice because its worker has
// restarted under its identifier: a call that was sent to the earlier incarnation gives the new
// one a lease that no renewal of the owner did. What waits for the lease starts in the end.
func TestLeaseOfNextIncarnation(t *testing.T) {
	// At the latest, the call is carried out maxCallTime after it was sent, just before the
	// restart. The clock of a worker may be 2.5% slow; a second is for renewals that fail first.
	latest := (maxCallTime + siteLease) + (maxCallTime+siteLease)*driftPermille/milliScale + clock.Second
	for _, c := range []struct {
		name    string
		strayAt clock.Span // when the call is carried out, after the restart
		owner   func(s *lostLife, now clock.Time)
	}{
		{"same owner", 4 * clock.Second, func(*lostLife, clock.Time) {}},
		{"an owner whose predecessor recorded the rest of the lease", 4 * clock.Second, func(s *lostLife, now clock.Time) { s.takeOver(now, 1) }},
		{"an owner whose predecessor recorded none", cutAt, func(s *lostLife, now clock.Time) { s.takeOver(now, 0) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := playLostLife(t)
			cut := s.restart.Add(cutAt)
			silent := cut.Add(clock.Second)
			for at := cut; at.Before(silent); at = at.Add(100) {
				s.owner.Handle(at, RenewFailed{Worker: "lost", Outcome: OutcomeUnknown})
				s.owner.Handle(at, Ticked{})
				s.owner.Decide(at)
				s.owner.TakeOrders()
				s.rows.commitAll(s.owner, at)
			}
			c.owner(s, silent)
			moved := s.startedElsewhere(silent)
			leaseEnd := s.restart.Add(c.strayAt + siteLease)
			assert.Assert(t, moved.After(leaseEnd), "started elsewhere %s after the restart, the lease ends after %s", moved.Sub(s.restart), leaseEnd.Sub(s.restart))
			assert.Assert(t, !moved.After(s.restart.Add(latest)), "started elsewhere %s after the restart", moved.Sub(s.restart))
		})
	}
}

// TestLeaseOfUnnoticedIncarnation guards against a task that runs twice because its worker
// restarts under its identifier, carries out a start that was sent to the earlier incarnation,
// and is cut off before it has reported. Only while workers restart the owner waits for that.
func TestLeaseOfUnnoticedIncarnation(t *testing.T) {
	for _, c := range []struct {
		name     string
		restarts bool
		min, max clock.Span // after the start was sent
	}{
		{"another worker has restarted", true, 2*clock.Second + siteLease, maxCallTime + siteLease + 2*clock.Second},
		{"no worker restarts", false, 6 * clock.Second, 9 * clock.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := clock.Time(1_000_000)
			s := newLostLife(now)
			p := s.owner
			for range 10 { // until the lease of the first report is over
				answerRenewal(p, now, "lost", Report{})
				decideAndCommit(p, now)
				now = now.Add(clock.Second)
			}
			answerRenewal(p, now, "lost", Report{})
			p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{ID: loneJob, Queue: "q", Steps: []document.Step{lastingStep(1)}}})
			s.rows.commitAll(p, now)
			sent := now.Add(maxPassInterval)
			assert.Equal(t, countStarts(decideAndCommit(p, sent)), 1)
			p.Handle(sent.Add(200), StartEnded{Worker: "lost", Task: TaskID{Job: loneJob}, Attempt: 1, Outcome: OutcomeUnknown})
			if c.restarts {
				p.Handle(now, WorkerListed{Worker: seriesWorker("other")})
				answerRenewal(p, sent.Add(200), "other", Report{})
				p.Handle(sent.Add(300), Renewed{Worker: "other", Received: sent.Add(300), Report: Report{Incarnation: 2, WorkerTime: 100}})
				p.Handle(sent.Add(300), WorkerUnlisted{Worker: "other"})
			}
			moved := s.startedElsewhere(sent.Add(400))
			assert.Assert(t, moved.After(sent.Add(c.min)), "started elsewhere after %s", moved.Sub(sent))
			assert.Assert(t, !moved.After(sent.Add(c.max)), "started elsewhere after %s", moved.Sub(sent))
		})
	}
}

// takeOver replaces the owner. The next one sees the rows as the last one left them.
func (s *lostLife) takeOver(now clock.Time, since uint64) {
	s.owner = newConfigured(now, Options{
		Epoch:       2,
		Takeover:    now,
		LeaseMax:    siteLease,
		StopGrace:   200,
		LeasesSince: since,
		LeaseBase:   now,
	})
	s.owner.Handle(now, WorkerInherited(s.rows["lost"]))
	s.owner.Handle(now, Submitted{
		Job:       document.StagedJob{ID: loneJob, Queue: "q", Steps: []document.Step{lastingStep(1)}},
		Accepted:  now,
		Inherited: true,
		Progress:  &Progress{State: StateRunning, Queue: "q"},
	})
}
