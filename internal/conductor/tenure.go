package conductor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/leaser"
	"marjoramstack/internal/logger"
	"marjoramstack/internal/planner"
	"marjoramstack/internal/ring"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
)

const (
	tickInterval = 20 * time.Millisecond
	// ticksPerPlannerTick is how many ticks of the loop make one tick of the planner.
	ticksPerPlannerTick = 5
	minCommitGap        = 20 * clock.Millisecond
	renewInterval       = 700 * clock.Millisecond
	followWait          = 1 * clock.Second
	minFollowGap        = 15 * clock.Millisecond
	inboxSize           = 8192
	orderQueueSize      = 8192
	renewQueueSize      = 4
	// maxBatchRows bounds the rows of a batch in a write; the platform accepts 100 rows
	// per write in all.
	maxBatchRows   = 90
	flushTimeout   = 1500 * clock.Millisecond
	sweepInterval  = 10 * clock.Second
	reportInterval = 1 * clock.Second
	// lessonsInterval is how often the planner's lessons are recorded.
	lessonsInterval = 2500 * clock.Millisecond
)

// tenure is a period in which this process owns the cell. Only the loop may modify its
// fields, except for the rings and the atomics, which other goroutines use too.
type tenure struct {
	c           *Conductor
	planner     *planner.Planner
	head        acceptor.Head
	version     uint64 // of the cell row
	inheritance inheritance
	endReason   string

	// confirmedAt is when the last confirmed write was sent. The goroutines that send
	// orders read it.
	confirmedAt atomic.Int64
	// lagging is set while the loop does not keep up.
	lagging atomic.Bool

	inbox       *ring.Ring[any]
	orders      *ring.Ring[planner.Order]
	senders     atomic.Int64 // goroutines that send orders
	senderLimit atomic.Int64 // how many there may be
	renewQueues map[string]*ring.Ring[planner.Renew]
	commits     *ring.Ring[table.Txn]
	// adviceQueue holds the requests to the adviser.
	adviceQueue *ring.Ring[planner.Advise]
	// needsAdvice is true while a job needs advice; adviceNeeded tells adviceSenders that
	// one has begun to.
	needsAdvice  atomic.Bool
	adviceNeeded chan struct{}
	writing      bool
	batch        uint64 // number of the batch being written, 0 for none
	lastWrite    clock.Time
	lastSweep    clock.Time
	// expiredJobs are the jobs whose rows are to be removed; removing is set while rows
	// are being removed.
	expiredJobs []string
	removing    bool
	lastReport  clock.Time
	// lastCustomers is when the state of customers was last reported.
	lastCustomers clock.Time
	lastLessons   clock.Time
	opsRevision   uint64
	opsKnown      bool

	progress map[string]planner.Progress
	loaded   map[string]bool
	// workerFaults are the faults of workers' rows, by worker.
	workerFaults logger.Faults
	// stopReason is why the tenure is about to end, "" if it is not.
	stopReason    string
	flushDeadline clock.Time
	lateness      tickMonitor
	usage         loadMonitor
	sampler       eventSampler
	ticks         int
	group         sync.WaitGroup
	// tenureCtx ends with the tenure.
	tenureCtx context.Context
}

// Items of the loop's inbox.
type (
	plannerMessage struct{ message planner.Message }
	jobRows        struct{ rows []table.Row }
	workerRows     struct{ rows []table.Row }
	tableLoaded    struct{ table string }
	jobsReached    struct{ version uint64 }
	jobsRemoved    struct{ remaining []string }
	writeDone      struct {
		sent       clock.Time
		version    uint64
		lostReason string
	}
)

// take writes the cell row with the next epoch and returns the tenure that begins.
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
		LeasesSince: head.LeasesSince,
	}
	if next.LeasesSince == 0 {
		next.LeasesSince = next.Epoch
	}
	version, lostReason := c.write(ctx, headTxn(next, row.Version, table.Txn{}), next, callTimeout)
	if lostReason != "" {
		return nil, Error.New("%s", lostReason)
	}
	opts := c.opts.Planner
	opts.Epoch = next.Epoch
	opts.Zone = c.opts.Zone
	opts.Takeover = c.opts.Clock.Now()
	opts.Seed = next.Epoch
	opts.Takeover = opts.Takeover.Add(overlap)
	opts.LeasesSince = head.LeasesSince
	opts.LeaseBase = c.seenSince(row.Version, sent)
	t := &tenure{
		c:           c,
		planner:     planner.New(opts),
		head:        next,
		version:     version,
		inheritance: newInheritance(version, opts.Takeover, overlap > 0),
		inbox:       ring.New[any](inboxSize),
		orders:      ring.New[planner.Order](orderQueueSize),
		renewQueues: map[string]*ring.Ring[planner.Renew]{},
		commits:     ring.New[table.Txn](1),

		adviceQueue:  ring.New[planner.Advise](adviceQueueSize),
		adviceNeeded: make(chan struct{}, 1),
		lastWrite:    sent,

		workerFaults: logger.Faults{},
		loaded:       map[string]bool{},
		progress:     map[string]planner.Progress{},
		usage:        newLoadMonitor(c.opts.Clock.Now()),
		sampler:      newEventSampler(c.opts.Clock.Now()),
	}
	t.confirmedAt.Store(int64(sent))
	return t, nil
}

// seenSince returns since when this process has seen the cell row at a version, else the given
// time. All records of workers had been written by then, since each write replaces the row.
func (c *Conductor) seenSince(version uint64, otherwise clock.Time) clock.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastSeen.version != version {
		return otherwise
	}
	return c.lastSeen.firstSeen
}

func (t *tenure) now() clock.Time { return t.c.opts.Clock.Now() }

