package conductor

import (
	"context"

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
	// otherOrderSenders is how many goroutines may send orders beyond the starts that the
	// planner allows in flight. A VM with little processor time is kept from sending all of
	// its stops and polls at once, which would be late together.
	otherOrderSenders = 32
)

// dispatch passes the planner's orders to the goroutines that send them.
func (t *tenure) dispatch() {
	now := t.now()
	t.senderLimit.Store(int64(t.planner.StartLimit() + otherOrderSenders))
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
		t.addSender()
	}
}

// addSender starts a goroutine that sends the queued orders, unless there are enough.
func (t *tenure) addSender() {
	if t.takeSenderSlot() {
		t.spawn(t.sendOrders)
	}
}

func (t *tenure) takeSenderSlot() bool {
	if t.senders.Add(1) <= t.senderLimit.Load() {
		return true
	}
	t.senders.Add(-1)
	return false
}

// sendOrders sends queued orders, one at a time, until none is left. If an answer is late,
// another goroutine has replaced this one.
func (t *tenure) sendOrders(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case order := <-t.orders.Out():
			if late := t.carryOut(ctx, order, t.sendOrders); late {
				return
			}
		default:
			t.senders.Add(-1)
			// An order may have been queued since, for which there was no slot.
			if t.orders.Len() == 0 || !t.takeSenderSlot() {
				return
			}
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
			Worker:      o.Worker,
			Incarnation: o.Incarnation,
			Task:        o.Task,
			Attempt:     o.Attempt,
			Outcome:     planner.OutcomeNotSent,
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
	t.spawn(func(ctx context.Context) { t.renewLoop(ctx, r) })
	return r
}

// renewLoop sends the lease renewals in queue, one at a time. It returns when ctx ends, or
// after the late answer to one, when another renewLoop has long replaced it.
func (t *tenure) renewLoop(ctx context.Context, queue *ring.Ring[planner.Renew]) {
	replace := func(ctx context.Context) { t.renewLoop(ctx, queue) }
	for {
		select {
		case renew := <-queue.Out():
			if late := t.carryOut(ctx, renew, replace); late {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// carryOut sends one order and tells the planner of its outcome. It reports whether the
// answer was late, in which case a goroutine that runs replace has replaced the caller.
func (t *tenure) carryOut(ctx context.Context, order planner.Order, replace func(context.Context)) (late bool) {
	call := timedCall{
		tenure:  t,
		replace: replace,
	}
	if message := t.send(ctx, order, &call); message != nil {
		t.post(plannerMessage{message: message})
	}
	return call.late
}

// send carries out one order, unless the lease of the cell has expired. The order's
// deadlines were computed before this check, so if the order is delayed after the
// check, it arrives too late to do harm. It returns nil if there is nothing more to tell
// the planner.
func (t *tenure) send(ctx context.Context, order planner.Order, call *timedCall) planner.Message {
	if !t.owns() {
		return notSent(order)
	}
	switch o := order.(type) {
	case planner.Start:
		return t.sendStart(ctx, o, call)
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
		return t.sendRenew(ctx, o, call)
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

func (t *tenure) sendStart(ctx context.Context, o planner.Start, call *timedCall) planner.Message {
	ended := planner.StartEnded{
		Worker:  o.Worker,
		Task:    o.Task,
		Attempt: o.Attempt,
		Outcome: planner.OutcomeUnknown,
	}
	ctx = call.begin(ctx, t.answerTimeout(), ended)
	ended.Outcome, ended.WorkerTime = t.c.opts.Link.Start(ctx, o, t.head.Epoch)
	ended.Late = call.end()
	return ended
}

func (t *tenure) sendStop(ctx context.Context, o planner.Stop) planner.Message {
	call, cancel := context.WithTimeout(ctx, t.answerTimeout().Duration())
	defer cancel()
	outcome, workerTime := t.c.opts.Link.Stop(call, o, t.head.Epoch)
	return planner.StopEnded{
		Worker:      o.Worker,
		Incarnation: o.Incarnation,
		Task:        o.Task,
		Attempt:     o.Attempt,
		Outcome:     outcome,
		WorkerTime:  workerTime,
	}
}

// sendRenew renews leases and reads the worker's report. A report that arrives late is
// still passed to the planner: the worker has sent it, so its contents count as known.
func (t *tenure) sendRenew(ctx context.Context, o planner.Renew, call *timedCall) planner.Message {
	failed := planner.RenewFailed{
		Worker:  o.Worker,
		Address: o.Address,
		Outcome: planner.OutcomeUnknown,
		Extra:   o.Extra,
	}
	ctx = call.begin(ctx, o.Wait+t.answerTimeout(), failed)
	report, out := t.c.opts.Link.Renew(ctx, o, t.head.Epoch)
	received := t.now()
	late := call.end()
	if out == planner.OutcomeTaken {
		return planner.Renewed{
			Worker:   o.Worker,
			Report:   report,
			Ordered:  o.Ordered,
			Received: received,
			Extra:    o.Extra || late,
		}
	}
	if late {
		return nil
	}
	failed.Outcome = out
	return failed
}
