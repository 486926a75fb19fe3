package soaker

import (
	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// restartDue is how long after its last run a task that lasts may wait in any
	// case, and restartWithin how long more if there is room for it all the while.
	restartDue    = 6 * clock.Second
	restartWithin = 3 * clock.Second
	// enoughRoom is for how many tasks of its size there must be room.
	enoughRoom = 2
)

// restarts holds tasks that last to the bound for their restart. Its caller
// serializes access.
type restarts struct {
	capacity document.Size
	workers  int
	used     map[string]document.Size // of workers with tasks
	waiting  map[planner.TaskID]*restart
	count    int
	slowest  clock.Span
}

// restart is a task that has run and doesn't run now.
type restart struct {
	demand document.Size
	due    clock.Time
	roomy  bool
	since  clock.Time // when roomy became true
	told   bool
}

func newRestarts(capacity document.Size, workers int) *restarts {
	return &restarts{
		capacity: capacity,
		workers:  workers,
		used:     map[string]document.Size{},
		waiting:  map[planner.TaskID]*restart{},
	}
}

func (r *restarts) begun(now clock.Time, worker string, task planner.TaskID, demand document.Size) {
	r.used[worker] = r.used[worker].Plus(demand)
	if w := r.waiting[task]; w != nil {
		r.count++
		r.slowest = max(r.slowest, now.Sub(w.due.Add(-restartDue)))
		delete(r.waiting, task)
	}
}

func (r *restarts) ended(now clock.Time, worker string, task planner.TaskID, step document.Step) {
	r.used[worker] = r.used[worker].Minus(step.Demand)
	if r.used[worker] == (document.Size{}) {
		delete(r.used, worker)
	}
	if step.LongRunning {
		r.waiting[task] = &restart{
			demand: step.Demand,
			due:    now.Add(restartDue),
		}
	}
}

// forget drops the tasks of a job that need not run any more.
func (r *restarts) forget(job string) {
	for task := range r.waiting {
		if task.Job == job {
			delete(r.waiting, task)
		}
	}
}

// room counts the tasks of a size for which there is room.
func (r *restarts) room(demand document.Size) int {
	count := (r.workers - len(r.used)) * places(r.capacity, demand)
	for _, used := range r.used {
		count += places(r.capacity.Minus(used), demand)
	}
	return count
}

func places(free, demand document.Size) int {
	if !demand.Positive() {
		return 0
	}
	return max(0, min(free.Processors/demand.Processors, free.Memory/demand.Memory))
}

// late returns the tasks that have become late, each once. It must be called at each
// start and end, so that no lack of room is missed.
func (r *restarts) late(now clock.Time, calm *calm) []planner.TaskID {
	from, isCalm := calm.from()
	var late []planner.TaskID
	for task, w := range r.waiting {
		roomy := r.room(w.demand) >= enoughRoom
		if roomy && !w.roomy {
			w.since = now
		}
		w.roomy = roomy
		if !roomy || !isCalm || w.told {
			continue
		}
		if now.Sub(max(w.since, w.due, from)) > restartWithin {
			w.told = true
			late = append(late, task)
		}
	}
	return late
}
