package router

import (
	"container/heap"

	"marjoramstack/pkg/clock"
)

// waiter is a request in the queue.
type waiter struct {
	req Request
	at  int
}

// deadlineQueue holds waiting requests, earliest deadline first.
type deadlineQueue []*waiter

var _ heap.Interface = (*deadlineQueue)(nil)

func (q deadlineQueue) Len() int { return len(q) }

func (q deadlineQueue) Less(i, j int) bool {
	if q[i].req.Deadline != q[j].req.Deadline {
		return q[i].req.Deadline < q[j].req.Deadline
	}
	return q[i].req.Arrived < q[j].req.Arrived
}

func (q deadlineQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].at = i
	q[j].at = j
}

// Push adds a *waiter; container/heap calls it.
func (q *deadlineQueue) Push(x any) {
	w := x.(*waiter)
	w.at = len(*q)
	*q = append(*q, w)
}

// Pop removes the last *waiter; container/heap calls it.
func (q *deadlineQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return w
}

// ahead counts the waiting requests that are due before the deadline. It looks
// at the whole queue only while that is short.
func (q deadlineQueue) ahead(deadline clock.Time) int {
	const exact = 64
	if len(q) > exact {
		return len(q)
	}
	n := 0
	for _, w := range q {
		if w.req.Deadline <= deadline {
			n++
		}
	}
	return n
}
