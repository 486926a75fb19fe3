package planner

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// simulation simulates workers, a lossy network, the durable record and successive
// owners around a Planner, and checks the invariants.
type simulation struct {
	random    *rand.Rand
	now       clock.Time
	events    events
	serial    int
	workers   map[string]*simWorker
	workerIDs []string
	jobs      []document.StagedJob
	faults    faults

	planner       *Planner // of the current owner
	owners        map[int]*simOwner
	owner         int // number of the current owner, which is also its epoch
	epoch         uint64
	jobRecords    map[string]Progress
	workerRecords map[string]WorkerRecord
	listed        map[string]bool
	cancelled     map[string]bool // by job
	committing    bool
	// overlapUntil is until when a replaced owner may still be active.
	overlapUntil clock.Time

	begun        map[string]bool // a worker has begun a task of the job
	done         map[TaskID]bool // an attempt has completed the task
	acknowledged map[TaskID]bool // such an end has been acknowledged
	failures     map[TaskID]int  // acknowledged failures
	violations   []string
	started      int
	// customers are nil where jobs have none. A new owner then decides nothing before it
	// has read all jobs, as the conductor holds it; without them it decides at once, which
	// the other invariants must stand.
	customers *simCustomers
	loading   bool
}

// faults are probabilities in thousandths, per message or attempt unless stated
// otherwise.
type faults struct {
	lostAnswers  int
	lateAnswers  int
	lateOrders   int
	lostOrders   int
	taskFailures int
	crashes      int // of each worker, per second
	ownerChanges int // per second
	// slowReads is the longest time that a job accepted while two owners are active takes to
	// reach the new one. It decides nothing at first, and jobs arrive meanwhile.
	slowReads  clock.Span
	partitions int // of each worker, per second
	// restarts is how many workers restart while two owners are active, each when a
	// job arrives.
	restarts int
}

// simOwner is an owner that is active until activeUntil, a long time if it has not
// been replaced.
type simOwner struct {
	planner     *Planner
	activeUntil clock.Time
	// aloneFrom is when no earlier owner is active any more; unread are the jobs accepted
	// before that of which the owner has not learned yet.
	aloneFrom clock.Time
	unread    int
	loading   bool // it decides nothing yet
}

type simWorker struct {
	info        Worker
	incarnation int64
	clockZero   clock.Time // when the worker's clock showed 0
	clockSlow   clock.Span // by how much the clock is slow, in thousandths
	leaseUntil  clock.Time // by the worker's clock
	epoch       uint64
	lastEnd     uint64
	// lapsedEnd is the latest end before the worker's lease was last over. Ends up to it that are
	// acknowledged later don't keep their tasks from another start: owners may have counted the
	// lease as over before.
	lapsedEnd        uint64
	running          map[runKey]*simRun
	ended            []Ended
	acked            uint64
	highestAttempt   map[TaskID]int
	partitionedUntil clock.Time // until when only one owner can reach it
	reachableBy      int        // that owner, 0 for none
	// replaced is true once another worker identifier answers at the address.
	replaced bool
	pending  *pendingRenew
}

type simRun struct {
	key      runKey
	endsAt   clock.Time // if it is not stopped
	willFail bool
	speed    int
}

type pendingRenew struct {
	owner int
	renew Renew
}

type event struct {
	at     clock.Time
	serial int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].serial < e[j].serial)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const (
	simLease = 6 * clock.Second
	// simFirstClock is what the clocks of workers show at first. They start at 0 after a restart.
	simFirstClock = 480 * clock.Second
	simStopGrace  = 200 * clock.Millisecond
	// simOverlap is how long a replaced owner may stay active.
	simOverlap = 4000 * clock.Millisecond
)

func newSimulation(seed uint64, workers int, f faults) *simulation {
	sim := &simulation{
		random:        rand.New(rand.NewPCG(seed, 7)),
		now:           1_000_000,
		workers:       map[string]*simWorker{},
		jobRecords:    map[string]Progress{},
		workerRecords: map[string]WorkerRecord{},
		listed:        map[string]bool{},
		owners:        map[int]*simOwner{},
		cancelled:     map[string]bool{},
		begun:         map[string]bool{},
		done:          map[TaskID]bool{},
		acknowledged:  map[TaskID]bool{},
		failures:      map[TaskID]int{},
		faults:        f,
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		sim.workerIDs = append(sim.workerIDs, id)
		sim.listed[id] = true
		sim.workers[id] = &simWorker{
			info: Worker{
				ID:       id,
				Address:  id,
				Pool:     "pool",
				Zone:     fmt.Sprintf("z%d", i%3),
				Rack:     fmt.Sprintf("r%d", i%2),
				Labels:   []string{"a", fmt.Sprintf("r%d", i%2)},
				Capacity: document.Size{Processors: 8000, Memory: 8000},
			},
			clockSlow: clock.Span(sim.random.IntN(20)),
		}
		sim.restartWorker(sim.workers[id])
		sim.workers[id].clockZero = sim.now.Add(-simFirstClock)
	}
	sim.takeover()
	sim.every(20, sim.commit)
	sim.every(100, func() { sim.tellAll(Ticked{}) })
	sim.every(1000, sim.injectFaults)
	return sim
}

