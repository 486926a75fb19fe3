// Package soaker runs the real program as several processes, disturbs them from
// outside and holds what callers and workers see to what is promised.
//
// Processes are stopped, paused, killed and started again by signals; connections to
// the table and to workers are cut, delayed, silenced or lose one direction in relays;
// the table goes down, falls silent, loses answers and its history; workers crash and
// come back under the same or another identifier. Faults overlap. A seed gives the same
// plan of faults and jobs each time; what the processes make of it depends on the
// machine.
//
// Held are: no task runs in two places, none starts after its end was acknowledged,
// before its turn or too often, no worker is given more than it holds, what was refused
// never runs, what was accepted is never lost and comes to its end after the faults,
// what was cancelled stops, no process ends by itself.
//
// # Usage
//
//	report, err := soaker.Run(ctx, soaker.Options{Seed: 7, Program: "bin/marjoram"})
//	for _, breach := range report.Breaches { ... }
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"marjoramstack/internal/planner"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	wirestandin "marjoramstack/platform/standin"
)

// Options describe a run.
type Options struct {
	Seed uint64
	// Program is the path of marjoram, Environment what its processes get besides
	// this one's.
	Program     string
	Environment []string
	VMs         int
	Workers     int
	// Span is how long faults strike and jobs come; Gap and JobGap are the means
	// between two of them.
	Span   time.Duration
	Gap    time.Duration
	JobGap time.Duration
	// Settle is how long after the last fault jobs may take to come to their ends.
	Settle time.Duration
	// Logs is a folder for the logs of a run with a breach; none if empty.
	Logs string
}

// Report is what a run came to.
type Report struct {
	Seed     uint64
	Jobs     int
	Accepted int
	Starts   int
	Faults   []string
	Breaches []string
}

type soak struct {
	opts    Options
	rows    *standin.Rows
	judge   *judge
	vms     []*vm
	workers []*soakWorker
	caller  *wirestandin.Caller
	jobs    []*handedIn
	calls   sync.WaitGroup
	healing sync.WaitGroup
	began   time.Time
	notes   []string
}

// soakWorker is a worker behind a relay.
type soakWorker struct {
	name    string
	standin *wirestandin.Worker
	link    *standin.Link
}

const (
	zones    = 3
	lookGap  = 100 * time.Millisecond
	listGap  = 300 * time.Millisecond
	unlisted = 5 // entries in a row that a dark worker misses until it is dropped
)

// Run plays one seed.
func Run(ctx context.Context, opts Options) (Report, error) {
	s := &soak{
		opts:   opts,
		rows:   standin.NewRows(),
		judge:  newJudge(document.Size{Processors: 16000, Memory: 16000}),
		caller: wirestandin.NewCaller(&http.Client{}),
		began:  time.Now(),
	}
	table, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Report{}, Error.Wrap(err)
	}
	server := &http.Server{Handler: wirestandin.NewStore(s.rows)}
	go server.Serve(table)
	defer server.Close()
	defer s.close()
	if err := s.build(table.Addr().String()); err != nil {
		return Report{}, err
	}
	listing, stop := context.WithCancel(ctx)
	defer stop()
	go s.list(listing)

	loading, enough := context.WithTimeout(ctx, opts.Span)
	defer enough()
	faults := s.plan(rand.New(rand.NewPCG(opts.Seed, 1)))
	var group sync.WaitGroup
	group.Go(func() { s.play(faults) })
	s.load(loading, rand.New(rand.NewPCG(opts.Seed, 2)))
	group.Wait()
	s.settle(ctx)
	return s.report()
}

