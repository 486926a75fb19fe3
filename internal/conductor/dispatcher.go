package conductor

import (
	"context"

	"marjoramstack/internal/planner"
	"marjoramstack/internal/ring"
	"marjoramstack/pkg/clock"
)

const (
	// orderWithin is how long a worker may take to answer an order.
	orderWithin = 200 * clock.Millisecond
	// renewMargin is how much longer than the wait asked for a renewal may take.
	renewMargin = 200 * clock.Millisecond
)

// dispatch hands the planner's orders to the goroutines that send them.
func (t *tenure) dispatch() {
	now := t.now()
	for _, order := range t.planner.TakeOrders() {
		if renew, ok := order.(planner.Renew); ok && !renew.Extra {
			t.renewer(renew.Worker).Offer(renew)
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
	case planner.Renew:
		return planner.Unrenewed{
			Worker:  o.Worker,
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
	link := t.c.opts.Link
	epoch := t.head.Epoch
	switch o := order.(type) {
	case planner.Start:
		call, cancel := context.WithTimeout(ctx, orderWithin.Duration())
		defer cancel()
		outcome, reading := link.Start(call, o, epoch)
		return planner.StartEnded{
			Worker:  o.Worker,
			Task:    o.Task,
			Attempt: o.Attempt,
			Outcome: outcome,
			Reading: reading,
		}
	case planner.Stop:
		call, cancel := context.WithTimeout(ctx, orderWithin.Duration())
		defer cancel()
		outcome, reading := link.Stop(call, o, epoch)
		return planner.StopEnded{
			Worker:  o.Worker,
			Task:    o.Task,
			Attempt: o.Attempt,
			Outcome: outcome,
			Reading: reading,
		}
	case planner.Throttle:
		call, cancel := context.WithTimeout(ctx, orderWithin.Duration())
		defer cancel()
		link.Throttle(call, o, epoch)
		return planner.Ticked{}
	case planner.Renew:
		return t.sendRenew(ctx, o)
	}
	return planner.Ticked{}
}

func (t *tenure) sendRenew(ctx context.Context, o planner.Renew) planner.Message {
	call, cancel := context.WithTimeout(ctx, (o.Wait + renewMargin).Duration())
	defer cancel()
	report, outcome := t.c.opts.Link.Renew(call, o, t.head.Epoch)
	if outcome != planner.OutcomeTaken {
		return planner.Unrenewed{
			Worker:  o.Worker,
			Outcome: outcome,
			Extra:   o.Extra,
		}
	}
	return planner.Renewed{
		Worker:   o.Worker,
		Report:   report,
		Received: t.now(),
		Extra:    o.Extra,
	}
}
