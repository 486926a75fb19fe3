package planner

import "marjoramstack/pkg/clock"

// carry brings an order to its worker, and the answer back, each with its
// delays and losses.
func (w *simulation) deliver(owner int, order Order) {
	delay := clock.Span(1 + w.random.IntN(8))
	reply := func(m Message) {
		w.after(clock.Span(1+w.random.IntN(8)), func() { w.tellOwner(owner, m) })
	}
	silence := func() {
		w.after(400, func() { w.tellOwner(owner, unanswered(order)) })
	}
	switch {
	case w.chance(w.faults.lostOrders):
		silence()
	case w.chance(w.faults.lateOrders):
		silence()
		w.after(clock.Span(2000+w.random.IntN(10000)), func() { w.execute(owner, order, func(Message) {}) })
	case w.chance(w.faults.lostAnswers):
		silence()
		w.after(delay, func() { w.execute(owner, order, func(Message) {}) })
	case w.chance(w.faults.lateAnswers):
		silence()
		w.after(delay, func() {
			w.execute(owner, order, func(m Message) {
				w.after(clock.Span(400+w.random.IntN(2000)), func() { w.tellOwner(owner, lateAnswer(m)) })
			})
		})
	default:
		w.after(delay, func() {
			if !w.execute(owner, order, reply) {
				silence()
			}
		})
	}
}

// lateAnswer is what an owner hears of an answer that comes after it has counted
// the order as unanswered.
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

func unanswered(order Order) Message {
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
