package standin

import (
	"fmt"
	"net"
	"net/http"

	"marjoramstack/internal/platform"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Layout gives the number of stand-ins in a Site and their options. Worker is the
// size of each worker. Slots, Service and Random apply to each endpoint, Slowdowns
// and Lag to each worker.
type Layout struct {
	Zones            []string
	WorkersPerZone   int
	EndpointsPerZone int
	WorkersPerRack   int
	Worker           document.Size
	Slots            int
	Service          clock.Span
	Random           bool
	Slowdowns        []Slowdown
	Lag              clock.Span
	Seed             uint64
}

// Site runs a platform, workers and endpoints, each with a separate listener on
// loopback.
type Site struct {
	Platform  *Platform
	Workers   map[string]*Worker
	Endpoints map[string]*Endpoint
	// Links are the proxies in front of the endpoints, by endpoint ID.
	Links map[string]*Link
	// PlatformLinks are the proxies in front of the platform, one for each zone.
	PlatformLinks map[string]*Link
	fleet         platform.Fleet
	servers       []*http.Server
}

// NewSite starts the stand-ins that layout describes and lists them in the
// platform's fleet.
func NewSite(layout Layout) (*Site, error) {
	s := &Site{
		Platform:      NewPlatform(),
		Workers:       map[string]*Worker{},
		Endpoints:     map[string]*Endpoint{},
		Links:         map[string]*Link{},
		PlatformLinks: map[string]*Link{},
	}
	address, err := s.serve(s.Platform)
	if err != nil {
		return nil, err
	}
	for i, zone := range layout.Zones {
		link, err := NewLink(address)
		if err != nil {
			return nil, err
		}
		s.PlatformLinks[zone] = link
		if err := s.addZone(layout, zone, i); err != nil {
			return nil, err
		}
	}
	s.Platform.SetFleet(s.fleet)
	return s, nil
}

func (s *Site) addZone(layout Layout, zone string, zoneIndex int) error {
	for i := range layout.WorkersPerZone {
		if err := s.addWorker(layout, zone, i); err != nil {
			return err
		}
	}
	for i := range layout.EndpointsPerZone {
		if err := s.addEndpoint(layout, zone, i, uint64(zoneIndex*1000+i)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) addWorker(layout Layout, zone string, i int) error {
	id := fmt.Sprintf("%s-w%d", zone, i)
	w := NewWorker(WorkerOptions{
		ID:        id,
		Size:      layout.Worker,
		Clock:     clock.NewWall(),
		Offset:    clock.Span(i) * clock.Minute,
		Slowdowns: layout.Slowdowns,
		Lag:       layout.Lag,
	})
	address, err := s.serve(w)
	if err != nil {
		return err
	}
	s.Workers[id] = w
	s.fleet.VMs = append(s.fleet.VMs, platform.VM{
		ID:           id,
		Kind:         platform.KindWorker,
		Zone:         zone,
		Rack:         fmt.Sprintf("%s-r%d", zone, i/max(layout.WorkersPerRack, 1)),
		Address:      address,
		Processors:   layout.Worker.Processors,
		Memory:       layout.Worker.Memory,
		Accelerators: layout.Worker.Accelerators,
	})
	return nil
}

func (s *Site) addEndpoint(layout Layout, zone string, i int, seed uint64) error {
	id := fmt.Sprintf("%s-e%d", zone, i)
	e := NewEndpoint(EndpointOptions{
		ID:      id,
		Slots:   layout.Slots,
		Service: layout.Service,
		Random:  layout.Random,
		Seed:    layout.Seed + seed,
	})
	address, err := s.serve(e)
	if err != nil {
		return err
	}
	link, err := NewLink(address)
	if err != nil {
		return err
	}
	s.Endpoints[id] = e
	s.Links[id] = link
	vm := platform.VM{
		ID:          id,
		Kind:        platform.KindEndpoint,
		Zone:        zone,
		Address:     link.Address(),
		Slots:       layout.Slots,
		Connections: 8 * layout.Slots,
	}
	if layout.WorkersPerZone > 0 {
		vm.Host = fmt.Sprintf("%s-w%d", zone, i%layout.WorkersPerZone)
	}
	s.fleet.VMs = append(s.fleet.VMs, vm)
	return nil
}

// serve starts a server on a free loopback port and returns its address.
func (s *Site) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go server.Serve(listener)
	return listener.Addr().String(), nil
}

// Fleet returns the VMs of all workers and endpoints.
func (s *Site) Fleet() platform.Fleet { return s.fleet }

// Close stops all servers and links.
func (s *Site) Close() {
	for _, l := range s.Links {
		l.Close()
	}
	for _, l := range s.PlatformLinks {
		l.Close()
	}
	for _, server := range s.servers {
		server.Close()
	}
}

// Violations describes the safety violations seen by the workers, or returns nil: a
// task with two attempts running at once, a worker given more than its capacity.
func (s *Site) Violations() []string {
	var faults []string
	byTask := map[string][]Run{}
	for id, w := range s.Workers {
		record := w.Record()
		if record.Overfull > 0 {
			faults = append(faults, fmt.Sprintf("worker %s was overfull %d times", id, record.Overfull))
		}
		for _, r := range record.Runs {
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
	for task, runs := range byTask {
		if anyOverlap(runs) {
			faults = append(faults, fmt.Sprintf("task %s ran several attempts at once: %+v", task, runs))
		}
	}
	return faults
}

// overlapSlack tolerates the offset of a few milliseconds between the wall clocks
// of the stand-ins, each of which derives its offset when it is created.
const overlapSlack = 20 * clock.Millisecond

func anyOverlap(runs []Run) bool {
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if endsBefore(a, b) || endsBefore(b, a) {
				continue
			}
			return true
		}
	}
	return false
}

func endsBefore(a, b Run) bool { return a.End != 0 && a.End <= b.Start.Add(overlapSlack) }

// RunsPerKey returns how often the endpoints ran the requests of each idempotency
// key, summed over all endpoints. Requests without a key are not counted.
func (s *Site) RunsPerKey() map[string]int {
	counts := map[string]int{}
	for _, e := range s.Endpoints {
		for _, served := range e.Record().Served {
			if served.Key != "" {
				counts[served.Key]++
			}
		}
	}
	return counts
}
