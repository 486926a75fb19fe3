package dispatcher

import (
	"context"
	"net/http"
	"time"

	"marjoramstack/internal/ledger"
	"marjoramstack/internal/peer/peerpb"
	"marjoramstack/internal/router"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

const (
	claimTimeout  = 1500 * clock.Millisecond
	settleTimeout = 1500 * clock.Millisecond
	ledgerRetry   = 1 * clock.Second
	progressRetry = 200 * clock.Millisecond
	// longestWait bounds how long an answer that is late is still waited for.
	longestWait  = 30 * clock.Second
	peerGrace    = 500 * clock.Millisecond
	maxForwarded = 3
)

// Handle carries out one request and returns what the caller is told.
func (d *Dispatcher) Handle(ctx context.Context, req Request) Reply {
	d.active.Add(1)
	defer d.active.Add(-1)
	if d.closing.Load() {
		return refusal(result.ShuttingDown, "this entry VM is shutting down", progressRetry)
	}
	began := d.opts.Clock.Now()
	var reply Reply
	if req.Idempotent || req.Forwarded {
		reply = d.run(ctx, req)
	} else {
		reply = d.order(ctx, req)
	}
	d.count(req, reply, d.opts.Clock.Now().Sub(began))
	return reply
}

func refusal(code result.Code, detail string, retry clock.Span) Reply {
	return Reply{
		Code:       code,
		Detail:     detail,
		RetryAfter: retry,
	}
}

// order claims the request in the ledger, runs it, and records its outcome
// before the caller is told.
func (d *Dispatcher) order(ctx context.Context, req Request) Reply {
	ctx = context.WithoutCancel(ctx) // an order is seen through though its caller goes
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	claim, err := d.opts.Ledger.Claim(claimCtx, ledger.Order{
		Key:    req.Key,
		Digest: digest(req),
		Class:  req.Class,
	})
	if err != nil {
		d.logRefusal(req, result.CodeOf(err), "not-claimed")
		return refusal(result.CodeOf(err), err.Error(), ledgerRetry)
	}
	if !claim.Won {
		return fromRow(claim.Row)
	}
	reply := d.run(ctx, req)
	return d.settle(ctx, claim, reply)
}

// settle records the outcome. If the platform cannot be reached the caller is
// told all the same, and the record follows.
func (d *Dispatcher) settle(ctx context.Context, claim ledger.Claim, reply Reply) Reply {
	row := toRow(reply)
	settleCtx, cancel := context.WithTimeout(ctx, settleTimeout.Duration())
	defer cancel()
	final, err := d.opts.Ledger.Settle(settleCtx, claim, row)
	if err != nil {
		d.active.Add(1)
		go d.settleLater(ctx, claim, row)
		return reply
	}
	if final.State != row.State {
		// Another entry VM took this one for dead and has told callers so.
		return fromRow(final)
	}
	return reply
}

func (d *Dispatcher) settleLater(ctx context.Context, claim ledger.Claim, row ledger.Row) {
	defer d.active.Add(-1)
	for {
		try, cancel := context.WithTimeout(ctx, longestWait.Duration())
		_, err := d.opts.Ledger.Settle(try, claim, row)
		cancel()
		if err == nil || d.closing.Load() {
			return
		}
		time.Sleep(ledgerRetry.Duration())
	}
}

func toRow(reply Reply) ledger.Row {
	return ledger.Row{
		State:    ledger.State(reply.Code.Outcome()),
		Code:     reply.Code,
		Endpoint: reply.Endpoint,
		Status:   reply.Status,
		Header:   reply.Header,
		Body:     reply.Body,
	}
}

// fromRow answers a caller whose key has a row already.
func fromRow(row ledger.Row) Reply {
	switch row.State {
	case ledger.StateClaimed:
		return refusal(result.OrderInProgress, "the order is in progress", progressRetry)
	case ledger.StateRan:
		reply := Reply{
			Code:     result.OK,
			Status:   row.Status,
			Header:   http.Header(row.Header),
			Body:     row.Body,
			Endpoint: row.Endpoint,
		}
		if row.Truncated {
			reply.Detail = "the order ran; its answer was too large to keep"
		}
		return reply
	}
	return refusal(row.Code, "outcome recorded earlier", 0)
}

// run routes the request until an endpoint or a peer has answered it or nothing
// more can be tried.
func (d *Dispatcher) run(ctx context.Context, req Request) Reply {
	rr := router.Request{
		ID:         req.ID,
		Class:      req.Class,
		Arrived:    d.opts.Clock.Now(),
		Deadline:   req.Deadline,
		Idempotent: req.Idempotent,
		Forwarded:  req.Forwarded,
	}
	tried := &trail{}
	for range maxForwarded {
		decision := d.decide(ctx, rr)
		switch dec := decision.(type) {
		case router.Dispatch:
			d.logDispatch(dec)
			return d.attempt(req, dec, tried)
		case router.Forward:
			d.logForward(dec)
			reply, again := d.forward(ctx, req, dec)
			reply = tried.add(reply)
			if !again {
				return reply
			}
			rr.Forwarded = true
		case router.Refuse:
			d.logRefusal(req, dec.Code, dec.Reason)
			return tried.add(refusal(dec.Code, dec.Reason, dec.RetryAfter))
		default:
			return tried.add(refusal(result.Shed, "the caller went away", 0))
		}
	}
	return tried.add(refusal(result.NoEndpoint, "no peer took the request", progressRetry))
}

// decide asks the router and waits if the request is queued. It returns nil if
// ctx ends first.
func (d *Dispatcher) decide(ctx context.Context, rr router.Request) router.Decision {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	if d.sharer.Live(now) != d.live {
		d.refresh()
	}
	decision := d.router.Arrive(now, rr)
	if _, queued := decision.(router.Queue); !queued {
		d.mu.Unlock()
		return decision
	}
	ch := make(chan router.Decision, 1)
	d.waiters[rr.ID] = ch
	d.mu.Unlock()
	select {
	case decision = <-ch:
		return decision
	case <-ctx.Done():
	}
	d.mu.Lock()
	cancelled := d.router.Cancel(rr.ID)
	delete(d.waiters, rr.ID)
	d.mu.Unlock()
	if cancelled {
		return nil
	}
	// The decision was made meanwhile: a slot may be taken, so it is used.
	select {
	case decision = <-ch:
		return decision
	default:
		return nil
	}
}

// forward passes the request on to a peer. It reports true if the request
// should be routed again, without peers.
func (d *Dispatcher) forward(ctx context.Context, req Request, dec router.Forward) (Reply, bool) {
	left := req.Deadline.Sub(d.opts.Clock.Now())
	ctx, cancel := context.WithTimeout(ctx, (max(left, 0) + longestWait + peerGrace).Duration())
	defer cancel()
	answer, err := d.opts.Forwarder.Forward(ctx, dec.Peer, &peerpb.ForwardRequest{
		Id:         req.ID,
		Class:      req.Class,
		Method:     req.Method,
		Path:       req.Path,
		Headers:    ToHeaders(req.Header),
		Body:       req.Body,
		Idempotent: req.Idempotent,
		LeftMs:     int64(left),
	})
	if err != nil {
		return refusal(result.PeerUnreachable, err.Error(), 0), req.Idempotent
	}
	code := result.Code(answer.GetCode())
	if code.Outcome() == result.OutcomeNotRun {
		return refusal(code, answer.GetDetail(), 0), true
	}
	return Reply{
		Code:       code,
		Detail:     answer.GetDetail(),
		Status:     int(answer.GetStatus()),
		Header:     FromHeaders(answer.GetHeaders()),
		Body:       answer.GetBody(),
		Endpoint:   answer.GetEndpoint(),
		RetryAfter: clock.Span(answer.GetRetryAfterMs()),
	}, false
}

// Serve runs a request that another entry VM passed on.
func (d *Dispatcher) Serve(ctx context.Context, request *peerpb.ForwardRequest) *peerpb.ForwardReply {
	reply := d.Handle(ctx, Request{
		ID:         request.GetId(),
		Class:      request.GetClass(),
		Method:     request.GetMethod(),
		Path:       request.GetPath(),
		Header:     FromHeaders(request.GetHeaders()),
		Body:       request.GetBody(),
		Idempotent: request.GetIdempotent(),
		Forwarded:  true,
		Deadline:   d.opts.Clock.Now().Add(clock.Span(request.GetLeftMs())),
	})
	return &peerpb.ForwardReply{
		Code:         int32(reply.Code),
		Detail:       reply.Detail,
		Status:       int32(reply.Status),
		Headers:      ToHeaders(reply.Header),
		Body:         reply.Body,
		Endpoint:     reply.Endpoint,
		RetryAfterMs: int64(reply.RetryAfter),
	}
}

// ToHeaders converts headers for the protocol between entry VMs.
func ToHeaders(header http.Header) []*peerpb.Header {
	list := make([]*peerpb.Header, 0, len(header))
	for name, values := range header {
		list = append(list, &peerpb.Header{
			Name:   name,
			Values: values,
		})
	}
	return list
}

// FromHeaders converts headers from the protocol between entry VMs.
func FromHeaders(list []*peerpb.Header) http.Header {
	header := make(http.Header, len(list))
	for _, h := range list {
		header[h.GetName()] = h.GetValues()
	}
	return header
}
