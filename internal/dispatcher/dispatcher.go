// Package dispatcher carries requests out: it asks package router where they
// go, hands them to endpoints or to other entry VMs, and says what became of
// them.
//
// Each request runs in the goroutine of the caller's connection. The router and
// the sharer of slots are held by one lock, which no I/O is done under.
//
// # Outcomes
//
// A non-idempotent request is an order. It is claimed in the ledger before it
// is handed to an endpoint, is handed to one endpoint at most once, and its
// outcome is recorded before the caller is told. An idempotent request may be
// tried again and hedged within the budget of its class.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Options{...})
//	d.Update(endpoints)
//	reply := d.Handle(ctx, request)
package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"marjoramstack/internal/endpoint"
	"marjoramstack/internal/ledger"
	"marjoramstack/internal/limiter"
	"marjoramstack/internal/logger"
	"marjoramstack/internal/peer/peerpb"
	"marjoramstack/internal/router"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

// Request is a request of a caller that has been checked.
type Request struct {
	ID         string
	Key        string
	Class      string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
	Forwarded  bool
	// Deadline is when the answer is due. A late answer is still passed on.
	Deadline clock.Time
}

// Reply is what the caller is told.
type Reply struct {
	Code       result.Code
	Detail     string
	Status     int
	Header     http.Header
	Body       []byte
	Endpoint   string
	RetryAfter clock.Span
}

// Endpoint is an endpoint of the local availability zone.
type Endpoint struct {
	ID      string
	Address string
	Slots   int
	Worker  string
}

// Forwarder passes a request on to another entry VM.
type Forwarder interface {
	Forward(ctx context.Context, id string, request *peerpb.ForwardRequest) (*peerpb.ForwardReply, error)
}

// Options say with what a Dispatcher works.
type Options struct {
	Clock     clock.Clock
	Log       *logger.Logger
	Sharer    *limiter.Sharer
	Ledger    *ledger.Ledger
	Forwarder Forwarder
	Scope     tally.Scope
	Seed      uint64
	// Dial replaces the TCP dialer of endpoint pools in tests.
	Pool endpoint.Options
}

// Dispatcher carries out requests. It is safe for concurrent use.
type Dispatcher struct {
	opts     Options
	mu       sync.Mutex
	router   *router.Router
	sharer   *limiter.Sharer
	stations map[string]Endpoint
	pools    map[string]*endpoint.Pool
	leaving  map[string]bool
	waiters  map[string]chan router.Decision
	live     bool
	closing  atomic.Bool
	active   atomic.Int64
	pressure map[string]*pressure
}

// New returns a Dispatcher without endpoints.
func New(opts Options) *Dispatcher {
	if opts.Pool.Clock == nil {
		opts.Pool.Clock = opts.Clock
	}
	return &Dispatcher{
		opts:     opts,
		router:   router.New(router.Options{Seed: opts.Seed}),
		sharer:   opts.Sharer,
		stations: map[string]Endpoint{},
		pools:    map[string]*endpoint.Pool{},
		leaving:  map[string]bool{},
		waiters:  map[string]chan router.Decision{},
		pressure: map[string]*pressure{},
	}
}

// Update tells the endpoints that may get new requests. One that has said
// itself that it is leaving gets none until it has been left out once.
func (d *Dispatcher) Update(stations []Endpoint) {
	d.mu.Lock()
	named := make(map[string]bool, len(stations))
	for _, s := range stations {
		named[s.ID] = true
		d.station(s)
	}
	var closed []*endpoint.Pool
	for id := range d.stations {
		if named[id] {
			continue
		}
		delete(d.stations, id)
		delete(d.leaving, id)
		if d.router.Used(id) == 0 {
			closed = append(closed, d.pools[id])
			delete(d.pools, id)
		}
	}
	decisions := d.refresh()
	d.mu.Unlock()
	for _, p := range closed {
		p.Close()
	}
	d.deliver(decisions)
}

func (d *Dispatcher) station(s Endpoint) {
	old, known := d.stations[s.ID]
	d.stations[s.ID] = s
	if !known || old.Address != s.Address || d.pools[s.ID] == nil {
		d.pools[s.ID] = endpoint.NewPool(s.Address, d.opts.Pool)
	}
}

// refresh gives the router the slots that the sharer allows now; its caller
// holds the lock.
func (d *Dispatcher) refresh() []router.Decision {
	now := d.opts.Clock.Now()
	d.live = d.sharer.Live(now)
	endpoints := make([]router.Endpoint, 0, len(d.stations))
	for _, s := range d.stations {
		slots := 0
		if !d.leaving[s.ID] {
			slots = d.sharer.Slots(now, s.ID, s.Slots)
		}
		endpoints = append(endpoints, router.Endpoint{
			ID:    s.ID,
			Slots: slots,
		})
		// One more than can be in use, for the probe.
		d.pools[s.ID].Keep(slots + 1)
	}
	d.router.SetEndpoints(now, endpoints)
	return d.router.Fill(now)
}

// Tick lets time act on the sharer, the queue and the connections. Peers are
// the entry VMs that requests can be passed to.
func (d *Dispatcher) Tick(peers []router.Peer) {
	d.mu.Lock()
	d.sharer.Tick(d.opts.Clock.Now())
	if peers != nil {
		d.router.SetPeers(peers)
	}
	decisions := d.refresh()
	d.mu.Unlock()
	d.deliver(decisions)
}

// Sweep closes connections that are too old.
func (d *Dispatcher) Sweep() {
	d.mu.Lock()
	pools := make([]*endpoint.Pool, 0, len(d.pools))
	for _, p := range d.pools {
		pools = append(pools, p)
	}
	d.mu.Unlock()
	for _, p := range pools {
		p.Sweep()
	}
}

// WithSharer calls fn with the sharer under the dispatcher's lock, and renews
// the slots by what fn changed.
func (d *Dispatcher) WithSharer(fn func(*limiter.Sharer)) {
	d.mu.Lock()
	fn(d.sharer)
	decisions := d.refresh()
	d.mu.Unlock()
	d.deliver(decisions)
}

// Announce returns the view for the next heartbeat, whether this member is sure
// of it, and the router's load.
func (d *Dispatcher) Announce() ([]string, bool, router.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	live := d.sharer.Live(d.opts.Clock.Now())
	return d.sharer.Announce(d.router.Within), live, d.router.Load()
}

// Drain has new requests refused and waits until those in progress are done or
// ctx ends. It reports whether all were done.
func (d *Dispatcher) Drain(ctx context.Context) bool {
	d.closing.Store(true)
	ticker := time.NewTicker(drainLook)
	defer ticker.Stop()
	for d.active.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// drainLook is how often Drain looks whether requests are in progress.
const drainLook = 10 * time.Millisecond

// deliver passes decisions to the requests that wait for them.
func (d *Dispatcher) deliver(decisions []router.Decision) {
	if len(decisions) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, decision := range decisions {
		id := requestOf(decision).ID
		if ch := d.waiters[id]; ch != nil {
			delete(d.waiters, id)
			ch <- decision
		}
	}
}

func requestOf(decision router.Decision) router.Request {
	switch dec := decision.(type) {
	case router.Dispatch:
		return dec.Request
	case router.Queue:
		return dec.Request
	case router.Forward:
		return dec.Request
	case router.Refuse:
		return dec.Request
	}
	return router.Request{}
}

// finish frees a slot and lets the waiting have it.
func (d *Dispatcher) finish(done router.Done) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	decisions := d.router.Finish(now, done)
	d.mu.Unlock()
	d.deliver(decisions)
}
