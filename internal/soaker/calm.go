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
	// pulseEvery is how often the soak looks whether it gets the processor itself,
	// and pulseLate by how much it may be late until that counts as a disturbance.
	pulseEvery = 50 * time.Millisecond
	pulseLate  = 500 * time.Millisecond
)

// calm knows since when nothing has been disturbed. It is safe for concurrent use.
type calm struct {
	clock clock.Clock

	mu     sync.Mutex
	active int
	last   clock.Time
}

func newCalm(source clock.Clock) *calm {
	return &calm{
		clock: source,
		last:  source.Now(),
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
	from := c.last.Add(contact)
	return from, c.active == 0 && !c.clock.Now().Before(from)
}

// watch counts as disturbances the times in which the machine gives the soak itself no
// processor, and tells of them.
func (c *calm) watch(ctx context.Context, tell func(late time.Duration)) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(pulseEvery)
		late := time.Since(began) - pulseEvery
		if late < pulseLate {
			continue
		}
		c.disturb()
		c.heal()
		tell(late)
	}
}
