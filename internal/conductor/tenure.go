package conductor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/leaser"
	"marjoramstack/internal/planner"
	"marjoramstack/internal/ring"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
)

const (
	tickEvery = 20 * time.Millisecond
	// ticksPerPass is how many ticks make one for the planner.
	ticksPerPass = 5
	commitGap    = 20 * clock.Millisecond
	renewEvery   = 700 * clock.Millisecond
	followWait   = 1 * clock.Second
	followGap    = 15 * clock.Millisecond
	inboxSize    = 8192
	ordersSize   = 8192
	orderWorkers = 32
	renewSize    = 4
	// batchRows bounds the rows of a write; the platform takes 100 in all.
	batchRows   = 90
	flushWithin = 1500 * clock.Millisecond
	sweepEvery  = 10 * clock.Second
	sumEvery    = 1 * clock.Second
	// teachEvery is how often what has been learnt is recorded.
	teachEvery = 2500 * clock.Millisecond
)

// tenure is the time for which this process owns the cell. All fields but the
// rings and authority belong to the loop.
type tenure struct {
	c       *Conductor
	planner *planner.Planner
	head    acceptor.Head
	version uint64
	taken   uint64 // the version at which the cell was taken
	// overlapUntil is until when the earlier owner may have started jobs that
	// were accepted after the cell was taken.
	overlapUntil clock.Time
	ended        string

	// confirmed is when the last confirmed write was sent; the goroutines that
	// send orders read it.
	confirmed atomic.Int64
	// slow tells that the loop does not keep up.
	slow atomic.Bool

	inbox   *ring.Ring[any]
	orders  *ring.Ring[planner.Order]
	renews  map[string]*ring.Ring[planner.Renew]
	commits *ring.Ring[table.Txn]
	// questions are those for the adviser.
	questions *ring.Ring[planner.Advise]
	writing   bool
	batch     uint64 // number of the batch being written, 0 for none
	wrote     clock.Time
	swept     clock.Time
	// forgotten are jobs whose rows are to be removed; removing tells that rows
	// are being removed.
	forgotten []string
	removing  bool
	summed    clock.Time
	taught    clock.Time
	opsSeen   uint64
	opsGot    bool

	progress map[string]planner.Progress
	loaded   map[string]bool
	// stopping is why the tenure is about to end, "" if it isn't.
	stopping   string
	flushUntil clock.Time
	pace       pace
	ticks      int
	group      sync.WaitGroup
	duties     context.Context
}

// overlapMargin covers the way of a job to its owner.
const overlapMargin = 1 * clock.Second

// What the loop takes from its inbox.
type (
	told    struct{ message planner.Message }
	jobRows struct{ rows []table.Row }
	fleet   struct{ rows []table.Row }
	loaded  struct{ table string }
	removed struct{ left []string }
	written struct {
		sent    clock.Time
		version uint64
		lost    string
	}
)

// take writes the cell's row and returns the tenure that begins.
func (c *Conductor) take(ctx context.Context, row table.Row, head acceptor.Head, overlap clock.Span) (*tenure, error) {
	sent := c.opts.Clock.Now()
	next := acceptor.Head{
		VM:          c.opts.VM,
		Incarnation: c.opts.Incarnation,
		Epoch:       head.Epoch + 1,
		Serial:      head.Serial + 1,
		Probe:       c.opts.Probe,
		Share:       c.opts.Share,
		Overlap:     overlap,
	}
	version, lost := c.write(ctx, headTxn(next, row.Version, table.Txn{}), next, callWithin)
	if lost != "" {
		return nil, Error.New("%s", lost)
	}
	opts := c.opts.Planner
	opts.Epoch = next.Epoch
	opts.Zone = c.opts.Zone
	opts.Takeover = c.opts.Clock.Now()
	opts.Seed = next.Epoch
	opts.Takeover = opts.Takeover.Add(overlap)
	overlapUntil := clock.Time(0)
	if overlap > 0 {
		overlapUntil = opts.Takeover.Add(overlapMargin)
	}
	t := &tenure{
		c:       c,
		planner: planner.New(opts),
		head:    next,
		version: version,
		taken:   version,
		inbox:   ring.New[any](inboxSize),
		orders:  ring.New[planner.Order](ordersSize),
		renews:  map[string]*ring.Ring[planner.Renew]{},
		commits: ring.New[table.Txn](1),

		questions: ring.New[planner.Advise](adviceSize),
		wrote:     sent,

		overlapUntil: overlapUntil,
		loaded:       map[string]bool{},
		progress:     map[string]planner.Progress{},
	}
	t.confirmed.Store(int64(sent))
	return t, nil
}

func (t *tenure) now() clock.Time { return t.c.opts.Clock.Now() }

// owns reports whether the lease of the cell surely holds.
func (t *tenure) owns() bool {
	authority := leaser.NewAuthority(clock.Time(t.confirmed.Load()))
	return authority.OwnsFor(t.now(), cellLease)
}

