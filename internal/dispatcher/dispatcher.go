// Package dispatcher executes requests: it gets routing decisions from package
// router, sends requests to endpoints or forwards them to other entry VMs, and
// reports their outcome.
//
// Each request runs in the goroutine of the caller's connection. One lock protects
// the router and the slot sharer. No I/O is done while it is held.
//
// # Outcomes
//
// A non-idempotent request is an order. It is claimed in the ledger before it is
// sent to an endpoint, is delivered to at most one endpoint and at most once, and its
// outcome is recorded before the caller is told. An idempotent request may be
// retried and hedged within the retry budget of its class.
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

// Request is a validated request of a caller.
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
	// Deadline is when the answer is due. A late answer is still returned.
	Deadline clock.Time
}

// Reply is the result returned to the caller: the endpoint's answer, or a code
// with the reason why there is none.
type Reply struct {
	Code       result.Code
	Detail     string
	Status     int
	Header     http.Header
	Body       []byte
	Endpoint   string
	RetryAfter clock.Span
}

// Endpoint is an endpoint of the local availability zone. Worker is the worker
// that hosts it, "" if none does.
type Endpoint struct {
	ID      string
	Address string
	Slots   int
	Worker  string
}

// Forwarder forwards requests to other entry VMs.
type Forwarder interface {
	Forward(ctx context.Context, id string, request *peerpb.ForwardRequest) (*peerpb.ForwardReply, error)
}

// Options are the dependencies and settings of a Dispatcher.
type Options struct {
	Clock     clock.Clock
	Log       *logger.Logger
	Sharer    *limiter.Sharer
	Ledger    *ledger.Ledger
	Forwarder Forwarder
	Scope     tally.Scope
	Seed      uint64
	// Pool configures the connection pool of each endpoint. Tests set its Dial to
	// replace the TCP dialer.
	Pool endpoint.Options
}

// Dispatcher executes requests. It is safe for concurrent use.
type Dispatcher struct {
	opts      Options
	mu        sync.Mutex
	router    *router.Router
	sharer    *limiter.Sharer
	endpoints map[string]Endpoint
	pools     map[string]*endpoint.Pool
	leaving   map[string]bool
	waiters   map[string]chan router.Decision
	wasLive   bool
	draining  atomic.Bool
	inFlight  atomic.Int64
	pressure  map[string]*workerPressure
}

// New returns a Dispatcher without endpoints.
func New(opts Options) *Dispatcher {
	if opts.Pool.Clock == nil {
		opts.Pool.Clock = opts.Clock
	}
	return &Dispatcher{
		opts:      opts,
		router:    router.New(router.Options{Seed: opts.Seed}),
		sharer:    opts.Sharer,
		endpoints: map[string]Endpoint{},
		pools:     map[string]*endpoint.Pool{},
		leaving:   map[string]bool{},
		waiters:   map[string]chan router.Decision{},
		pressure:  map[string]*workerPressure{},
	}
}

// Update replaces the set of endpoints that may get new requests. An endpoint that
// has announced that it is leaving gets none until one call has omitted it.
func (d *Dispatcher) Update(endpoints []Endpoint) {
	d.mu.Lock()
	listed := make(map[string]bool, len(endpoints))
	for _, ep := range endpoints {
		listed[ep.ID] = true
		d.addEndpoint(ep)
	}
	var closed []*endpoint.Pool
	for id := range d.endpoints {
		if listed[id] {
			continue
		}
		delete(d.endpoints, id)
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

func (d *Dispatcher) addEndpoint(ep Endpoint) {
	old, known := d.endpoints[ep.ID]
	d.endpoints[ep.ID] = ep
	if !known || old.Address != ep.Address || d.pools[ep.ID] == nil {
		d.pools[ep.ID] = endpoint.NewPool(ep.Address, d.opts.Pool)
	}
}

// refresh passes the slots that the sharer allows now to the router. The caller
// must hold d.mu.
func (d *Dispatcher) refresh() []router.Decision {
	now := d.opts.Clock.Now()
	d.wasLive = d.sharer.Live(now)
	endpoints := make([]router.Endpoint, 0, len(d.endpoints))
	for _, ep := range d.endpoints {
		slots := 0
		if !d.leaving[ep.ID] {
			slots = d.sharer.Slots(now, ep.ID, ep.Slots)
		}
		endpoints = append(endpoints, router.Endpoint{
			ID:    ep.ID,
			Slots: slots,
		})
		// One more than the slots, for the probe.
		d.pools[ep.ID].SetMaxIdle(slots + 1)
	}
	d.router.SetEndpoints(now, endpoints)
	return d.router.Fill(now)
}

// Tick advances the clock of the sharer and updates the slots and the queue. Peers
// are the entry VMs to which requests can be forwarded; nil keeps the last ones.
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

// Sweep closes connections to endpoints that have been idle or open for too long.
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

// WithSharer calls fn with the sharer while holding the dispatcher's lock, and
// then updates the slots of the router.
func (d *Dispatcher) WithSharer(fn func(*limiter.Sharer)) {
	d.mu.Lock()
	fn(d.sharer)
	decisions := d.refresh()
	d.mu.Unlock()
	d.deliver(decisions)
}

// Announce returns the view for the next heartbeat, whether the sharer is Live, and
// the load of the router.
func (d *Dispatcher) Announce() ([]string, bool, router.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	live := d.sharer.Live(d.opts.Clock.Now())
	return d.sharer.Announce(d.router.Within), live, d.router.Load()
}

// Drain refuses new requests and waits until those in flight have finished or ctx
// ends. It reports whether all have finished.
func (d *Dispatcher) Drain(ctx context.Context) bool {
	d.draining.Store(true)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for d.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// drainPollInterval is how often Drain checks for requests in flight.
const drainPollInterval = 10 * time.Millisecond

// deliver sends each decision to the queued request that waits for it.
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

// finish returns a slot to the router, which may give it to a queued request.
func (d *Dispatcher) finish(done router.Done) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	decisions := d.router.Finish(now, done)
	d.mu.Unlock()
	d.deliver(decisions)
}
