package dispatcher

import (
	"errors"

	"marjoramstack/internal/endpoint"
	"marjoramstack/internal/router"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

// Bounds on the wait for an answer. The connection is probed after probeFactor
// times the span after which an answer counts as late, but not before
// minProbeDelay. An attempt times out after maxWaitTargets times the latency
// target of the request, but not before minAnswerTimeout. An abandoned attempt
// holds its slot for at most abandonTimeout.
const (
	probeFactor    = 4
	minProbeDelay  = 250 * clock.Millisecond
	abandonTimeout = 10 * clock.Second
	maxWaitTargets = 10

	maxAttempts = 3

	// minAnswerTimeout keeps requests with a short latency target from timing out,
	// and so having an unknown outcome, too early.
	minAnswerTimeout = 5 * clock.Second
)

// runAttempts sends the request to the endpoint whose slot was taken. It retries at
// other endpoints where that is safe and the retry budget allows it.
func (d *Dispatcher) runAttempts(req Request, dec router.Dispatch, history *attemptHistory) Reply {
	for n := 1; ; n++ {
		reply, retryable := d.attemptOnce(req, dec)
		reply = history.record(reply)
		if !retryable || n == maxAttempts {
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

// attemptHistory records whether an earlier attempt of a request may have run. Once
// one may have, the caller must not be told that the request was not run.
type attemptHistory struct {
	mayHaveRun bool
}

// record adds the reply of an attempt and returns the reply for the caller.
func (h *attemptHistory) record(reply Reply) Reply {
	switch reply.Code.Outcome() {
	case result.OutcomeUnknown:
		h.mayHaveRun = true
	case result.OutcomeNotRun:
		if h.mayHaveRun {
			return refusal(result.AnswerLost, "an earlier attempt may have run; a further one: "+reply.Detail, reply.RetryAfter)
		}
	}
	return reply
}

// attemptOnce makes one attempt. It returns true if the request may be retried:
// always if the endpoint has certainly received none of it, otherwise only if it is
// idempotent.
func (d *Dispatcher) attemptOnce(req Request, dec router.Dispatch) (Reply, bool) {
	d.mu.Lock()
	pool := d.pools[dec.Endpoint]
	// This process may have been paused since the routing decision.
	live := d.sharer.Live(d.opts.Clock.Now())
	d.mu.Unlock()
	if pool == nil || !live {
		d.finish(router.Done{
			Endpoint:   dec.Endpoint,
			Class:      req.Class,
			Unmeasured: true,
		})
		return refusal(result.NoEndpoint, "this entry VM was paused", shortRetryAfter), false
	}
	s := &heldSlot{
		dispatcher: d,
		dec:        dec,
		acquired:   d.opts.Clock.Now(),
	}
	call, err := pool.Begin(endpointRequest(req))
	if err != nil {
		s.release(true)
		if errors.Is(err, endpoint.ErrNotSent) {
			return refusal(result.NoEndpoint, err.Error(), shortRetryAfter), true
		}
		return refusal(result.AnswerLost, err.Error(), 0), req.Idempotent
	}
	return d.awaitAnswer(req, dec, pool, call, s)
}

// heldSlot is a slot taken at an endpoint. It must be released exactly once.
type heldSlot struct {
	dispatcher *Dispatcher
	dec        router.Dispatch
	acquired   clock.Time
}

func (s *heldSlot) release(failed bool) {
	span := s.dispatcher.opts.Clock.Now().Sub(s.acquired)
	if !failed {
		s.dispatcher.recordPressure(s.dec, span)
	}
	s.dispatcher.finish(router.Done{
		Endpoint: s.dec.Endpoint,
		Class:    s.dec.Request.Class,
		Span:     span,
		Failed:   failed,
	})
}

// awaitAnswer waits for the answer of an attempt. If it is late, an idempotent
// request is hedged. If it is still missing later, a probe on a new connection checks
// whether the endpoint responds. If it does, the connection of the attempt is likely
// dead: it is not reused, the idle connections of the pool are closed, and an
// idempotent request is hedged again on a new connection. The first attempt still
// waits for its answer meanwhile.
func (d *Dispatcher) awaitAnswer(req Request, dec router.Dispatch, pool *endpoint.Pool, call *endpoint.Call, s *heldSlot) (Reply, bool) {
	d.mu.Lock()
	lateAfter := d.router.LateAfter(req.Class)
	d.mu.Unlock()
	answer, state := call.Wait(lateAfter)
	if state != endpoint.StateWaiting {
		return d.finishCall(req, dec, call, s, answer, state)
	}
	r := newRace(d, req, dec, call)
	r.startHedge()
	probeAt := max(probeFactor*lateAfter, minProbeDelay)
	answer, state = call.Wait(probeAt - lateAfter)
	if state == endpoint.StateWaiting && !r.hedgeAnswered() {
		if pool.Probe() {
			call.Suspect()
			pool.Purge()
		}
		r.startHedge()
		answer, state = call.Wait(answerTimeout(dec.Request) - probeAt)
	}
	if r.hedgeAnswered() {
		call.Suspect()
		call.Abandon(abandonTimeout, func() { s.release(false) })
		return r.reply, false
	}
	if state == endpoint.StateWaiting {
		call.Suspect()
		call.Abandon(abandonTimeout, func() { s.release(true) })
		return refusal(result.AnswerTimedOut, "no answer came", 0), false
	}
	reply, retryable := d.finishCall(req, dec, call, s, answer, state)
	if retryable && r.waitHedges() {
		return r.reply, false
	}
	return reply, retryable
}

// answerTimeout returns how long an attempt waits for its answer, from its start.
func answerTimeout(req router.Request) clock.Span {
	target := req.Deadline.Sub(req.Arrived)
	return min(max(maxWaitTargets*target, minAnswerTimeout), maxAnswerTimeout)
}

// finishCall releases the connection and the slot of a call that has ended and
// converts its answer. It returns true if the request may be retried.
func (d *Dispatcher) finishCall(req Request, dec router.Dispatch, call *endpoint.Call, s *heldSlot, answer endpoint.Answer, state endpoint.State) (Reply, bool) {
	call.Release()
	if state != endpoint.StateAnswered {
		s.release(true)
		code := result.AnswerLost
		if state == endpoint.StateIncomplete {
			code = result.AnswerIncomplete
		}
		return refusal(code, "the connection to "+dec.Endpoint+" ended", 0), req.Idempotent
	}
	if answer.Leaving {
		d.markLeaving(dec.Endpoint)
	}
	s.release(answer.Status >= 500)
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

// markLeaving stops new requests to an endpoint that has announced, with an answer,
// that it is leaving. It stays marked, whatever the list of VMs and the
// configuration say, until a call of Update omits it.
func (d *Dispatcher) markLeaving(id string) {
	d.mu.Lock()
	alreadyLeaving := d.leaving[id]
	d.leaving[id] = true
	if !alreadyLeaving {
		d.refresh()
	}
	d.mu.Unlock()
	if !alreadyLeaving {
		d.opts.Log.Info("endpoint-leaving", "endpoint", id, "reason", "announced-by-endpoint")
	}
}
