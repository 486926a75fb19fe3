package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
)

// runActions applies a random sequence of actions and faults to the model. It
// returns the first violation of an invariant, or "".
func runActions(t *rapid.T, m *model, steps int) string {
	for range steps {
		runAction(t, m)
		if violation := m.checkInvariants(); violation != "" {
			return violation
		}
	}
	return ""
}

func runAction(t *rapid.T, m *model) {
	owner := m.owners[rapid.IntRange(max(0, len(m.owners)-3), len(m.owners)-1).Draw(t, "owner")]
	id := rapid.SampledFrom([]string{"w0", "w1", "w2"}).Draw(t, "worker")
	switch rapid.IntRange(0, 17).Draw(t, "action") {
	case 0:
		m.submit(owner, rapid.SampledFrom([]string{"1s", "4s", "20s"}).Draw(t, "work"))
	case 1:
		owner.cell.Handle(m.now.Now(), Cancelled{Jobs: []string{"job1", "job3"}})
	case 2:
		m.platformDown = !m.platformDown
	case 3:
		owner.cut[id] = !owner.cut[id]
	case 4:
		m.workers[id].SetFaults(standin.WorkerFaults{Paused: rapid.Bool().Draw(t, "paused")})
	case 5:
		m.workers[id].Restart()
	case 6:
		if m.mayTakeOver() {
			m.takeover()
		}
	case 7:
		m.setZone(rapid.Bool().Draw(t, "leave"))
	case 8:
		m.now.Advance(clock.Span(rapid.IntRange(1000, 9000).Draw(t, "long")))
	case 9:
		m.deliverDelayed()
	default:
		m.now.Advance(clock.Span(rapid.IntRange(10, 400).Draw(t, "short")))
		m.step(owner)
	}
}

// TestNeverTwice applies random actions and faults to owners, workers, network and
// platform. It checks that no task runs twice at the same time, no worker is
// overloaded, no task starts again after its end is durable, and no task starts in
// a zone that has left.
func TestNeverTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"))
		assert.Equal(t, runActions(t, m, 120), "")
	})
}

// TestNeverTwiceNeedsTheFence disables fencing by epochs and expects violations.
// It proves that the checks of TestTwoOwnersWithTheFence can fail.
func TestNeverTwiceNeedsTheFence(t *testing.T) {
	violations := 0
	for seed := range 200 {
		m := newModel(uint64(seed))
		m.noFence = true
		if runTwoOwners(m) != "" {
			violations++
		}
	}
	t.Logf("invariants broken in %d of 200 runs without the fence", violations)
	assert.Assert(t, violations > 0)
}

// TestTwoOwnersWithTheFence runs the same scenario with fencing by epochs and
// expects no violation.
func TestTwoOwnersWithTheFence(t *testing.T) {
	for seed := range 200 {
		m := newModel(uint64(seed))
		assert.Equal(t, runTwoOwners(m), "", "seed %d", seed)
	}
}

// runTwoOwners pauses an owner beyond its lease. The owner then continues to act at
// the same time as its successor.
func runTwoOwners(m *model) string {
	for range 3 {
		m.submit(m.owners[0], "20s")
	}
	for range 10 {
		m.now.Advance(100)
		m.step(m.owners[0])
	}
	m.now.Advance(6 * clock.Second)
	m.takeover()
	for i := range 400 {
		m.now.Advance(100)
		m.step(m.owners[i%2])
		if i%40 == 0 {
			m.workers["w1"].Restart()
		}
		if violation := m.checkInvariants(); violation != "" {
			return violation
		}
	}
	return ""
}

// TestCalm checks that with one owner and no faults but the random message loss of
// the model, every job finishes and all watcher replicas of the cell run.
func TestCalm(t *testing.T) {
	m := newModel(1)
	for range 4 {
		m.submit(m.owners[0], "2s")
	}
	for range 300 {
		m.now.Advance(100)
		m.step(m.owners[0])
		assert.Equal(t, m.checkInvariants(), "")
	}
	cell := m.owners[0].cell
	for _, view := range cell.Views() {
		if view.Watcher {
			assert.Equal(t, view.Placed, 1, view.Spec.ID)
			continue
		}
		assert.Equal(t, view.Finished, view.Spec.Tasks, view.Spec.ID)
	}
}
