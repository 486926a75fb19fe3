package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
)

// runActions lets an arbitrary sequence of actions and faults act on a model and
// returns what broke, or "".
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
		m.down = !m.down
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
		m.deliverHeld()
	default:
		m.now.Advance(clock.Span(rapid.IntRange(10, 400).Draw(t, "short")))
		m.step(owner)
	}
}

// TestNeverTwice drives owners, workers, network and platform at random and
// holds that no task runs in two places, no worker is overfull, nothing starts
// again after its end is durable, and nothing starts in a zone that has left.
func TestNeverTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"))
		assert.Equal(t, runActions(t, m, 120), "")
	})
}

// TestNeverTwiceNeedsTheFence takes the epochs away and must see the property
// broken: a check that cannot fail would show nothing.
func TestNeverTwiceNeedsTheFence(t *testing.T) {
	broken := 0
	for seed := range 200 {
		m := newModel(uint64(seed))
		m.noFence = true
		if runTwoOwners(m) != "" {
			broken++
		}
	}
	t.Logf("broken in %d of 200 runs without the fence", broken)
	assert.Assert(t, broken > 0)
}

// TestTwoOwnersWithTheFence is the same history with the epochs in place.
func TestTwoOwnersWithTheFence(t *testing.T) {
	for seed := range 200 {
		m := newModel(uint64(seed))
		assert.Equal(t, runTwoOwners(m), "", "seed %d", seed)
	}
}

// runTwoOwners has one owner sleep past its lease and act on beside its successor.
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

// TestCalm holds that without faults every job finishes and both watchers live.
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
