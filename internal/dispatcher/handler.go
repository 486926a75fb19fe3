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

// claimTimeout and settleTimeout limit the ledger writes for which the caller waits.
// ledgerRetryDelay and shortRetryAfter are delays for retries by callers; the former
// also separates the retries of settleLater. A forwarded request may take forwardGrace
// longer than the peer itself waits. A request is routed at most maxRoutingAttempts
// times.
const (
	claimTimeout     = 1500 * clock.Millisecond
	settleTimeout    = 1500 * clock.Millisecond
	ledgerRetryDelay = 1 * clock.Second
	shortRetryAfter  = 200 * clock.Millisecond
	// maxAnswerTimeout is the longest wait for the answer of one attempt, and the
	// timeout of each write that records an outcome in the background.
	maxAnswerTimeout   = 30 * clock.Second
	forwardGrace       = 500 * clock.Millisecond
	maxRoutingAttempts = 3
)

// Handle executes one request and returns the reply for the caller.
func (d *Dispatcher) Handle(ctx context.Context, req Request) Reply {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	if d.draining.Load() {
		return refusal(result.ShuttingDown, "this entry VM is shutting down", shortRetryAfter)
	}
	began := d.opts.Clock.Now()
	var reply Reply
	if req.Idempotent || req.Forwarded {
		reply = d.run(ctx, req)
	} else {
		reply = d.runOrder(ctx, req)
	}
	d.recordMetrics(req, reply, d.opts.Clock.Now().Sub(began))
	return reply
}

func refusal(code result.Code, detail string, retryAfter clock.Span) Reply {
	return Reply{
		Code:       code,
		Detail:     detail,
		RetryAfter: retryAfter,
	}
}

// runOrder claims the request in the ledger, runs it, and records its outcome
// before the caller is told.
func (d *Dispatcher) runOrder(ctx context.Context, req Request) Reply {
	ctx = context.WithoutCancel(ctx) // an order continues if its caller disconnects
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	claim, err := d.opts.Ledger.Claim(claimCtx, ledger.Order{
		Key:    req.Key,
		Digest: digest(req),
		Class:  req.Class,
	})
	if err != nil {
		d.logRefusal(req, result.CodeOf(err), "not-claimed")
		return refusal(result.CodeOf(err), err.Error(), ledgerRetryDelay)
	}
	if !claim.Won {
		return replyFromRow(claim.Row)
	}
	reply := d.run(ctx, req)
	return d.settle(ctx, claim, reply)
}

// settle records the outcome. If the platform is unreachable, the caller gets its
// reply without the record, and settleLater retries the write.
func (d *Dispatcher) settle(ctx context.Context, claim ledger.Claim, reply Reply) Reply {
	row := rowFromReply(reply)
	settleCtx, cancel := context.WithTimeout(ctx, settleTimeout.Duration())
	defer cancel()
	final, err := d.opts.Ledger.Settle(settleCtx, claim, row)
	if err != nil {
		d.inFlight.Add(1)
		go d.settleLater(ctx, claim, row)
		return reply
	}
	if final.State != row.State {
		// Another entry VM considered this one dead and settled the order, so
		// callers may have been told that outcome.
		return replyFromRow(final)
	}
	return reply
}

// settleLater retries the write of an outcome until it succeeds or, after a failed
// try, the dispatcher is draining.
func (d *Dispatcher) settleLater(ctx context.Context, claim ledger.Claim, row ledger.Row) {
	defer d.inFlight.Add(-1)
	for {
		settleCtx, cancel := context.WithTimeout(ctx, maxAnswerTimeout.Duration())
		_, err := d.opts.Ledger.Settle(settleCtx, claim, row)
		cancel()
		if err == nil || d.draining.Load() {
			return
		}
		time.Sleep(ledgerRetryDelay.Duration())
	}
}

