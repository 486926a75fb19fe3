package experimenter

import (
	"fmt"
	"sort"

	"marjoramstack/internal/scheduler"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
)

// sums returns the useful work in processor seconds, the work lost, and the
// evictions.
func (e *estate) sums() (work, lost float64, evicted int) {
	for _, w := range e.workers {
		for _, r := range w.Record().Runs {
			work += float64(r.Done-r.Resume) / 1000 * float64(e.processorsOf(r.Task))
			if r.State == worker.StateStopped {
				evicted++
			}
		}
	}
	for _, cell := range e.cells {
		lost += float64(cell.Stats().Lost) / 1000
	}
	return work - lost, lost, evicted
}

func (e *estate) processorsOf(task string) int {
	id, ok := scheduler.ParseTaskID(task)
	if !ok {
		return 1
	}
	for _, cell := range e.cells {
		if view, ok := cell.View(id.Job, false); ok {
			return view.Spec.Size.Processors
		}
	}
	return 1
}

// capacity is what the workers in service could have done, in processor
// seconds.
func (e *estate) capacity() float64 {
	zone := float64(e.plan.WorkersPerZone * e.plan.Processors)
	all := zone * float64(e.plan.Zones) * float64(e.plan.Seconds)
	return all - zone*float64(e.plan.ReturnAt-e.plan.LeaveAt)
}

// lateShare is the share of the jobs due by the end that were not finished in
// time.
func (e *estate) lateShare() float64 {
	finished := map[string]clock.Time{}
	for _, w := range e.workers {
		for _, r := range w.Record().Runs {
			if id, ok := scheduler.ParseTaskID(r.Task); ok && r.State == worker.StateFinished {
				finished[id.Job] = max(finished[id.Job], r.End)
			}
		}
	}
	late, due := 0, 0
	for id, v := range e.jobs() {
		if v.Deadline.After(e.now.Now()) {
			continue
		}
		due++
		if v.Waiting+v.Placed > 0 || finished[id].After(v.Deadline) {
			late++
		}
	}
	return float64(late) / max(float64(due), 1)
}

// jobs joins the cells' parts of each job.
func (e *estate) jobs() map[string]scheduler.JobView {
	jobs := map[string]scheduler.JobView{}
	for _, cell := range e.cells {
		for _, v := range cell.Views() {
			whole := jobs[v.Spec.ID]
			v.Waiting += whole.Waiting
			v.Placed += whole.Placed
			jobs[v.Spec.ID] = v
		}
	}
	return jobs
}

// broken returns what did not hold on the workers.
func (e *estate) broken() []string {
	var faults []string
	for id, w := range e.workers {
		r := w.Record()
		if r.Overfull > 0 || len(r.Doubled) > 0 {
			faults = append(faults, fmt.Sprintf("%s: overfull %d, doubled %v", id, r.Overfull, r.Doubled))
		}
	}
	sort.Strings(faults)
	return faults
}

// chart records how many processors run tasks.
func (e *estate) chart() {
	now := e.now.Now()
	if now.Sub(e.charted) < seriesEvery {
		return
	}
	e.charted = now
	busy := 0
	for _, cell := range e.cells {
		load := cell.Load()
		busy += load.Total.Processors - load.Free.Processors
	}
	e.series = append(e.series, float64(busy))
}
