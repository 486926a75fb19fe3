// Package owner runs the cells that this entry VM owns. It holds a cell's lease
// in the platform's table, commits the decisions of package scheduler to that
// table, and sends them to the workers.
//
// An Owner watches one cell. When the cell's lease has expired, it takes over
// the cell under the next epoch, loads the snapshot and replays the batches
// after it, asks the workers which attempts are running, and then starts to
// schedule. The tenure ends when the platform or a worker reports a higher
// epoch.
//
// The loop that holds the state machine, the committer, the table scanner and
// the worker exchanges run in separate goroutines and communicate through
// bounded rings.
//
// # Usage
//
//	o := owner.New(owner.Options{Cell: "press-0", Zone: "press", ...})
//	go o.Run(ctx)
//	err := o.Submit(ctx, job)
package owner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"marjoramstack/internal/follower"
	"marjoramstack/internal/leaser"
	"marjoramstack/internal/logger"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/scheduler"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

// Error is the class of this package's errors.
var Error = errs.Class("owner")

const (
	ownZoneWatchInterval   = 500 * clock.Millisecond
	otherZoneWatchInterval = 5 * clock.Second
	readTimeout            = 2 * clock.Second
)

// Options name the cell that an Owner watches and hold the Owner's
// dependencies.
type Options struct {
	Cell     string
	Zone     string
	OwnZone  bool
	VM       string
	Platform *platform.Client
	Workers  *worker.Client
	Clock    clock.Clock
	Log      *logger.Logger
	Follower *follower.Follower
	// Fleet returns the latest list of VMs, and false if this process has not
	// received one yet.
	Fleet func() (platform.Fleet, bool)
	// Neighbours returns the last known load of every known cell.
	Neighbours func() []scheduler.Load
	// Leaving reports whether this entry VM must give up its cells.
	Leaving func() bool
	// Reclaim asks the given owner to yield the cell if the owner is in another
	// zone. It is called only on entry VMs in the cell's zone.
	Reclaim func(owner string)
}

// Owner watches one cell and runs it while holding its lease. It is safe for
// concurrent use.
type Owner struct {
	opts   Options
	mu     sync.Mutex
	tenure *tenure
}

// New returns an Owner. It does nothing until Run is called.
func New(opts Options) *Owner {
	return &Owner{opts: opts}
}

// Cell returns the identifier of the cell.
func (o *Owner) Cell() string { return o.opts.Cell }

// Run watches the cell, and owns it whenever it can acquire the lease, until ctx
// ends. It then releases the lease.
func (o *Owner) Run(ctx context.Context) {
	var observer leaser.Observer
	for ctx.Err() == nil {
		row, err := o.readHead(ctx)
		now := o.opts.Clock.Now()
		if err == nil {
			observer.Observe(uint64(row.Version), now)
			if o.mayTake(row, &observer, now) {
				o.serve(ctx, row)
				observer = leaser.Observer{}
			} else {
				o.reclaim(row)
			}
		}
		sleep(ctx, o.watchInterval())
	}
}

// watchInterval returns how often to read the cell's head row. Entry VMs in other
// zones read it less often to save load on the platform, as VMs in the cell's
// zone take it over first.
func (o *Owner) watchInterval() clock.Span {
	if o.opts.OwnZone {
		return ownZoneWatchInterval
	}
	return otherZoneWatchInterval
}

func (o *Owner) mayTake(row platform.Row, observer *leaser.Observer, now clock.Time) bool {
	if o.opts.Follower.Current() == nil || o.opts.Leaving() {
		return false
	}
	if o.opts.OwnZone && released(row) {
		return true
	}
	return observer.MayTake(now, o.opts.OwnZone)
}

// reclaim passes the owner named in row to Options.Reclaim if this entry VM is in
// the cell's zone.
func (o *Owner) reclaim(row platform.Row) {
	var head Head
	if !o.opts.OwnZone || o.opts.Leaving() || json.Unmarshal(row.Value, &head) != nil || head.Owner == "" {
		return
	}
	o.opts.Reclaim(head.Owner)
}

// Yield gives up the cell so that an entry VM in the cell's zone can take it
// over. It does nothing if this entry VM is in that zone.
func (o *Owner) Yield() {
	if t := o.current(); t != nil && !o.opts.OwnZone {
		t.inbox.Offer(yieldRequest{})
	}
}

// released reports whether the last owner released the lease.
func released(row platform.Row) bool {
	var head Head
	return row.Version != 0 && json.Unmarshal(row.Value, &head) == nil && head.Owner == ""
}

func (o *Owner) readHead(ctx context.Context) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	return o.opts.Platform.Get(ctx, HeadPrefix+o.opts.Cell)
}

func sleep(ctx context.Context, span clock.Span) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// serve takes over the cell and runs one tenure until it ends.
func (o *Owner) serve(ctx context.Context, row platform.Row) {
	t, err := o.takeOver(ctx, row)
	if err != nil {
		o.opts.Log.Warn("cell-not-taken", "cell", o.opts.Cell, "error", err.Error())
		return
	}
	o.setTenure(t)
	t.run(ctx)
	o.setTenure(nil)
	o.opts.Log.Info("cell-lost", "cell", o.opts.Cell, "epoch", uint64(t.head.Epoch), "reason", t.endReason)
}

func (o *Owner) setTenure(t *tenure) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tenure = t
}

func (o *Owner) current() *tenure {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tenure
}

// Owns reports whether this entry VM currently owns the cell.
func (o *Owner) Owns() bool { return o.current() != nil }

// Submit admits a validated job and returns once it is durable. It also succeeds
// if the job already exists with the same content.
func (o *Owner) Submit(ctx context.Context, job document.Job) error {
	t := o.current()
	if t == nil {
		return result.New(result.NoOwner, "cell %s is not owned here", o.opts.Cell)
	}
	row, err := o.opts.Platform.Get(ctx, JobPrefix+job.ID)
	if err != nil {
		return err
	}
	if row.Version != 0 {
		return checkSameJob(row, job)
	}
	return t.submit(ctx, job)
}

func checkSameJob(row platform.Row, job document.Job) error {
	var existing JobRow
	if err := json.Unmarshal(row.Value, &existing); err != nil {
		return Error.Wrap(err)
	}
	if existing.Digest != job.Digest() {
		return result.New(result.JobExists, "job %q exists with another body", job.ID)
	}
	return nil
}

// Query runs fn on the cell in the loop that holds it. It returns false if this
// entry VM does not own the cell or ctx ends first; in the latter case fn may
// still run later.
func (o *Owner) Query(ctx context.Context, fn func(*scheduler.Cell)) bool {
	t := o.current()
	if t == nil {
		return false
	}
	return t.query(ctx, fn)
}

// TrySend sends a message to the cell without blocking. It returns false if this
// entry VM does not own the cell or the inbox is full.
func (o *Owner) TrySend(msg scheduler.Message) bool {
	t := o.current()
	if t == nil {
		return false
	}
	return t.inbox.Offer(cellMessage{message: msg})
}
