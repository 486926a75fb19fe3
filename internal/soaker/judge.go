package soaker

import (
	"fmt"
	"net/http"
	"sync"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/document"
)

// judge holds what workers and callers see to the promises. It is safe for
// concurrent use.
type judge struct {
	capacity document.Size

	mu       sync.Mutex
	jobs     map[string]document.StagedJob // handed in
	refused  map[string]bool               // every try was refused
	running  map[planner.TaskID]map[string]int
	done     map[planner.TaskID]map[int]bool // attempts that ended done
	again    map[planner.TaskID]map[int]bool // of these, those before a further start
	noted    map[planner.TaskID]bool
	failed   map[planner.TaskID]int // failures that were acknowledged
	begun    int
	breaches []string
}

func newJudge(capacity document.Size) *judge {
	return &judge{
		capacity: capacity,
		jobs:     map[string]document.StagedJob{},
		refused:  map[string]bool{},
		running:  map[planner.TaskID]map[string]int{},
		done:     map[planner.TaskID]map[int]bool{},
		again:    map[planner.TaskID]map[int]bool{},
		noted:    map[planner.TaskID]bool{},
		failed:   map[planner.TaskID]int{},
	}
}

func (j *judge) breach(format string, args ...any) {
	j.breaches = append(j.breaches, fmt.Sprintf(format, args...))
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
	j.checkEnds(worker, task, attempt, job)
	j.checkOrder(worker, task, job)
	if j.running[task] == nil {
		j.running[task] = map[string]int{}
	}
	j.running[task][worker] = attempt
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
	if !job.Steps[task.Step].LongRunning && j.failed[task] >= maxAttempts {
		j.breach("BUDGET: %s attempt %d starts on %s after %d failures", task, attempt, worker, j.failed[task])
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

// Ended implements standin.Observer.
func (j *judge) Ended(worker string, task planner.TaskID, attempt int, how planner.End) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.running[task], worker)
	if how != planner.EndDone {
		return
	}
	if j.done[task] == nil {
		j.done[task] = map[int]bool{}
	}
	j.done[task][attempt] = true
}

// Forgotten implements standin.Observer.
func (j *judge) Forgotten(task planner.TaskID, attempt int, how planner.End) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch how {
	case planner.EndFailed:
		j.failed[task]++
	case planner.EndDone:
		j.noted[task] = true
		if j.again[task][attempt] {
			j.breach("TWICE: %s was started again after attempt %d, whose end was acknowledged later", task, attempt)
		}
	}
}

// runningOf counts the tasks of a job that run.
func (j *judge) runningOf(job document.StagedJob) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for task, on := range j.running {
		if task.Job == job.ID && len(on) > 0 {
			count++
		}
	}
	return count
}

// allDone reports whether every task of a job has ended done.
func (j *judge) allDone(job document.StagedJob) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for s, step := range job.Steps {
		for i := range step.Tasks {
			id := planner.TaskID{
				Job:   job.ID,
				Step:  s,
				Index: i,
			}
			if len(j.done[id]) == 0 {
				return false
			}
		}
	}
	return true
}

// definite reports whether a status says for certain that a job was not accepted.
func definite(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
