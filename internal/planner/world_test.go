package planner

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// world simulates workers, a lossy network, the durable record and successive
// owners around a Planner, and checks what must always hold.
type simulation struct {
	random    *rand.Rand
	now       clock.Time
	events    events
	serial    int
	workers   map[string]*simWorker
	workerIDs []string
	jobs      []document.StagedJob
	faults    faults

	planner       *Planner // of the present owner
	owners        map[int]*simOwner
	owner         int // counts owners: the present one's number, which is its epoch too
	epoch         uint64
	progress      map[string]Progress
	workerRecords map[string]WorkerRecord
	listed        map[string]bool
	cancelled     map[string]bool // cancelled jobs
	committing    bool
	// inheritUntil is until when new jobs may have been started by another owner.
	inheritUntil clock.Time
	// overlapUntil is until when an owner that has been replaced may act.
	overlapUntil clock.Time

	done         map[TaskID]bool // some attempt has ended done
	acknowledged map[TaskID]bool // such an end has been acknowledged
	failed       map[TaskID]int  // acknowledged failures
	violations   []string
	started      int
}

// faults are probabilities, by thousandths, while the world is not calm.
type faults struct {
	lostAnswers  int
	lateAnswers  int
	lateOrders   int
	lostOrders   int
	taskFailures int
	crashes      int // of workers, each second
	ownerChanges int // each second
	cuts         int // of workers, each second
	// restarts is how many workers restart while two owners act, each as a job
	// comes.
	restarts int
}

// simOwner is an owner that may still act, until a time if it has been replaced.
type simOwner struct {
	planner     *Planner
	activeUntil clock.Time
}

type simWorker struct {
	info        Worker
	incarnation int64
	clockZero   clock.Time // when the clock read 0
	clockSlow   clock.Span // thousandths that the clock is slow
	lease       clock.Time // reading
	epoch       uint64
	number      uint64
	running     map[runKey]*simRun
	ended       []Ended
	acked       uint64
	highest     map[TaskID]int
	cutUntil    clock.Time // unreachable until, for all owners but one
	reachableBy int        // the owner that still reaches it, 0 for none
	// replaced tells that the next life has another identifier and answers at the
	// address.
	replaced     bool
	pendingRenew *pendingRenew
}

type simRun struct {
	key      runKey
	endsAt   clock.Time // when it ends by itself
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
	simGrace = 200 * clock.Millisecond
	// simOverlap is how long an owner that has been replaced may act.
	simOverlap = 4000 * clock.Millisecond
)

func newSimulation(seed uint64, workers int, f faults) *simulation {
	w := &simulation{
		random:        rand.New(rand.NewPCG(seed, 7)),
		now:           1_000_000,
		workers:       map[string]*simWorker{},
		progress:      map[string]Progress{},
		workerRecords: map[string]WorkerRecord{},
		listed:        map[string]bool{},
		owners:        map[int]*simOwner{},
		cancelled:     map[string]bool{},
		done:          map[TaskID]bool{},
		acknowledged:  map[TaskID]bool{},
		failed:        map[TaskID]int{},
		faults:        f,
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		w.workerIDs = append(w.workerIDs, id)
		w.listed[id] = true
		w.workers[id] = &simWorker{
			info: Worker{
				ID:       id,
				Address:  id,
				Pool:     "pool",
				Zone:     fmt.Sprintf("z%d", i%3),
				Rack:     fmt.Sprintf("r%d", i%2),
				Labels:   []string{"a", fmt.Sprintf("r%d", i%2)},
				Capacity: document.Size{Processors: 8000, Memory: 8000},
			},
			clockSlow: clock.Span(w.random.IntN(20)),
		}
		w.newLife(w.workers[id])
	}
	w.takeover()
	w.every(20, w.commit)
	w.every(100, func() { w.tellAll(Ticked{}) })
	w.every(1000, w.injectFaults)
	return w
}

func (w *simulation) schedule(at clock.Time, run func()) {
	w.serial++
	heap.Push(&w.events, event{at: at, serial: w.serial, run: run})
}

