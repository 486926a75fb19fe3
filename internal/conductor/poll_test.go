package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/acceptor"
)

// TestSmallVMsPollLess guards against reads of the table that grow with the number of VMs: one
// that would leave a vacant cell to larger VMs reads the cell row less often, unless something
// is wrong with the owner.
func TestSmallVMsPollLess(t *testing.T) {
	small := New(Options{Share: 110})
	small.lastSeen.head = acceptor.Head{Share: 800}
	assert.Equal(t, small.untilNextPoll(), standbyPollInterval)
	assert.Assert(t, standbyPollInterval < maxCountsAge)
	large := New(Options{Share: 800})
	large.lastSeen.head = acceptor.Head{Share: 800}
	assert.Equal(t, large.untilNextPoll(), pollInterval)
	small.failedProbes = 1
	assert.Equal(t, small.untilNextPoll(), pollInterval)
}
