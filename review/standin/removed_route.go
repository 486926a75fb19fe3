package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	firstWork   = 15000
	secondWork  = 1000
	secondTasks = 4
	adviceCPU   = 2000
	configApply = 2 * time.Second // configApplyMs
)

// removedRoute hands in a job of two steps on a route with advice. While the first step runs,
// the operator removes the route, and then the owner's VM is stopped and started again.
func removedRoute(rec *record, trouble bool) (int, error) {
	t, err := newTown(rec, 1)
	defer t.close()
	if err != nil {
		return failed, err
	}
	for _, zone := range zones {
		if err := t.addExecutors(zone, 2); err != nil {
			return failed, err
		}
	}
	t.configure(firstVersion+2, true)
	time.Sleep(2 * configApply)
	j := newJob(workSpec{Steps: []workStep{{WorkMs: firstWork, CPU: adviceCPU, Ticket: true}, {WorkMs: secondWork, CPU: adviceCPU, Ticket: true}}},
		jobStep{Count: 1, CPU: adviceCPU, MemMb: 1024, EstimateMs: firstWork},
		jobStep{Count: secondTasks, CPU: adviceCPU, MemMb: 1024, EstimateMs: secondWork, After: []int{0}})
	j.prefix = advisedPrefix
	if !t.client.submit(t.vms, j) {
		return failed, fmt.Errorf("the job is not accepted")
	}
	for began := time.Now(); t.usage().runs[j.id] == 0; time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			return failed, fmt.Errorf("the first step does not run")
		}
	}
	if trouble {
		t.configure(firstVersion+5, false)
		time.Sleep(2 * configApply)
		owner := t.owner()
		if owner == nil {
			return failed, fmt.Errorf("no VM owns the cell")
		}
		owner.signal(syscall.SIGTERM)
		<-owner.exited
		if err := owner.start(); err != nil {
			return failed, err
		}
	}
	time.Sleep(firstWork*time.Millisecond + finish)
	return t.checkSecondStep(j), nil
}

// checkSecondStep reports whether, long after the first step of a job has ended, nothing of the
// job runs for idleLimit although there is room.
func (t *town) checkSecondStep(j *job) int {
	ended := 0
	for n := range secondTasks {
		for _, e := range t.executors {
			if e.hasDone(fmt.Sprintf("%s.0.1.%d", j.id, n)) {
				ended++
			}
		}
	}
	first := false
	for _, e := range t.executors {
		first = first || e.hasDone(j.id+".0.0.0")
	}
	t.record.say("advice was asked for %d times, %d of them since the first step ended", t.adviser.count(time.Time{}), t.adviser.count(t.endOf(j.id+".0.0.0")))
	t.record.say("the first step has ended as done: %t; %d of %d tasks of the second have", first, ended, secondTasks)
	if !first {
		return failed
	}
	if ended == secondTasks {
		return held
	}
	for began := time.Now(); time.Since(began) < 2*idleLimit; time.Sleep(50 * time.Millisecond) {
		if u := t.usage(); u.runs[j.id] > 0 || u.share >= 0.5 || u.roomiest < adviceCPU {
			t.record.say("tasks of the second step run, or there is no room for them")
			return held
		}
	}
	t.record.say("LOST: nothing of %s runs for %s, %.0f%% of the processors are in use", j.id, 2*idleLimit, 100*t.usage().share)
	return broken
}

// endOf returns when a task ended as done, the zero time if it hasn't.
func (t *town) endOf(task string) time.Time {
	for _, e := range t.executors {
		_, ends := e.history()
		for _, end := range ends {
			if end.task == task && end.how == "done" {
				return end.listed
			}
		}
	}
	return time.Time{}
}
