package conductor

import (
	"context"
	"sync"
	"time"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
)

// lateAnswerTimeout is how much longer a late answer is waited for.
const lateAnswerTimeout = 3 * clock.Second

// timedCall is a call to a worker by a goroutine that sends orders. If the answer takes
// longer than its timeout, the planner is told so, another goroutine replaces the caller,
// and the caller goes on waiting for the late answer.
type timedCall struct {
	tenure *tenure
	// replace is what the goroutine that replaces the caller runs.
	replace func(context.Context)
	// unanswered tells the planner that there is no answer in time.
	unanswered planner.Message

	mu     sync.Mutex // guards the fields below
	timer  *time.Timer
	cancel context.CancelFunc
	ended  bool
	late   bool
}

// begin starts the time of the call. The returned context ends lateAnswerTimeout after
// timeout. The caller must call end when the call returns.
func (c *timedCall) begin(ctx context.Context, timeout clock.Span, unanswered planner.Message) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = unanswered
	ctx, c.cancel = context.WithCancel(ctx)
	c.timer = time.AfterFunc(timeout.Duration(), c.expire)
	return ctx
}

// expire replaces the caller. The lock keeps the late answer behind the message that
// there was none in time, and the caller counted in the tenure's group until its
// replacement is.
func (c *timedCall) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.late = true
	c.timer = time.AfterFunc(lateAnswerTimeout.Duration(), c.cancel)
	c.tenure.post(plannerMessage{message: c.unanswered})
	c.tenure.spawn(c.replace)
}

// end ends the call, and reports whether the answer is late.
func (c *timedCall) end() (late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.timer.Stop()
	c.cancel()
	return c.late
}
