package conductor

import (
	"context"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/planner"
	"marjoramstack/internal/ring"
	"marjoramstack/pkg/clock"
)

// heldLink answers the starts of attempt 1 only after a release, and all other orders
// immediately.
type heldLink struct {
	Link
	release chan struct{}
	// onStart is called by the goroutine that makes the call, unless nil.
	onStart func()
	// ended is closed when the context of a held start has ended, which then fails.
	ended chan struct{}
}

func (l *heldLink) Start(ctx context.Context, start planner.Start, _ uint64) (planner.Outcome, clock.Time) {
	if l.onStart != nil {
		l.onStart()
	}
	if start.Attempt != 1 {
		return planner.OutcomeTaken, 5
	}
	select {
	case <-l.release:
		return planner.OutcomeTaken, 7
	case <-ctx.Done():
		close(l.ended)
		return planner.OutcomeUnknown, 0
	}
}

func (l *heldLink) Renew(ctx context.Context, _ planner.Renew, _ uint64) (planner.Report, planner.Outcome) {
	select {
	case <-l.release:
		return planner.Report{Incarnation: 9}, planner.OutcomeTaken
	case <-ctx.Done():
		close(l.ended)
		return planner.Report{}, planner.OutcomeUnknown
	}
}

func newHeldTenure(t *testing.T) (*tenure, *heldLink) {
	link := &heldLink{release: make(chan struct{}), ended: make(chan struct{})}
	wall := clock.NewWall()
	ctx, cancel := context.WithCancel(context.Background())
	tn := &tenure{
		c:           &Conductor{opts: Options{Link: link, Clock: wall}},
		inbox:       ring.New[any](16),
		orders:      ring.New[planner.Order](16),
		renewQueues: map[string]*ring.Ring[planner.Renew]{},
		tenureCtx:   ctx,
	}
	tn.confirmedAt.Store(int64(wall.Now()))
	tn.senderLimit.Store(1000)
	t.Cleanup(func() {
		cancel()
		tn.group.Wait()
	})
	return tn, link
}

func (t *tenure) nextMessage() planner.Message { return (<-t.inbox.Out()).(plannerMessage).message }

func startOf(attempt int) planner.Start {
	return planner.Start{Target: planner.Target{Worker: "w"}, Attempt: attempt}
}

// TestLateStart checks that a start without an answer in time is reported as unknown,
// that it holds up no other order, even of the only goroutine that sends orders, and
// that its late answer is reported too, after which the goroutine that waited for it
// ends, since another has replaced it.
func TestLateStart(t *testing.T) {
	tn, link := newHeldTenure(t)
	tn.senderLimit.Store(1)
	replaced := make(chan struct{})
	tn.orders.Offer(startOf(1))
	tn.orders.Offer(startOf(2))
	assert.Assert(t, tn.takeSenderSlot())
	tn.spawn(func(ctx context.Context) {
		tn.sendOrders(ctx)
		close(replaced)
	})
	assert.DeepEqual(t, tn.nextMessage(), planner.StartEnded{Worker: "w", Attempt: 1, Outcome: planner.OutcomeUnknown})
	assert.DeepEqual(t, tn.nextMessage(), planner.StartEnded{Worker: "w", Attempt: 2, Outcome: planner.OutcomeTaken, WorkerTime: 5})
	close(link.release)
	assert.DeepEqual(t, tn.nextMessage(), planner.StartEnded{Worker: "w", Attempt: 1, Outcome: planner.OutcomeTaken, WorkerTime: 7, Late: true})
	<-replaced
	tn.orders.Offer(startOf(3))
	tn.addSender()
	assert.DeepEqual(t, tn.nextMessage(), planner.StartEnded{Worker: "w", Attempt: 3, Outcome: planner.OutcomeTaken, WorkerTime: 5})
}

// TestLateRenewal checks that a renewal without an answer in time is reported as
// unknown, and that its late answer is reported as an extra one.
func TestLateRenewal(t *testing.T) {
	tn, link := newHeldTenure(t)
	tn.renewQueue("w").Offer(planner.Renew{Target: planner.Target{Worker: "w"}})
	assert.DeepEqual(t, tn.nextMessage(), planner.RenewFailed{Worker: "w", Outcome: planner.OutcomeUnknown})
	close(link.release)
	late := tn.nextMessage().(planner.Renewed)
	assert.Assert(t, late.Extra && late.Received > 0)
	assert.Equal(t, late.Report.Incarnation, int64(9))
}

// TestLateAnswerIsGivenUp checks that a call ends when even the time for a late answer
// is over, and that a late renewal without a report is not reported again.
func TestLateAnswerIsGivenUp(t *testing.T) {
	tn, link := newHeldTenure(t)
	tn.renewQueue("w").Offer(planner.Renew{Target: planner.Target{Worker: "w"}})
	assert.DeepEqual(t, tn.nextMessage(), planner.RenewFailed{Worker: "w", Outcome: planner.OutcomeUnknown})
	<-link.ended
	tn.orders.Offer(startOf(2))
	tn.addSender()
	assert.DeepEqual(t, tn.nextMessage(), planner.StartEnded{Worker: "w", Attempt: 2, Outcome: planner.OutcomeTaken, WorkerTime: 5})
}

