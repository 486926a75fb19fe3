// Package router decides when each request is sent and to which endpoint.
//
// A Router is the state machine of one entry VM. It does no I/O and reads no
// clock. It manages the endpoint slots that package limiter assigns to this
// entry VM. A request takes a free slot or waits in the router's queue, ordered
// by deadline. Requests never queue at an endpoint.
//
//   - The router samples two random endpoints with free slots (Mitzenmacher,
//     2001) and takes the one with the lower predicted response time, which is
//     the mean of the class times the measured slowdown of the endpoint. If both
//     are slow, it samples more.
//   - A request is forwarded to another entry VM if the predicted response time
//     there, including the round trip, is shorter.
//   - A request that cannot meet its target is refused at once and not started.
//   - An endpoint whose requests all fail is ejected for a time that grows with
//     each ejection, and is then tried with one request at a time.
//
// # Usage
//
//	r := router.New(router.Options{Seed: 1})
//	r.SetEndpoints(now, endpoints)
//	switch d := r.Arrive(now, request).(type) {
//	case router.Dispatch: ... then for _, d := range r.Finish(now, done) { ... }
//	case router.Queue:    // a later call of Finish or Fill returns the decision
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
	sampleSize           = 2
	maxExtraSamples      = 6
	slowThreshold        = 1.5                   // slowdown above which choose samples more endpoints
	minForwardGain       = 5 * clock.Millisecond // least response time gain for forwarding
	maxQueueLength       = 4096
	minRetryAfter        = 50 * clock.Millisecond
	noEndpointRetryAfter = 1 * clock.Second
)

// Options configure a Router. Seed seeds the random choice of endpoints.
type Options struct {
	Seed uint64
}

// Router routes the requests that one entry VM receives. It is not safe for
// concurrent use.
type Router struct {
	random     *rand.Rand
	endpoints  map[string]*endpointState
	free       []*endpointState
	classes    map[string]*classStats
	queue      deadlineQueue
	queuedByID map[string]*queuedRequest
	peers      []peerState
	slots      int
	used       int
}

// endpointState holds the slots of an endpoint and the router's statistics about
// it. freeIndex is its position in Router.free, or -1. slowdown is the ratio of
// its response times to the mean of the class. halfOpen limits the endpoint to
// one request at a time after an ejection, until a request succeeds.
type endpointState struct {
	id                  string
	slots               int
	used                int
	freeIndex           int
	slowdown            float64
	updatedAt           clock.Time
	consecutiveFailures int
	ejectedUntil        clock.Time
	backoff             clock.Span
	halfOpen            bool
}

// New returns a Router without endpoints.
func New(opts Options) *Router {
	return &Router{
		random:     rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)),
		endpoints:  map[string]*endpointState{},
		classes:    map[string]*classStats{},
		queuedByID: map[string]*queuedRequest{},
	}
}

// SetEndpoints sets the usable endpoints and the number of slots of each. An
// endpoint that is missing or has no slots gets no new requests.
func (r *Router) SetEndpoints(now clock.Time, endpoints []Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.ID] = true
		s := r.endpoints[e.ID]
		if s == nil {
			s = &endpointState{
				id:        e.ID,
				freeIndex: -1,
				slowdown:  1,
				updatedAt: now,
			}
			r.endpoints[e.ID] = s
		}
		r.setSlots(s, e.Slots)
	}
	for id, s := range r.endpoints {
		if listed[id] {
			continue
		}
		r.setSlots(s, 0)
		if s.used == 0 {
			delete(r.endpoints, id)
		}
	}
}

func (r *Router) setSlots(s *endpointState, slots int) {
	r.slots += slots - s.slots
	s.slots = slots
	r.updateFree(s)
}

// updateFree adds the endpoint to the list of endpoints with free slots, or
// removes it from there.
func (r *Router) updateFree(s *endpointState) {
	free := s.used < s.slots && (!s.halfOpen || s.used == 0)
	if free && s.freeIndex < 0 {
		s.freeIndex = len(r.free)
		r.free = append(r.free, s)
	}
	if !free && s.freeIndex >= 0 {
		last := r.free[len(r.free)-1]
		r.free[s.freeIndex] = last
		last.freeIndex = s.freeIndex
		r.free = r.free[:len(r.free)-1]
		s.freeIndex = -1
	}
}

// Used returns how many slots of the endpoint this entry VM is using.
func (r *Router) Used(endpoint string) int {
	if s := r.endpoints[endpoint]; s != nil {
		return s.used
	}
	return 0
}

// Within reports whether every endpoint has at most as many requests in flight as
// it currently has slots.
func (r *Router) Within() bool {
	for _, s := range r.endpoints {
		if s.used > s.slots {
			return false
		}
	}
	return true
}

