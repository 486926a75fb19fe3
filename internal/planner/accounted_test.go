package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestSeenTaskRestartsAtOnce guards against tasks that run when an owner takes over, end
// a moment later and wait for the leases of workers that have nothing to do with them. A
// task that the owner has not seen running must still wait.
func TestSeenTaskRestartsAtOnce(t *testing.T) {
	const (
		overlap  = 2 * clock.Second
		restarts = 500 * clock.Millisecond
	)
	now := clock.Time(1_000_000)
	lost := Worker{
		ID:       "lost",
		Pool:     "pool",
		Zone:     "z",
		Capacity: document.Size{Processors: 8, Memory: 8},
	}
	sound := lost
	sound.ID = "w1"
	id := TaskID{Job: loneJob}
	exact := WorkerInherited{
		Worker: lost,
		Exact:  true,
		Held:   []TaskID{id},
	}
	for _, c := range []struct {
		name    string
		lost    WorkerInherited
		seenAt  clock.Span // from when on reports list the run, 0 for never
		failsAt clock.Span
		waits   bool
	}{
		{"a record lists it", exact, overlap + 50, overlap + 300, false},
		{"any task may be on the lost worker", WorkerInherited{Worker: lost}, overlap + 50, overlap + 300, false},
		{"seen while the earlier owner may act", exact, 50, 300, true},
		{"never seen", exact, 0, overlap + 300, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newConfigured(now, Options{
				Epoch:     2,
				Takeover:  now.Add(overlap),
				LeaseMax:  6000,
				StopGrace: 200,
			})
			p.Handle(now, c.lost)
			p.Handle(now, WorkerInherited{Worker: sound})
			p.Handle(now, WorkerListed{Worker: sound})
			p.Handle(now, Submitted{
				Job: document.StagedJob{
					ID:    loneJob,
					Queue: "q",
					Steps: []document.Step{lastingStep(1)},
				},
				Accepted:  now,
				Inherited: true,
				Progress:  &Progress{State: StateRunning, Queue: "q"},
			})
			running := Report{Running: []Running{{Task: id, Attempt: 1}}}
			ended := Report{Ended: []Ended{{Number: 1, Task: id, Attempt: 1, How: EndFailed}}}
			started := clock.Span(0)
			for span := clock.Span(0); span < 12*clock.Second && started == 0; span += 50 {
				at := now.Add(span)
				switch {
				case span >= c.failsAt:
					answerRenewal(p, at, sound.ID, ended)
				case span >= c.seenAt && c.seenAt != 0:
					answerRenewal(p, at, sound.ID, running)
				}
				p.Handle(at, RenewFailed{Worker: lost.ID, Outcome: OutcomeUnknown})
				if countStarts(decideAndCommit(p, at)) > 0 {
					started = span
				}
			}
			assert.Assert(t, started > 0)
			assert.Equal(t, started-c.failsAt > restarts, c.waits, "started %s after the end", started-c.failsAt)
		})
	}
}
