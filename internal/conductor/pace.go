package conductor

import (
	"time"
)

const (
	// lateTick is the delay of a tick that tells of a VM without processor time.
	lateTick = 250 * time.Millisecond
	// lateTicks is how many of them, net of ticks in time, end a tenure.
	lateTicks = 5
)

// pace watches whether the loop keeps up.
type pace struct {
	ticks int
}

// tick takes the delay of a tick.
func (p *pace) tick(delay time.Duration) {
	if delay >= lateTick {
		p.ticks++
		return
	}
	p.ticks = max(p.ticks-1, 0)
}

// behind reports whether the loop has been late of late.
func (p *pace) behind() bool { return p.ticks > 0 }

// late reports whether the loop is late all the time.
func (p *pace) late() bool { return p.ticks >= lateTicks }
