package planner

import "marjoramstack/pkg/clock"

// deliver sends an order to its worker and the answer back, either of which may be
// delayed or lost.
func (sim *simulation) deliver(owner int, order Order) {
	delay := clock.Span(1 + sim.random.IntN(8))
	reply := func(m Message) {
		sim.after(clock.Span(1+sim.random.IntN(8)), func() { sim.tellOwner(owner, m) })
	}
	silence := func() {
		sim.after(400, func() { sim.tellOwner(owner, timeoutOf(order)) })
	}
	switch {
	case sim.chance(sim.faults.lostOrders):
		silence()
	case sim.chance(sim.faults.lateOrders):
		silence()
		life := sim.incarnationFor(order)
		sim.after(clock.Span(2000+sim.random.IntN(10000)), func() {
			if sim.incarnationFor(order) == life { // the worker has it, and forgets it in a restart
				sim.execute(owner, order, func(Message) {})
			}
		})
	case sim.chance(sim.faults.lostAnswers):
		silence()
		sim.after(delay, func() { sim.execute(owner, order, func(Message) {}) })
	case sim.chance(sim.faults.lateAnswers):
		silence()
		sim.after(delay, func() {
			sim.execute(owner, order, func(m Message) {
				sim.after(clock.Span(400+sim.random.IntN(2000)), func() { sim.tellOwner(owner, lateAnswer(m)) })
			})
		})
	default:
		sim.after(delay, func() {
			if !sim.execute(owner, order, reply) {
				silence()
			}
		})
	}
}

// incarnationFor returns the incarnation of the worker to which an order is sent.
func (sim *simulation) incarnationFor(order Order) int64 {
	switch o := order.(type) {
	case Start:
		return sim.workers[o.Worker].incarnation
	case Stop:
		return sim.workers[o.Worker].incarnation
	case Renew:
		return sim.workers[o.Worker].incarnation
	}
	return 0
}

// lateAnswer returns the message for an answer that arrives after the order has timed
// out.
func lateAnswer(m Message) Message {
	switch m := m.(type) {
	case StartEnded:
		m.Late = true
		return m
	case Renewed:
		m.Extra = true
		return m
	}
	return Ticked{}
}

// timeoutOf returns the message for an order without an answer.
func timeoutOf(order Order) Message {
	switch o := order.(type) {
	case Start:
		return StartEnded{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, Outcome: OutcomeUnknown}
	case Stop:
		return StopEnded{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, Outcome: OutcomeUnknown}
	case Renew:
		return RenewFailed{Worker: o.Worker, Address: o.Address, Outcome: OutcomeUnknown, Extra: o.Extra}
	}
	return Ticked{}
}
