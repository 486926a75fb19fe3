// Package scheduler assigns tasks to workers within a cell. A cell holds a
// share of the workers of one availability zone.
//
// A Cell is a deterministic state machine. Its inputs are typed messages and
// the current time. Its outputs are events that must be made durable, requests
// to workers and notes for the log. It does no I/O and reads no clock, so
// replaying recorded messages gives the same decisions. Package owner does the
// I/O and calls it.
//
// Four rules ensure that no task runs twice at the same time and that no worker
// is overloaded:
//
//   - An attempt is identified by task, epoch and attempt number. It is recorded
//     as an event and is sent to a worker only after the event is durable.
//   - A task gets a new attempt only when the previous one has certainly ended:
//     the worker reported its end under this owner's epoch, the worker has
//     restarted, the start window passed without a start, or the lease has
//     expired even on the slowest permitted clock.
//   - The free capacity of a worker is reduced by every attempt that has not
//     certainly ended.
//   - A start request carries a deadline, counted from the time at which the
//     transaction that made the attempt durable was sent. That transaction fails
//     if the configuration has changed.
//
// # Usage
//
//	cell := scheduler.New(scheduler.Options{ID: "press-0", Zone: "press", Epoch: 7})
//	cell.Replay(events)
//	cell.Handle(now, scheduler.Listed{VMs: vms})
//	batch, ok := cell.TakeBatch()        // make the batch durable, then
//	cell.Handle(now, scheduler.Committed{Seq: batch.Seq, Sent: sent})
//	for _, id := range cell.Due(now) {
//		request, ok := cell.Plan(now, id) // send it, then handle Answered or Unanswered
//	}
package scheduler

