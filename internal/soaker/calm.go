package soaker

import (
	"context"
	"sync"
	"time"

	"marjoramstack/pkg/clock"
)

const (
	// contact is how long calm must have lasted for the promises with a time bound
	// to hold.
	contact = 4 * clock.Second
	// beatEvery is how often the soak looks whether it gets the processor itself, and
	// stallAfter after how long without it the machine counts as disturbed.
	beatEvery  = 50 * time.Millisecond
	stallAfter = 500 * clock.Millisecond
)

// calm knows since when nothing has been disturbed. It is safe for concurrent use.
type calm struct {
	clock clock.Clock

	mu     sync.Mutex
	active int
	last   clock.Time // when a disturbance last ended
	beat   clock.Time // when the soak last had the processor
}

func newCalm(source clock.Clock) *calm {
	return &calm{
		clock: source,
		last:  source.Now(),
		beat:  source.Now(),
	}
}

// disturb notes the beginning of a disturbance.
func (c *calm) disturb() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active++
}

// heal notes the end of a disturbance.
func (c *calm) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	c.last = c.clock.Now()
}

// from returns since when processes have been in contact with each other for long
// enough to be held to a time bound, and whether they are.
func (c *calm) from() (clock.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	from := c.last.Add(contact)
	return from, c.active == 0 && !now.Before(from) && now.Sub(c.beat) <= stallAfter
}

// pulse notes that the soak has the processor, and returns for how long it had not if
// that disturbed the run.
func (c *calm) pulse() (stall clock.Span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if now.Sub(c.beat) > stallAfter {
		stall = now.Sub(c.beat)
		c.last = now
	}
	c.beat = now
	return stall
}

// watch tells of the times in which the machine gives the soak itself no processor.
// They count as disturbances.
func (c *calm) watch(ctx context.Context, tell func(stall clock.Span)) {
	for ctx.Err() == nil {
		if stall := c.pulse(); stall > 0 {
			tell(stall)
		}
		time.Sleep(beatEvery)
	}
}