// TestTenureEndsDuringLateCall checks that the end of a tenure ends its late calls.
func TestTenureEndsDuringLateCall(t *testing.T) {
	tn, link := newHeldTenure(t)
	ctx, cancel := context.WithCancel(tn.tenureCtx)
	tn.tenureCtx = ctx
	tn.orders.Offer(startOf(1))
	tn.addSender()
	assert.DeepEqual(t, tn.nextMessage(), planner.StartEnded{Worker: "w", Attempt: 1, Outcome: planner.OutcomeUnknown})
	cancel()
	<-link.ended
	tn.group.Wait()
}

// TestOrdersAreSentAtOnce guards against orders that wait for a free goroutine while others
// wait for their answers, which bounds the orders per second whatever the worker's distance:
// 200 held starts do not hold up one more.
func TestOrdersAreSentAtOnce(t *testing.T) {
	const held = 200
	tn, link := newHeldTenure(t)
	sent := make(chan struct{}, held)
	link.onStart = func() { sent <- struct{}{} }
	for range held {
		tn.orders.Offer(startOf(1))
		tn.addSender()
		<-sent
	}
	link.onStart = nil
	tn.orders.Offer(startOf(2))
	tn.addSender()
	m := tn.nextMessage()
	assert.Equal(t, m.(planner.StartEnded).Attempt, 2)
	close(link.release)
}

// TestSendersAreBounded guards against a VM with little processor time that sends all of its
// orders at once, each of which then is late: no more are in flight than the limit, and the
// others are sent as these end.
func TestSendersAreBounded(t *testing.T) {
	tn, link := newHeldTenure(t)
	tn.senderLimit.Store(3)
	var sent atomic.Int64
	link.onStart = func() { sent.Add(1) }
	for range 8 {
		tn.orders.Offer(startOf(1))
		tn.addSender()
	}
	assert.Equal(t, tn.senders.Load(), int64(3))
	assert.Assert(t, sent.Load() <= 3)
	close(link.release)
	for taken := 0; taken < 8; { // one may also have been reported as unknown before
		if tn.nextMessage().(planner.StartEnded).Outcome == planner.OutcomeTaken {
			taken++
		}
	}
}

// TestPausedOwnerSendsNothing guards against an owner that was paused until its lease of the
// cell had run out, and wakes with orders in its queue: none of them is sent, and the planner is
// told so.
func TestPausedOwnerSendsNothing(t *testing.T) {
	const queued = 10
	tn, link := newHeldTenure(t)
	link.onStart = func() { t.Error("a start was sent after the lease had run out") }
	tn.confirmedAt.Store(int64(tn.now().Add(-cellLease)))
	for range queued {
		tn.orders.Offer(startOf(2))
	}
	for range queued {
		tn.addSender()
	}
	for range queued {
		assert.Equal(t, tn.nextMessage().(planner.StartEnded).Outcome, planner.OutcomeNotSent)
	}
}

// TestOrderNeedsNoGoroutine guards against starts that are late because each of them
// wakes goroutines and sets timers, which takes the owner's processor time: a call is
// made by the goroutine that sends the order.
func TestOrderNeedsNoGoroutine(t *testing.T) {
	tn, link := newHeldTenure(t)
	var stack string
	link.onStart = func() { stack = string(debug.Stack()) }
	tn.send(tn.tenureCtx, startOf(2), &timedCall{tenure: tn})
	assert.Assert(t, strings.Contains(stack, "testing.tRunner("), "the call is made by another goroutine:\n%s", stack)
}

// TestOrderAllocations guards against the same: a start allocates its context, its
// timer with the function that it calls, the call, and the order and its message, as
// interfaces.
func TestOrderAllocations(t *testing.T) {
	const most = 9
	tn, _ := newHeldTenure(t)
	var order planner.Order = startOf(2)
	got := testing.AllocsPerRun(100, func() { tn.send(tn.tenureCtx, order, &timedCall{tenure: tn}) })
	if got > most {
		t.Errorf("%.0f allocations for a start, expected at most %d", got, most)
	}
}

func BenchmarkOrder(b *testing.B) {
	wall := clock.NewWall()
	tn := &tenure{
		c:         &Conductor{opts: Options{Link: &heldLink{}, Clock: wall}},
		tenureCtx: context.Background(),
	}
	tn.confirmedAt.Store(int64(wall.Now()) + 1000000)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var order planner.Order = startOf(2)
	b.ReportAllocs()
	for b.Loop() {
		tn.send(ctx, order, &timedCall{tenure: tn})
	}
}
