// Package router decides which endpoint a request goes to, and when.
//
// A Router is a pure state machine of one entry VM: it does no I/O and reads no
// clock. It holds the slots that package limiter lets this entry VM use. A
// request takes a free slot, or waits in a queue ordered by deadline; it never
// waits at an endpoint.
//
//   - The choice falls between two endpoints with free slots taken at random
//     (Mitzenmacher, 2001), by predicted time to answer: the class's mean times
//     the endpoint's learnt slowdown. A slow pair is looked at further.
//   - A request goes to another entry VM when that one is predicted to have the
//     answer earlier, the way there and back included.
//   - A request whose target cannot be met is refused at once, not started.
//   - An endpoint that fails everything is set aside for a growing time and
//     then tried with one request.
//
// # Usage
//
//	r := router.New(router.Options{Seed: 1})
//	r.SetEndpoints(now, endpoints)
//	switch d := r.Arrive(now, request).(type) {
//	case router.Dispatch: ... then for _, d := range r.Finish(now, done) { ... }
//	case router.Queue:    // a later Finish or Fill decides
//	case router.Forward:
//	case router.Refuse:
//	}
package router

import (
	"container/heap"
	"math/rand/v2"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

const (
	choices      = 2
	moreChoices  = 6
	slowFactor   = 1.5
	forwardGain  = 5 * clock.Millisecond
	maxQueue     = 4096
	shortRetry   = 50 * clock.Millisecond
	noEndpointIn = 1 * clock.Second
)

// Options adjust a Router.
type Options struct {
	Seed uint64
}

// Router routes the requests of one entry VM. It is not safe for concurrent
// use.
type Router struct {
	random    *rand.Rand
	endpoints map[string]*station
	free      []*station
	classes   map[string]*classStats
	waiting   deadlineQueue
	byID      map[string]*waiter
	peers     []neighbour
	slots     int
	used      int
}

// station is an endpoint and what is learnt of it.
type station struct {
	id       string
	slots    int
	used     int
	freeAt   int
	slowdown float64
	learntAt clock.Time
	failures int
	aside    clock.Time
	backoff  clock.Span
	trial    bool
}

// New returns a Router without endpoints.
func New(opts Options) *Router {
	return &Router{
		random:    rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)),
		endpoints: map[string]*station{},
		classes:   map[string]*classStats{},
		byID:      map[string]*waiter{},
	}
}

// SetEndpoints tells which endpoints may be used and with how many slots. One
// that is left out, or has no slots, gets no new request.
func (r *Router) SetEndpoints(now clock.Time, endpoints []Endpoint) {
	named := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		named[e.ID] = true
		s := r.endpoints[e.ID]
		if s == nil {
			s = &station{
				id:       e.ID,
				freeAt:   -1,
				slowdown: 1,
				learntAt: now,
			}
			r.endpoints[e.ID] = s
		}
		r.setSlots(s, e.Slots)
	}
	for id, s := range r.endpoints {
		if named[id] {
			continue
		}
		r.setSlots(s, 0)
		if s.used == 0 {
			delete(r.endpoints, id)
		}
	}
}

func (r *Router) setSlots(s *station, slots int) {
	r.slots += slots - s.slots
	s.slots = slots
	r.relist(s)
}

// relist keeps the list of stations with free slots.
func (r *Router) relist(s *station) {
	free := s.used < s.slots && (!s.trial || s.used == 0)
	if free && s.freeAt < 0 {
		s.freeAt = len(r.free)
		r.free = append(r.free, s)
	}
	if !free && s.freeAt >= 0 {
		last := r.free[len(r.free)-1]
		r.free[s.freeAt] = last
		last.freeAt = s.freeAt
		r.free = r.free[:len(r.free)-1]
		s.freeAt = -1
	}
}

// Used returns how many slots of the endpoint are in use by this entry VM.
func (r *Router) Used(endpoint string) int {
	if s := r.endpoints[endpoint]; s != nil {
		return s.used
	}
	return 0
}

// Within reports whether no endpoint is used beyond its present slots.
func (r *Router) Within() bool {
	for _, s := range r.endpoints {
		if s.used > s.slots {
			return false
		}
	}
	return true
}

// Load summarises the router.
func (r *Router) Load() Load {
	free := 0
	for _, s := range r.free {
		free += s.slots - s.used
	}
	return Load{
		Slots:  r.slots,
		Free:   free,
		Queued: len(r.waiting),
		Wait:   r.waitBehind(len(r.waiting)),
	}
}

