package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	serveCPU  = 13000
	serveTail = 20 // target in milliseconds
	fillCPU   = 10000
	fillWork  = 10000
	// calmTail and calmDisturbance are the tail of the tasks that serve and what fillers on all
	// processors add to it; busyTail and busyDisturbance while the load is high.
	calmTail        = 5
	calmDisturbance = 6
	busyTail        = 10
	busyDisturbance = 96
	pausedFor       = 500 * time.Millisecond
	standsStill     = 20 * time.Second
)

// pausedTask lets the owner pause a task that fills beside tasks that serve. While it is paused,
// the owner's VM is stopped and started again, as in a rolling restart; then the load falls.
func pausedTask(rec *record, trouble bool) (int, error) {
	t, err := newTown(rec, 1)
	defer t.close()
	if err != nil {
		return failed, err
	}
	for _, zone := range zones[:2] {
		if err := t.addExecutors(zone, 1); err != nil {
			return failed, err
		}
	}
	t.load(calmTail, calmDisturbance)
	serving := newJob(workSpec{Steps: []workStep{{CPU: serveCPU, Serves: true}}},
		jobStep{Count: 2, CPU: serveCPU, MemMb: 26000, EstimateMs: 320, LongRunning: true, Image: "press-a", TargetMs: serveTail, MaxPerWorker: 1})
	if !t.client.submit(t.vms, serving) {
		return failed, fmt.Errorf("the serving job is not accepted")
	}
	time.Sleep(4 * time.Second)
	filler := newJob(workSpec{Steps: []workStep{{WorkMs: fillWork, CPU: fillCPU, Fills: true}}},
		jobStep{Count: 1, CPU: fillCPU, MemMb: 13000, EstimateMs: fillWork, Image: "cure-a", Fills: true})
	if !t.client.submit(t.vms, filler) {
		return failed, fmt.Errorf("the job that fills is not accepted")
	}
	time.Sleep(7 * time.Second)
	t.load(busyTail, busyDisturbance)
	rec.say("the load of the serving tasks rises")
	if !t.waitPaused(filler) {
		return failed, fmt.Errorf("the task that fills is not paused")
	}
	rec.say("%s is paused", filler.id)
	if trouble {
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
	if !t.waitReady(10 * time.Second) {
		return failed, fmt.Errorf("the VMs are not ready again")
	}
	t.load(calmTail, calmDisturbance)
	rec.say("the load of the serving tasks falls")
	time.Sleep(recovery + finish)
	return t.checkStill(filler), nil
}

func (t *town) load(tail, disturbance float64) {
	for _, e := range t.executors {
		e.load(tail, disturbance)
	}
}

// waitPaused waits until a job's only task has been paused for pausedFor.
func (t *town) waitPaused(j *job) bool {
	var since time.Time
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		u := t.usage()
		switch {
		case u.runs[j.id] != 1 || u.atWork[j.id] != 0:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) >= pausedFor:
			return true
		}
	}
	return false
}

// checkStill reports whether a job that has not ended has no task at work for standsStill, with
// room for it.
func (t *town) checkStill(j *job) int {
	state := t.client.state(t.vms, j)
	rec := t.record
	rec.say("%s was accepted %.1f s ago and is %q", j.id, time.Since(j.accepted).Seconds(), state)
	if state == "completed" {
		return held
	}
	for began := time.Now(); time.Since(began) < standsStill; time.Sleep(20 * time.Millisecond) {
		if u := t.usage(); u.atWork[j.id] > 0 || u.share >= 0.5 || u.roomiest < fillCPU {
			rec.say("%s is at work, or there is no room for it", j.id)
			return held
		}
	}
	u := t.usage()
	rec.say("%s is %q; %d of its tasks run, %d are at work; %.0f%% of the processors are in use", j.id, t.client.state(t.vms, j), u.runs[j.id], u.atWork[j.id], 100*u.share)
	rec.say("LOST: nothing of it has been at work for %s", standsStill)
	return broken
}
