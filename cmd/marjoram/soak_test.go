package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/soaker"
)

// TestSoak plays one short seed of the fault soak. marjoram-load soak plays longer
// and fresh ones.
func TestSoak(t *testing.T) {
	report, err := soaker.Run(t.Context(), soaker.Options{
		Seed:        soakSeed,
		Program:     os.Args[0],
		Environment: []string{asProgram + "=1"},
		VMs:         3,
		Workers:     6,
		Cycles:      1,
		Series:      5 * time.Second,
		Gap:         500 * time.Millisecond,
		Calm:        16 * time.Second,
		JobGap:      300 * time.Millisecond,
		Filled:      75,
		Settle:      20 * time.Second,
		Logs:        "../../out/soak",
	})
	assert.NilError(t, err)
	t.Log(report)
	t.Log("faults:\n" + strings.Join(report.Faults, "\n"))
	assert.Assert(t, report.Accepted > 0 && report.Starts > 0 && report.Asked > 0, "nothing was played")
	assert.Equal(t, len(report.Breaches), 0, strings.Join(report.Breaches, "\n"))
}

const soakSeed = 1
