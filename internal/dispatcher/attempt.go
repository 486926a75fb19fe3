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
)

// attempt hands the request to the endpoint whose slot was taken, and again to
// others where that is safe and the budget allows.
func (d *Dispatcher) attempt(req Request, dec router.Dispatch) Reply {
	for {
		reply, retryable := d.once(req, dec)
		if !retryable {
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
	call, err := pool.Begin(endpoint.Request{
		ID:     req.ID,
		Method: req.Method,
		Path:   req.Path,
		Header: req.Header,
		Body:   req.Body,
	})
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
// and a probe tells whether the connection has gone silent. The answer is
// waited for to the end of longestWait whatever the probe says; only the
// connection is not used again.
func (d *Dispatcher) await(req Request, dec router.Dispatch, pool *endpoint.Pool, call *endpoint.Call, s *slot) (Reply, bool) {
	d.mu.Lock()
	late := d.router.LateAfter(req.Class)
	d.mu.Unlock()
	answer, state := call.Wait(late)
	if state != endpoint.StateWaiting {
		return d.conclude(req, dec, call, s, answer, state)
	}
	h := d.hedge(req, dec, call)
	probeAt := max(probeFactor*late, probeFirst)
	answer, state = call.Wait(probeAt - late)
	if state == endpoint.StateWaiting && !h.won() {
		if pool.Probe() {
			call.Suspect()
		}
		if h == nil && req.Idempotent {
			h = d.hedge(req, dec, call)
		}
		answer, state = call.Wait(longestWait - probeAt)
	}
	if h.won() {
		call.Suspect()
		call.Abandon(drainSpan, func() { s.free(false) })
		return h.reply, false
	}
	if state == endpoint.StateWaiting {
		call.Suspect()
		call.Abandon(drainSpan, func() { s.free(true) })
		return refusal(result.AnswerTimedOut, "no answer came", 0), false
	}
	reply, retryable := d.conclude(req, dec, call, s, answer, state)
	if retryable && h != nil && h.wait() {
		return h.reply, false
	}
	return reply, retryable
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

// hedged is a second attempt of an idempotent request beside a late one.
type hedged struct {
	done  chan struct{}
	reply Reply
	ok    bool
}

// hedge starts a second attempt at another endpoint. It returns nil if none is
// allowed.
func (d *Dispatcher) hedge(req Request, dec router.Dispatch, first *endpoint.Call) *hedged {
	d.mu.Lock()
	second, ok := d.router.Hedge(d.opts.Clock.Now(), dec.Request, dec.Endpoint)
	d.mu.Unlock()
	if !ok {
		return nil
	}
	d.logDispatch(second)
	h := &hedged{done: make(chan struct{})}
	go func() {
		h.reply, h.ok = d.hedgeOnce(req, second)
		close(h.done)
		if h.ok {
			first.Interrupt()
		}
	}()
	return h
}

// hedgeOnce makes the second attempt, without hedging it again.
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
	call, err := pool.Begin(endpoint.Request{
		ID:     req.ID,
		Method: req.Method,
		Path:   req.Path,
		Header: req.Header,
		Body:   req.Body,
	})
	if err != nil {
		s.free(true)
		return Reply{}, false
	}
	answer, state := call.Wait(longestWait)
	if state == endpoint.StateWaiting {
		call.Suspect()
	}
	reply, _ := d.conclude(req, dec, call, s, answer, state)
	return reply, state == endpoint.StateAnswered
}

// won reports whether the second attempt has its answer already.
func (h *hedged) won() bool {
	if h == nil {
		return false
	}
	select {
	case <-h.done:
		return h.ok
	default:
		return false
	}
}

// wait waits for the second attempt and reports whether it has an answer.
func (h *hedged) wait() bool {
	<-h.done
	return h.ok
}
