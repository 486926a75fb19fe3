package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestLastingFailsOften guards against two faults of a long-running task that fails
// often: after a change of owners its attempts get numbers that workers know as ended,
// so that it never starts again, and its record grows with each failure until it is too
// large to write.
func TestLastingFailsOften(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newSingleTask(t, now, document.Step{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}, LongRunning: true}, nil)
	number := map[string]uint64{}
	last := 0
	for range 3 * attemptsPerEpoch {
		r := onlyRun(t, p)
		id := r.worker.id
		number[id]++
		last = r.key.attempt
		p.Handle(now, StartEnded{Worker: id, Task: r.key.task, Attempt: last, WorkerTime: now})
		now = now.Add(clock.Second)
		for _, w := range p.fleet {
			report := Report{}
			if w.id == id {
				report.Ended = []Ended{{Number: number[id], Task: r.key.task, Attempt: last, How: EndFailed}}
			}
			answerRenewal(p, now, w.id, report)
		}
		decideAndCommit(p, now)
		decideAndCommit(p, now.Add(maxPassInterval))
	}
	record := p.jobs[loneJob].record()
	assert.Check(t, len(record.Tasks) == 1 && len(record.Tasks[0].Failed) == 1, "%v", record.Tasks)

	next := New(Options{Epoch: 2, Takeover: now, LeaseMax: 6000, StopGrace: 200})
	next.Handle(now, Submitted{Job: p.jobs[loneJob].spec, Progress: &record, Inherited: true})
	first := next.findTask(TaskID{Job: loneJob}).nextAttempt(2)
	assert.Assert(t, first > p.findTask(TaskID{Job: loneJob}).lastAttempt, "attempt %d", first)
}
