package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// judge holds the rules against what executors have run.
type judge struct {
	rec *recorder

	mu       sync.Mutex
	runs     map[string][]*runSeen // by task
	noteds   map[string]bool       // tasks of which an end "done" was taken note of
	breaks   map[string]int        // by rule
	started  int
	finished int
}

type runSeen struct {
	executor string
	attempt  int
	open     bool
	done     bool
}

func newJudge(rec *recorder) *judge {
	return &judge{
		rec:    rec,
		runs:   map[string][]*runSeen{},
		noteds: map[string]bool{},
		breaks: map[string]int{},
	}
}

// fail records that a rule was broken.
func (j *judge) fail(rule, format string, args ...any) {
	j.breaks[rule]++
	if j.breaks[rule] <= 20 {
		j.rec.log("judge", "%s: %s", rule, fmt.Sprintf(format, args...))
	}
}

func (j *judge) failed(rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fail(rule, format, args...)
}

// begun is called with the executor's lock held.
func (j *judge) begun(e *executor, a *attempt, p program) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.started++
	j.rec.log("executor "+e.id, "runs %s, attempt %d, from checkpoint %q", a.task, a.number, a.saved)
	for _, r := range j.runs[a.task] {
		if r.open {
			j.fail("TWICE", "%s runs as attempt %d on %s and as attempt %d on %s", a.task, r.attempt, r.executor, a.number, e.id)
		}
	}
	if j.noteds[a.task] {
		j.fail("TWICE", "%s starts as attempt %d on %s after its end was taken note of", a.task, a.number, e.id)
	}
	used := e.used()
	if used.CPU > e.capacity.CPU || used.Mem > e.capacity.Mem || used.GPU > e.capacity.GPU {
		j.fail("LIMIT", "%s on %s: %v of a capacity of %v", a.task, e.id, used, e.capacity)
	}
	if p.Label != "" && p.Label != e.kind && p.Label != e.rack {
		j.fail("ROUTE", "%s, which is for label %s, starts on %s, whose labels are %s and %s", a.task, p.Label, e.id, e.kind, e.rack)
	}
	j.runs[a.task] = append(j.runs[a.task], &runSeen{
		executor: e.id,
		attempt:  a.number,
		open:     true,
	})
}

// ended is called with the executor's lock held.
func (j *judge) ended(e *executor, a *attempt, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.finished++
	j.rec.log("executor "+e.id, "%s, attempt %d: %s after %.1f s", a.task, a.number, how, time.Since(a.began).Seconds())
	for _, r := range j.runs[a.task] {
		if r.executor == e.id && r.attempt == a.number {
			r.open = false
			r.done = how == "done"
		}
	}
}

// noted is called with the executor's lock held.
func (j *judge) noted(e *executor, x end) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if x.how == "done" {
		j.noteds[x.task] = true
	}
}

// progressOf returns how many tasks of a job have ended "done", and how many run.
func (j *judge) progressOf(id string) (done, running int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for task, runs := range j.runs {
		if !strings.HasPrefix(task, id+".") {
			continue
		}
		for _, r := range runs {
			if r.done {
				done++
				break
			}
		}
		for _, r := range runs {
			if r.open {
				running++
			}
		}
	}
	return done, running
}

// begunOf returns how many runs of a job's tasks have begun.
func (j *judge) begunOf(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for task, runs := range j.runs {
		if strings.HasPrefix(task, id+".") {
			n += len(runs)
		}
	}
	return n
}