// Load returns the slots, the queue length and the predicted queueing time.
func (r *Router) Load() Load {
	free := 0
	for _, s := range r.free {
		free += s.slots - s.used
	}
	return Load{
		Slots:  r.slots,
		Free:   free,
		Queued: len(r.queue),
		Wait:   r.predictWait(len(r.queue)),
	}
}

// Arrive decides whether a new request is dispatched, queued, forwarded or
// refused.
func (r *Router) Arrive(now clock.Time, req Request) Decision {
	stats := r.class(req.Class)
	stats.budget.Earn()
	if !now.Before(req.Deadline) {
		return refuse(req, result.DeadlinePassed, minRetryAfter, "deadline-passed-on-arrival")
	}
	if len(r.queue) == 0 {
		if d, ok := r.dispatch(now, req, "", "fewest-predicted-ms"); ok {
			return d
		}
	}
	return r.decideWithoutSlot(now, req, stats)
}

// decideWithoutSlot decides about a request for which there is no free slot. It
// forwards the request to a peer, queues it or refuses it.
func (r *Router) decideWithoutSlot(now clock.Time, req Request, stats *classStats) Decision {
	wait := r.predictWait(r.queue.countAhead(req.Deadline))
	localTime := wait + stats.mean()
	if r.slots == 0 {
		localTime = req.Deadline.Sub(now) + 1
	}
	if peer, predicted, ok := r.bestPeer(now, req, stats, localTime); ok {
		return Forward{
			Request:   req,
			Peer:      peer,
			Predicted: predicted,
			Reason:    "earlier-elsewhere",
		}
	}
	switch {
	case r.slots == 0:
		return refuse(req, result.NoEndpoint, noEndpointRetryAfter, "no-usable-endpoint")
	case now.Add(localTime).After(req.Deadline) || len(r.queue) >= maxQueueLength:
		return refuse(req, result.Shed, max(wait, minRetryAfter), "target-out-of-reach")
	}
	r.enqueue(req)
	return Queue{
		Request: req,
		Wait:    wait,
	}
}

func refuse(req Request, code result.Code, retryAfter clock.Span, reason string) Refuse {
	return Refuse{
		Request:    req,
		Code:       code,
		RetryAfter: retryAfter,
		Reason:     reason,
	}
}

// Hedge reserves a slot for a second, concurrent attempt of an idempotent request
// at an endpoint other than exclude. It returns false if the request is not
// idempotent, requests are queued, the hedge and retry budget of the class is
// used up, or no slot is free.
func (r *Router) Hedge(now clock.Time, req Request, exclude string) (Dispatch, bool) {
	if !req.Idempotent || len(r.queue) > 0 {
		return Dispatch{}, false
	}
	stats := r.class(req.Class)
	if !stats.budget.Spend() {
		return Dispatch{}, false
	}
	return r.dispatch(now, req, exclude, "hedge-late-answer")
}

// Retry reserves a slot for another attempt after a failed one, at an endpoint
// other than exclude. The caller may retry an idempotent request, or any request
// that certainly did not reach the endpoint. Retry returns false if the deadline
// has passed, that budget is used up, or no slot is free.
func (r *Router) Retry(now clock.Time, req Request, exclude string) (Dispatch, bool) {
	if !now.Before(req.Deadline) || !r.class(req.Class).budget.Spend() {
		return Dispatch{}, false
	}
	return r.dispatch(now, req, exclude, "retry-after-failure")
}

// Finish releases a slot, updates the statistics with the result, and returns
// decisions about queued requests.
func (r *Router) Finish(now clock.Time, done Done) []Decision {
	s := r.endpoints[done.Endpoint]
	if s == nil {
		return nil
	}
	s.used--
	r.used--
	r.recordResult(now, s, done)
	r.updateFree(s)
	if s.slots == 0 && s.used == 0 {
		delete(r.endpoints, s.id)
	}
	return r.Fill(now)
}

// Fill returns decisions about queued requests. It refuses those that can no
// longer meet their target and dispatches the others to free slots, earliest
// deadline first.
func (r *Router) Fill(now clock.Time) []Decision {
	var decisions []Decision
	for len(r.queue) > 0 {
		w := r.queue[0]
		if !now.Add(r.class(w.req.Class).mean() / 2).Before(w.req.Deadline) {
			r.dequeue(w)
			decisions = append(decisions, refuse(w.req, result.Shed, minRetryAfter, "waited-too-long"))
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

// Cancel removes a request from the queue. It returns false if the request is not
// queued.
func (r *Router) Cancel(id string) bool {
	w := r.queuedByID[id]
	if w == nil {
		return false
	}
	r.dequeue(w)
	return true
}

func (r *Router) enqueue(req Request) {
	w := &queuedRequest{req: req}
	heap.Push(&r.queue, w)
	r.queuedByID[req.ID] = w
}

func (r *Router) dequeue(w *queuedRequest) {
	heap.Remove(&r.queue, w.index)
	delete(r.queuedByID, w.req.ID)
}
