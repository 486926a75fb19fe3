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

// soakWorker is a stand-in worker that is reached through a relay.
type soakWorker struct {
	name    string
	standin *wirestandin.Worker
	link    *standin.Link
}

const (
	poolName        = "pool"
	zoneCount       = 3
	defaultSlack    = 250 * clock.Millisecond
	stretchPermille = 1500
	// maxClockLag is by how many thousandths the slowest worker clock runs slow.
	maxClockLag       = 20
	listInterval      = 300 * time.Millisecond
	unlistAfterMisses = 5 // consecutive updates that a silent worker misses before it is removed
)

func (s *soak) build() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Error.Wrap(err)
	}
	go s.tableServer.Serve(listener)
	s.useFirstKeys()
	if err := s.configure(defaultSlack); err != nil {
		return err
	}
	s.addEvent("base delay of the table links: " + s.tableLinkFaults.Delay.String())
	for i := range s.opts.Workers {
		if err := s.addWorker(i); err != nil {
			return err
		}
	}
	for i := range s.opts.VMs {
		v, err := newVM(s.opts, fmt.Sprintf("vm-%d", i), fmt.Sprintf("zone-%d", i%zoneCount), listener.Addr().String())
		if err != nil {
			return err
		}
		v.storeLink.SetFaults(s.tableLinkFaults)
		s.vms = append(s.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// configure writes the next version of the configuration.
func (s *soak) configure(slack clock.Span) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion++
	err := wirestandin.PutConfiguration(s.rows, s.configVersion, []document.Queue{{
		Name:        queueName,
		Pool:        poolName,
		MaxAttempts: maxAttempts,
		Stretch:     stretchPermille,
		Slack:       slack,
	}}, s.customers.current())
	return Error.Wrap(err)
}

func (s *soak) addWorker(i int) error {
	name := fmt.Sprintf("w%d", i)
	w, err := wirestandin.NewWorker(wirestandin.WorkerOptions{
		ID:        name,
		Pool:      poolName,
		Zone:      fmt.Sprintf("zone-%d", i%zoneCount),
		Rack:      "rack",
		Capacity:  s.checker.capacity,
		LeaseMax:  leaseMax * clock.Millisecond,
		StopGrace: stopGrace * clock.Millisecond,
		Slow:      i * maxClockLag / s.opts.Workers,
		Observer:  s.checker,
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

// updateWorkerList keeps the list of workers of the platform up to date, with a lag.
func (s *soak) updateWorkerList(ctx context.Context) {
	misses := map[string]int{}
	for ctx.Err() == nil {
		present := map[string]bool{}
		for _, w := range s.workers {
			key, _, alive := w.standin.Entry(w.link.Address())
			if !alive {
				continue
			}
			present[key] = true
			misses[key] = 0
			wirestandin.RegisterWorker(s.rows, w.standin, w.link.Address())
		}
		for key := range misses {
			if present[key] {
				continue
			}
			misses[key]++
			if misses[key] == unlistAfterMisses {
				wirestandin.UnregisterWorker(s.rows, key)
			}
		}
		time.Sleep(listInterval)
	}
}

func (s *soak) close() {
	var group sync.WaitGroup
	for _, v := range s.vms {
		group.Go(v.close)
	}
	group.Wait()
	s.tableServer.Close()
	for _, w := range s.workers {
		w.link.Close()
		w.standin.Close()
	}
}
