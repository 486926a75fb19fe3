package acceptor

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
)

// TestBreaker checks that an open breaker refuses calls immediately, lets one probe
// through per interval, and closes after one answered call.
func TestBreaker(t *testing.T) {
	var b breaker
	now := clock.Time(1000)
	assert.Assert(t, b.allow(now))
	b.record(now, false)
	assert.Assert(t, !b.allow(now.Add(probeInterval-1)))
	assert.Assert(t, b.allow(now.Add(probeInterval)))
	assert.Assert(t, !b.allow(now.Add(probeInterval+1)), "one call at a time")
	b.record(now.Add(probeInterval+2), true)
	assert.Assert(t, b.allow(now.Add(probeInterval+3)))
}
