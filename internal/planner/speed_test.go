package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestSpeedIsMended guards against best-effort tasks that stand still for ever: the owner that
// paused them was replaced, or the order to resume them was lost; and against tasks that
// disturb others for as long as they run because the order to pause them was lost.
func TestSpeedIsMended(t *testing.T) {
	const ordered = -1 // no order is expected
	for _, c := range []struct {
		name    string
		adopted bool
		paused  bool // by this owner, at last
		resumed bool // by this owner, after it had paused the run
		metric  int  // processors in use, in thousandths
		want    int  // percent
	}{
		{"paused by an earlier owner", true, false, false, 0, fullSpeed},
		{"the order to resume is lost", false, false, true, 0, fullSpeed},
		{"the order to pause is lost", false, true, false, 8000, 0},
		{"at work under the next owner", true, false, false, 8000, ordered},
		{"paused as ordered", false, true, false, 0, ordered},
		{"stands still though never paused", false, false, false, 0, ordered},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := clock.Time(1_000_000)
			p := newConfigured(now, Options{
				Epoch:     2,
				Takeover:  now,
				LeaseMax:  6000,
				StopGrace: 200,
			})
			p.Handle(now, WorkerListed{Worker: Worker{
				ID:       "w1",
				Pool:     "pool",
				Capacity: document.Size{Processors: 64000, Memory: 10},
			}})
			answerRenewal(p, now, "w1", Report{})
			p.Handle(now, Submitted{
				Job: document.StagedJob{
					ID:    loneJob,
					Queue: "q",
					Steps: []document.Step{{
						Tasks:      1,
						Demand:     document.Size{Processors: 8000, Memory: 1},
						Estimate:   60_000,
						BestEffort: true,
						Image:      "f",
					}},
				},
				Accepted:  now,
				Inherited: c.adopted,
			})
			key := Running{Task: TaskID{Job: loneJob}, Attempt: 1}
			if !c.adopted {
				decideAndCommit(p, now)
				decideAndCommit(p, now.Add(maxPassInterval))
				key.Attempt = onlyRun(t, p).key.attempt
			}
			answerRenewal(p, now.Add(200), "w1", Report{Running: []Running{key}})
			if c.paused || c.resumed {
				p.setSpeed(now.Add(300), onlyRun(t, p), 0)
			}
			if c.resumed {
				p.setSpeed(now.Add(400), onlyRun(t, p), fullSpeed)
			}
			p.TakeOrders()
			key.Metric = c.metric
			got := ordered
			for span := 500 * clock.Millisecond; span < 4*clock.Second; span += 250 {
				answerRenewal(p, now.Add(span), "w1", Report{Running: []Running{key}})
				for _, order := range p.TakeOrders() {
					if o, ok := order.(Throttle); ok {
						got = o.Percent
					}
				}
			}
			assert.Equal(t, got, c.want)
		})
	}
}
