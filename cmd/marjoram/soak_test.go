package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/soaker"
)

// TestSoak runs the soak test with random faults for a short time with one fixed
// seed. marjoram-load soak runs it for longer and with other seeds.
func TestSoak(t *testing.T) {
	report, err := soaker.Run(t.Context(), soaker.Options{
		Seed:        soakSeed,
		Program:     os.Args[0],
		Environment: []string{runAsProgramEnv + "=1"},
		VMs:         3,
		Workers:     6,
		Cycles:      1,
		Series:      5 * time.Second,
		Gap:         500 * time.Millisecond,
		Calm:        16 * time.Second,
		JobGap:      300 * time.Millisecond,
		Filled:      75,
		Customers:   3,
		Settle:      20 * time.Second,
		Logs:        "../../out/soak",
	})
	assert.NilError(t, err)
	t.Log(report)
	t.Log("faults:\n" + strings.Join(report.Faults, "\n"))
	assert.Assert(t, report.Accepted > 0 && report.Starts > 0 && report.Asked > 0, "the soak did no work")
	assert.Equal(t, len(report.Breaches), 0, strings.Join(report.Breaches, "\n"))
}

const soakSeed = 1
