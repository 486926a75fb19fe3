package planner

import (
	"fmt"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// takeover starts a new owner from the durable records alone. The previous owner may
// stay active for a while, but its writes no longer succeed.
func (sim *simulation) takeover() {
	overlap := clock.Span(0)
	if old := sim.owners[sim.owner]; old != nil {
		if sim.chance(500) {
			overlap = simOverlap
		}
		if sim.chance(400) {
			sim.partitionZone(sim.owner, clock.Span(3000+sim.random.IntN(6000)))
		}
		old.activeUntil = sim.now.Add(overlap)
	}
	overlap = max(overlap, sim.overlapUntil.Sub(sim.now))
	sim.overlapUntil = sim.now.Add(overlap)
	if overlap > 0 {
		sim.restartWorkers(overlap)
	}
	sim.owner++
	sim.epoch++
	sim.committing = false
	sim.planner = New(Options{
		Epoch:     sim.epoch,
		Zone:      sim.zoneOf(sim.owner),
		Takeover:  sim.now.Add(overlap),
		LeaseMax:  simLease,
		StopGrace: simStopGrace,
		Seed:      sim.epoch,

		LeasesSince: 1,
		LeaseBase:   sim.now,
	})
	sim.owners[sim.owner] = &simOwner{
		planner:     sim.planner,
		activeUntil: sim.now.Add(clock.Hour),
		aloneFrom:   sim.now.Add(overlap),
	}
	number := sim.owner
	sim.after(overlap, func() { sim.reportJobsRead(number) })
	if overlap > 0 && sim.faults.slowReads > 0 {
		sim.loadSlowly(number, overlap)
	}
	sim.loading = sim.customers != nil
	for _, id := range sim.workerIDs {
		if record, ok := sim.workerRecords[id]; ok {
			sim.tell(WorkerInherited(record))
		}
	}
	sim.tell(sim.configuration())
	for _, job := range sim.jobs {
		sim.sendSubmitted(sim.owner, job, sim.epoch > 1)
	}
	for _, job := range sim.jobs {
		if sim.cancelled[job.ID] {
			sim.tell(Cancelled{Job: job.ID})
		}
	}
	sim.loading = false
	for _, id := range sim.workerIDs {
		if sim.listed[id] {
			sim.tell(WorkerListed{Worker: sim.workers[id].info})
		}
	}
}

// configuration returns the operators' current configuration.
func (sim *simulation) configuration() Configured {
	return Configured{Operations: document.Operations{
		Revision: 1,
		Queues: []document.Queue{
			{Name: "quick", Pool: "pool", MaxAttempts: 4, Stretch: 1500, Slack: 250},
			{Name: "long", Pool: "pool", Priority: 2, MaxAttempts: 3, Stretch: 2000, Slack: 1000},
		},
		Pools:     []document.Pool{{Name: "pool"}},
		Customers: sim.customers.inForce(),
	}}
}

// restartWorkers restarts workers under the same identifiers while two owners are
// active.
func (sim *simulation) restartWorkers(overlap clock.Span) {
	for range sim.faults.restarts {
		worker := sim.workers[sim.workerIDs[sim.random.IntN(len(sim.workerIDs))]]
		sim.after(clock.Span(sim.random.IntN(int(overlap))), func() {
			if worker.replaced {
				return
			}
			sim.restartWorker(worker)
			sim.submit(sim.randomJob(4 * (1000 + sim.serial))) // not long-running
		})
	}
}

// zoneOf returns the zone of an owner.
func (sim *simulation) zoneOf(owner int) string { return fmt.Sprintf("z%d", owner%3) }

// partitionZone cuts off the zone of an owner. The owner is in the same partition and
// still reaches the workers there.
func (sim *simulation) partitionZone(owner int, span clock.Span) {
	for _, id := range sim.workerIDs {
		worker := sim.workers[id]
		if worker.info.Zone == sim.zoneOf(owner) && !worker.replaced {
			sim.partition(worker, span)
			worker.reachableBy = owner
		}
	}
}

// loadSlowly keeps a new owner from deciding anything for a while, and submits jobs while the
// earlier one is still active.
func (sim *simulation) loadSlowly(number int, overlap clock.Span) {
	owner := sim.owners[number]
	owner.loading = true
	sim.after(clock.Span(sim.random.IntN(int(overlap+overlap/2))), func() {
		owner.loading = false
		sim.tellOwner(number, Ticked{})
	})
	for range 3 {
		sim.after(clock.Span(sim.random.IntN(int(overlap))), func() {
			sim.submit(sim.randomJob(4 * (1000 + sim.serial))) // not long-running
		})
	}
}

// reportJobsRead tells an owner that it knows all jobs that an earlier one may have started, if
// that is so.
func (sim *simulation) reportJobsRead(number int) {
	owner := sim.owners[number]
	if owner.unread == 0 && !sim.now.Before(owner.aloneFrom) {
		sim.tellOwner(number, JobsRead{})
	}
}

func (sim *simulation) sendSubmitted(owner int, job document.StagedJob, inherited bool) {
	m := Submitted{Job: job, Accepted: sim.now, Inherited: inherited}
	if progress, ok := sim.jobRecords[job.ID]; ok {
		m.Progress = &progress
	}
	sim.tellOwner(owner, m)
}

// isActive reports whether an owner may still send orders.
func (sim *simulation) isActive(number int) bool {
	owner := sim.owners[number]
	return owner != nil && owner.activeUntil.After(sim.now) && !owner.planner.Fenced()
}

func (sim *simulation) tell(m Message) { sim.tellOwner(sim.owner, m) }

func (sim *simulation) tellAll(m Message) {
	for number := range sim.owner + 1 {
		sim.tellOwner(number, m)
	}
}

// tellOwner passes a message to an owner and sends its orders.
func (sim *simulation) tellOwner(number int, m Message) {
	if !sim.isActive(number) {
		return
	}
	p := sim.owners[number].planner
	p.Handle(sim.now, m)
	if sim.loading || sim.owners[number].loading {
		return
	}
	p.Decide(sim.now)
	if fault := p.checkBookkeeping(sim.now); fault != "" {
		sim.violate("%s", fault)
	}
	for _, j := range p.activeJobs {
		if j.state == StateRunning && !sim.begun[j.spec.ID] {
			sim.violate("%s is shown as running, and no worker has begun a task of it", j.spec.ID)
		}
	}
	p.TakeLog()
	for _, order := range p.TakeOrders() {
		sim.deliver(number, order)
	}
}

// commit makes the owner's changes durable after a short delay.
func (sim *simulation) commit() {
	if sim.committing {
		return
	}
	batch, ok := sim.planner.TakeChanges(60)
	if !ok {
		return
	}
	sim.committing = true
	owner := sim.owner
	sim.after(clock.Span(5+sim.random.IntN(20)), func() {
		if owner != sim.owner {
			return
		}
		for _, change := range batch.Changes {
			sim.jobRecords[change.Job] = change.Progress
		}
		for _, record := range batch.Used {
			sim.workerRecords[record.Worker.ID] = record
		}
		for _, id := range batch.Unused {
			delete(sim.workerRecords, id)
		}
		sim.committing = false
		sim.tell(Committed{Number: batch.Number})
	})
}