func (sim *simulation) schedule(at clock.Time, run func()) {
	sim.serial++
	heap.Push(&sim.events, event{at: at, serial: sim.serial, run: run})
}

func (sim *simulation) after(span clock.Span, run func()) { sim.schedule(sim.now.Add(span), run) }

func (sim *simulation) every(span clock.Span, run func()) {
	sim.after(span, func() {
		run()
		sim.every(span, run)
	})
}

// runFor advances the simulation by a span, or until an invariant is violated.
func (sim *simulation) runFor(span clock.Span) {
	until := sim.now.Add(span)
	for len(sim.events) > 0 && !sim.events[0].at.After(until) && len(sim.violations) == 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = max(sim.now, e.at)
		e.run()
	}
	sim.now = until
}

func (sim *simulation) violate(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%d: %s", sim.now-1_000_000, fmt.Sprintf(format, args...)))
}

func (sim *simulation) chance(permille int) bool { return sim.random.IntN(1000) < permille }

// submit adds a job. The active owners learn of it at different times, a new one perhaps
// seconds later.
func (sim *simulation) submit(job document.StagedJob) {
	sim.jobs = append(sim.jobs, job)
	for number := range sim.owner + 1 {
		if !sim.isActive(number) {
			continue
		}
		owner := sim.owners[number]
		inherited := sim.now.Before(owner.aloneFrom)
		delay := clock.Span(sim.random.IntN(300))
		if inherited {
			owner.unread++
		}
		if inherited && sim.faults.slowReads > 0 {
			delay += clock.Span(sim.random.IntN(int(sim.faults.slowReads)))
		}
		sim.after(delay, func() {
			sim.sendSubmitted(number, job, inherited)
			if sim.cancelled[job.ID] {
				sim.tellOwner(number, Cancelled{Job: job.ID})
			}
			if inherited {
				owner.unread--
				sim.reportJobsRead(number)
			}
		})
	}
}

func (sim *simulation) cancel(id string) {
	sim.cancelled[id] = true
	sim.tellAll(Cancelled{Job: id})
}

// injectFaults crashes or partitions workers and replaces the owner at random.
func (sim *simulation) injectFaults() {
	for _, id := range sim.workerIDs {
		worker := sim.workers[id]
		if worker.replaced {
			continue
		}
		if sim.chance(sim.faults.crashes) {
			sim.crash(worker)
		}
		if sim.chance(sim.faults.partitions) {
			sim.partition(worker, clock.Span(1000+sim.random.IntN(12000)))
		}
	}
	if sim.chance(sim.faults.ownerChanges) {
		sim.takeover()
	}
}

// partition makes a worker unreachable. After 4.5 s the platform stops listing it.
func (sim *simulation) partition(worker *simWorker, span clock.Span) {
	worker.partitionedUntil = max(worker.partitionedUntil, sim.now.Add(span))
	worker.reachableBy = 0
	id := worker.info.ID
	sim.after(4500, func() {
		if worker.partitionedUntil.After(sim.now) && sim.listed[id] {
			sim.listed[id] = false
			sim.tellAll(WorkerUnlisted{Worker: id})
		}
	})
	sim.after(span+300, func() {
		if !worker.partitionedUntil.After(sim.now) && !sim.listed[id] {
			sim.listed[id] = true
			sim.tellAll(WorkerListed{Worker: worker.info})
		}
	})
}

// crash restarts a worker at once, under the same identifier or, at the same address,
// under a new one.
func (sim *simulation) crash(worker *simWorker) {
	sim.restartWorker(worker)
	if sim.chance(500) {
		return
	}
	worker.replaced = true
	old := worker.info.ID
	next := &simWorker{
		info:             worker.info,
		clockSlow:        worker.clockSlow,
		partitionedUntil: worker.partitionedUntil,
	}
	next.info.ID = fmt.Sprint(old, "+")
	sim.workerIDs = append(sim.workerIDs, next.info.ID)
	sim.workers[next.info.ID] = next
	sim.restartWorker(next)
	sim.after(1000, func() {
		sim.listed[next.info.ID] = true
		sim.tellAll(WorkerListed{Worker: next.info})
	})
	sim.after(4500, func() {
		delete(sim.listed, old)
		sim.tellAll(WorkerUnlisted{Worker: old})
	})
}

func (sim *simulation) restartWorker(worker *simWorker) {
	worker.incarnation = int64(sim.now)
	if sim.now%5 == 0 {
		worker.incarnation -= 3001 // the worker's time of day was set back
	}
	worker.clockZero = sim.now
	worker.leaseUntil = 0
	worker.epoch = 0
	worker.lastEnd = 0
	worker.lapsedEnd = 0
	worker.acked = 0
	worker.ended = nil
	worker.running = map[runKey]*simRun{}
	worker.highestAttempt = map[TaskID]int{}
	if pending := worker.pending; pending != nil {
		worker.pending = nil
		sim.after(400, func() {
			sim.tellOwner(pending.owner, timeoutOf(pending.renew))
		})
	}
}
