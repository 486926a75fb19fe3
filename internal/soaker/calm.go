package soaker

import (
	"context"
	"sync"
	"time"

	"marjoramstack/pkg/clock"
)

const (
	// recoveryTime is how long after the last disturbance the guarantees with a time
	// bound apply again.
	recoveryTime = 4 * clock.Second
	// The soak process ticks every tickInterval to detect that it gets no CPU time. A
	// gap of more than stallThreshold counts as a disturbance.
	tickInterval   = 50 * time.Millisecond
	stallThreshold = 500 * clock.Millisecond
)

// disturbances tracks active disturbances and when the last one ended. It is safe for
// concurrent use.
type disturbances struct {
	clock clock.Clock

	mu       sync.Mutex
	active   int
	lastEnd  clock.Time // when a disturbance last ended
	lastTick clock.Time // when the soak process last got CPU time
}

func newDisturbances(source clock.Clock) *disturbances {
	return &disturbances{
		clock:    source,
		lastEnd:  source.Now(),
		lastTick: source.Now(),
	}
}

// begin records the start of a disturbance.
func (d *disturbances) begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active++
}

// end records the end of a disturbance.
func (d *disturbances) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	d.lastEnd = d.clock.Now()
}

// calmSince returns the time recoveryTime after the last disturbance, from which on time
// bounds apply, and whether they apply now.
func (d *disturbances) calmSince() (clock.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	calmFrom := d.lastEnd.Add(recoveryTime)
	return calmFrom, d.active == 0 && !now.Before(calmFrom) && now.Sub(d.lastTick) <= stallThreshold
}

// tick records that the soak process is running. If the gap since the previous tick was
// long enough to count as a disturbance, it returns that gap, otherwise 0.
func (d *disturbances) tick() (stall clock.Span) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if now.Sub(d.lastTick) > stallThreshold {
		stall = now.Sub(d.lastTick)
		d.lastEnd = now
	}
	d.lastTick = now
	return stall
}

// watchStalls ticks until ctx ends and reports the times without CPU time, which count
// as disturbances.
func (d *disturbances) watchStalls(ctx context.Context, report func(stall clock.Span)) {
	for ctx.Err() == nil {
		if stall := d.tick(); stall > 0 {
			report(stall)
		}
		time.Sleep(tickInterval)
	}
}
