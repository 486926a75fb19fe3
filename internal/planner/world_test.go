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

	planner *Planner
	owner   int // counts owners; answers for earlier ones are dropped
	epoch   uint64
	record  map[string]Progress
	used    map[string]Worker
	listed  map[string]bool
	gone    map[string]bool // cancelled jobs
	commits bool

	done    map[TaskID]bool // some attempt has ended done
	noted   map[TaskID]bool // such an end has been acknowledged
	failed  map[TaskID]int  // acknowledged failures
	broken  []string
	started int
}

// faults are probabilities, by thousandths, while the world is not calm.
type faults struct {
	lostAnswers  int
	lateOrders   int
	lostOrders   int
	taskFailures int
	crashes      int // of workers, each second
	ownerChanges int // each second
	cuts         int // of workers, each second
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
	cut     clock.Time // unreachable until
	waiting *waitingRenew
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
)

func newWorld(seed uint64, workers int, f faults) *world {
	w := &world{
		random:  rand.New(rand.NewPCG(seed, 7)),
		now:     1_000_000,
		workers: map[string]*simWorker{},
		record:  map[string]Progress{},
		used:    map[string]Worker{},
		listed:  map[string]bool{},
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
	w.every(100, func() { w.tell(Ticked{}) })
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

// takeover starts a new owner from the durable record alone.
func (w *world) takeover() {
	w.owner++
	w.epoch++
	w.commits = false
	w.planner = New(Options{
		Epoch:     w.epoch,
		Takeover:  w.now,
		LeaseMax:  simLease,
		StopGrace: simGrace,
		Seed:      w.epoch,
	})
	for _, id := range w.order {
		if worker, ok := w.used[id]; ok {
			w.tell(Remembered{Worker: worker})
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
		w.submitted(job, w.epoch > 1)
	}
	for _, job := range w.jobs {
		if w.gone[job.ID] {
			w.tell(Cancelled{Job: job.ID})
		}
	}
	for _, id := range w.order {
		if w.listed[id] {
			w.tell(Listed{Worker: w.workers[id].info})
		}
	}
}

func (w *world) submitted(job document.StagedJob, inherited bool) {
	m := Submitted{Job: job, Accepted: w.now, Inherited: inherited}
	if progress, ok := w.record[job.ID]; ok {
		m.Progress = &progress
	}
	w.tell(m)
}

// submit hands in a job.
func (w *world) submit(job document.StagedJob) {
	w.jobs = append(w.jobs, job)
	w.submitted(job, false)
}

func (w *world) cancel(id string) {
	w.gone[id] = true
	w.tell(Cancelled{Job: id})
}

// tell gives the owner a message and carries out what it orders.
func (w *world) tell(m Message) {
	w.planner.Handle(w.now, m)
	w.planner.Decide(w.now)
	w.planner.TakeNotes()
	for _, order := range w.planner.TakeOrders() {
		w.carry(order)
	}
}

// commit makes the owner's changes durable a little later.
func (w *world) commit() {
	if w.commits {
		return
	}
	batch, ok := w.planner.TakeChanges(60)
	if !ok {
		return
	}
	w.commits = true
	owner := w.owner
	w.after(clock.Span(5+w.random.IntN(20)), func() {
		if owner != w.owner {
			return
		}
		for _, change := range batch.Changes {
			w.record[change.Job] = change.Progress
		}
		for _, worker := range batch.Used {
			w.used[worker.ID] = worker
		}
		for _, id := range batch.Unused {
			delete(w.used, id)
		}
		w.commits = false
		w.tell(Committed{Number: batch.Number})
	})
}

// mishap lets faults strike.
func (w *world) mishap() {
	for _, id := range w.order {
		sim := w.workers[id]
		if w.chance(w.faults.crashes) {
			w.rebirth(sim)
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
	id := sim.info.ID
	w.after(4500, func() {
		if sim.cut.After(w.now) && w.listed[id] {
			w.listed[id] = false
			w.tell(Unlisted{Worker: id})
		}
	})
	w.after(span+300, func() {
		if !sim.cut.After(w.now) && !w.listed[id] {
			w.listed[id] = true
			w.tell(Listed{Worker: sim.info})
		}
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
			if waiting.owner == w.owner {
				w.tell(unanswered(waiting.renew))
			}
		})
	}
}
