package conductor

import (
	"context"
	"time"

	"marjoramstack/internal/planner"
	"marjoramstack/internal/ring"
	"marjoramstack/pkg/clock"
)

const (
	// orderWithin is how long a worker may take to answer an order before the
	// order counts as unanswered, and orderLate the same on a VM that lacks
	// processor time.
	orderWithin = 200 * clock.Millisecond
	orderLate   = 800 * clock.Millisecond
	// answerWithin is how long an answer is waited for after that.
	answerWithin = 3 * clock.Second
)

// dispatch hands the planner's orders to the goroutines that send them.
func (t *tenure) dispatch() {
	now := t.now()
	for _, order := range t.planner.TakeOrders() {
		if renew, ok := order.(planner.Renew); ok && !renew.Extra {
			t.renewer(renew.Worker).Offer(renew)
			continue
		}
		if advise, ok := order.(planner.Advise); ok {
			if !t.questions.Offer(advise) {
				t.planner.Handle(now, unsent(order))
			}
			continue
		}
		if !t.orders.Offer(order) {
			t.planner.Handle(now, unsent(order))
		}
	}
}

// unsent is the outcome of an order that was not sent.
func unsent(order planner.Order) planner.Message {
	switch o := order.(type) {
	case planner.Start:
		return planner.StartEnded{
			Worker:  o.Worker,
			Task:    o.Task,
			Attempt: o.Attempt,
			Outcome: planner.OutcomeNotSent,
		}
	case planner.Stop:
		return planner.StopEnded{
			Worker:  o.Worker,
			Task:    o.Task,
			Attempt: o.Attempt,
			Outcome: planner.OutcomeNotSent,
		}
	case planner.Advise:
		return planner.Advised{
			Step:    o.Step,
			Workers: o.Workers,
		}
	case planner.Renew:
		return planner.RenewFailed{
			Worker:  o.Worker,
			Address: o.Address,
			Outcome: planner.OutcomeNotSent,
			Extra:   o.Extra,
		}
	}
	return planner.Ticked{}
}

// renewer returns the ring of the goroutine that renews a worker's leases.
func (t *tenure) renewer(id string) *ring.Ring[planner.Renew] {
	r := t.renews[id]
	if r != nil {
		return r
	}
	r = ring.New[planner.Renew](renewSize)
	t.renews[id] = r
	t.duty(func(ctx context.Context) {
		for {
			select {
			case renew := <-r.Out():
				t.put(told{message: t.send(ctx, renew)})
			case <-ctx.Done():
				return
			}
		}
	})
	return r
}

func (t *tenure) orderLoop(ctx context.Context) {
	for {
		select {
		case order := <-t.orders.Out():
			t.put(told{message: t.send(ctx, order)})
		case <-ctx.Done():
			return
		}
	}
}

// send carries out one order, unless the lease of the cell has run out. The
// order's times were worked out before this check, so an order that is held up
// after it comes too late to do harm.
func (t *tenure) send(ctx context.Context, order planner.Order) planner.Message {
	if !t.owns() {
		return unsent(order)
	}
	switch o := order.(type) {
	case planner.Start:
		return t.sendStart(ctx, o)
	case planner.Stop:
		return t.sendStop(ctx, o)
	case planner.Throttle:
		call, cancel := context.WithTimeout(ctx, t.patience().Duration())
		defer cancel()
		if out := t.c.opts.Link.Throttle(call, o, t.head.Epoch); out != planner.OutcomeTaken {
			t.c.opts.Log.Info("throttle-refused", "task", o.Task.String(), "attempt", o.Attempt, "worker", o.Worker, "reason", out.String())
		}
		return planner.Ticked{}
	case planner.Renew:
		return t.sendRenew(ctx, o)
	}
	return planner.Ticked{}
}

// patience is how long an order may go unanswered.
func (t *tenure) patience() clock.Span {
	if t.slow.Load() {
		return orderLate
	}
	return orderWithin
}

func (t *tenure) sendStart(ctx context.Context, o planner.Start) planner.Message {
	ended := func(out planner.Outcome, reading clock.Time, late bool) planner.StartEnded {
		return planner.StartEnded{
			Worker:     o.Worker,
			Task:       o.Task,
			Attempt:    o.Attempt,
			Outcome:    out,
			WorkerTime: reading,
			Late:       late,
		}
	}
	type result struct {
		outcome planner.Outcome
		reading clock.Time
	}
	r, ok := await(ctx, t.patience(), answerWithin, func(ctx context.Context) result {
		out, reading := t.c.opts.Link.Start(ctx, o, t.head.Epoch)
		return result{
			outcome: out,
			reading: reading,
		}
	}, func(r result) { t.put(told{message: ended(r.outcome, r.reading, true)}) })
	if !ok {
		return ended(planner.OutcomeUnknown, 0, false)
	}
	return ended(r.outcome, r.reading, false)
}

func (t *tenure) sendStop(ctx context.Context, o planner.Stop) planner.Message {
	call, cancel := context.WithTimeout(ctx, t.patience().Duration())
	defer cancel()
	outcome, reading := t.c.opts.Link.Stop(call, o, t.head.Epoch)
	return planner.StopEnded{
		Worker:     o.Worker,
		Task:       o.Task,
		Attempt:    o.Attempt,
		Outcome:    outcome,
		WorkerTime: reading,
	}
}

// sendRenew renews leases and reads lists. Lists that come late are still
// passed on: what a worker has told counts as known.
func (t *tenure) sendRenew(ctx context.Context, o planner.Renew) planner.Message {
	unrenewed := func(out planner.Outcome) planner.Message {
		return planner.RenewFailed{
			Worker:  o.Worker,
			Address: o.Address,
			Outcome: out,
			Extra:   o.Extra,
		}
	}
	type result struct {
		report   planner.Report
		outcome  planner.Outcome
		received clock.Time
	}
	r, ok := await(ctx, o.Wait+t.patience(), answerWithin, func(ctx context.Context) result {
		report, out := t.c.opts.Link.Renew(ctx, o, t.head.Epoch)
		return result{
			report:   report,
			outcome:  out,
			received: t.now(),
		}
	}, func(r result) {
		if r.outcome == planner.OutcomeTaken {
			t.put(told{message: planner.Renewed{
				Worker:   o.Worker,
				Report:   r.report,
				Received: r.received,
				Extra:    true,
			}})
		}
	})
	if !ok {
		return unrenewed(planner.OutcomeUnknown)
	}
	if r.outcome != planner.OutcomeTaken {
		return unrenewed(r.outcome)
	}
	return planner.Renewed{
		Worker:   o.Worker,
		Report:   r.report,
		Received: r.received,
		Extra:    o.Extra,
	}
}

// await makes a call and returns its result. If that takes longer than the span,
// ok is false, and a result that comes within a further span is passed to late.
func await[T any](ctx context.Context, span, further clock.Span, call func(context.Context) T, late func(T)) (result T, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, (span + further).Duration())
	results := make(chan T, 1)
	go func() { results <- call(ctx) }()
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case result = <-results:
		cancel()
		return result, true
	case <-timer.C:
		go func() {
			late(<-results)
			cancel()
		}()
		return result, false
	}
}
