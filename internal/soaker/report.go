package soaker

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
)

// Report is the result of a soak run.
type Report struct {
	Seed     uint64
	Jobs     int
	Accepted int
	Starts   int
	// Restarts counts starts of long-running tasks that had run before; the slowest came
	// SlowestRestart after the previous run ended. Asked counts the answered state
	// requests of the pollers.
	Restarts       int
	SlowestRestart clock.Span
	Asked          int
	Faults         []string
	Breaches       []string
}

// String returns the counts of the report in one line.
func (r Report) String() string {
	return fmt.Sprintf("seed %d: %d faults, %d of %d jobs accepted, %d starts, %d restarts (slowest %s), %d states, %d breaches",
		r.Seed, len(r.Faults), r.Accepted, r.Jobs, r.Starts, r.Restarts, r.SlowestRestart, r.Asked, len(r.Breaches))
}

const (
	parallelStateCalls = 32
	maxSettlePeriods   = 3
)

func (s *soak) addEvent(description string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%.3f s %s", s.clock.Now().Sub(0).Duration().Seconds(), description))
}

func (s *soak) addStall(stall clock.Span) {
	s.addEvent(fmt.Sprintf("the soak process got no CPU time for %s", stall))
}

// awaitJobs waits until every job has reached its expected end, and reports those that
// have not when the wait expires.
func (s *soak) awaitJobs(ctx context.Context) {
	startedAt := s.clock.Now()
	pending := s.submissions.all()
	for len(pending) > 0 && ctx.Err() == nil && !s.awaitExpired(startedAt) {
		pending = s.unfinished(pending)
		time.Sleep(checkInterval)
	}
	for _, sub := range pending {
		state, status := s.queryState(sub)
		s.checker.reportBreach("LOST: job %s (cancelled: %v) has state %q (HTTP status %d) %s after the last submission; tasks neither running nor done: %s", sub.job.ID, sub.cancelled.Load(), state, status, s.clock.Now().Sub(startedAt), s.checker.unfinishedTasks(sub.job))
	}
}

// awaitExpired reports whether the timeout for jobs to end has passed. The timeout
// restarts when the machine stalls and whenever a short task starts, because on full
// workers short tasks run one after another, but it is at most maxSettlePeriods times
// opts.Settle in total.
func (s *soak) awaitExpired(startedAt clock.Time) bool {
	settle := clock.FromDuration(s.opts.Settle)
	calmFrom, _ := s.disturbances.calmSince()
	now := s.clock.Now()
	return now.Sub(max(startedAt, calmFrom, s.checker.shortTaskStartedAt())) > settle || now.Sub(startedAt) > maxSettlePeriods*settle
}

// unfinished returns the jobs that have not reached their expected end. It queries
// several at once, as the table may be slow.
func (s *soak) unfinished(jobs []*submission) []*submission {
	atEnd := make([]bool, len(jobs))
	var group sync.WaitGroup
	for first := range parallelStateCalls {
		group.Go(func() {
			for i := first; i < len(jobs); i += parallelStateCalls {
				atEnd[i] = s.atExpectedEnd(jobs[i])
			}
		})
	}
	group.Wait()
	var pending []*submission
	for i, sub := range jobs {
		if !atEnd[i] {
			pending = append(pending, sub)
		}
	}
	return pending
}

// atExpectedEnd reports whether nothing more is expected of a job: it was not accepted,
// completed, failed, was cancelled and no task runs, or is long-running and its tasks
// run. An accepted job that no VM knows is a breach and also counts.
func (s *soak) atExpectedEnd(sub *submission) bool {
	if sub.accepted.Load() == 0 {
		return true // it may or may not run
	}
	state, status := s.queryState(sub)
	if status == http.StatusGone {
		s.checker.reportUnknown(sub, "all VMs")
		return true
	}
	s.checker.checkState(sub, state)
	switch state {
	case planner.StateCompleted, planner.StateFailed:
		return true
	case planner.StateCancelled:
		return s.checker.noneRunning(sub.job)
	case "":
		return false
	}
	return sub.job.Lasts() && !sub.cancelled.Load() && s.checker.allRunWherePossible(sub.job)
}

func (s *soak) report() (Report, error) {
	for _, v := range s.vms {
		for _, exit := range v.unexpectedExits() {
			s.checker.reportBreach("EXIT: %s", exit)
		}
	}
	jobs := s.submissions.all()
	report := Report{
		Seed:           s.opts.Seed,
		Jobs:           len(jobs),
		Starts:         s.checker.starts,
		Restarts:       s.checker.restarts.count,
		SlowestRestart: s.checker.restarts.slowest,
		Faults:         s.events,
		Breaches:       s.checker.breaches,
	}
	for _, sub := range jobs {
		if sub.accepted.Load() != 0 {
			report.Accepted++
		}
	}
	for _, poller := range s.pollers {
		report.Asked += poller.answered
	}
	if len(report.Breaches) == 0 || s.opts.Logs == "" {
		return report, nil
	}
	return report, s.writeLogs()
}

func (s *soak) writeLogs() error {
	folder := filepath.Join(s.opts.Logs, fmt.Sprint("seed-", s.opts.Seed))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return Error.Wrap(err)
	}
	for _, v := range s.vms {
		if err := os.WriteFile(filepath.Join(folder, v.name+".log"), v.logCopy(), 0o644); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}
