// Package scheduler decides what runs where within a cell, a share of one
// availability zone's workers.
//
// A Cell is a pure state machine: it takes typed messages and the time, and
// gives events that must be made durable, requests for workers and notes for
// the log. It does no I/O and reads no clock, so recorded messages replay to
// the same decisions. Package owner drives it.
//
// What must hold rests on four rules:
//
//   - An attempt is (task, epoch, attempt number). It is an event, and no worker
//     hears of it before the event is durable.
//   - A task gets its next attempt only when the last one has ended for
//     certain: the worker said so under this owner's epoch, the worker lives
//     another life, its start window passed without a start, or its lease has
//     run out on the most pessimistic clock.
//   - A worker's room counts every attempt that has not ended for certain.
//   - A start carries the last moment at which it may happen, counted from when
//     the transaction that made it durable was sent; that transaction fails if
//     the configuration has changed.
//
// # Usage
//
//	cell := scheduler.New(scheduler.Options{ID: "press-0", Zone: "press", Epoch: 7})
//	cell.Replay(events)
//	cell.Handle(now, scheduler.Listed{VMs: vms})
//	batch, ok := cell.TakeBatch()        // make it durable, then
//	cell.Handle(now, scheduler.Committed{Seq: batch.Seq, Sent: sent})
//	for _, id := range cell.Due(now) {
//		request, ok := cell.Plan(now, id) // send it, then Answered or Unanswered
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

// Options describe a cell and the tenure of its owner.
type Options struct {
	ID       string
	Zone     string
	Owner    string
	Epoch    worker.Epoch
	Takeover clock.Time
	Seed     uint64
	// Baseline makes the cell place by first fit, without learning;
	// experiments compare against it.
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

	// pending are the events not yet part of a batch; seq numbers the batches
	// taken, committed the last one that is durable.
	pending   []Stamped
	seq       uint64
	committed uint64
	// awaitingCommit are the placements whose start window waits for their commit.
	awaitingCommit []*task
	// arrivals are the hand-overs being taken over, took those that were.
	arrivals  map[string]Arrived
	takenOver map[string]takenHandover
	// replicaRetryAt tells until when a replica is left to the cell that has it.
	replicaRetryAt map[string]clock.Time
	// latencyWorkers are the workers that are or were on the ladder.
	latencyWorkers map[string]bool
	// anyLeaving tells whether any worker takes no new tasks for leaving.
	anyLeaving bool
	notes      []Note

	// Times of the last pass of each kind.
	lastTick             clock.Time
	assignedAt           clock.Time
	prunedAt             clock.Time
	workersCheckedAt     clock.Time
	preemptionsCountedAt clock.Time
	preemptions          int
	stats                Stats
	loadSerial           uint64
}

// Stats counts decisions since this owner took over.
type Stats struct {
	Placed    int `json:"placed"`
	Finished  int `json:"finished"`
	Failed    int `json:"failed"`
	Evicted   int `json:"evicted"`
	Lapsed    int `json:"lapsed"`
	Restarted int `json:"restarted"`
	MovedOut  int `json:"moved-out"`
	MovedIn   int `json:"moved-in"`
	// Lost is the work in milliseconds that had been done after the checkpoint
	// from which an evicted or lapsed task resumes.
	Lost clock.Span `json:"lost-ms"`
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

// Handle takes one message at the time and decides what follows from it.
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

// workerCheckInterval is how often all workers are looked at; waiting tasks are placed
// more often.
const workerCheckInterval = 500 * clock.Millisecond

// runPeriodic lets time act: leases run out, watchers are kept alive, the waiting are
// placed, the leaving are drained.
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

// emit records an event and applies it.
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

// TakeNotes returns the notes made since the last call.
func (c *Cell) TakeNotes() []Note {
	notes := c.notes
	c.notes = nil
	return notes
}

// Batch is a run of events to be made durable in one transaction.
type Batch struct {
	Seq     uint64
	Version uint64
	Events  []Stamped
}

// HasPending reports whether events wait to be made durable.
func (c *Cell) HasPending() bool { return len(c.pending) > 0 }

// TakeBatch returns the events that are not yet part of a batch. Their effects
// begin only when Committed tells that the batch is durable. Version is the
// configuration under which they were decided.
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

// Extend returns the events decided since TakeBatch, to be added to the same
// batch when it has to be changed before it can be committed.
func (c *Cell) Extend() ([]Stamped, uint64) {
	events := c.pending
	c.pending = nil
	return events, c.version
}

// nextSeq is the number that the batch of an event emitted now will have.
func (c *Cell) nextSeq() uint64 { return c.seq + 1 }

func (c *Cell) commit(m Committed) {
	c.committed = max(c.committed, m.Seq)
	c.authority.Confirm(m.Sent)
	c.openStartWindows(m)
}

// openStartWindows opens the start windows of the attempts made durable.
func (c *Cell) openStartWindows(m Committed) {
	kept := c.awaitingCommit[:0]
	for _, t := range c.awaitingCommit {
		switch {
		case t.phase != phasePlaced || t.startDeadline != 0:
			// The attempt is over, or was found running.
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

// ID returns the cell's identifier.
func (c *Cell) ID() string { return c.opts.ID }

// Epoch returns the epoch of this owner.
func (c *Cell) Epoch() worker.Epoch { return c.opts.Epoch }

// Stats returns the counts since this owner took over.
func (c *Cell) Stats() Stats { return c.stats }

// Load summarises the cell.
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
