package planner

import (
	"slices"
	"strings"
)

// addWorker inserts a worker into the fleet, which is sorted by identifier so that
// iteration order, and with it every decision, is deterministic.
func (p *Planner) addWorker(id string, w *worker) {
	p.workers[id] = w
	at, _ := p.position(id)
	p.fleet = slices.Insert(p.fleet, at, w)
}

func (p *Planner) dropWorker(id string) {
	delete(p.workers, id)
	if at, ok := p.position(id); ok {
		p.fleet = slices.Delete(p.fleet, at, at+1)
	}
}

func (p *Planner) position(id string) (int, bool) {
	return slices.BinarySearchFunc(p.fleet, id, func(w *worker, id string) int {
		return strings.Compare(w.id, id)
	})
}
