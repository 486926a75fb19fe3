// Package conductor owns a cell of workers for as long as this VM holds the
// cell's row, and carries out what package planner decides.
//
// Every entry VM runs a Conductor. One of them holds the row; the others watch
// it and take it when it has stood unchanged for longer than its lease, when its
// holder gave it up, or when the holder's process has ended. All writes of an
// owner name the row's version and replace it, so nothing that an earlier owner
// sent can take effect later, and each write renews the lease.
//
// # Usage
//
//	c := conductor.New(conductor.Options{VM: "entry-1", Store: store, Link: link, ...})
//	c.Run(ctx) // until ctx ends; gives the cell up then
package conductor

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/leaser"
	"marjoramstack/internal/planner"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Error is the class of this package's errors.
var Error = errs.Class("conductor")

// Link carries orders to workers under an epoch. Its methods return once the
// worker has answered or ctx ends. It is safe for concurrent use.
type Link interface {
	// Start returns the worker's clock if it answered.
	Start(ctx context.Context, start planner.Start, epoch uint64) (planner.Outcome, clock.Time)
	// Stop returns the worker's clock if it answered.
	Stop(ctx context.Context, stop planner.Stop, epoch uint64) (planner.Outcome, clock.Time)
	Throttle(ctx context.Context, throttle planner.Throttle, epoch uint64) planner.Outcome
	Renew(ctx context.Context, renew planner.Renew, epoch uint64) (planner.Report, planner.Outcome)
}

// Options say with what a Conductor works.
type Options struct {
	VM          string
	Zone        string
	Incarnation string
	// Probe is the address at which this process serves OwnerPath.
	Probe string
	// Share is this VM's share of a core, in thousandths: those with more go
	// first when the cell has no owner.
	Share int
	Store table.Store
	Link  Link
	// Adviser is nil where no queue has advice.
	Adviser Adviser
	// WorkersTable is where the platform lists workers, and DecodeWorker reads
	// a row of it. An error means that the row names no worker to use.
	WorkersTable string
	DecodeWorker func(key string, value []byte) (planner.Worker, error)
	// Operations returns what operators ask for; ok is false while unknown.
	Operations func() (ops document.Operations, ok bool)
	Planner    planner.Options
	// Retention is how long ended jobs can be asked for.
	Retention clock.Span
	Clock     clock.Clock
	Log       *slog.Logger
	Scope     tally.Scope
}

// cellLease is how long an owner may act after its last confirmed write.
const cellLease = 4000 * clock.Millisecond

// restAfterSlow is how long a VM that was too slow leaves the cell to others.
const restAfterSlow = 6 * clock.Second

const (
	watchEvery  = 400 * clock.Millisecond
	callWithin  = 1500 * clock.Millisecond
	probeWithin = 300 * time.Millisecond
	// quietLeast is for how long the cell's row must stand unchanged before its
	// owner is asked, and quietMost before one that does not answer is replaced.
	quietLeast   = 300 * clock.Millisecond
	quietMost    = 1200 * clock.Millisecond
	doubtsMost   = 2
	confirmedAge = 1500 * clock.Millisecond
	// slowFactor is how many times the table's usual answer is allowed for on top:
	// while the table is slow, an owner's row stands for longer.
	slowFactor = 4
)

// Conductor takes part in the ownership of one cell.
type Conductor struct {
	opts   Options
	probes *http.Client
	// writes and reads follow how long the table takes to answer.
	writes table.LatencyEstimate
	reads  table.LatencyEstimate
	// registered are the VMs through which the adviser can be asked.
	registered map[string]registration
	// doubts counts probes in a row that the owner has not answered well.
	doubts int
	// unreadSince is since when the cell's row can't be read, 0 if it can.
	unreadSince clock.Time
	// vacantSince is when the cell was first seen to have no owner.
	vacantSince clock.Time
	// restUntil is when a VM that was too slow takes part again.
	restUntil clock.Time

	mu        sync.Mutex
	seen      sighting
	confirmed clock.Time
}

// sighting is what this process last saw of the cell's row, and when it first
// saw that version.
type sighting struct {
	head    acceptor.Head
	version uint64
	since   clock.Time
}

// countsAge is how old the counts of waiting jobs may be.
const countsAge = 1800 * clock.Millisecond

// Waiting returns the jobs that wait, by queue; ok is false if the owner has not
// counted them of late. It is safe for concurrent use.
func (c *Conductor) Waiting() (counts map[string]int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.seen.head.Counted || c.opts.Clock.Now().Sub(c.seen.since) > countsAge {
		return nil, false
	}
	return c.seen.head.Waiting, true
}

