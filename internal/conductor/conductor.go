// Package conductor competes for the ownership of a cell of workers. While this VM owns
// the cell, it runs package planner and carries out its decisions.
//
// Every entry VM runs a Conductor. A row of the platform's table, the cell row, names
// the owner. The other VMs poll the row and take the cell when the row has not changed
// for longer than the owner's lease, when the owner does not answer probes, when it has
// released the cell, or when its process has ended. Every write of an owner is
// conditional on the cell row's version and replaces the row, so no write of an earlier
// owner can take effect later. Each write also renews the lease.
//
// # Usage
//
//	c := conductor.New(conductor.Options{VM: "entry-1", Store: store, Link: link, ...})
//	c.Run(ctx) // until ctx ends; then releases the cell
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
	"marjoramstack/internal/logger"
	"marjoramstack/internal/planner"
	"marjoramstack/internal/rationer"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Error is the class of this package's errors.
var Error = errs.Class("conductor")

// Link sends orders to workers. The epoch is the fencing token: a worker rejects orders
// with an epoch older than the newest it has seen. The methods return once the worker
// has answered or ctx ends. Implementations must be safe for concurrent use.
type Link interface {
	// Start returns the worker's clock if it answered.
	Start(ctx context.Context, start planner.Start, epoch uint64) (planner.Outcome, clock.Time)
	// Stop returns the worker's clock if it answered.
	Stop(ctx context.Context, stop planner.Stop, epoch uint64) (planner.Outcome, clock.Time)
	Throttle(ctx context.Context, throttle planner.Throttle, epoch uint64) planner.Outcome
	Renew(ctx context.Context, renew planner.Renew, epoch uint64) (planner.Report, planner.Outcome)
}

// Options configure a Conductor.
type Options struct {
	VM          string
	Zone        string
	Incarnation string
	// Probe is the address at which this process serves OwnerPath and AdvicePath.
	Probe string
	// Share is this VM's share of a core, in thousandths. VMs with a larger share take
	// a cell without an owner first.
	Share int
	Store table.Store
	Link  Link
	// Adviser is nil where no queue has advice.
	Adviser Adviser
	// Bodies bounds the memory for requests of other VMs.
	Bodies *rationer.Budget
	// WorkersTable is the table in which the platform lists workers. DecodeWorker
	// decodes a row of it; an error means that the row describes no usable worker.
	WorkersTable string
	DecodeWorker func(key string, value []byte) (planner.Worker, error)
	// Operations returns the operators' configuration; ok is false while it is unknown.
	Operations func() (ops document.Operations, ok bool)
	Planner    planner.Options
	// Retention is how long ended jobs can still be queried.
	Retention clock.Span
	Clock     clock.Clock
	Log       *slog.Logger
	Scope     tally.Scope
}

// cellLease is how long an owner may act after it sent its last confirmed write.
const cellLease = 4000 * clock.Millisecond

// slowBackoff is how long a VM that was too slow does not take the cell again.
const slowBackoff = 6 * clock.Second

const (
	pollInterval = 400 * clock.Millisecond
	// standbyPollInterval is the interval of VMs that would not take the cell first. It keeps
	// what they know of it younger than maxCountsAge.
	standbyPollInterval = 1000 * clock.Millisecond
	callTimeout         = 1500 * clock.Millisecond
	probeTimeout        = 300 * time.Millisecond
	// probeAfter is how long the cell row must be unchanged before its owner is probed.
	// takeoverAfter is how long it must be unchanged before an owner is replaced that
	// has failed minFailedProbes probes in a row.
	probeAfter      = 300 * clock.Millisecond
	takeoverAfter   = 1200 * clock.Millisecond
	minFailedProbes = 2
	maxConfirmedAge = 1500 * clock.Millisecond
	// latencyFactor is the multiple of the table's typical latency that is added to
	// takeoverAfter and maxConfirmedAge: while the table is slow, the cell row changes
	// less often.
	latencyFactor = 4
)

// Conductor watches one cell and owns it when it can.
type Conductor struct {
	opts   Options
	client *http.Client
	// writeLatency and readLatency track how long the table takes to answer.
	writeLatency table.LatencyEstimate
	readLatency  table.LatencyEstimate
	// registered holds, by name, the VMs through which the adviser can be queried.
	registered map[string]registration
	// vmFaults are the faults of the rows of VMs, by name.
	vmFaults logger.Faults
	// gauged are the customers that have metrics.
	gauged map[string]bool
	// failedProbes counts consecutive failed probes of the owner.
	failedProbes int
	// unreadableSince is when reads of the cell row began to fail, 0 if the last one
	// succeeded.
	unreadableSince clock.Time
	// vacantSince is when the cell was first seen to have no owner, 0 if it has one.
	vacantSince clock.Time
	// backoffUntil is when a VM that was too slow may take the cell again.
	backoffUntil clock.Time

	mu          sync.Mutex
	lastSeen    observation
	confirmedAt clock.Time
}

// observation is the last observed state of the cell row. firstSeen is when this
// process first saw the row at that version.
type observation struct {
	head      acceptor.Head
	version   uint64
	firstSeen clock.Time
}

// maxCountsAge is the maximum age of the counts of waiting jobs.
const maxCountsAge = 1800 * clock.Millisecond

// Waiting returns the number of waiting jobs by queue; ok is false if the owner has
// published no recent counts. It is safe for concurrent use.
func (c *Conductor) Waiting() (counts map[string]int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lastSeen.head.Counted || c.opts.Clock.Now().Sub(c.lastSeen.firstSeen) > maxCountsAge {
		return nil, false
	}
	return c.lastSeen.head.Waiting, true
}

