package router

import (
	"container/heap"

	"marjoramstack/pkg/clock"
)

// queuedRequest is a request in the queue and its index in the heap.
type queuedRequest struct {
	req   Request
	index int
}

// deadlineQueue is a heap of queued requests, earliest deadline first.
type deadlineQueue []*queuedRequest

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
	q[i].index = i
	q[j].index = j
}

// Push appends a *queuedRequest. Only container/heap may call it.
func (q *deadlineQueue) Push(x any) {
	w := x.(*queuedRequest)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop removes the last *queuedRequest. Only container/heap may call it.
func (q *deadlineQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return w
}

// countAhead returns the number of queued requests whose deadline is not after the
// given one. In a queue longer than maxExactCount it returns the queue length, to
// bound the cost.
func (q deadlineQueue) countAhead(deadline clock.Time) int {
	const maxExactCount = 64
	if len(q) > maxExactCount {
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
