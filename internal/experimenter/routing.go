package experimenter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"marjoramstack/internal/limiter"
	"marjoramstack/internal/router"
	"marjoramstack/pkg/clock"
)

// RoutingPlan describes a routing experiment: the real router of several entry
// VMs, and baselines, against endpoints in virtual time.
type RoutingPlan struct {
	Entries   int     `yaml:"entries"`
	Endpoints int     `yaml:"endpoints"`
	Slots     int     `yaml:"slots"`
	ServiceMs float64 `yaml:"service-ms"`
	// Uneven spreads the endpoints' speeds: factors from 1-uneven to 1+uneven.
	Uneven float64 `yaml:"uneven,omitempty"`
	// SlowShare of the endpoints take SlowFactor times as long.
	SlowShare  float64 `yaml:"slow-share,omitempty"`
	SlowFactor float64 `yaml:"slow-factor,omitempty"`
	// Load is the share of the slots that is busy on average.
	Load     float64 `yaml:"load"`
	Requests int     `yaml:"requests"`
	TargetMs float64 `yaml:"target-ms"`
	HopMs    float64 `yaml:"hop-ms"`
	BeatMs   float64 `yaml:"beat-ms"`
}

// arrivals is one trace of requests, the same for every policy.
type arrival struct {
	at      float64
	entry   int
	service float64
}

// policyOutcome is what a policy made of a trace.
type policyOutcome struct {
	latencies []float64
	refused   int
	hops      int
}

func (o policyOutcome) quantile(q float64) float64 {
	if len(o.latencies) == 0 {
		return 0
	}
	slices.Sort(o.latencies)
	return o.latencies[int(q*float64(len(o.latencies)-1))]
}

// runRouting plays one trace under each policy.
func runRouting(plan RoutingPlan, seed uint64) (map[string]float64, error) {
	random := rand.New(rand.NewPCG(seed, 3))
	factors := endpointFactors(plan, random)
	trace := routingTrace(plan, factors, random)
	own := simulateOwn(plan, factors, trace, seed)
	rr := simulateQueues(plan, factors, trace, pickRoundRobin(plan))
	least := simulateQueues(plan, factors, trace, pickLeast)
	central := simulateCentral(plan, factors, trace, rand.New(rand.NewPCG(seed, 5)))
	figures := map[string]float64{
		"p99-ms":                    own.quantile(0.99),
		"p50-ms":                    own.quantile(0.5),
		"central-p99-ms":            central.quantile(0.99),
		"round-robin-p99-ms":        rr.quantile(0.99),
		"least-connections-p99-ms":  least.quantile(0.99),
		"p99-vs-central":            own.quantile(0.99) / central.quantile(0.99),
		"p99-vs-round-robin":        own.quantile(0.99) / rr.quantile(0.99),
		"p99-vs-least-connections":  own.quantile(0.99) / least.quantile(0.99),
		"refused-share":             float64(own.refused) / float64(len(trace)),
		"forwarded-share":           float64(own.hops) / float64(len(trace)),
		"answered-or-refused-share": float64(len(own.latencies)+own.refused) / float64(len(trace)),
	}
	return figures, nil
}

func endpointFactors(plan RoutingPlan, random *rand.Rand) []float64 {
	factors := make([]float64, plan.Endpoints)
	slow := int(plan.SlowShare * float64(plan.Endpoints))
	for i := range factors {
		factors[i] = 1 + plan.Uneven*(2*random.Float64()-1)
		if i < slow {
			factors[i] *= plan.SlowFactor
		}
	}
	return factors
}

func routingTrace(plan RoutingPlan, factors []float64, random *rand.Rand) []arrival {
	perMs := 0.0
	for _, f := range factors {
		perMs += float64(plan.Slots) / (plan.ServiceMs * f)
	}
	rate := plan.Load * perMs
	trace := make([]arrival, plan.Requests)
	at := 0.0
	for i := range trace {
		at += random.ExpFloat64() / rate
		trace[i] = arrival{
			at:      at,
			entry:   random.IntN(plan.Entries),
			service: random.ExpFloat64() * plan.ServiceMs,
		}
	}
	return trace
}

// happening is an event of virtual time.
type happening struct {
	at float64
	fn func()
}

type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push adds a happening; container/heap calls it.
func (a *agenda) Push(x any) { *a = append(*a, x.(happening)) }

// Pop removes the last happening; container/heap calls it.
func (a *agenda) Pop() any {
	old := *a
	h := old[len(old)-1]
	*a = old[:len(old)-1]
	return h
}

// world is virtual time in milliseconds.
type world struct {
	now    float64
	agenda agenda
}

func (w *world) after(span float64, fn func()) {
	heap.Push(&w.agenda, happening{at: w.now + span, fn: fn})
}

