package planner

import (
	"slices"
	"strings"
)

// addWorker inserts a worker into the fleet, which is sorted by identifier so that
// iteration order, and with it every decision, is deterministic.
func (p *Planner) addWorker(id string, w *worker) {
	p.workers[id] = w
	at, _ := findWorker(p.fleet, id)
	p.fleet = slices.Insert(p.fleet, at, w)
	p.scheduleRenewal(w, w.renewAt)
}

func (p *Planner) dropWorker(id string) {
	delete(p.workers, id)
	p.fleet = withoutWorker(p.fleet, id)
	p.toRenew = withoutWorker(p.toRenew, id)
}

// withoutWorker removes a worker from a list sorted by identifier.
func withoutWorker(workers []*worker, id string) []*worker {
	at, found := findWorker(workers, id)
	if !found {
		return workers
	}
	return slices.Delete(workers, at, at+1)
}

// findWorker returns the index of a worker in a list sorted by identifier, or where it
// would be inserted.
func findWorker(workers []*worker, id string) (int, bool) {
	return slices.BinarySearchFunc(workers, id, func(w *worker, id string) int {
		return strings.Compare(w.id, id)
	})
}
