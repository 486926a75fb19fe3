package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// recordedRows are the records of workers as the owners' batches leave them.
type recordedRows map[string]WorkerRecord

// apply makes a batch durable.
func (r recordedRows) apply(batch Batch) {
	for _, record := range batch.Used {
		r[record.Worker.ID] = record
	}
	for _, id := range batch.Unused {
		delete(r, id)
	}
}

// commitAll makes an owner's changes durable until there are none.
func (r recordedRows) commitAll(p *Planner, now clock.Time) {
	for {
		batch, ok := p.TakeChanges(60)
		if !ok {
			return
		}
		r.apply(batch)
		p.Handle(now, Committed{Number: batch.Number})
	}
}

// noRecord is what heldOn returns for a worker without a record.
const noRecord = -1

// heldOn returns how many tasks a worker's record lists.
func (r recordedRows) heldOn(worker string) int {
	record, ok := r[worker]
	if !ok {
		return noRecord
	}
	return len(record.Held)
}

// lastingStep returns a step of lasting tasks.
func lastingStep(tasks int) document.Step {
	return document.Step{
		Tasks:       tasks,
		Demand:      document.Size{Processors: 2, Memory: 1},
		LongRunning: true,
	}
}

// leavingWorker returns an owner with a lasting task of two on each of w1 and w2, and
// the records written so far. w1 has just announced that it leaves, which is recorded with the
// task that it still runs; its report that the task has been stopped is outstanding.
func leavingWorker(t *testing.T, now clock.Time) (*Planner, recordedRows) {
	t.Helper()
	spec := lastingStep(2)
	spec.MaxPerWorker = 1
	p := newSingleTask(t, now, spec, nil)
	rows := recordedRows{}
	rows.commitAll(p, now)
	for _, id := range []string{"w1", "w2"} {
		answerRenewal(p, now, id, reportOf(p.workers[id], now))
		assert.Equal(t, len(p.workers[id].runs), 1)
	}
	info := p.workers["w1"].info
	info.Leaving = true
	p.Handle(now, WorkerListed{Worker: info})
	p.Handle(now, Ticked{})
	p.Decide(now)
	rows.commitAll(p, now)
	assert.Equal(t, rows.heldOn("w1"), 1)
	return p, rows
}

// endStopped reports that every run on a worker has been stopped.
func endStopped(p *Planner, now clock.Time, worker string) {
	var report Report
	for i, r := range p.workers[worker].sortedRuns() {
		report.Ended = append(report.Ended, Ended{
			Number:  uint64(i + 1),
			Task:    r.key.task,
			Attempt: r.key.attempt,
			How:     EndStopped,
		})
	}
	answerRenewal(p, now, worker, report)
}

// TestLeftWorkerHoldsNothing guards against lasting tasks that wait for seconds under each
// next owner because the record of a worker that has left lists tasks that were stopped there
// and have run elsewhere since.
func TestLeftWorkerHoldsNothing(t *testing.T) {
	now := clock.Time(1_000_000)
	for _, c := range []struct {
		name string
		end  func(p *Planner, at clock.Time)
	}{
		{"the owner is lost a second later", func(p *Planner, at clock.Time) {
			p.Handle(at.Add(clock.Second), Ticked{})
		}},
		{"the owner gives the cell up at once", func(p *Planner, _ clock.Time) { p.HandOver() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, rows := leavingWorker(t, now)
			at := now.Add(300)
			endStopped(p, at, "w1")
			c.end(p, at)
			rows.commitAll(p, at)
			assert.Equal(t, rows.heldOn("w1"), noRecord)
		})
	}
}

// TestLeavingRecordFollowsEnds guards against the same while the worker still runs another
// task: its record must soon list that one only.
func TestLeavingRecordFollowsEnds(t *testing.T) {
	now := clock.Time(1_000_000)
	p, rows := leavingWorker(t, now)
	w := p.workers["w1"]
	short := TaskID{Job: "00000000000000bb"}
	report := reportOf(w, now.Add(100))
	report.Running = append(report.Running, Running{Task: short, Attempt: 1})
	answerRenewal(p, now.Add(100), "w1", report)
	lasting := w.sortedRuns()[0].key
	answerRenewal(p, now.Add(300), "w1", Report{
		Running: []Running{{Task: short, Attempt: 1}},
		Ended: []Ended{{
			Number:  1,
			Task:    lasting.task,
			Attempt: lasting.attempt,
			How:     EndStopped,
		}},
	})
	p.Handle(now.Add(300+clock.Second), Ticked{})
	rows.commitAll(p, now.Add(300+clock.Second))
	assert.DeepEqual(t, rows["w1"].Held, []TaskID{short})
}

// TestInheritedRecordFollowsReport guards against the same when the owner that recorded the
// leaving worker's tasks was replaced before they ended: the next owner has the worker's
// report and must not hand the old list on.
func TestInheritedRecordFollowsReport(t *testing.T) {
	now := clock.Time(1_000_000)
	_, rows := leavingWorker(t, now)
	next := New(Options{
		Epoch:     2,
		Takeover:  now,
		LeaseMax:  6000,
		StopGrace: 200,
	})
	inherited := rows["w1"]
	next.Handle(now, WorkerInherited(inherited))
	info := inherited.Worker
	info.Leaving = true
	next.Handle(now, WorkerListed{Worker: info})
	other := TaskID{Job: "00000000000000bb"}
	answerRenewal(next, now.Add(100), "w1", Report{Running: []Running{{Task: other, Attempt: 1}}})
	next.Handle(now.Add(100+clock.Second), Ticked{})
	rows.commitAll(next, now.Add(100+clock.Second))
	assert.DeepEqual(t, rows["w1"].Held, []TaskID{other})
}

// TestExactRecordFollowsEnds guards against lasting tasks that wait for the leases of the
// earlier owner's zone, though they had been stopped there and no start was recorded since.
func TestExactRecordFollowsEnds(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newConfigured(now, Options{
		Epoch:     1,
		Zone:      "z",
		Takeover:  now,
		LeaseMax:  6000,
		StopGrace: 200,
	})
	p.Handle(now, WorkerListed{Worker: Worker{
		ID:       "w1",
		Pool:     "pool",
		Zone:     "z",
		Capacity: document.Size{Processors: 8, Memory: 8},
	}})
	answerRenewal(p, now, "w1", Report{})
	rows := recordedRows{}
	rows.commitAll(p, now)
	p.Handle(now, Submitted{
		Accepted: now,
		Job: document.StagedJob{
			ID:    loneJob,
			Queue: "q",
			Steps: []document.Step{lastingStep(1)},
		},
	})
	p.Decide(now.Add(maxPassInterval))
	rows.commitAll(p, now)
	assert.Equal(t, rows.heldOn("w1"), 1)
	answerRenewal(p, now.Add(200), "w1", reportOf(p.workers["w1"], now.Add(200)))
	endStopped(p, now.Add(300), "w1")
	p.Handle(now.Add(300+clock.Second), Ticked{})
	rows.commitAll(p, now.Add(300+clock.Second))
	assert.Equal(t, rows.heldOn("w1"), 0)
}