func rowFromReply(reply Reply) ledger.Row {
	return ledger.Row{
		State:    ledger.State(reply.Code.Outcome()),
		Code:     reply.Code,
		Endpoint: reply.Endpoint,
		Status:   reply.Status,
		Header:   reply.Header,
		Body:     reply.Body,
	}
}

// replyFromRow returns the reply for a caller whose key already has a row.
func replyFromRow(row ledger.Row) Reply {
	switch row.State {
	case ledger.StateClaimed:
		return refusal(result.OrderInProgress, "the order is in progress", shortRetryAfter)
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

// run routes the request until an endpoint or a peer has answered it, or it is
// refused.
func (d *Dispatcher) run(ctx context.Context, req Request) Reply {
	routerReq := router.Request{
		ID:         req.ID,
		Class:      req.Class,
		Arrived:    d.opts.Clock.Now(),
		Deadline:   req.Deadline,
		Idempotent: req.Idempotent,
		Forwarded:  req.Forwarded,
	}
	history := &attemptHistory{}
	for range maxRoutingAttempts {
		decision := d.decide(ctx, routerReq)
		switch dec := decision.(type) {
		case router.Dispatch:
			d.logDispatch(dec)
			return d.runAttempts(req, dec, history)
		case router.Forward:
			d.logForward(dec)
			reply, reroute := d.forward(ctx, req, dec)
			reply = history.record(reply)
			if !reroute {
				return reply
			}
			routerReq.Forwarded = true
		case router.Refuse:
			d.logRefusal(req, dec.Code, dec.Reason)
			return history.record(refusal(dec.Code, dec.Reason, dec.RetryAfter))
		default:
			return history.record(refusal(result.Shed, "the caller went away", 0))
		}
	}
	return history.record(refusal(result.NoEndpoint, "no peer took the request", shortRetryAfter))
}

// decide returns the router's decision and waits for it while the request is
// queued. It returns nil if ctx ends first.
func (d *Dispatcher) decide(ctx context.Context, routerReq router.Request) router.Decision {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	if d.sharer.Live(now) != d.wasLive {
		d.refresh()
	}
	decision := d.router.Arrive(now, routerReq)
	if _, queued := decision.(router.Queue); !queued {
		d.mu.Unlock()
		return decision
	}
	ch := make(chan router.Decision, 1)
	d.waiters[routerReq.ID] = ch
	d.mu.Unlock()
	select {
	case decision = <-ch:
		return decision
	case <-ctx.Done():
	}
	d.mu.Lock()
	cancelled := d.router.Cancel(routerReq.ID)
	delete(d.waiters, routerReq.ID)
	d.mu.Unlock()
	if cancelled {
		return nil
	}
	// The router decided while ctx ended. The decision may hold a slot, so it must
	// be carried out.
	select {
	case decision = <-ch:
		return decision
	default:
		return nil
	}
}

// forward sends the request to an entry VM of another availability zone. It returns
// true if the request should be routed again, without forwarding.
func (d *Dispatcher) forward(ctx context.Context, req Request, dec router.Forward) (Reply, bool) {
	remaining := req.Deadline.Sub(d.opts.Clock.Now())
	ctx, cancel := context.WithTimeout(ctx, (max(remaining, 0) + maxAnswerTimeout + forwardGrace).Duration())
	defer cancel()
	answer, err := d.opts.Forwarder.Forward(ctx, dec.Peer, &peerpb.ForwardRequest{
		Id:         req.ID,
		Class:      req.Class,
		Method:     req.Method,
		Path:       req.Path,
		Headers:    ToHeaders(req.Header),
		Body:       req.Body,
		Idempotent: req.Idempotent,
		LeftMs:     int64(remaining),
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

// Serve executes a request that another entry VM has forwarded.
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

// ToHeaders converts HTTP headers to the protocol between entry VMs.
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

// FromHeaders converts headers of the protocol between entry VMs to HTTP headers.
func FromHeaders(list []*peerpb.Header) http.Header {
	header := make(http.Header, len(list))
	for _, h := range list {
		header[h.GetName()] = h.GetValues()
	}
	return header
}
