package scheduler

import "container/heap"

// jobQueue is a priority queue of the jobs with waiting tasks. It is ordered by the
// latest time at which a task of the job can start and still meet the deadline, so
// the job with the least slack comes first.
type jobQueue []*job

func (q jobQueue) Len() int { return len(q) }

func (q jobQueue) Less(i, j int) bool {
	if q[i].rank != q[j].rank {
		return q[i].rank < q[j].rank
	}
	return q[i].origin.Spec.ID < q[j].origin.Spec.ID
}

func (q jobQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex = i
	q[j].queueIndex = j
}

// Push appends a *job. It implements heap.Interface.
func (q *jobQueue) Push(x any) {
	j := x.(*job)
	j.queueIndex = len(*q)
	*q = append(*q, j)
}

// Pop removes and returns the last *job. It implements heap.Interface.
func (q *jobQueue) Pop() any {
	old := *q
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	j.queueIndex = -1
	return j
}

func (q *jobQueue) add(j *job) {
	if j.queueIndex < 0 {
		heap.Push(q, j)
	}
}

func (q *jobQueue) remove(j *job) {
	if j.queueIndex >= 0 {
		heap.Remove(q, j.queueIndex)
	}
}

func (q *jobQueue) popFirst() *job { return heap.Pop(q).(*job) }
