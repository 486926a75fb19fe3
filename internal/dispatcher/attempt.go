package dispatcher

import (
	"errors"

	"marjoramstack/internal/endpoint"
	"marjoramstack/internal/router"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

const (
	probeFactor = 4
	probeFirst  = 250 * clock.Millisecond
	drainSpan   = 10 * clock.Second
	lateTargets = 10

	mostAttempts = 3

	// shortestWait keeps a small target from making outcomes unknown early.
	shortestWait = 5 * clock.Second
)

// attempt hands the request to the endpoint whose slot was taken, and again to
// others where that is safe and the budget allows.
func (d *Dispatcher) attempt(req Request, dec router.Dispatch, tried *trail) Reply {
	for n := 1; ; n++ {
		reply, retryable := d.once(req, dec)
		reply = tried.add(reply)
		if !retryable || n == mostAttempts {
			return reply
		}
		d.mu.Lock()
		next, ok := d.router.Retry(d.opts.Clock.Now(), dec.Request, dec.Endpoint)
		d.mu.Unlock()
		if !ok {
			return reply
		}
		d.logDispatch(next)
		dec = next
	}
}

// trail remembers whether an earlier attempt of a request may have run. From
// then on nobody may say that it was not run.
type trail struct {
	unsure bool
}

func (t *trail) add(reply Reply) Reply {
	switch reply.Code.Outcome() {
	case result.OutcomeUnknown:
		t.unsure = true
	case result.OutcomeNotRun:
		if t.unsure {
			return refusal(result.AnswerLost, "an earlier attempt may have run; a further one: "+reply.Detail, reply.RetryAfter)
		}
	}
	return reply
}

// once makes one attempt. It reports whether another may follow: always after
// the endpoint has certainly seen nothing, else for idempotent requests only.
func (d *Dispatcher) once(req Request, dec router.Dispatch) (Reply, bool) {
	d.mu.Lock()
	pool := d.pools[dec.Endpoint]
	// A pause may have come between the decision and now.
	live := d.sharer.Live(d.opts.Clock.Now())
	d.mu.Unlock()
	if pool == nil || !live {
		d.finish(router.Done{
			Endpoint:   dec.Endpoint,
			Class:      req.Class,
			Unmeasured: true,
		})
		return refusal(result.NoEndpoint, "this entry VM was paused", progressRetry), false
	}
	s := &slot{
		dispatcher: d,
		dec:        dec,
		began:      d.opts.Clock.Now(),
	}
	call, err := pool.Begin(endpointRequest(req))
	if err != nil {
		s.free(true)
		if errors.Is(err, endpoint.ErrNotSent) {
			return refusal(result.NoEndpoint, err.Error(), progressRetry), true
		}
		return refusal(result.AnswerLost, err.Error(), 0), req.Idempotent
	}
	return d.await(req, dec, pool, call, s)
}

// slot is a taken slot, to be freed once.
type slot struct {
	dispatcher *Dispatcher
	dec        router.Dispatch
	began      clock.Time
}

func (s *slot) free(failed bool) {
	span := s.dispatcher.opts.Clock.Now().Sub(s.began)
	if !failed {
		s.dispatcher.press(s.dec, span)
	}
	s.dispatcher.finish(router.Done{
		Endpoint: s.dec.Endpoint,
		Class:    s.dec.Request.Class,
		Span:     span,
		Failed:   failed,
	})
}

// await waits for the answer. When it is late, an idempotent request is hedged,
// and a probe tells whether the connection has gone silent; if so, the pool's
// idle connections are closed and an idempotent request is tried on a new one.
// The first answer is waited for all the same; only its connection is not used
// again.
func (d *Dispatcher) await(req Request, dec router.Dispatch, pool *endpoint.Pool, call *endpoint.Call, s *slot) (Reply, bool) {
	d.mu.Lock()
	late := d.router.LateAfter(req.Class)
	d.mu.Unlock()
	answer, state := call.Wait(late)
	if state != endpoint.StateWaiting {
		return d.conclude(req, dec, call, s, answer, state)
	}
	r := newRace(d, req, dec, call)
	r.hedge()
	probeAt := max(probeFactor*late, probeFirst)
	answer, state = call.Wait(probeAt - late)
	if state == endpoint.StateWaiting && !r.won() {
		if pool.Probe() {
			call.Suspect()
			pool.Purge()
		}
		r.hedge()
		answer, state = call.Wait(longestFor(dec.Request) - probeAt)
	}
	if r.won() {
		call.Suspect()
		call.Abandon(drainSpan, func() { s.free(false) })
		return r.reply, false
	}
	if state == endpoint.StateWaiting {
		call.Suspect()
		call.Abandon(drainSpan, func() { s.free(true) })
		return refusal(result.AnswerTimedOut, "no answer came", 0), false
	}
	reply, retryable := d.conclude(req, dec, call, s, answer, state)
	if retryable && r.wait() {
		return r.reply, false
	}
	return reply, retryable
}

// longestFor bounds how long an answer that is late is still waited for.
func longestFor(req router.Request) clock.Span {
	target := req.Deadline.Sub(req.Arrived)
	return min(max(lateTargets*target, shortestWait), longestWait)
}

func (d *Dispatcher) conclude(req Request, dec router.Dispatch, call *endpoint.Call, s *slot, answer endpoint.Answer, state endpoint.State) (Reply, bool) {
	call.Release()
	if state != endpoint.StateAnswered {
		s.free(true)
		code := result.AnswerLost
		if state == endpoint.StateIncomplete {
			code = result.AnswerIncomplete
		}
		return refusal(code, "the connection to "+dec.Endpoint+" ended", 0), req.Idempotent
	}
	if answer.Leaving {
		d.markLeaving(dec.Endpoint)
	}
	s.free(answer.Status >= 500)
	header := answer.Header.Clone()
	for name := range header {
		if endpoint.HopByHop(name) {
			delete(header, name)
		}
	}
	return Reply{
		Code:     result.OK,
		Status:   answer.Status,
		Header:   header,
		Body:     answer.Body,
		Endpoint: dec.Endpoint,
	}, false
}

// markLeaving takes the endpoint's own word that it is leaving. Neither the
// list of VMs nor the configuration undoes it.
func (d *Dispatcher) markLeaving(id string) {
	d.mu.Lock()
	known := d.leaving[id]
	d.leaving[id] = true
	if !known {
		d.refresh()
	}
	d.mu.Unlock()
	if !known {
		d.opts.Log.Info("endpoint-leaving", "endpoint", id, "reason", "its-own-word")
	}
}
