package planner

import (
	"fmt"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// takeover starts a new owner from the durable record alone. The earlier one
// may go on acting for a while, though it can't write any more.
func (w *simulation) takeover() {
	overlap := clock.Span(0)
	if old := w.owners[w.owner]; old != nil {
		if w.chance(500) {
			overlap = simOverlap
		}
		if w.chance(400) {
			w.cutZone(w.owner, clock.Span(3000+w.random.IntN(6000)))
		}
		old.activeUntil = w.now.Add(overlap)
	}
	overlap = max(overlap, w.overlapUntil.Sub(w.now))
	w.overlapUntil = w.now.Add(overlap)
	if overlap > 0 {
		w.restartWorkers(overlap)
	}
	w.owner++
	w.epoch++
	w.committing = false
	w.planner = New(Options{
		Epoch:     w.epoch,
		Zone:      w.zoneOf(w.owner),
		Takeover:  w.now.Add(overlap),
		LeaseMax:  simLease,
		StopGrace: simGrace,
		Seed:      w.epoch,
	})
	w.owners[w.owner] = &simOwner{
		planner:     w.planner,
		activeUntil: w.now.Add(clock.Hour),
	}
	w.inheritUntil = w.now.Add(overlap + overlap/2)
	for _, id := range w.workerIDs {
		if worker, ok := w.workerRecords[id]; ok {
			w.tell(WorkerInherited(worker))
		}
	}
	w.tell(Configured{Operations: document.Operations{
		Revision: 1,
		Queues: []document.Queue{
			{Name: "quick", Pool: "pool", MaxAttempts: 4, Stretch: 1500, Slack: 250},
			{Name: "long", Pool: "pool", Priority: 2, MaxAttempts: 3, Stretch: 2000, Slack: 1000},
		},
		Pools: []document.Pool{{Name: "pool"}},
	}})
	for _, job := range w.jobs {
		w.submitted(w.owner, job, w.epoch > 1)
	}
	for _, job := range w.jobs {
		if w.cancelled[job.ID] {
			w.tell(Cancelled{Job: job.ID})
		}
	}
	for _, id := range w.workerIDs {
		if w.listed[id] {
			w.tell(WorkerListed{Worker: w.workers[id].info})
		}
	}
}

// restart lets workers restart under their identifiers during an overlap.
func (w *simulation) restartWorkers(overlap clock.Span) {
	for range w.faults.restarts {
		sim := w.workers[w.workerIDs[w.random.IntN(len(w.workerIDs))]]
		w.after(clock.Span(w.random.IntN(int(overlap))), func() {
			if sim.replaced {
				return
			}
			w.newLife(sim)
			w.submit(w.randomJob(4 * (1000 + w.serial))) // none that lasts
		})
	}
}

// zoneOf is the zone of an owner.
func (w *simulation) zoneOf(owner int) string { return fmt.Sprintf("z%d", owner%3) }

// cutZone cuts the zone of an owner off, together with the owner, which goes on
// reaching the workers there.
func (w *simulation) cutZone(owner int, span clock.Span) {
	for _, id := range w.workerIDs {
		sim := w.workers[id]
		if sim.info.Zone == w.zoneOf(owner) && !sim.replaced {
			w.cutOff(sim, span)
			sim.reachableBy = owner
		}
	}
}

func (w *simulation) submitted(owner int, job document.StagedJob, inherited bool) {
	m := Submitted{Job: job, Accepted: w.now, Inherited: inherited}
	if progress, ok := w.progress[job.ID]; ok {
		m.Progress = &progress
	}
	w.tellOwner(owner, m)
}

// acts reports whether an owner may still act.
func (w *simulation) isActive(number int) bool {
	owner := w.owners[number]
	return owner != nil && owner.activeUntil.After(w.now) && !owner.planner.Fenced()
}

func (w *simulation) tell(m Message) { w.tellOwner(w.owner, m) }

func (w *simulation) tellAll(m Message) {
	for number := range w.owner + 1 {
		w.tellOwner(number, m)
	}
}

// tellOwner gives an owner a message and carries out what it orders.
func (w *simulation) tellOwner(number int, m Message) {
	if !w.isActive(number) {
		return
	}
	p := w.owners[number].planner
	p.Handle(w.now, m)
	p.Decide(w.now)
	p.TakeLog()
	for _, order := range p.TakeOrders() {
		w.deliver(number, order)
	}
}

// commit makes the owner's changes durable a little later.
func (w *simulation) commit() {
	if w.committing {
		return
	}
	batch, ok := w.planner.TakeChanges(60)
	if !ok {
		return
	}
	w.committing = true
	owner := w.owner
	w.after(clock.Span(5+w.random.IntN(20)), func() {
		if owner != w.owner {
			return
		}
		for _, change := range batch.Changes {
			w.progress[change.Job] = change.Progress
		}
		for _, worker := range batch.Used {
			w.workerRecords[worker.Worker.ID] = worker
		}
		for _, id := range batch.Unused {
			delete(w.workerRecords, id)
		}
		w.committing = false
		w.tell(Committed{Number: batch.Number})
	})
}
