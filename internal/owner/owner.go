// Package owner runs the cells that this entry VM owns: it holds a cell's lease
// in the platform's table, makes the decisions of package scheduler durable,
// and carries them to the workers.
//
// An Owner watches one cell. When the cell's lease has run out it takes the
// cell over under the next epoch, reads the snapshot and the batches after it,
// asks the workers what really runs, and from then on decides. The tenure ends
// when the platform or a worker shows a higher epoch.
//
// Three duties have goroutines of their own and meet in bounded rings: the loop
// that holds the state machine, the committer, and the exchangers.
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
	watchEvery  = 500 * clock.Millisecond
	otherEvery  = 5 * clock.Second
	readTimeout = 2 * clock.Second
)

// Options say which cell an Owner watches and with what it works.
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
	// Fleet returns the last list of VMs that this process has seen.
	Fleet func() (platform.Fleet, bool)
	// Neighbours returns the load of every cell that this process knows of.
	Neighbours func() []scheduler.Load
	// Leaving reports whether this entry VM is to give up its cells.
	Leaving func() bool
	// Reclaim is called, by an entry VM of the cell's own zone, with the owner
	// that it finds; one of another zone is asked to yield.
	Reclaim func(owner string)
}

// Owner watches one cell and owns it when it can. It is safe for concurrent
// use.
type Owner struct {
	opts   Options
	mu     sync.Mutex
	tenure *tenure
}

// New returns an Owner that has not begun to watch.
func New(opts Options) *Owner {
	return &Owner{opts: opts}
}

// Cell returns the identifier of the cell.
func (o *Owner) Cell() string { return o.opts.Cell }

// Run watches the cell, and owns it whenever its lease can be had, until ctx
// ends. It then gives the lease back.
func (o *Owner) Run(ctx context.Context) {
	var watch leaser.Observer
	for ctx.Err() == nil {
		row, err := o.readHead(ctx)
		now := o.opts.Clock.Now()
		if err == nil {
			watch.Observe(uint64(row.Version), now)
			if o.mayTake(row, &watch, now) {
				o.serve(ctx, row)
				watch = leaser.Observer{}
			} else {
				o.reclaim(row)
			}
		}
		pause(ctx, o.watchEvery())
	}
}

// watchEvery spares the platform the reads of entry VMs that are not the first
// to take the cell.
func (o *Owner) watchEvery() clock.Span {
	if o.opts.OwnZone {
		return watchEvery
	}
	return otherEvery
}

func (o *Owner) mayTake(row platform.Row, watch *leaser.Observer, now clock.Time) bool {
	if o.opts.Follower.Current() == nil || o.opts.Leaving() {
		return false
	}
	if o.opts.OwnZone && released(row) {
		return true
	}
	return watch.MayTake(now, o.opts.OwnZone)
}

// reclaim has the owner found asked for the cell, if it is of another zone.
func (o *Owner) reclaim(row platform.Row) {
	var head Head
	if !o.opts.OwnZone || o.opts.Leaving() || json.Unmarshal(row.Value, &head) != nil || head.Owner == "" {
		return
	}
	o.opts.Reclaim(head.Owner)
}

// Yield gives the cell up to the entry VMs of its own zone. It does nothing in
// one of them.
func (o *Owner) Yield() {
	if t := o.current(); t != nil && !o.opts.OwnZone {
		t.inbox.Offer(yield{})
	}
}

// released reports whether the last owner gave the lease back.
func released(row platform.Row) bool {
	var head Head
	return row.Version != 0 && json.Unmarshal(row.Value, &head) == nil && head.Owner == ""
}

func (o *Owner) readHead(ctx context.Context) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	return o.opts.Platform.Get(ctx, HeadPrefix+o.opts.Cell)
}

func pause(ctx context.Context, span clock.Span) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// serve takes the cell over and runs one tenure to its end.
func (o *Owner) serve(ctx context.Context, row platform.Row) {
	t, err := o.take(ctx, row)
	if err != nil {
		o.opts.Log.Warn("cell-not-taken", "cell", o.opts.Cell, "error", err.Error())
		return
	}
	o.set(t)
	t.run(ctx)
	o.set(nil)
	o.opts.Log.Info("cell-lost", "cell", o.opts.Cell, "epoch", uint64(t.head.Epoch), "reason", t.ended)
}

func (o *Owner) set(t *tenure) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tenure = t
}

func (o *Owner) current() *tenure {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tenure
}

// Owns reports whether this entry VM owns the cell at present.
func (o *Owner) Owns() bool { return o.current() != nil }

// Submit admits a job that has been checked and returns when it is durable. A
// job that exists with the same content is accepted again.
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
		return sameJob(row, job)
	}
	return t.submit(ctx, job)
}

func sameJob(row platform.Row, job document.Job) error {
	var known JobRow
	if err := json.Unmarshal(row.Value, &known); err != nil {
		return Error.Wrap(err)
	}
	if known.Digest != job.Digest() {
		return result.New(result.JobExists, "job %q exists with another body", job.ID)
	}
	return nil
}

// Query calls fn with the cell, from the loop that owns it. It reports false if
// this entry VM does not own the cell or ctx ends first.
func (o *Owner) Query(ctx context.Context, fn func(*scheduler.Cell)) bool {
	t := o.current()
	if t == nil {
		return false
	}
	return t.ask(ctx, fn)
}

// TrySend passes a message to the cell without waiting. It reports false if it
// could not be taken.
func (o *Owner) TrySend(msg scheduler.Message) bool {
	t := o.current()
	if t == nil {
		return false
	}
	return t.inbox.Offer(told{message: msg})
}
