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
	loopEvery      = 20 * time.Millisecond
	tickEvery      = 100 * clock.Millisecond
	refreshEvery   = 500 * clock.Millisecond
	commitEvery    = 150 * clock.Millisecond
	renewEvery     = 1 * clock.Second
	scanEvery      = 500 * clock.Millisecond
	retryPause     = 100 * clock.Millisecond
	exchangers     = 32
	inboxSize      = 4096
	exchangeQueue  = 1024
	snapshotAfter  = 64
	releaseTimeout = 500 * clock.Millisecond
)

// tenure is the time for which this process owns the cell under one epoch. All
// fields but the rings belong to the loop.
type tenure struct {
	owner   *Owner
	cell    *scheduler.Cell
	head    Head
	headRow platform.Version
	config  *follower.Snapshot
	ended   string

	inbox     *ring.Ring[any]
	exchanges *ring.Ring[exchange]
	commits   *ring.Ring[commitJob]
	busy      *commitJob
	waiters   map[string]chan error

	ticked    clock.Time
	refreshed clock.Time
	committed clock.Time
}

// Planned ends of a tenure, after which the lease is given back.
const (
	endShutdown = "shutting-down"
	endLeaving  = "leaving"
	endYielded  = "yielded-to-own-zone"
)

// What the loop takes from its inbox.
type (
	told     struct{ message scheduler.Message }
	yield    struct{}
	question struct {
		fn   func(*scheduler.Cell)
		done chan struct{}
	}
	submission struct {
		job   document.Job
		reply chan error
	}
	exchanged struct {
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
	scanned struct {
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
		exchanges: ring.New[exchange](exchangeQueue),
		commits:   ring.New[commitJob](1),
		waiters:   map[string]chan error{},
	}
}

func (t *tenure) now() clock.Time { return t.owner.opts.Clock.Now() }

// run is the loop. It ends when the tenure does.
func (t *tenure) run(ctx context.Context) {
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	t.startDuties(duties, &group)
	timer := time.NewTicker(loopEvery)
	defer timer.Stop()
	for t.ended == "" {
		select {
		case item := <-t.inbox.Out():
			t.take(item)
			t.drainInbox()
		case <-timer.C:
		case <-ctx.Done():
			t.ended = endShutdown
		}
		t.step()
	}
	stop()
	group.Wait()
	t.failWaiters()
	if t.ended == endShutdown || t.ended == endLeaving || t.ended == endYielded {
		t.release()
	}
}

func (t *tenure) startDuties(ctx context.Context, group *sync.WaitGroup) {
	start := func(duty func(context.Context)) {
		group.Add(1)
		go func() {
			defer group.Done()
			duty(ctx)
		}()
	}
	start(t.commitLoop)
	start(t.scanLoop)
	for range exchangers {
		start(t.exchangeLoop)
	}
}

func (t *tenure) drainInbox() {
	for n := t.inbox.Len(); n > 0; n-- {
		t.take(<-t.inbox.Out())
	}
}

func (t *tenure) take(item any) {
	switch i := item.(type) {
	case yield:
		t.ended = endYielded
	case told:
		t.cell.Handle(t.now(), i.message)
	case question:
		i.fn(t.cell)
		close(i.done)
	case submission:
		t.admit(i)
	case exchanged:
		t.takeExchange(i)
	case commitDone:
		t.takeCommit(i)
	case scanned:
		t.takeScan(i)
	}
}

// step does what time and the last messages ask for.
func (t *tenure) step() {
	now := t.now()
	if now.Sub(t.refreshed) >= refreshEvery {
		t.refreshed = now
		t.refresh()
	}
	if now.Sub(t.ticked) >= tickEvery {
		t.ticked = now
		t.cell.Handle(now, scheduler.Ticked{})
	}
	if t.owner.opts.Leaving() {
		t.ended = endLeaving
	}
	t.beginCommit(now)
	t.beginExchanges()
	t.logNotes()
}

func (t *tenure) beginExchanges() {
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
			done := exchanged{
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

func (t *tenure) takeExchange(e exchanged) {
	if e.err != nil {
		t.cell.Handle(t.now(), scheduler.Unanswered{Worker: e.id})
		return
	}
	if e.answer.Refused && e.answer.Epoch > t.head.Epoch {
		t.ended = "fenced-by-worker"
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

func (t *tenure) ask(ctx context.Context, fn func(*scheduler.Cell)) bool {
	q := question{
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
