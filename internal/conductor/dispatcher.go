package conductor

import (
	"context"
	"time"

	"marjoramstack/internal/planner"
	"marjoramstack/internal/ring"
	"marjoramstack/pkg/clock"
)

const (
	// orderTimeout is how long a worker may take to answer an order before the outcome
	// counts as unknown. slowOrderTimeout applies instead on a VM that lacks processor
	// time.
	orderTimeout     = 200 * clock.Millisecond
	slowOrderTimeout = 800 * clock.Millisecond
	// lateAnswerTimeout is how much longer a late answer is waited for.
	lateAnswerTimeout = 3 * clock.Second
)

// dispatch passes the planner's orders to the goroutines that send them.
func (t *tenure) dispatch() {
	now := t.now()
	for _, order := range t.planner.TakeOrders() {
		if renew, ok := order.(planner.Renew); ok && !renew.Extra {
			t.renewQueue(renew.Worker).Offer(renew)
			continue
		}
		if advise, ok := order.(planner.Advise); ok {
			if !t.adviceQueue.Offer(advise) {
				t.planner.Handle(now, notSent(order))
			}
			continue
		}
		if !t.orders.Offer(order) {
			t.planner.Handle(now, notSent(order))
		}
	}
}

// notSent returns the message that reports an order as not sent.
func notSent(order planner.Order) planner.Message {
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

// renewQueue returns the queue of a worker's lease renewals. The first call for a
// worker starts the goroutine that sends them.
func (t *tenure) renewQueue(id string) *ring.Ring[planner.Renew] {
	r := t.renewQueues[id]
	if r != nil {
		return r
	}
	r = ring.New[planner.Renew](renewQueueSize)
	t.renewQueues[id] = r
	t.spawn(func(ctx context.Context) {
		for {
			select {
			case renew := <-r.Out():
				t.post(plannerMessage{message: t.send(ctx, renew)})
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
			t.post(plannerMessage{message: t.send(ctx, order)})
		case <-ctx.Done():
			return
		}
	}
}

// send carries out one order, unless the lease of the cell has expired. The order's
// deadlines were computed before this check, so if the order is delayed after the
// check, it arrives too late to do harm.
func (t *tenure) send(ctx context.Context, order planner.Order) planner.Message {
	if !t.owns() {
		return notSent(order)
	}
	switch o := order.(type) {
	case planner.Start:
		return t.sendStart(ctx, o)
	case planner.Stop:
		return t.sendStop(ctx, o)
	case planner.Throttle:
		call, cancel := context.WithTimeout(ctx, t.answerTimeout().Duration())
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

// answerTimeout returns how long to wait for the answer to an order.
func (t *tenure) answerTimeout() clock.Span {
	if t.lagging.Load() {
		return slowOrderTimeout
	}
	return orderTimeout
}

func (t *tenure) sendStart(ctx context.Context, o planner.Start) planner.Message {
	ended := func(out planner.Outcome, workerTime clock.Time, late bool) planner.StartEnded {
		return planner.StartEnded{
			Worker:     o.Worker,
			Task:       o.Task,
			Attempt:    o.Attempt,
			Outcome:    out,
			WorkerTime: workerTime,
			Late:       late,
		}
	}
	type result struct {
		outcome    planner.Outcome
		workerTime clock.Time
	}
	r, ok := callWithTimeout(ctx, t.answerTimeout(), lateAnswerTimeout, func(ctx context.Context) result {
		out, workerTime := t.c.opts.Link.Start(ctx, o, t.head.Epoch)
		return result{
			outcome:    out,
			workerTime: workerTime,
		}
	}, func(r result) { t.post(plannerMessage{message: ended(r.outcome, r.workerTime, true)}) })
	if !ok {
		return ended(planner.OutcomeUnknown, 0, false)
	}
	return ended(r.outcome, r.workerTime, false)
}

func (t *tenure) sendStop(ctx context.Context, o planner.Stop) planner.Message {
	call, cancel := context.WithTimeout(ctx, t.answerTimeout().Duration())
	defer cancel()
	outcome, workerTime := t.c.opts.Link.Stop(call, o, t.head.Epoch)
	return planner.StopEnded{
		Worker:     o.Worker,
		Task:       o.Task,
		Attempt:    o.Attempt,
		Outcome:    outcome,
		WorkerTime: workerTime,
	}
}

// sendRenew renews leases and reads the worker's report. A report that arrives late is
// still passed to the planner: the worker has sent it, so its contents count as known.
func (t *tenure) sendRenew(ctx context.Context, o planner.Renew) planner.Message {
	failed := func(out planner.Outcome) planner.Message {
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
	r, ok := callWithTimeout(ctx, o.Wait+t.answerTimeout(), lateAnswerTimeout, func(ctx context.Context) result {
		report, out := t.c.opts.Link.Renew(ctx, o, t.head.Epoch)
		return result{
			report:   report,
			outcome:  out,
			received: t.now(),
		}
	}, func(r result) {
		if r.outcome == planner.OutcomeTaken {
			t.post(plannerMessage{message: planner.Renewed{
				Worker:   o.Worker,
				Report:   r.report,
				Received: r.received,
				Extra:    true,
			}})
		}
	})
	if !ok {
		return failed(planner.OutcomeUnknown)
	}
	if r.outcome != planner.OutcomeTaken {
		return failed(r.outcome)
	}
	return planner.Renewed{
		Worker:   o.Worker,
		Report:   r.report,
		Received: r.received,
		Extra:    o.Extra,
	}
}

// callWithTimeout runs call and returns its result. If call takes longer than timeout,
// ok is false, and the result is passed to onLate. The context of call ends lateTimeout
// after timeout.
func callWithTimeout[T any](ctx context.Context, timeout, lateTimeout clock.Span, call func(context.Context) T, onLate func(T)) (result T, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, (timeout + lateTimeout).Duration())
	results := make(chan T, 1)
	go func() { results <- call(ctx) }()
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	select {
	case result = <-results:
		cancel()
		return result, true
	case <-timer.C:
		go func() {
			onLate(<-results)
			cancel()
		}()
		return result, false
	}
}