// see notes the cell's row.
func (c *Conductor) see(head acceptor.Head, version uint64, at clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version == c.seen.version {
		return
	}
	c.seen = sighting{
		head:    head,
		version: version,
		since:   at,
	}
}

// New returns a Conductor.
func New(opts Options) *Conductor {
	return &Conductor{
		opts:       opts,
		probes:     &http.Client{},
		registered: map[string]registration{},
	}
}

// Run watches the cell, and owns it when it can, until ctx ends.
func (c *Conductor) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { c.register(ctx) })
	var watch leaser.Observer
	for ctx.Err() == nil {
		row, err := c.readHead(ctx)
		c.noteReading(err)
		if err == nil {
			watch.Observe(row.Version, c.opts.Clock.Now())
			c.consider(ctx, row, &watch)
		}
		sleep(ctx, watchEvery)
	}
}

// noteReading logs when the cell's row can't be read any more, and when it can
// again.
func (c *Conductor) noteReading(err error) {
	switch {
	case err != nil && c.unreadSince == 0:
		c.unreadSince = c.opts.Clock.Now()
		c.opts.Log.Warn("cell-unread", "version", c.seen.version, "error", err.Error())
	case err == nil && c.unreadSince != 0:
		c.opts.Log.Info("cell-read-again", "version", c.seen.version, "away-ms", int64(c.opts.Clock.Now().Sub(c.unreadSince)))
		c.unreadSince = 0
	}
}

func (c *Conductor) readHead(ctx context.Context) (table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callWithin.Duration())
	defer cancel()
	sent := c.opts.Clock.Now()
	row, err := table.Get(ctx, c.opts.Store, acceptor.CellTable, acceptor.CellPart, acceptor.HeadKey)
	if err == nil {
		c.reads.Observe(c.opts.Clock.Now().Sub(sent))
	}
	return row, err
}

// consider takes the cell if it may be taken.
func (c *Conductor) consider(ctx context.Context, row table.Row, watch *leaser.Observer) {
	head, err := acceptor.DecodeHead(row)
	if err != nil {
		c.opts.Log.Error("head-unreadable", "version", row.Version, "error", err.Error())
		return
	}
	now := c.opts.Clock.Now()
	c.see(head, row.Version, now)
	if c.restUntil.After(now) {
		return
	}
	why := c.vacancy(row, head, watch)
	if why == occupied {
		c.vacantSince = 0
		return
	}
	if c.vacantSince == 0 {
		c.vacantSince = now
	}
	if now.Sub(c.vacantSince) < c.handicap(head, why) {
		return
	}
	c.vacantSince = 0
	c.doubts = 0
	c.opts.Log.Info("cell-take", "reason", vacancyReasons[why], "from", head.VM, "epoch", head.Epoch+1, "version", row.Version)
	c.serve(ctx, row, head, max(c.overlap(why, watch), head.Overlap))
}

// OwnerPath is where an owner is asked whether its writes are confirmed.
const OwnerPath = "/owner"

// ServeHTTP answers 200 if this process owns the cell and its last write is
// confirmed.
func (c *Conductor) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	confirmed := c.confirmed
	c.mu.Unlock()
	if confirmed == 0 || c.opts.Clock.Now().Sub(confirmed) > confirmedAge+slowFactor*c.writes.Typical() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// confirm notes when the last confirmed write of this owner was sent, 0 if this
// process does not own the cell.
func (c *Conductor) confirm(sent clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed = sent
}

// overlap is for how long the earlier owner may still act: what is left of its
// lease if it only fell silent.
func (c *Conductor) overlap(why vacancy, watch *leaser.Observer) clock.Span {
	if why != vacantSilent {
		return 0
	}
	return max(cellLease+leaser.Drift(cellLease)-watch.UnchangedFor(c.opts.Clock.Now()), 0)
}

// serve takes the cell over and runs one tenure to its end.
func (c *Conductor) serve(ctx context.Context, row table.Row, head acceptor.Head, overlap clock.Span) {
	t, err := c.take(ctx, row, head, overlap)
	if err != nil {
		c.opts.Log.Warn("cell-not-taken", "epoch", head.Epoch+1, "error", err.Error())
		return
	}
	c.confirm(clock.Time(t.confirmed.Load()))
	t.run(ctx)
	c.confirm(0)
	if t.ended == tooSlow {
		c.restUntil = c.opts.Clock.Now().Add(restAfterSlow)
	}
	c.opts.Log.Info("cell-left", "epoch", t.head.Epoch, "reason", t.ended)
}

func sleep(ctx context.Context, span clock.Span) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