func (w *simulation) after(span clock.Span, run func()) { w.schedule(w.now.Add(span), run) }

func (w *simulation) every(span clock.Span, run func()) {
	w.after(span, func() {
		run()
		w.every(span, run)
	})
}

// play runs the world for a span.
func (w *simulation) run(span clock.Span) {
	until := w.now.Add(span)
	for len(w.events) > 0 && !w.events[0].at.After(until) && len(w.violations) == 0 {
		e := heap.Pop(&w.events).(event)
		w.now = max(w.now, e.at)
		e.run()
	}
	w.now = until
}

func (w *simulation) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%d: %s", w.now-1_000_000, fmt.Sprintf(format, args...)))
}

func (w *simulation) chance(permille int) bool { return w.random.IntN(1000) < permille }

// submit hands in a job. Owners hear of it one after the other.
func (w *simulation) submit(job document.StagedJob) {
	w.jobs = append(w.jobs, job)
	for number := range w.owner + 1 {
		if w.isActive(number) {
			w.after(clock.Span(w.random.IntN(300)), func() {
				w.submitted(number, job, w.now.Before(w.inheritUntil))
			})
		}
	}
}

func (w *simulation) cancel(id string) {
	w.cancelled[id] = true
	w.tellAll(Cancelled{Job: id})
}

// mishap lets faults strike.
func (w *simulation) injectFaults() {
	for _, id := range w.workerIDs {
		sim := w.workers[id]
		if sim.replaced {
			continue
		}
		if w.chance(w.faults.crashes) {
			w.crash(sim)
		}
		if w.chance(w.faults.cuts) {
			w.cutOff(sim, clock.Span(1000+w.random.IntN(12000)))
		}
	}
	if w.chance(w.faults.ownerChanges) {
		w.takeover()
	}
}

// cut makes a worker unreachable; after a while the platform does not list it.
func (w *simulation) cutOff(sim *simWorker, span clock.Span) {
	sim.cutUntil = max(sim.cutUntil, w.now.Add(span))
	sim.reachableBy = 0
	id := sim.info.ID
	w.after(4500, func() {
		if sim.cutUntil.After(w.now) && w.listed[id] {
			w.listed[id] = false
			w.tellAll(WorkerUnlisted{Worker: id})
		}
	})
	w.after(span+300, func() {
		if !sim.cutUntil.After(w.now) && !w.listed[id] {
			w.listed[id] = true
			w.tellAll(WorkerListed{Worker: sim.info})
		}
	})
}

// crash ends a worker's life. The next begins at once, under the same identifier
// or, at the same address, under another.
func (w *simulation) crash(sim *simWorker) {
	w.newLife(sim)
	if w.chance(500) {
		return
	}
	sim.replaced = true
	old := sim.info.ID
	next := &simWorker{
		info:      sim.info,
		clockSlow: sim.clockSlow,
		cutUntil:  sim.cutUntil,
	}
	next.info.ID = fmt.Sprint(old, "+")
	w.workerIDs = append(w.workerIDs, next.info.ID)
	w.workers[next.info.ID] = next
	w.newLife(next)
	w.after(1000, func() {
		w.listed[next.info.ID] = true
		w.tellAll(WorkerListed{Worker: next.info})
	})
	w.after(4500, func() {
		delete(w.listed, old)
		w.tellAll(WorkerUnlisted{Worker: old})
	})
}

func (w *simulation) newLife(sim *simWorker) {
	sim.incarnation = int64(w.now)
	sim.clockZero = w.now
	sim.lease = 0
	sim.epoch = 0
	sim.number = 0
	sim.acked = 0
	sim.ended = nil
	sim.running = map[runKey]*simRun{}
	sim.highest = map[TaskID]int{}
	if waiting := sim.pendingRenew; waiting != nil {
		sim.pendingRenew = nil
		w.after(400, func() {
			w.tellOwner(waiting.owner, unanswered(waiting.renew))
		})
	}
}