// owns reports whether the lease of the cell certainly has not expired.
func (t *tenure) owns() bool {
	authority := leaser.NewAuthority(clock.Time(t.confirmedAt.Load()))
	return authority.OwnsFor(t.now(), cellLease)
}

// run loads the recorded state and runs the loop. It returns when the cell is lost or,
// after ctx ends, released.
func (t *tenure) run(ctx context.Context) {
	tenureCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	t.tenureCtx = tenureCtx
	if err := t.load(ctx); ctx.Err() != nil {
		t.stopReason = shuttingDown
		t.release()
	} else if err != nil {
		t.c.opts.Log.Warn("progress-unread", "epoch", t.head.Epoch, "error", err.Error())
		t.endReason = "the recorded state could not be read"
	} else {
		t.startLoops()
		t.loop(ctx)
	}
	stop()
	t.group.Wait()
}

func (t *tenure) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	done := ctx.Done()
	for t.endReason == "" {
		select {
		case item := <-t.inbox.Out():
			t.drainInbox(item)
		case due := <-ticker.C:
			t.tick(time.Since(due))
		case <-done:
			done = nil
			t.beginHandOver(shuttingDown)
		}
		t.advance()
		if t.lateness.overloaded() && t.stopReason == "" {
			t.beginHandOver(tooSlow)
		}
		if t.stopReason != "" && (t.now().After(t.flushDeadline) || (!t.writing && !t.planner.Dirty())) {
			t.release()
		}
	}
}

// tick checks whether the loop keeps up and sends the planner a tick, on every
// ticksPerPlannerTick-th tick and on each late one. The other ticks only wake the loop,
// so that it runs the planner's due passes.
func (t *tenure) tick(delay time.Duration) {
	t.ticks++
	if t.ticks%ticksPerPlannerTick != 0 && delay < lateTickDelay {
		return
	}
	t.lateness.record(delay)
	t.lagging.Store(t.lateness.behind())
	t.planner.Handle(t.now(), planner.Ticked{})
	t.updateNeedsAdvice()
}

// updateNeedsAdvice notes whether a job needs advice.
func (t *tenure) updateNeedsAdvice() {
	needed := t.planner.NeedsAdvice()
	if t.needsAdvice.Swap(needed) || !needed {
		return
	}
	select {
	case t.adviceNeeded <- struct{}{}:
	default: // adviceSenders has not taken the last one yet
	}
}

// shuttingDown is the end reason of a tenure on a VM that is being stopped.
const shuttingDown = "shutting down"

// tooSlow is the end reason of a tenure on a VM that cannot keep up.
const tooSlow = "this VM is too slow"

// beginHandOver begins a planned end of the tenure: decisions already made are written
// before the cell is released.
func (t *tenure) beginHandOver(reason string) {
	t.c.opts.Log.Info("cell-give-up", "reason", reason, "epoch", t.head.Epoch)
	t.stopReason = reason
	t.planner.HandOver()
	t.flushDeadline = t.now().Add(flushTimeout)
}

func (t *tenure) drainInbox(item any) {
	t.handleItem(item)
	for n := t.inbox.Len(); n > 0; n-- {
		t.handleItem(<-t.inbox.Out())
	}
}

func (t *tenure) handleItem(item any) {
	now := t.now()
	switch i := item.(type) {
	case plannerMessage:
		t.planner.Handle(now, i.message)
	case jobRows:
		t.handleJobRows(now, i.rows)
	case workerRows:
		t.handleWorkerRows(now, i.rows)
	case jobsRemoved:
		t.removing = false
		t.expiredJobs = append(t.expiredJobs, i.remaining...)
	case tableLoaded:
		t.loaded[i.table] = true
	case jobsReached:
		t.inheritance.reach(i.version)
		t.reportJobsRead(now)
	case writeDone:
		t.handleWriteDone(now, i)
	}
}

// advance runs the planner and begins the writes and periodic work that are due.
func (t *tenure) advance() {
	now := t.now()
	t.updateOperations(now)
	if t.ready() && t.owns() && t.stopReason == "" {
		t.planner.Decide(now)
		t.dispatch()
		t.usage.decided(t.now().Sub(now))
	}
	t.logLeftOut(now)
	t.logPlannerEvents()
	if t.planner.Fenced() {
		t.endReason = "a worker has seen a later owner"
		return
	}
	t.beginWrite(now)
	if now.Sub(t.lastReport) > reportInterval {
		t.lastReport = now
		t.reportState(now)
		t.reportCustomers(now)
	}
	if now.Sub(t.lastSweep) > sweepInterval {
		t.lastSweep = now
		t.sweep(now)
	}
}

// ready reports whether everything that decisions depend on has been read.
func (t *tenure) ready() bool {
	return t.opsKnown && t.loaded[acceptor.JobsTable] && t.loaded[t.c.opts.WorkersTable]
}

func (t *tenure) updateOperations(now clock.Time) {
	ops, ok := t.c.opts.Operations()
	if !ok || (t.opsKnown && ops.Revision == t.opsRevision) {
		return
	}
	t.opsKnown = true
	t.opsRevision = ops.Revision
	t.planner.Handle(now, planner.Configured{Operations: ops})
}

func (t *tenure) logPlannerEvents() {
	for _, n := range t.planner.TakeLog() {
		if t.sampler.take(n) {
			logPlannerEvent(t.c.opts.Log, n, t.head.Epoch)
		}
	}
}

// logLeftOut logs once per sampleInterval how many events the log lacks.
func (t *tenure) logLeftOut(now clock.Time) {
	if count := t.sampler.next(now); count > 0 {
		t.c.opts.Log.Info("events-left-out", "count", count, "jobs-permille", t.sampler.jobsPermille, "epoch", t.head.Epoch)
	}
}
