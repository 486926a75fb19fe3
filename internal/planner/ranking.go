package planner

import (
	"container/heap"

	"marjoramstack/pkg/clock"
)

// ranking holds the workers that can run the tasks of one step, with their scores,
// while these tasks are placed one after another in one pass. A start changes only the
// score of the worker that gets it, except for a start that places two images on one
// worker for the first time, so the other workers need not be examined again.
type ranking struct {
	rack  string // "" for workers of all racks
	valid bool
	// pairs is the number of pairs of images that shared a worker when the workers were
	// examined. It only grows within a pass.
	pairs      int
	candidates candidates
	// first is the index of the worker that was examined first, examined how many were.
	first    int
	examined int
}

// maxCandidates is how many workers that can run a best-effort task are compared. Others are
// examined only once these have no room left, so that a step costs the same in pools of any
// larger size while they have room.
const maxCandidates = 96

// candidate is a worker that can run a task, with its score.
type candidate struct {
	worker *worker
	score  float64
}

// before reports whether the candidate is preferred to another.
func (c candidate) before(other candidate) bool {
	return c.score > other.score || (c.score == other.score && c.worker.info.ID < other.worker.info.ID)
}

// candidates is a heap with the preferred candidate first.
type candidates []candidate

func (c candidates) Len() int           { return len(c) }
func (c candidates) Less(i, j int) bool { return c[i].before(c[j]) }
func (c candidates) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }

// Push appends a candidate. Only package heap calls it.
func (c *candidates) Push(x any) { *c = append(*c, x.(candidate)) }

// Pop removes the last candidate. Only package heap calls it.
func (c *candidates) Pop() any {
	last := len(*c) - 1
	removed := (*c)[last]
	*c = (*c)[:last]
	return removed
}

// newRanking returns an empty ranking of the workers of a rack, or of all if rack is
// empty. It reuses the memory of the one before, so only one can be in use.
func (p *Planner) newRanking(rack string) *ranking {
	p.ranking = ranking{
		rack:       rack,
		candidates: p.ranking.candidates[:0],
	}
	return &p.ranking
}

// chooseNext returns the same worker as choose does for the rack of the ranking. Its
// caller places each task on the worker that it returns, or stops placing tasks of the
// step.
func (p *Planner) chooseNext(now clock.Time, t *task, r *ranking) *worker {
	if !t.alike() {
		// Its start may free the capacity that another worker reserves for it.
		r.valid = false
		return p.choose(now, t, r.rack)
	}
	if r.valid && r.pairs == len(p.colocation.colocated) {
		p.updateFirst(now, t, r)
	} else {
		p.rank(now, t, r)
	}
	if len(r.candidates) == 0 {
		p.rankMore(now, t, r)
	}
	if len(r.candidates) == 0 {
		return nil
	}
	return r.candidates[0].worker
}

// alike reports whether every worker has the same score for the task as for the other
// tasks of the step for which alike reports true.
func (t *task) alike() bool {
	return t.moveTarget == nil && t.reservedWorker == nil && len(t.failedWorkers) == 0 && len(t.refusedBy) == 0 && len(t.runs) == 0
}

// rank examines workers for a task: all, or for a best-effort task those from a random one on
// until maxCandidates can run it.
func (p *Planner) rank(now clock.Time, t *task, r *ranking) {
	r.valid = true
	r.pairs = len(p.colocation.colocated)
	r.candidates = r.candidates[:0]
	r.first = 0
	r.examined = 0
	if t.step.spec.BestEffort && len(p.fleet) > maxCandidates {
		r.first = p.random.IntN(len(p.fleet))
	}
	p.rankMore(now, t, r)
}

// rankMore examines workers that have not been examined for the ranking yet.
func (p *Planner) rankMore(now clock.Time, t *task, r *ranking) {
	for r.examined < len(p.fleet) && (len(r.candidates) < maxCandidates || !t.step.spec.BestEffort) {
		w := p.fleet[(r.first+r.examined)%len(p.fleet)]
		r.examined++
		if r.rack != "" && w.info.Rack != r.rack {
			continue
		}
		if score, ok := p.examine(now, t, w); ok {
			r.candidates = append(r.candidates, candidate{
				worker: w,
				score:  score,
			})
		}
	}
	heap.Init(&r.candidates)
}

// updateFirst examines the first candidate again, on which a task has been placed.
func (p *Planner) updateFirst(now clock.Time, t *task, r *ranking) {
	if len(r.candidates) == 0 {
		return
	}
	score, ok := p.examine(now, t, r.candidates[0].worker)
	if !ok {
		heap.Pop(&r.candidates)
		return
	}
	r.candidates[0].score = score
	heap.Fix(&r.candidates, 0)
}
