package acceptor

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
)

// TestBreaker holds that callers are refused at once while the platform is away,
// that calls go on being tried, and that one answer ends it.
func TestBreaker(t *testing.T) {
	var b breaker
	now := clock.Time(1000)
	assert.Assert(t, b.allow(now))
	b.note(now, false)
	assert.Assert(t, !b.allow(now.Add(probeEvery-1)))
	assert.Assert(t, b.allow(now.Add(probeEvery)))
	assert.Assert(t, !b.allow(now.Add(probeEvery+1)), "one call at a time")
	b.note(now.Add(probeEvery+2), true)
	assert.Assert(t, b.allow(now.Add(probeEvery+3)))
}