// Arrive decides about a new request.
func (r *Router) Arrive(now clock.Time, req Request) Decision {
	stats := r.class(req.Class)
	stats.budget.Earn()
	if !now.Before(req.Deadline) {
		return refuse(req, result.DeadlinePassed, shortRetry, "deadline-passed-on-arrival")
	}
	if len(r.waiting) == 0 {
		if d, ok := r.dispatch(now, req, "", "fewest-predicted-ms"); ok {
			return d
		}
	}
	return r.later(now, req, stats)
}

// later decides about a request for which no slot is free: to a peer, into the
// queue, or back to the caller.
func (r *Router) later(now clock.Time, req Request, stats *classStats) Decision {
	wait := r.waitBehind(r.waiting.ahead(req.Deadline))
	own := wait + stats.mean()
	if r.slots == 0 {
		own = req.Deadline.Sub(now) + 1
	}
	if peer, predicted, ok := r.bestPeer(now, req, stats, own); ok {
		return Forward{
			Request:   req,
			Peer:      peer,
			Predicted: predicted,
			Reason:    "earlier-elsewhere",
		}
	}
	switch {
	case r.slots == 0:
		return refuse(req, result.NoEndpoint, noEndpointIn, "no-usable-endpoint")
	case now.Add(own).After(req.Deadline) || len(r.waiting) >= maxQueue:
		return refuse(req, result.Shed, max(wait, shortRetry), "target-out-of-reach")
	}
	r.enqueue(req)
	return Queue{
		Request: req,
		Wait:    wait,
	}
}

func refuse(req Request, code result.Code, retry clock.Span, reason string) Refuse {
	return Refuse{
		Request:    req,
		Code:       code,
		RetryAfter: retry,
		Reason:     reason,
	}
}

// Hedge takes a slot at another endpoint for a second attempt of an idempotent
// request, within the budget of its class.
func (r *Router) Hedge(now clock.Time, req Request, exclude string) (Dispatch, bool) {
	if !req.Idempotent || len(r.waiting) > 0 {
		return Dispatch{}, false
	}
	stats := r.class(req.Class)
	if !stats.budget.Spend() {
		return Dispatch{}, false
	}
	return r.dispatch(now, req, exclude, "hedge-late-answer")
}

// Retry takes a slot for another attempt after one failed: of an idempotent
// request, or of any of which the endpoint has certainly seen nothing.
func (r *Router) Retry(now clock.Time, req Request, exclude string) (Dispatch, bool) {
	if !now.Before(req.Deadline) || !r.class(req.Class).budget.Spend() {
		return Dispatch{}, false
	}
	return r.dispatch(now, req, exclude, "retry-after-failure")
}

// Finish frees a slot, learns from the answer and decides about the waiting.
func (r *Router) Finish(now clock.Time, done Done) []Decision {
	s := r.endpoints[done.Endpoint]
	if s == nil {
		return nil
	}
	s.used--
	r.used--
	r.learn(now, s, done)
	r.relist(s)
	if s.slots == 0 && s.used == 0 {
		delete(r.endpoints, s.id)
	}
	return r.Fill(now)
}

// Fill decides about waiting requests: those whose target is out of reach are
// refused, the others take free slots in the order of their deadlines.
func (r *Router) Fill(now clock.Time) []Decision {
	var decisions []Decision
	for len(r.waiting) > 0 {
		w := r.waiting[0]
		if !now.Add(r.class(w.req.Class).mean() / 2).Before(w.req.Deadline) {
			r.dequeue(w)
			decisions = append(decisions, refuse(w.req, result.Shed, shortRetry, "waited-too-long"))
			continue
		}
		d, ok := r.dispatch(now, w.req, "", "earliest-deadline")
		if !ok {
			break
		}
		r.dequeue(w)
		decisions = append(decisions, d)
	}
	return decisions
}

// Cancel takes a waiting request out of the queue. It reports false if the
// request no longer waits.
func (r *Router) Cancel(id string) bool {
	w := r.byID[id]
	if w == nil {
		return false
	}
	r.dequeue(w)
	return true
}

func (r *Router) enqueue(req Request) {
	w := &waiter{req: req}
	heap.Push(&r.waiting, w)
	r.byID[req.ID] = w
}

func (r *Router) dequeue(w *waiter) {
	heap.Remove(&r.waiting, w.at)
	delete(r.byID, w.req.ID)
}
