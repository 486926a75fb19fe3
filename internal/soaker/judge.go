package soaker

import (
	"fmt"
	"sync"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// judge holds what workers and callers see to the promises. It is safe for
// concurrent use.
type judge struct {
	capacity document.Size
	clock    clock.Clock
	calm     *calm

	mu        sync.Mutex
	jobs      map[string]document.StagedJob // handed in
	refused   map[string]bool               // every try was refused
	cancelled map[string]clock.Time         // when the cancelling was acknowledged
	running   map[planner.TaskID]map[string]int
	done      map[planner.TaskID]map[int]bool // attempts that ended done
	again     map[planner.TaskID]map[int]bool // of these, those before a further start
	noted     map[planner.TaskID]bool
	failed    map[planner.TaskID]int // attempts that failed
	charged   map[planner.TaskID]int // of these, those that were acknowledged
	restarts  *restarts
	begun     int
	progress  clock.Time // the last start of a short task
	breaches  []string
}

// cancelWithin is how long tasks of a cancelled job may still start.
const cancelWithin = 4 * clock.Second

func newJudge(capacity document.Size, workers int, source clock.Clock, calm *calm) *judge {
	return &judge{
		capacity:  capacity,
		clock:     source,
		calm:      calm,
		jobs:      map[string]document.StagedJob{},
		refused:   map[string]bool{},
		cancelled: map[string]clock.Time{},
		running:   map[planner.TaskID]map[string]int{},
		done:      map[planner.TaskID]map[int]bool{},
		again:     map[planner.TaskID]map[int]bool{},
		noted:     map[planner.TaskID]bool{},
		failed:    map[planner.TaskID]int{},
		charged:   map[planner.TaskID]int{},
		restarts:  newRestarts(capacity, workers),
	}
}

func (j *judge) breach(format string, args ...any) {
	j.breaches = append(j.breaches, fmt.Sprintf("%.3f s ", float64(j.clock.Now())/float64(clock.Second))+fmt.Sprintf(format, args...))
}

// report adds a breach from outside.
func (j *judge) report(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breach(format, args...)
}

func (j *judge) expect(job document.StagedJob) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[job.ID] = job
}

// refuse notes that every try to hand a job in was refused for certain.
func (j *judge) refuse(job document.StagedJob) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refused[job.ID] = true
	for task := range j.running {
		if task.Job == job.ID {
			j.breach("REFUSED: %s runs though every try was refused", task)
		}
	}
}

// cancel notes that a caller is about to cancel a job.
func (j *judge) cancel(job document.StagedJob) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.restarts.forget(job.ID)
}

// cancelNoted notes that the cancelling of a job was acknowledged.
func (j *judge) cancelNoted(job document.StagedJob) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cancelled[job.ID] = j.clock.Now()
	j.restarts.forget(job.ID)
}

// Begun implements standin.Observer.
func (j *judge) Begun(worker string, task planner.TaskID, attempt int, used document.Size) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.begun++
	job, ok := j.jobs[task.Job]
	if !ok || task.Step >= len(job.Steps) || task.Index >= job.Steps[task.Step].Tasks {
		j.breach("UNASKED: %s on %s", task, worker)
		return
	}
	if j.refused[task.Job] {
		j.breach("REFUSED: %s starts on %s", task, worker)
	}
	if !used.Fits(j.capacity) {
		j.breach("LIMIT: %s brings %s to %+v", task, worker, used)
	}
	for other, number := range j.running[task] {
		j.breach("TWICE: %s attempt %d starts on %s while attempt %d runs on %s", task, attempt, worker, number, other)
	}
	j.checkCancelled(worker, task)
	j.checkEnds(worker, task, attempt, job)
	j.checkOrder(worker, task, job)
	if j.running[task] == nil {
		j.running[task] = map[string]int{}
	}
	j.running[task][worker] = attempt
	if !job.Steps[task.Step].LongRunning {
		j.progress = j.clock.Now()
	}
	j.restarts.begun(j.clock.Now(), worker, task, job.Steps[task.Step].Demand)
	j.checkRestarts()
}

func (j *judge) checkCancelled(worker string, task planner.TaskID) {
	noted, ok := j.cancelled[task.Job]
	from, calm := j.calm.from()
	if ok && calm && j.clock.Now().Sub(max(noted, from)) > cancelWithin {
		j.breach("UNASKED: %s starts on %s, its job was cancelled at %d ms", task, worker, noted)
	}
}

func (j *judge) checkEnds(worker string, task planner.TaskID, attempt int, job document.StagedJob) {
	if j.noted[task] {
		j.breach("TWICE: %s attempt %d starts on %s after its end was acknowledged", task, attempt, worker)
	}
	for earlier := range j.done[task] {
		if j.again[task] == nil {
			j.again[task] = map[int]bool{}
		}
		j.again[task][earlier] = true
	}
	if !job.Steps[task.Step].LongRunning && j.charged[task] >= maxAttempts {
		j.breach("BUDGET: %s attempt %d starts on %s after %d failures", task, attempt, worker, j.charged[task])
	}
}

func (j *judge) checkOrder(worker string, task planner.TaskID, job document.StagedJob) {
	for _, before := range job.Steps[task.Step].After {
		for i := range job.Steps[before].Tasks {
			id := planner.TaskID{
				Job:   task.Job,
				Step:  before,
				Index: i,
			}
			if len(j.done[id]) == 0 {
				j.breach("ORDER: %s starts on %s before %s is done", task, worker, id)
			}
		}
	}
}

// checkRestarts looks for tasks that last and should have been started again.
func (j *judge) checkRestarts() {
	for _, task := range j.restarts.late(j.clock.Now(), j.calm) {
		w := j.restarts.waiting[task]
		j.breach("LOST: %s is to last and doesn't run since %d ms, with room for %d of it since %d ms", task, w.due.Add(-restartDue), j.restarts.room(w.demand), w.since)
	}
}

// progressed returns when a short task was started last.
func (j *judge) progressed() clock.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.progress
}

// look checks what becomes a breach by time alone.
func (j *judge) look() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checkRestarts()
}

// Ended implements standin.Observer.
func (j *judge) Ended(worker string, task planner.TaskID, attempt int, how planner.End) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.running[task], worker)
	if job, ok := j.jobs[task.Job]; ok {
		j.restarts.ended(j.clock.Now(), worker, task, job.Steps[task.Step])
		if _, cancelled := j.cancelled[task.Job]; cancelled {
			j.restarts.forget(task.Job)
		}
		j.checkRestarts()
	}
	switch how {
	case planner.EndFailed:
		j.failed[task]++
	case planner.EndDone:
		if j.done[task] == nil {
			j.done[task] = map[int]bool{}
		}
		j.done[task][attempt] = true
	}
}

// Forgotten implements standin.Observer.
func (j *judge) Forgotten(task planner.TaskID, attempt int, how planner.End) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch how {
	case planner.EndFailed:
		j.charged[task]++
	case planner.EndDone:
		j.noted[task] = true
		if j.again[task][attempt] {
			j.breach("TWICE: %s was started again after attempt %d, whose end was acknowledged later", task, attempt)
		}
	}
}