import (
	"math/rand/v2"

	"marjoramstack/internal/estimator"
	"marjoramstack/internal/leaser"
	"marjoramstack/internal/placer"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Options configure a cell and identify its owner. Takeover is the time at which
// the owner took over the cell; Seed seeds the random sampling of workers.
type Options struct {
	ID       string
	Zone     string
	Owner    string
	Epoch    worker.Epoch
	Takeover clock.Time
	Seed     uint64
	// Baseline makes the cell place tasks by first fit and ignore learned
	// slowdowns. Experiments use it for comparison.
	Baseline bool
}

// Cell is the state of one cell under one owner. It is not safe for concurrent
// use.
type Cell struct {
	opts          Options
	doc           *document.Document
	version       uint64
	zoneLeaving   map[string]bool
	vmLeaving     map[string]bool
	jobs          map[string]*job
	queue         jobQueue
	workers       map[string]*workerState
	tasksByWorker map[string]map[*task]bool
	index         *placer.Index
	runtimes      *estimator.Runtimes
	slowdowns     *estimator.Slowdowns
	runningByTeam map[string]document.Size
	authority     leaser.Authority
	cellLoads     []Load
	random        *rand.Rand

	// pending holds the events that are not yet part of a batch. seq is the
	// number of the last batch taken, committed that of the last durable one.
	pending   []Stamped
	seq       uint64
	committed uint64
	// awaitingCommit holds the placed tasks whose start window opens when their
	// placement is durable.
	awaitingCommit []*task
	// arrivals holds the handovers whose rows have still to be deleted,
	// takenOver those whose rows are gone.
	arrivals  map[string]Arrived
	takenOver map[string]takenHandover
	// replicaRetryAt holds, by job, the time before which this cell does not try
	// again to add a replica that another cell has.
	replicaRetryAt map[string]clock.Time
	// latencyWorkers holds the workers for which endpoint latency was reported.
	latencyWorkers map[string]bool
	// anyLeaving is set if any worker takes no new tasks because it or its zone
	// is leaving or it is no longer listed.
	anyLeaving bool
	notes      []Note

	// Times at which each kind of periodic work was last done.
	lastTick             clock.Time
	assignedAt           clock.Time
	prunedAt             clock.Time
	workersCheckedAt     clock.Time
	preemptionsCountedAt clock.Time
	preemptions          int
	stats                Stats
	loadSerial           uint64
}

// Stats counts the decisions of this owner since its takeover.
type Stats struct {
	Placed    int `json:"placed"`
	Finished  int `json:"finished"`
	Failed    int `json:"failed"`
	Evicted   int `json:"evicted"`
	Lapsed    int `json:"lapsed"`
	Restarted int `json:"restarted"`
	MovedOut  int `json:"moved-out"`
	MovedIn   int `json:"moved-in"`
	// Lost is the work, in milliseconds, that released attempts had done since
	// the checkpoint from which their tasks resume.
	Lost clock.Span `json:"lost-ms"`
	// Done is the work of finished tasks in milliseconds.
	Done clock.Span `json:"done-ms"`
}

// New returns a cell without jobs.
func New(opts Options) *Cell {
	slowdowns := estimator.NewSlowdowns()
	c := &Cell{
		opts:           opts,
		zoneLeaving:    map[string]bool{},
		vmLeaving:      map[string]bool{},
		jobs:           map[string]*job{},
		workers:        map[string]*workerState{},
		tasksByWorker:  map[string]map[*task]bool{},
		index:          placer.New(slowdowns),
		runtimes:       estimator.NewRuntimes(),
		slowdowns:      slowdowns,
		runningByTeam:  map[string]document.Size{},
		authority:      leaser.NewAuthority(opts.Takeover),
		arrivals:       map[string]Arrived{},
		takenOver:      map[string]takenHandover{},
		replicaRetryAt: map[string]clock.Time{},
		latencyWorkers: map[string]bool{},
		random:         rand.New(rand.NewPCG(opts.Seed, opts.Seed+1)),
	}
	c.index.SetLearning(!opts.Baseline)
	return c
}

// Handle applies one message received at time now.
func (c *Cell) Handle(now clock.Time, msg Message) {
	switch m := msg.(type) {
	case Configured:
		c.configure(now, m)
	case Listed:
		c.updateFleet(now, m)
	case Submitted:
		c.submit(now, m)
	case Withdrawn:
		c.withdraw(now, m)
	case Cancelled:
		c.cancel(now, m)
	case Arrived:
		c.arrive(now, m)
	case Answered:
		c.reconcile(now, m)
	case Unanswered:
		c.unanswered(now, m)
	case Committed:
		c.commit(m)
	case Confirmed:
		c.authority.Confirm(m.Sent)
	case CellLoads:
		c.cellLoads = m.Cells
	case EndpointLatency:
		c.recordLatency(now, m)
	case Ticked:
		c.runPeriodic(now)
	}
}

// workerCheckInterval is the interval of the checks that visit all workers.
// Waiting tasks are placed more often.
const workerCheckInterval = 500 * clock.Millisecond

// runPeriodic expires leases, adds missing watcher replicas, drains leaving
// workers, adjusts escalation levels, places or moves waiting tasks and prunes
// ended jobs.
func (c *Cell) runPeriodic(now clock.Time) {
	c.lastTick = now
	if now.Sub(c.workersCheckedAt) >= workerCheckInterval {
		c.workersCheckedAt = now
		c.expireLeases(now)
		c.addWatchers(now)
		c.drain(now)
		c.updateEscalations(now)
	}
	c.assign(now)
	c.moveWaiting(now)
	c.prune(now)
}

// emit appends an event to the pending ones and applies it.
func (c *Cell) emit(now clock.Time, e Event) {
	c.pending = append(c.pending, Stamped{
		At:    now,
		Event: e,
	})
	c.apply(now, e)
}

func (c *Cell) note(n Note) {
	c.notes = append(c.notes, n)
	if j := c.jobs[n.Job]; j != nil {
		j.note(n)
	}
}

// TakeNotes returns the notes added since the last call.
func (c *Cell) TakeNotes() []Note {
	notes := c.notes
	c.notes = nil
	return notes
}

// Batch is a sequence of events to be made durable in one transaction. Version is
// the version of the configuration under which they were decided.
type Batch struct {
	Seq     uint64
	Version uint64
	Events  []Stamped
}

// HasPending reports whether there are events that are not yet part of a batch.
func (c *Cell) HasPending() bool { return len(c.pending) > 0 }

// TakeBatch returns the events that are not yet part of a batch. They affect
// workers only after a Committed message has confirmed the batch.
func (c *Cell) TakeBatch() (Batch, bool) {
	if len(c.pending) == 0 {
		return Batch{}, false
	}
	c.seq++
	batch := Batch{
		Seq:     c.seq,
		Version: c.version,
		Events:  c.pending,
	}
	c.pending = nil
	return batch, true
}

// Extend returns the events decided since TakeBatch and the current version of
// the configuration. The caller adds the events to the batch taken last if that
// batch has to change before it can be committed, for example because the
// configuration has changed.
func (c *Cell) Extend() ([]Stamped, uint64) {
	events := c.pending
	c.pending = nil
	return events, c.version
}

// nextSeq returns the number of the batch that will hold an event emitted now.
func (c *Cell) nextSeq() uint64 { return c.seq + 1 }

func (c *Cell) commit(m Committed) {
	c.committed = max(c.committed, m.Seq)
	c.authority.Confirm(m.Sent)
	c.openStartWindows(m)
}

// openStartWindows sets the start deadlines of the attempts that are now durable.
func (c *Cell) openStartWindows(m Committed) {
	kept := c.awaitingCommit[:0]
	for _, t := range c.awaitingCommit {
		switch {
		case t.phase != phasePlaced || t.startDeadline != 0:
			// The attempt has ended, or a worker has reported it.
		case t.placedSeq <= c.committed:
			t.startDeadline = m.Sent.Add(leaser.StartWindow)
			c.requestExchange(t.worker)
		default:
			kept = append(kept, t)
		}
	}
	clear(c.awaitingCommit[len(kept):])
	c.awaitingCommit = kept
}

// ID returns the identifier of the cell.
func (c *Cell) ID() string { return c.opts.ID }

// Epoch returns the epoch of this owner.
func (c *Cell) Epoch() worker.Epoch { return c.opts.Epoch }

// Stats returns the decision counts of this owner since its takeover.
func (c *Cell) Stats() Stats { return c.stats }

// Load returns the current load of the cell, under a new serial number.
func (c *Cell) Load() Load {
	c.loadSerial++
	load := Load{
		Epoch:   c.opts.Epoch,
		Serial:  c.loadSerial,
		Cell:    c.opts.ID,
		Zone:    c.opts.Zone,
		Owner:   c.opts.Owner,
		Leaving: c.zoneLeaving[c.opts.Zone],
	}
	for _, w := range c.workers {
		if !c.usable(w) {
			continue
		}
		load.Workers++
		load.Total = load.Total.Plus(w.total)
		if h := c.index.Host(w.id); h != nil {
			load.Free = load.Free.Plus(h.Free)
		}
	}
	for _, j := range c.jobs {
		load.Running += j.counts.Placed
		load.Waiting += j.counts.Waiting
		load.Wanted = load.Wanted.Plus(j.size().Times(j.counts.Waiting))
	}
	return load
}

// usable reports whether the worker is listed and neither it nor its zone is
// leaving.
func (c *Cell) usable(w *workerState) bool {
	return w.listed && !w.leaving && !c.vmLeaving[w.id] && !c.zoneLeaving[c.opts.Zone]
}

func (c *Cell) class(name string) document.Class {
	if c.doc == nil {
		return document.Class{}
	}
	class, _ := c.doc.Class(name)
	return class
}
