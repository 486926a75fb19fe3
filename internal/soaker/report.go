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

// Report is what a run came to.
type Report struct {
	Seed     uint64
	Jobs     int
	Accepted int
	Starts   int
	// Restarts are starts of tasks that last and had run before, the slowest of them
	// SlowestRestart after the last run, Asked the requests for states that were
	// answered.
	Restarts       int
	SlowestRestart clock.Span
	Asked          int
	Faults         []string
	Breaches       []string
}

// String returns the report's figures in one line.
func (r Report) String() string {
	return fmt.Sprintf("seed %d: %d faults, %d of %d jobs accepted, %d starts, %d restarts (slowest %s), %d states, %d breaches",
		r.Seed, len(r.Faults), r.Accepted, r.Jobs, r.Starts, r.Restarts, r.SlowestRestart, r.Asked, len(r.Breaches))
}

const (
	askedAtOnce = 32
	mostSettles = 3
)

func (s *soak) note(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, fmt.Sprintf("%.3f s %s", s.clock.Now().Sub(0).Duration().Seconds(), what))
}

func (s *soak) noteStall(stall clock.Span) {
	s.note(fmt.Sprintf("the machine gave the soak no processor for %s", stall))
}

// settle waits until every job has come to its end, and reports those that don't.
func (s *soak) settle(ctx context.Context) {
	began := s.clock.Now()
	open := s.roster.all()
	for len(open) > 0 && ctx.Err() == nil && !s.settled(began) {
		open = s.stillOpen(open)
		time.Sleep(lookEvery)
	}
	for _, h := range open {
		state, status := s.state(h)
		s.judge.report("LOST: %s, cancelled %v, is %q (status %d) %s after the last job; not running: %s", h.job.ID, h.cancelled.Load(), state, status, s.clock.Now().Sub(began), s.judge.missing(h.job))
	}
}

// settled reports whether jobs have had their time to end. It begins anew when the
// machine stalls and as long as short tasks start, one after the other in workers that
// are full, up to a bound.
func (s *soak) settled(began clock.Time) bool {
	settle := clock.FromDuration(s.opts.Settle)
	from, _ := s.calm.from()
	now := s.clock.Now()
	return now.Sub(max(began, from, s.judge.progressed())) > settle || now.Sub(began) > mostSettles*settle
}

// stillOpen returns those of some jobs that are not where they have to be. Several are
// asked for at once, as the table may take long.
func (s *soak) stillOpen(jobs []*handedIn) []*handedIn {
	over := make([]bool, len(jobs))
	var group sync.WaitGroup
	for first := range askedAtOnce {
		group.Go(func() {
			for i := first; i < len(jobs); i += askedAtOnce {
				over[i] = s.over(jobs[i])
			}
		})
	}
	group.Wait()
	var open []*handedIn
	for i, h := range jobs {
		if !over[i] {
			open = append(open, h)
		}
	}
	return open
}

// over reports whether a job is where it has to be.
func (s *soak) over(h *handedIn) bool {
	if h.accepted.Load() == 0 {
		return true // it may run, or not
	}
	state, status := s.state(h)
	if status == http.StatusGone {
		s.judge.unknown(h, "all VMs")
		return true
	}
	s.judge.shown(h, state)
	switch state {
	case planner.StateCompleted, planner.StateFailed:
		return true
	case planner.StateCancelled:
		return s.judge.stopped(h.job)
	case "":
		return false
	}
	return h.job.Lasts() && !h.cancelled.Load() && s.judge.lasting(h.job)
}

func (s *soak) report() (Report, error) {
	for _, v := range s.vms {
		for _, exit := range v.ends() {
			s.judge.report("EXIT: %s", exit)
		}
	}
	jobs := s.roster.all()
	r := Report{
		Seed:           s.opts.Seed,
		Jobs:           len(jobs),
		Starts:         s.judge.begun,
		Restarts:       s.judge.restarts.count,
		SlowestRestart: s.judge.restarts.slowest,
		Faults:         s.notes,
		Breaches:       s.judge.breaches,
	}
	for _, h := range jobs {
		if h.accepted.Load() != 0 {
			r.Accepted++
		}
	}
	for _, a := range s.askers {
		r.Asked += a.asked
	}
	if len(r.Breaches) == 0 || s.opts.Logs == "" {
		return r, nil
	}
	return r, s.keepLogs()
}

func (s *soak) keepLogs() error {
	folder := filepath.Join(s.opts.Logs, fmt.Sprint("seed-", s.opts.Seed))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return Error.Wrap(err)
	}
	for _, v := range s.vms {
		if err := os.WriteFile(filepath.Join(folder, v.name+".log"), v.text(), 0o644); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}