// run is the loop. It ends when the cell is lost or ctx ends.
func (t *tenure) run(ctx context.Context) {
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	t.duties = duties
	if err := t.load(ctx); ctx.Err() != nil {
		t.stopping = shuttingDown
		t.release()
	} else if err != nil {
		t.c.opts.Log.Warn("progress-unread", "epoch", t.head.Epoch, "error", err.Error())
		t.ended = "the record could not be read"
	} else {
		t.startDuties()
		t.loop(ctx)
	}
	stop()
	t.group.Wait()
}

func (t *tenure) loop(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	done := ctx.Done()
	for t.ended == "" {
		select {
		case item := <-t.inbox.Out():
			t.takeAll(item)
		case due := <-ticker.C:
			t.tick(time.Since(due))
		case <-done:
			done = nil
			t.giveUp(shuttingDown)
		}
		t.step()
		if t.pace.late() && t.stopping == "" {
			t.giveUp(tooSlow)
		}
		if t.stopping != "" && (t.now().After(t.flushUntil) || (!t.writing && !t.planner.Dirty())) {
			t.release()
		}
	}
}

// tick lets time pass for the planner, and watches whether the loop keeps up.
// In between, it only gives passes that are due their turn.
func (t *tenure) tick(delay time.Duration) {
	t.ticks++
	if t.ticks%ticksPerPass != 0 && delay < lateTick {
		return
	}
	t.pace.tick(delay)
	t.slow.Store(t.pace.behind())
	t.planner.Handle(t.now(), planner.Ticked{})
}

// shuttingDown ends the tenure of a VM that is being stopped.
const shuttingDown = "shutting down"

// tooSlow ends the tenure of a VM that can't keep up.
const tooSlow = "this VM is too slow"

// giveUp begins a planned end: what is decided is written first.
func (t *tenure) giveUp(reason string) {
	t.c.opts.Log.Info("cell-give-up", "reason", reason, "epoch", t.head.Epoch)
	t.stopping = reason
	t.planner.HandOver()
	t.flushUntil = t.now().Add(flushWithin)
}

func (t *tenure) takeAll(item any) {
	t.takeItem(item)
	for n := t.inbox.Len(); n > 0; n-- {
		t.takeItem(<-t.inbox.Out())
	}
}

func (t *tenure) takeItem(item any) {
	now := t.now()
	switch i := item.(type) {
	case told:
		t.planner.Handle(now, i.message)
	case jobRows:
		t.takeJobs(now, i.rows)
	case fleet:
		t.takeFleet(now, i.rows)
	case removed:
		t.removing = false
		t.forgotten = append(t.forgotten, i.left...)
	case loaded:
		t.loaded[i.table] = true
	case written:
		t.takeWritten(now, i)
	}
}

// step does what the last messages and the time ask for.
func (t *tenure) step() {
	now := t.now()
	t.takeOperations(now)
	if t.ready() && t.owns() && t.stopping == "" {
		t.planner.Decide(now)
		t.dispatch()
	}
	t.logNotes()
	if t.planner.Fenced() {
		t.ended = "a worker has seen a later owner"
		return
	}
	t.beginWrite(now)
	if now.Sub(t.summed) > sumEvery {
		t.summed = now
		t.sumUp(now)
	}
	if now.Sub(t.swept) > sweepEvery {
		t.swept = now
		t.sweep(now)
	}
}

// ready reports whether all that decisions rest on has been read.
func (t *tenure) ready() bool {
	return t.opsGot && t.loaded[acceptor.JobsTable] && t.loaded[t.c.opts.WorkersTable]
}

func (t *tenure) takeOperations(now clock.Time) {
	ops, ok := t.c.opts.Operations()
	if !ok || (t.opsGot && ops.Revision == t.opsSeen) {
		return
	}
	t.opsGot = true
	t.opsSeen = ops.Revision
	t.planner.Handle(now, planner.Configured{Operations: ops})
}

// sumUp logs and counts the state of the cell.
func (t *tenure) sumUp(now clock.Time) {
	s := t.planner.Summary(now)
	t.c.opts.Log.Info("cell",
		"epoch", t.head.Epoch,
		"jobs", s.Jobs,
		"waiting", s.Waiting,
		"running", s.Running,
		"best-effort", s.BestEffort,
		"throttled", s.Throttled,
		"over-target", s.OverTarget,
		"starting", s.Starting,
		"orders", t.orders.Len(),
		"workers", s.Workers,
		"capacity", s.Capacity,
		"reserved", s.Reserved,
		"idle", s.Idle,
		"write-age-ms", int64(now.Sub(clock.Time(t.confirmed.Load()))))
	scope := t.c.opts.Scope
	scope.Gauge("tasks_waiting").Update(float64(s.Waiting))
	scope.Gauge("tasks_running").Update(float64(s.Running))
	scope.Gauge("tasks_over_target").Update(float64(s.OverTarget))
	scope.Gauge("workers").Update(float64(s.Workers))
	scope.Gauge("processors_idle").Update(float64(s.Idle))
}

func (t *tenure) logNotes() {
	log := t.c.opts.Log
	for _, n := range t.planner.TakeLog() {
		log.Info(n.Event,
			"job", n.Job,
			"task", n.Task,
			"attempt", n.Attempt,
			"worker", n.Worker,
			"second", n.Second,
			"reason", n.Reason,
			"age-ms", int64(n.Age),
			"epoch", t.head.Epoch)
	}
}