func (s *soak) build(table string) error {
	err := wirestandin.PutConfiguration(s.rows, 1, []document.Queue{{
		Name:        "quick",
		Pool:        "pool",
		MaxAttempts: maxAttempts,
		Stretch:     1500,
		Slack:       250,
	}})
	if err != nil {
		return Error.Wrap(err)
	}
	for i := range s.opts.Workers {
		if err := s.addWorker(i); err != nil {
			return err
		}
	}
	for i := range s.opts.VMs {
		v, err := newVM(s.opts, fmt.Sprintf("vm-%d", i), fmt.Sprintf("zone-%d", i%zones), table)
		if err != nil {
			return err
		}
		s.vms = append(s.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) addWorker(i int) error {
	name := fmt.Sprintf("w%d", i)
	w, err := wirestandin.NewWorker(wirestandin.WorkerOptions{
		ID:        name,
		Pool:      "pool",
		Zone:      fmt.Sprintf("zone-%d", i%zones),
		Rack:      "rack",
		Capacity:  s.judge.capacity,
		LeaseMax:  leaseMax * clock.Millisecond,
		StopGrace: stopGrace * clock.Millisecond,
		Slow:      i * 20 / max(s.opts.Workers, 1),
		Observer:  s.judge,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	link, err := standin.NewLink(w.Address())
	if err != nil {
		return Error.Wrap(err)
	}
	s.workers = append(s.workers, &soakWorker{
		name:    name,
		standin: w,
		link:    link,
	})
	return nil
}

// list keeps the platform's list of workers, which lags behind.
func (s *soak) list(ctx context.Context) {
	missed := map[string]int{}
	for ctx.Err() == nil {
		present := map[string]bool{}
		for _, w := range s.workers {
			key, _, alive := w.standin.Entry(w.link.Address())
			if !alive {
				continue
			}
			present[key] = true
			missed[key] = 0
			wirestandin.ListWorker(s.rows, w.standin, w.link.Address())
		}
		for key := range missed {
			if present[key] {
				continue
			}
			missed[key]++
			if missed[key] == unlisted {
				wirestandin.UnlistWorker(s.rows, key)
			}
		}
		time.Sleep(listGap)
	}
}

func (s *soak) note(what string) {
	s.notes = append(s.notes, fmt.Sprintf("%.1f s %s", time.Since(s.began).Seconds(), what))
}

// settle waits until every job has come to its end, and reports those that don't.
func (s *soak) settle(ctx context.Context) {
	until := time.Now().Add(s.opts.Settle)
	open := s.jobs
	for len(open) > 0 && time.Now().Before(until) && ctx.Err() == nil {
		var still []*handedIn
		for _, h := range open {
			if !s.over(h) {
				still = append(still, h)
			}
		}
		open = still
		time.Sleep(lookGap)
	}
	for _, h := range open {
		state, status := s.state(h)
		s.judge.report("LOST: %s accepted %v cancelled %v is %q (status %d), %d tasks run", h.job.ID, h.accepted, h.cancelled, state, status, s.judge.runningOf(h.job))
	}
}

// over reports whether a job is where it has to be.
func (s *soak) over(h *handedIn) bool {
	if !h.accepted {
		return true // it may run, or not
	}
	state, status := s.state(h)
	if status == http.StatusGone {
		s.judge.report("LOST: %s was accepted and is not known", h.job.ID)
		return true
	}
	switch {
	case state == planner.StateFailed:
		s.judge.report("MIXED: %s is shown as failed", h.job.ID)
		return true
	case state == planner.StateCompleted:
		if !s.judge.allDone(h.job) {
			s.judge.report("MIXED: %s is shown as complete and is not", h.job.ID)
		}
		return true
	case state == planner.StateCancelled:
		if !h.cancelled {
			return false // the answer to its cancelling may have been lost
		}
		return s.judge.runningOf(h.job) == 0
	case h.job.Lasts():
		return s.judge.runningOf(h.job) == h.job.Steps[0].Tasks
	}
	return false
}

func (s *soak) close() {
	var group sync.WaitGroup
	for _, v := range s.vms {
		group.Go(v.close)
	}
	group.Wait()
	for _, w := range s.workers {
		w.link.Close()
		w.standin.Close()
	}
}

func (s *soak) report() (Report, error) {
	for _, v := range s.vms {
		for _, exit := range v.exits {
			s.judge.report("EXIT: %s", exit)
		}
	}
	r := Report{
		Seed:     s.opts.Seed,
		Jobs:     len(s.jobs),
		Starts:   s.judge.begun,
		Faults:   s.notes,
		Breaches: s.judge.breaches,
	}
	for _, h := range s.jobs {
		if h.accepted {
			r.Accepted++
		}
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
		v.mu.Lock()
		text := append([]byte(nil), v.log.Bytes()...)
		v.mu.Unlock()
		if err := os.WriteFile(filepath.Join(folder, v.name+".log"), text, 0o644); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}
