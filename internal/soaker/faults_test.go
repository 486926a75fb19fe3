package soaker

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A seed must always give the same plan, and calm periods must contain planned work only.
func TestPlan(t *testing.T) {
	for seed := range uint64(200) {
		opts := Options{Seed: seed, VMs: 4, Workers: 5, Cycles: 2, Series: 6 * time.Second, Gap: time.Second, Calm: 12 * time.Second}
		plan, again := planOf(opts), planOf(opts)
		assert.Equal(t, fmt.Sprint(faultNames(plan)), fmt.Sprint(faultNames(again)))
		cycle := opts.planDuration() / time.Duration(opts.Cycles)
		for _, f := range plan {
			at := f.at % cycle
			if f.planned {
				assert.Assert(t, at >= opts.Series+maxFaultDuration+plannedWorkDelay, f.description)
			} else {
				assert.Assert(t, at+f.duration <= opts.Series+maxFaultDuration, f.description)
			}
		}
	}
}

func planOf(opts Options) []fault {
	s := newSoak(opts)
	for i := range opts.VMs {
		s.vms = append(s.vms, &vm{name: fmt.Sprint("vm-", i)})
	}
	for i := range opts.Workers {
		s.workers = append(s.workers, &soakWorker{name: fmt.Sprint("w", i)})
	}
	return s.plan()
}

func faultNames(plan []fault) []string {
	var names []string
	for _, f := range plan {
		names = append(names, fmt.Sprint(f.at, f.duration, f.description))
	}
	return names
}