// observe records the state of the cell row if its version has changed.
func (c *Conductor) observe(head acceptor.Head, version uint64, at clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version == c.lastSeen.version {
		return
	}
	c.lastSeen = observation{
		head:      head,
		version:   version,
		firstSeen: at,
	}
}

// New returns a Conductor, which takes no part in the ownership of the cell until Run
// is called.
func New(opts Options) *Conductor {
	return &Conductor{
		opts:       opts,
		client:     &http.Client{},
		registered: map[string]registration{},
		vmFaults:   logger.Faults{},
		gauged:     map[string]bool{},
	}
}

// Run watches the cell, and owns it when it can, until ctx ends.
func (c *Conductor) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { c.register(ctx) })
	var observer leaser.Observer
	for ctx.Err() == nil {
		row, err := c.readHead(ctx)
		c.logReadability(err)
		if err == nil {
			observer.Observe(row.Version, c.opts.Clock.Now())
			c.takeIfVacant(ctx, row, &observer)
		}
		sleep(ctx, c.untilNextPoll())
	}
}

// untilNextPoll returns how long to wait before the cell row is read again. A VM with a smaller
// share than the owner's leaves it to the others to notice first that the owner is gone.
func (c *Conductor) untilNextPoll() clock.Span {
	quiet := c.failedProbes == 0 && c.unreadableSince == 0 && c.vacantSince == 0
	if quiet && c.opts.Share < c.lastSeen.head.Share {
		return standbyPollInterval
	}
	return pollInterval
}

// logReadability logs when reads of the cell row begin to fail and when they succeed
// again.
func (c *Conductor) logReadability(err error) {
	switch {
	case err != nil && c.unreadableSince == 0:
		c.unreadableSince = c.opts.Clock.Now()
		c.opts.Log.Warn("cell-unread", "version", c.lastSeen.version, "error", err.Error())
	case err == nil && c.unreadableSince != 0:
		c.opts.Log.Info("cell-read-again", "version", c.lastSeen.version, "unreadable-ms", int64(c.opts.Clock.Now().Sub(c.unreadableSince)))
		c.unreadableSince = 0
	}
}

func (c *Conductor) readHead(ctx context.Context) (table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	sent := c.opts.Clock.Now()
	row, err := table.Get(ctx, c.opts.Store, acceptor.CellTable, acceptor.CellPart, acceptor.HeadKey)
	if err == nil {
		c.readLatency.Observe(c.opts.Clock.Now().Sub(sent))
	}
	return row, err
}

// takeIfVacant takes the cell if it may be taken, and then owns it until the tenure
// ends.
func (c *Conductor) takeIfVacant(ctx context.Context, row table.Row, observer *leaser.Observer) {
	head, err := acceptor.DecodeHead(row)
	if err != nil {
		c.opts.Log.Error("head-unreadable", "version", row.Version, "error", err.Error())
		return
	}
	now := c.opts.Clock.Now()
	c.observe(head, row.Version, now)
	if c.backoffUntil.After(now) {
		return
	}
	reason := c.vacancy(row, head, observer)
	if reason == occupied {
		c.vacantSince = 0
		return
	}
	if c.vacantSince == 0 {
		c.vacantSince = now
	}
	if now.Sub(c.vacantSince) < c.takeoverDelay(head, reason) {
		return
	}
	c.vacantSince = 0
	c.failedProbes = 0
	c.opts.Log.Info("cell-take", "reason", vacancyReasons[reason], "from", head.VM, "epoch", head.Epoch+1, "version", row.Version)
	c.own(ctx, row, head, max(c.overlap(reason, observer), head.Overlap))
}

// OwnerPath is the HTTP path at which other VMs probe an owner.
const OwnerPath = "/owner"

// ServeHTTP answers 200 if this process owns the cell and a recent write is confirmed,
// and otherwise 503.
func (c *Conductor) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	confirmed := c.confirmedAt
	c.mu.Unlock()
	if confirmed == 0 || c.opts.Clock.Now().Sub(confirmed) > maxConfirmedAge+latencyFactor*c.writeLatency.Typical() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// setConfirmed records when the last confirmed write of this owner was sent, 0 if this
// process does not own the cell.
func (c *Conductor) setConfirmed(sent clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = sent
}

// overlap returns how long the previous owner may still act: the rest of its lease if
// it is only unresponsive, 0 otherwise.
func (c *Conductor) overlap(reason vacancy, observer *leaser.Observer) clock.Span {
	if reason != vacantUnresponsive {
		return 0
	}
	return max(cellLease+leaser.Drift(cellLease)-observer.UnchangedFor(c.opts.Clock.Now()), 0)
}

// own takes the cell and runs one tenure until it ends.
func (c *Conductor) own(ctx context.Context, row table.Row, head acceptor.Head, overlap clock.Span) {
	t, err := c.take(ctx, row, head, overlap)
	if err != nil {
		c.opts.Log.Warn("cell-not-taken", "epoch", head.Epoch+1, "error", err.Error())
		return
	}
	c.setConfirmed(clock.Time(t.confirmedAt.Load()))
	t.run(ctx)
	c.setConfirmed(0)
	if t.endReason == tooSlow {
		c.backoffUntil = c.opts.Clock.Now().Add(slowBackoff)
	}
	c.opts.Log.Info("cell-left", "epoch", t.head.Epoch, "reason", t.endReason)
}

func sleep(ctx context.Context, span clock.Span) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
