package dispatcher

import (
	"sync"

	"marjoramstack/internal/endpoint"
	"marjoramstack/internal/router"
)

// race is a late attempt of an idempotent request with further attempts beside
// it. The first usable answer wins.
type race struct {
	dispatcher *Dispatcher
	req        Request
	dec        router.Dispatch
	first      *endpoint.Call
	mu         sync.Mutex
	running    sync.WaitGroup
	decided    bool
	reply      Reply
}

func newRace(d *Dispatcher, req Request, dec router.Dispatch, first *endpoint.Call) *race {
	return &race{
		dispatcher: d,
		req:        req,
		dec:        dec,
		first:      first,
	}
}

// hedge starts one more attempt if the request may have one: at another
// endpoint, or at the same one if that is the only one with a slot.
func (r *race) hedge() {
	d := r.dispatcher
	now := d.opts.Clock.Now()
	d.mu.Lock()
	second, ok := d.router.Hedge(now, r.dec.Request, r.dec.Endpoint)
	if !ok {
		second, ok = d.router.Hedge(now, r.dec.Request, "")
	}
	d.mu.Unlock()
	if !ok {
		return
	}
	d.logDispatch(second)
	r.running.Go(func() { r.try(second) })
}

// try makes a further attempt and, if its answer is the first, ends the wait
// for the others.
func (r *race) try(dec router.Dispatch) {
	reply, ok := r.dispatcher.hedgeOnce(r.req, dec)
	if !ok {
		return
	}
	r.mu.Lock()
	won := !r.decided
	if won {
		r.decided = true
		r.reply = reply
	}
	r.mu.Unlock()
	if won {
		r.first.Interrupt()
	}
}

// won reports whether a further attempt has its answer.
func (r *race) won() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decided
}

// wait waits for the further attempts and reports whether one has an answer.
func (r *race) wait() bool {
	r.running.Wait()
	return r.won()
}

// hedgeOnce makes one further attempt.
func (d *Dispatcher) hedgeOnce(req Request, dec router.Dispatch) (Reply, bool) {
	d.mu.Lock()
	pool := d.pools[dec.Endpoint]
	d.mu.Unlock()
	s := &slot{
		dispatcher: d,
		dec:        dec,
		began:      d.opts.Clock.Now(),
	}
	if pool == nil {
		s.free(false)
		return Reply{}, false
	}
	call, err := pool.BeginFresh(endpointRequest(req))
	if err != nil {
		s.free(true)
		return Reply{}, false
	}
	answer, state := call.Wait(longestFor(dec.Request))
	if state == endpoint.StateWaiting {
		call.Suspect()
	}
	reply, _ := d.conclude(req, dec, call, s, answer, state)
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
