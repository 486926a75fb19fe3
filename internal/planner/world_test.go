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
type world struct {
	random  *rand.Rand
	now     clock.Time
	events  events
	serial  int
	workers map[string]*simWorker
	order   []string
	jobs    []document.StagedJob
	faults  faults

	planner *Planner // of the present owner
	owners  map[int]*simOwner
	owner   int // counts owners: the present one's number, which is its epoch too
	epoch   uint64
	record  map[string]Progress
	used    map[string]WorkerRecord
	listed  map[string]bool
	gone    map[string]bool // cancelled jobs
	commits bool
	// inheritUntil is until when new jobs may have been started by another owner.
	inheritUntil clock.Time
	// overlapUntil is until when an owner that has been replaced may act.
	overlapUntil clock.Time

	done    map[TaskID]bool // some attempt has ended done
	noted   map[TaskID]bool // such an end has been acknowledged
	failed  map[TaskID]int  // acknowledged failures
	broken  []string
	started int
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
	planner *Planner
	until   clock.Time
}

type simWorker struct {
	info    Worker
	born    int64
	zero    clock.Time // when the clock read 0
	slow    clock.Span // thousandths that the clock is slow
	lease   clock.Time // reading
	epoch   uint64
	number  uint64
	running map[runKey]*simRun
	ended   []Ended
	acked   uint64
	highest map[TaskID]int
	cut     clock.Time // unreachable until, for all owners but one
	reacher int        // the owner that still reaches it, 0 for none
	// replaced tells that the next life has another identifier and answers at the
	// address.
	replaced bool
	waiting  *waitingRenew
}

type simRun struct {
	key   runKey
	until clock.Time // when it ends by itself
	fails bool
	speed int
}

type waitingRenew struct {
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

func newWorld(seed uint64, workers int, f faults) *world {
	w := &world{
		random:  rand.New(rand.NewPCG(seed, 7)),
		now:     1_000_000,
		workers: map[string]*simWorker{},
		record:  map[string]Progress{},
		used:    map[string]WorkerRecord{},
		listed:  map[string]bool{},
		owners:  map[int]*simOwner{},
		gone:    map[string]bool{},
		done:    map[TaskID]bool{},
		noted:   map[TaskID]bool{},
		failed:  map[TaskID]int{},
		faults:  f,
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		w.order = append(w.order, id)
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
			slow: clock.Span(w.random.IntN(20)),
		}
		w.rebirth(w.workers[id])
	}
	w.takeover()
	w.every(20, w.commit)
	w.every(100, func() { w.tellAll(Ticked{}) })
	w.every(1000, w.mishap)
	return w
}

func (w *world) at(at clock.Time, run func()) {
	w.serial++
	heap.Push(&w.events, event{at: at, serial: w.serial, run: run})
}

func (w *world) after(span clock.Span, run func()) { w.at(w.now.Add(span), run) }

func (w *world) every(span clock.Span, run func()) {
	w.after(span, func() {
		run()
		w.every(span, run)
	})
}

// play runs the world for a span.
func (w *world) play(span clock.Span) {
	until := w.now.Add(span)
	for len(w.events) > 0 && !w.events[0].at.After(until) && len(w.broken) == 0 {
		e := heap.Pop(&w.events).(event)
		w.now = max(w.now, e.at)
		e.run()
	}
	w.now = until
}

func (w *world) breach(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%d: %s", w.now-1_000_000, fmt.Sprintf(format, args...)))
}

func (w *world) chance(permille int) bool { return w.random.IntN(1000) < permille }

// submit hands in a job. Owners hear of it one after the other.
func (w *world) submit(job document.StagedJob) {
	w.jobs = append(w.jobs, job)
	for number := range w.owner + 1 {
		if w.acts(number) {
			w.after(clock.Span(w.random.IntN(300)), func() {
				w.submitted(number, job, w.now.Before(w.inheritUntil))
			})
		}
	}
}

func (w *world) cancel(id string) {
	w.gone[id] = true
	w.tellAll(Cancelled{Job: id})
}

// mishap lets faults strike.
func (w *world) mishap() {
	for _, id := range w.order {
		sim := w.workers[id]
		if sim.replaced {
			continue
		}
		if w.chance(w.faults.crashes) {
			w.crash(sim)
		}
		if w.chance(w.faults.cuts) {
			w.cut(sim, clock.Span(1000+w.random.IntN(12000)))
		}
	}
	if w.chance(w.faults.ownerChanges) {
		w.takeover()
	}
}

// cut makes a worker unreachable; after a while the platform does not list it.
func (w *world) cut(sim *simWorker, span clock.Span) {
	sim.cut = max(sim.cut, w.now.Add(span))
	sim.reacher = 0
	id := sim.info.ID
	w.after(4500, func() {
		if sim.cut.After(w.now) && w.listed[id] {
			w.listed[id] = false
			w.tellAll(WorkerUnlisted{Worker: id})
		}
	})
	w.after(span+300, func() {
		if !sim.cut.After(w.now) && !w.listed[id] {
			w.listed[id] = true
			w.tellAll(WorkerListed{Worker: sim.info})
		}
	})
}

// crash ends a worker's life. The next begins at once, under the same identifier
// or, at the same address, under another.
func (w *world) crash(sim *simWorker) {
	w.rebirth(sim)
	if w.chance(500) {
		return
	}
	sim.replaced = true
	old := sim.info.ID
	next := &simWorker{
		info: sim.info,
		slow: sim.slow,
		cut:  sim.cut,
	}
	next.info.ID = fmt.Sprint(old, "+")
	w.order = append(w.order, next.info.ID)
	w.workers[next.info.ID] = next
	w.rebirth(next)
	w.after(1000, func() {
		w.listed[next.info.ID] = true
		w.tellAll(WorkerListed{Worker: next.info})
	})
	w.after(4500, func() {
		delete(w.listed, old)
		w.tellAll(WorkerUnlisted{Worker: old})
	})
}

func (w *world) rebirth(sim *simWorker) {
	sim.born = int64(w.now)
	sim.zero = w.now
	sim.lease = 0
	sim.epoch = 0
	sim.number = 0
	sim.acked = 0
	sim.ended = nil
	sim.running = map[runKey]*simRun{}
	sim.highest = map[TaskID]int{}
	if waiting := sim.waiting; waiting != nil {
		sim.waiting = nil
		w.after(400, func() {
			w.tellOwner(waiting.owner, unanswered(waiting.renew))
		})
	}
}
