package main

import (
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMemoryLimit guards against a VM with little memory that ends for want of it once it owns
// a large cell: the runtime must know the limit.
func TestMemoryLimit(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	limitMemory(0)
	assert.Equal(t, debug.SetMemoryLimit(-1), before)
	limitMemory(184)
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(138<<20))
}
