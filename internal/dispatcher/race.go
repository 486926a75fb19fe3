package dispatcher

import (
	"sync"

	"marjoramstack/internal/endpoint"
	"marjoramstack/internal/router"
)

// race is a late attempt of an idempotent request, the primary, and its hedges. The
// first usable answer wins.
type race struct {
	dispatcher *Dispatcher
	req        Request
	dec        router.Dispatch
	primary    *endpoint.Call
	mu         sync.Mutex
	hedges     sync.WaitGroup
	answered   bool
	reply      Reply
}

func newRace(d *Dispatcher, req Request, dec router.Dispatch, primary *endpoint.Call) *race {
	return &race{
		dispatcher: d,
		req:        req,
		dec:        dec,
		primary:    primary,
	}
}

// startHedge starts a hedge if the request and its budget allow one: at another
// endpoint, or at the same one if no other has a free slot.
func (r *race) startHedge() {
	d := r.dispatcher
	now := d.opts.Clock.Now()
	d.mu.Lock()
	hedge, ok := d.router.Hedge(now, r.dec.Request, r.dec.Endpoint)
	if !ok {
		hedge, ok = d.router.Hedge(now, r.dec.Request, "")
	}
	d.mu.Unlock()
	if !ok {
		return
	}
	d.logDispatch(hedge)
	r.hedges.Go(func() { r.runHedge(hedge) })
}

// runHedge makes the attempt of a hedge. If its answer is the first, it interrupts
// the wait for the primary.
func (r *race) runHedge(dec router.Dispatch) {
	reply, ok := r.dispatcher.attemptHedge(r.req, dec)
	if !ok {
		return
	}
	r.mu.Lock()
	isFirst := !r.answered
	if isFirst {
		r.answered = true
		r.reply = reply
	}
	r.mu.Unlock()
	if isFirst {
		r.primary.Interrupt()
	}
}

// hedgeAnswered reports whether a hedge has an answer.
func (r *race) hedgeAnswered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered
}

// waitHedges waits until all hedges have ended and reports whether one has an
// answer.
func (r *race) waitHedges() bool {
	r.hedges.Wait()
	return r.hedgeAnswered()
}

// attemptHedge makes one attempt on a new connection. It returns false if there was
// no answer.
func (d *Dispatcher) attemptHedge(req Request, dec router.Dispatch) (Reply, bool) {
	d.mu.Lock()
	pool := d.pools[dec.Endpoint]
	d.mu.Unlock()
	s := &heldSlot{
		dispatcher: d,
		dec:        dec,
		acquired:   d.opts.Clock.Now(),
	}
	if pool == nil {
		s.release(false)
		return Reply{}, false
	}
	call, err := pool.BeginFresh(endpointRequest(req))
	if err != nil {
		s.release(true)
		return Reply{}, false
	}
	answer, state := call.Wait(answerTimeout(dec.Request))
	if state == endpoint.StateWaiting {
		call.Suspect()
	}
	reply, _ := d.finishCall(req, dec, call, s, answer, state)
	return reply, state == endpoint.StateAnswered
}

func endpointRequest(req Request) endpoint.Request {
	return endpoint.Request{
		ID:     req.ID,
		Method: req.Method,
		Path:   req.Path,
		Header: req.Header,
		Body:   req.Body,
	}
}
