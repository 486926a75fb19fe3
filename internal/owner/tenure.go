package owner

import (
	"context"
	"sync"
	"time"

	"marjoramstack/internal/follower"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/ring"
	"marjoramstack/internal/scheduler"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

const (
	loopInterval         = 20 * time.Millisecond
	tickInterval         = 100 * clock.Millisecond
	refreshInterval      = 500 * clock.Millisecond
	commitInterval       = 150 * clock.Millisecond
	renewInterval        = 1 * clock.Second
	scanInterval         = 500 * clock.Millisecond
	retryDelay           = 100 * clock.Millisecond
	exchangeConcurrency  = 32
	inboxSize            = 4096
	exchangeQueueSize    = 1024
	snapshotAfterBatches = 64
	releaseTimeout       = 500 * clock.Millisecond
)

// tenure is a period in which this process owns the cell under one epoch. Only
// the loop may access its fields, except for the rings and owner.
type tenure struct {
	owner     *Owner
	cell      *scheduler.Cell
	head      Head
	headRow   platform.Version
	config    *follower.Snapshot
	endReason string

	inbox     *ring.Ring[any]
	exchanges *ring.Ring[exchange]
	commits   *ring.Ring[commitJob]
	inFlight  *commitJob
	waiters   map[string]chan error

	lastTick    clock.Time
	lastRefresh clock.Time
	lastCommit  clock.Time
}

// Reasons for a planned end of a tenure, after which the lease is released.
const (
	endShutdown = "shutting-down"
	endLeaving  = "leaving"
	endYielded  = "yielded-to-own-zone"
)

// Items of the loop's inbox, and exchange, which the loop sends to its
// exchange goroutines.
type (
	cellMessage  struct{ message scheduler.Message }
	yieldRequest struct{}
	queryRequest struct {
		fn   func(*scheduler.Cell)
		done chan struct{}
	}
	submission struct {
		job   document.Job
		reply chan error
	}
	exchangeResult struct {
		id       string
		answer   worker.Answer
		received clock.Time
		err      error
	}
	exchange struct {
		id      string
		address string
		request worker.Request
	}
	scanResult struct {
		arrivals  []scheduler.Arrived
		cancelled []string
	}
)

func newTenure(o *Owner, head Head, row platform.Version, taken clock.Time) *tenure {
	return &tenure{
		owner:   o,
		head:    head,
		headRow: row,
		cell: scheduler.New(scheduler.Options{
			ID:       o.opts.Cell,
			Zone:     o.opts.Zone,
			Owner:    o.opts.VM,
			Epoch:    head.Epoch,
			Takeover: taken,
			Seed:     uint64(head.Epoch),
		}),
		inbox:     ring.New[any](inboxSize),
		exchanges: ring.New[exchange](exchangeQueueSize),
		commits:   ring.New[commitJob](1),
		waiters:   map[string]chan error{},
	}
}

func (t *tenure) now() clock.Time { return t.owner.opts.Clock.Now() }

// run processes the inbox and drives the cell until the tenure ends.
func (t *tenure) run(ctx context.Context) {
	loopCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	t.startGoroutines(loopCtx, &wg)
	ticker := time.NewTicker(loopInterval)
	defer ticker.Stop()
	for t.endReason == "" {
		select {
		case item := <-t.inbox.Out():
			t.handle(item)
			t.drainInbox()
		case <-ticker.C:
		case <-ctx.Done():
			t.endReason = endShutdown
		}
		t.step()
	}
	stop()
	wg.Wait()
	t.failWaiters()
	if t.endReason == endShutdown || t.endReason == endLeaving || t.endReason == endYielded {
		t.release()
	}
}

func (t *tenure) startGoroutines(ctx context.Context, wg *sync.WaitGroup) {
	start := func(loop func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	start(t.commitLoop)
	start(t.scanLoop)
	for range exchangeConcurrency {
		start(t.exchangeLoop)
	}
}

func (t *tenure) drainInbox() {
	for n := t.inbox.Len(); n > 0; n-- {
		t.handle(<-t.inbox.Out())
	}
}

func (t *tenure) handle(item any) {
	switch i := item.(type) {
	case yieldRequest:
		t.endReason = endYielded
	case cellMessage:
		t.cell.Handle(t.now(), i.message)
	case queryRequest:
		i.fn(t.cell)
		close(i.done)
	case submission:
		t.admit(i)
	case exchangeResult:
		t.handleExchange(i)
	case commitResult:
		t.handleCommit(i)
	case scanResult:
		t.handleScan(i)
	}
}

// step runs periodic work that is due, and starts the commits and exchanges that
// the latest messages made necessary.
func (t *tenure) step() {
	now := t.now()
	if now.Sub(t.lastRefresh) >= refreshInterval {
		t.lastRefresh = now
		t.refresh()
	}
	if now.Sub(t.lastTick) >= tickInterval {
		t.lastTick = now
		t.cell.Handle(now, scheduler.Ticked{})
	}
	if t.owner.opts.Leaving() {
		t.endReason = endLeaving
	}
	t.startCommit(now)
	t.startExchanges()
	t.logNotes()
}

func (t *tenure) startExchanges() {
	now := t.now()
	for _, id := range t.cell.Due(now) {
		request, ok := t.cell.Plan(now, id)
		if !ok {
			continue
		}
		sent := t.exchanges.Offer(exchange{
			id:      id,
			address: t.cell.Address(id),
			request: request,
		})
		if !sent {
			t.cell.Handle(now, scheduler.Unanswered{Worker: id})
			return
		}
	}
}

func (t *tenure) exchangeLoop(ctx context.Context) {
	opts := t.owner.opts
	for {
		select {
		case e := <-t.exchanges.Out():
			answer, err := opts.Workers.Exchange(ctx, e.address, e.request)
			done := exchangeResult{
				id:       e.id,
				answer:   answer,
				received: opts.Clock.Now(),
				err:      err,
			}
			if t.inbox.Put(ctx, done) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (t *tenure) handleExchange(e exchangeResult) {
	if e.err != nil {
		t.cell.Handle(t.now(), scheduler.Unanswered{Worker: e.id})
		return
	}
	if e.answer.Refused && e.answer.Epoch > t.head.Epoch {
		t.endReason = "fenced-by-worker"
	}
	t.cell.Handle(t.now(), scheduler.Answered{
		Worker:   e.id,
		Answer:   e.answer,
		Received: e.received,
	})
}

func (t *tenure) logNotes() {
	log := t.owner.opts.Log
	for _, n := range t.cell.TakeNotes() {
		log.Info(n.What,
			"cell", t.owner.opts.Cell,
			"job", n.Job,
			"task", n.Task,
			"worker", n.Worker,
			"second", n.Second,
			"reason", n.Reason)
	}
}

func (t *tenure) submit(ctx context.Context, job document.Job) error {
	s := submission{
		job:   job,
		reply: make(chan error, 1),
	}
	if err := t.inbox.Put(ctx, s); err != nil {
		return result.New(result.NoOwner, "cell %s is busy", t.owner.opts.Cell)
	}
	select {
	case err := <-s.reply:
		return err
	case <-ctx.Done():
		return result.New(result.WriteUnknown, "job %q: not confirmed in time; submit it again", job.ID)
	}
}

func (t *tenure) admit(s submission) {
	id := s.job.ID
	if t.cell.Holds(id) || t.waiters[id] != nil {
		s.reply <- result.New(result.JobExists, "job %q is being admitted", id)
		return
	}
	t.waiters[id] = s.reply
	t.cell.Handle(t.now(), scheduler.Submitted{Job: s.job})
}

func (t *tenure) failWaiters() {
	for id, reply := range t.waiters {
		reply <- result.New(result.WriteUnknown, "job %q: the cell changed its owner; submit it again", id)
	}
}

func (t *tenure) query(ctx context.Context, fn func(*scheduler.Cell)) bool {
	q := queryRequest{
		fn:   fn,
		done: make(chan struct{}),
	}
	if t.inbox.Put(ctx, q) != nil {
		return false
	}
	select {
	case <-q.done:
		return true
	case <-ctx.Done():
		return false
	}
}
