package soaker

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	wirestandin "marjoramstack/platform/standin"
)

// soakWorker is a worker behind a relay.
type soakWorker struct {
	name    string
	standin *wirestandin.Worker
	link    *standin.Link
}

const (
	pool    = "pool"
	zones   = 3
	slack   = 250 * clock.Millisecond
	stretch = 1500 // thousandths
	// slowest is by how many thousandths the slowest clock of a worker is slow.
	slowest  = 20
	listGap  = 300 * time.Millisecond
	unlisted = 5 // entries in a row that a dark worker misses until it is dropped
)

func (s *soak) build() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Error.Wrap(err)
	}
	go s.table.Serve(listener)
	if err := s.configure(slack); err != nil {
		return err
	}
	s.note("usual delay of the table: " + s.usual.Delay.String())
	for i := range s.opts.Workers {
		if err := s.addWorker(i); err != nil {
			return err
		}
	}
	for i := range s.opts.VMs {
		v, err := newVM(s.opts, fmt.Sprintf("vm-%d", i), fmt.Sprintf("zone-%d", i%zones), listener.Addr().String())
		if err != nil {
			return err
		}
		v.store.SetFaults(s.usual)
		s.vms = append(s.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// configure writes the next version of what operators ask for.
func (s *soak) configure(slack clock.Span) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	err := wirestandin.PutConfiguration(s.rows, s.version, []document.Queue{{
		Name:        queueName,
		Pool:        pool,
		MaxAttempts: maxAttempts,
		Stretch:     stretch,
		Slack:       slack,
	}})
	return Error.Wrap(err)
}

func (s *soak) addWorker(i int) error {
	name := fmt.Sprintf("w%d", i)
	w, err := wirestandin.NewWorker(wirestandin.WorkerOptions{
		ID:        name,
		Pool:      pool,
		Zone:      fmt.Sprintf("zone-%d", i%zones),
		Rack:      "rack",
		Capacity:  s.judge.capacity,
		LeaseMax:  leaseMax * clock.Millisecond,
		StopGrace: stopGrace * clock.Millisecond,
		Slow:      i * slowest / s.opts.Workers,
		Observer:  s.judge,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	link, err := standin.NewLink(w.Address())
	if err != nil {
		w.Close()
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
			wirestandin.RegisterWorker(s.rows, w.standin, w.link.Address())
		}
		for key := range missed {
			if present[key] {
				continue
			}
			missed[key]++
			if missed[key] == unlisted {
				wirestandin.UnregisterWorker(s.rows, key)
			}
		}
		time.Sleep(listGap)
	}
}

func (s *soak) close() {
	var group sync.WaitGroup
	for _, v := range s.vms {
		group.Go(v.close)
	}
	group.Wait()
	s.table.Close()
	for _, w := range s.workers {
		w.link.Close()
		w.standin.Close()
	}
}
