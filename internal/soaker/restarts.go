package soaker

import (
	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// restartGrace is how long after its last run a long-running task may wait in any
	// case, and restartBound how much longer it may wait while there is room for it.
	restartGrace = 6 * clock.Second
	restartBound = 3 * clock.Second
	// minRoom is for how many tasks of its size there must be room before a task counts
	// as having room.
	minRoom = 2
)

// restartTracker checks that long-running tasks are restarted within the bound. It needs
// external locking.
type restartTracker struct {
	capacity document.Size
	workers  int
	used     map[string]document.Size // by worker, only workers with tasks
	pending  map[planner.TaskID]*pendingRestart
	count    int
	slowest  clock.Span
}

// pendingRestart is a long-running task that has run and is not running now.
type pendingRestart struct {
	demand    document.Size
	due       clock.Time
	hasRoom   bool
	roomSince clock.Time // when hasRoom became true
	reported  bool
}

func newRestartTracker(capacity document.Size, workers int) *restartTracker {
	return &restartTracker{
		capacity: capacity,
		workers:  workers,
		used:     map[string]document.Size{},
		pending:  map[planner.TaskID]*pendingRestart{},
	}
}

func (r *restartTracker) taskStarted(now clock.Time, worker string, task planner.TaskID, demand document.Size) {
	r.used[worker] = r.used[worker].Plus(demand)
	if p := r.pending[task]; p != nil {
		r.count++
		r.slowest = max(r.slowest, now.Sub(p.due.Add(-restartGrace)))
		delete(r.pending, task)
	}
}

func (r *restartTracker) taskEnded(now clock.Time, worker string, task planner.TaskID, step document.Step) {
	r.used[worker] = r.used[worker].Minus(step.Demand)
	if r.used[worker] == (document.Size{}) {
		delete(r.used, worker)
	}
	if step.LongRunning {
		r.pending[task] = &pendingRestart{
			demand: step.Demand,
			due:    now.Add(restartGrace),
		}
	}
}

// dropJob drops the pending restarts of a job whose tasks need not run any more.
func (r *restartTracker) dropJob(job string) {
	for task := range r.pending {
		if task.Job == job {
			delete(r.pending, task)
		}
	}
}

// roomFor returns how many more tasks of a size fit on all workers together.
func (r *restartTracker) roomFor(demand document.Size) int {
	count := (r.workers - len(r.used)) * copiesThatFit(r.capacity, demand)
	for _, used := range r.used {
		count += copiesThatFit(r.capacity.Minus(used), demand)
	}
	return count
}

func copiesThatFit(free, demand document.Size) int {
	if !demand.Positive() {
		return 0
	}
	return max(0, min(free.Processors/demand.Processors, free.Memory/demand.Memory))
}

// overdue returns the tasks whose restart has become overdue, each once. It must be
// called at each start and end of a task, so that no lack of room is missed.
func (r *restartTracker) overdue(now clock.Time, tracker *disturbances) []planner.TaskID {
	calmFrom, isCalm := tracker.calmSince()
	var tasks []planner.TaskID
	for task, p := range r.pending {
		hasRoom := r.roomFor(p.demand) >= minRoom
		if hasRoom && !p.hasRoom {
			p.roomSince = now
		}
		p.hasRoom = hasRoom
		if !hasRoom || !isCalm || p.reported {
			continue
		}
		if now.Sub(max(p.roomSince, p.due, calmFrom)) > restartBound {
			p.reported = true
			tasks = append(tasks, task)
		}
	}
	return tasks
}
