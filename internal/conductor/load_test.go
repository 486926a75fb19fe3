package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/planner"
)

// TestLoadIsOfOneSpan guards against an owner without processor time that its log does not
// show: each line must hold what was done since the last one.
func TestLoadIsOfOneSpan(t *testing.T) {
	m := newLoadMonitor(1000)
	m.decided(40)
	m.decided(20)
	first := m.take(2000, planner.Stats{Started: 700, Refused: 3, Passes: 16})
	assert.Equal(t, int64(first.span), int64(1000))
	assert.Equal(t, int64(first.deciding), int64(60))
	m.decided(5)
	second := m.take(3500, planner.Stats{Started: 900, Refused: 3, Passes: 20})
	assert.Equal(t, int64(second.span), int64(1500))
	assert.Equal(t, second.started, 200)
	assert.Equal(t, second.refused, 0)
	assert.Equal(t, second.passes, 4)
	assert.Equal(t, int64(second.deciding), int64(5))
	assert.Assert(t, second.processor >= 0)
}