func (w *world) run() {
	for len(w.agenda) > 0 {
		h := heap.Pop(&w.agenda).(happening)
		w.now = h.at
		h.fn()
	}
}

func (w *world) clock() clock.Time { return clock.Time(1 + int64(w.now)) }

// ownWorld drives the routers of several entry VMs.
type ownWorld struct {
	world
	plan    RoutingPlan
	factors []float64
	routers []*router.Router
	trace   []arrival
	pending map[string]*flight
	outcome policyOutcome
	left    int
}

// flight is a request under way.
type flight struct {
	id      string
	arrived float64
	service float64

	back float64
}

func simulateOwn(plan RoutingPlan, factors []float64, trace []arrival, seed uint64) policyOutcome {
	w := &ownWorld{
		plan:    plan,
		factors: factors,
		trace:   trace,
		pending: map[string]*flight{},
		left:    len(trace),
	}
	members := make([]string, plan.Entries)
	for i := range members {
		members[i] = fmt.Sprintf("entry-%d", i)
	}
	for i := range members {
		r := router.New(router.Options{Seed: seed + uint64(i)})
		r.SetEndpoints(0, w.shares(members, i))
		w.routers = append(w.routers, r)
	}
	for i, a := range trace {
		heap.Push(&w.agenda, happening{at: a.at, fn: func() { w.arrive(i, a) }})
	}
	w.beat()
	w.tick()
	w.run()
	return w.outcome
}

func (w *ownWorld) shares(members []string, me int) []router.Endpoint {
	var list []router.Endpoint
	for e := range w.factors {
		id := endpointID(e)
		n := 0
		for slot := range w.plan.Slots {
			if limiter.Owner(members, id, slot) == members[me] {
				n++
			}
		}
		list = append(list, router.Endpoint{ID: id, Slots: n})
	}
	return list
}

func endpointID(e int) string { return fmt.Sprintf("e%04d", e) }

// beat has every entry VM learn what the others had free a beat ago.
func (w *ownWorld) beat() {
	for i, r := range w.routers {
		var peers []router.Peer
		for j, other := range w.routers {
			if i == j {
				continue
			}
			load := other.Load()
			peers = append(peers, router.Peer{
				ID:      fmt.Sprintf("entry-%d", j),
				Delay:   clock.Span(2 * w.plan.HopMs),
				Free:    load.Free,
				Wait:    load.Wait,
				Heard:   w.clock(),
				OwnZone: true,
			})
		}
		r.SetPeers(peers)
	}
	if w.left > 0 {
		w.after(w.plan.BeatMs, w.beat)
	}
}

func (w *ownWorld) tick() {
	for i, r := range w.routers {
		w.decided(i, r.Fill(w.clock()))
	}
	if w.left > 0 {
		w.after(50, w.tick)
	}
}

func (w *ownWorld) arrive(i int, a arrival) {
	f := &flight{
		id:      fmt.Sprintf("r%d", i),
		arrived: w.now,
		service: a.service,
	}
	w.pending[f.id] = f
	w.enter(a.entry, f, false)
}

func (w *ownWorld) enter(entry int, f *flight, forwarded bool) {
	now := w.clock()
	d := w.routers[entry].Arrive(now, router.Request{
		ID:         f.id,
		Class:      "quote",
		Arrived:    now,
		Deadline:   clock.Time(f.arrived + w.plan.TargetMs),
		Idempotent: true,
		Forwarded:  forwarded,
	})
	w.decided(entry, []router.Decision{d})
}

func (w *ownWorld) decided(entry int, decisions []router.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case router.Dispatch:
			w.dispatch(entry, d)
		case router.Forward:
			var to int
			fmt.Sscanf(d.Peer, "entry-%d", &to)
			w.outcome.hops++
			f := w.pending[d.Request.ID]
			f.back = w.plan.HopMs
			w.after(w.plan.HopMs, func() { w.enter(to, f, true) })
		case router.Refuse:
			w.outcome.refused++
			w.done(d.Request.ID)
		}
	}
}

func (w *ownWorld) dispatch(entry int, d router.Dispatch) {
	f := w.pending[d.Request.ID]
	var e int
	fmt.Sscanf(d.Endpoint, "e%d", &e)
	span := f.service * w.factors[e]
	w.after(span, func() {
		w.outcome.latencies = append(w.outcome.latencies, w.now+f.back-f.arrived)
		w.done(f.id)
		w.decided(entry, w.routers[entry].Finish(w.clock(), router.Done{
			Endpoint: d.Endpoint,
			Class:    "quote",
			Span:     clock.Span(span),
		}))
	})
}

func (w *ownWorld) done(id string) {
	delete(w.pending, id)
	w.left--
}
