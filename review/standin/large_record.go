package main

import (
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"
)

const (
	powerOff   = 9500 * time.Millisecond // as in the herd_kill of kartvel-seals
	contact    = 3 * time.Second         // contactMs
	recovery   = 12 * time.Second        // recoveryS
	finish     = 14 * time.Second        // finish_s
	ackWait    = 4 * time.Second         // ackMs
	idleLimit  = 3 * time.Second         // LOST: for 3 s nothing of a job runs
	largeTasks = 5000
	largeCPU   = 100
	largeWork  = 600000
	smallJobs  = 6
	smallCPU   = 1000
	smallWork  = 300
)

// executorsElsewhere and executorsNearOwner are how many executors a zone has.
const (
	executorsElsewhere = 2
	executorsNearOwner = 12
)

// largeRecord hands in one job of many small tasks. While they run, all VMs lose power; when
// they are back, small jobs are handed in.
func largeRecord(rec *record, trouble bool) (int, error) {
	t, err := newTown(rec, 1)
	defer t.close()
	if err != nil {
		return failed, err
	}
	owner := t.owner()
	if owner == nil {
		return failed, fmt.Errorf("no VM owns the cell")
	}
	for _, zone := range zones {
		count := executorsElsewhere
		if zone == owner.zone {
			count = executorsNearOwner
		}
		if err := t.addExecutors(zone, count); err != nil {
			return failed, err
		}
	}
	large := newJob(workSpec{Steps: []workStep{{WorkMs: largeWork, CPU: largeCPU}}},
		jobStep{Count: largeTasks, CPU: largeCPU, MemMb: 256, EstimateMs: largeWork, Checkpoint: true})
	if !t.client.submit(t.vms, large) {
		return failed, fmt.Errorf("the large job is not accepted")
	}
	time.Sleep(15 * time.Second)
	running := t.usage().runs[large.id]
	rec.say("%d tasks of the large job run", running)
	if running < largeTasks {
		return failed, fmt.Errorf("only %d tasks of the large job run", running)
	}
	if trouble {
		for _, v := range t.vms {
			v.signal(syscall.SIGKILL)
		}
		time.Sleep(powerOff)
		for _, v := range t.vms {
			if err := v.start(); err != nil {
				return failed, err
			}
		}
	}
	rec.say("the VMs are up")
	recovered := time.Now().Add(recovery)
	time.Sleep(recovery + contact)
	var jobs []*job
	for range smallJobs {
		j := newJob(workSpec{Steps: []workStep{{WorkMs: smallWork, CPU: smallCPU}}},
			jobStep{Count: 1, CPU: smallCPU, MemMb: 512, EstimateMs: smallWork})
		if t.client.submit(t.vms, j) {
			jobs = append(jobs, j)
		}
	}
	rec.say("%d of %d small jobs are accepted", len(jobs), smallJobs)
	time.Sleep(finish)
	late := t.checkAcks(recovered)
	lost := t.checkLost(jobs)
	for _, v := range t.vms {
		rec.say("%s: ready %t, took the cell %d times", v.name, v.isReady(), len(v.logged("msg=cell-take")))
	}
	rec.say("the table refused %d calls", t.store.refusals())
	if late || lost {
		return broken, nil
	}
	return held, nil
}

// checkAcks reports whether more than a fifth of the ends that executors listed are not taken
// note of ackWait later, counted from recovered on at the earliest.
func (t *town) checkAcks(recovered time.Time) bool {
	listed, late := 0, 0
	now := time.Now()
	for _, e := range t.executors {
		l, n := e.lateAcks(recovered, now, ackWait)
		listed += l
		late += n
	}
	t.record.say("%d ends listed and not taken note of before the recovery is over, %d of them not taken note of within %s", listed, late, ackWait)
	if late*5 <= listed {
		return false
	}
	t.record.say("Acks: these are more than a fifth")
	return true
}

// checkLost asks for the jobs, and reports whether for idleLimit nothing runs of one whose only
// task has not ended as done, with room for it on two executors and under half of the
// processors in use.
func (t *town) checkLost(jobs []*job) bool {
	idle := map[*job]time.Time{}
	lost := map[*job]bool{}
	for began := time.Now(); time.Since(began) < 2*idleLimit; time.Sleep(50 * time.Millisecond) {
		u := t.usage()
		for _, j := range jobs {
			if u.runs[j.id] > 0 || t.done(j) || u.share >= 0.5 || u.roomiest < smallCPU {
				delete(idle, j)
				continue
			}
			if idle[j].IsZero() {
				idle[j] = time.Now()
			}
			lost[j] = lost[j] || time.Since(idle[j]) >= idleLimit
		}
	}
	t.record.say("%.0f%% of the processors are in use, the second roomiest executor has %d thousandths free", 100*t.usage().share, t.usage().roomiest)
	for _, j := range jobs {
		state := t.client.state(t.vms, j)
		t.record.say("%s was accepted %.1f s ago and is %q; its task has ended as done: %t", j.id, time.Since(j.accepted).Seconds(), state, t.done(j))
		if lost[j] {
			t.record.say("LOST: nothing of %s has run for %s", j.id, idleLimit)
		}
	}
	return len(lost) > 0 && slices.Contains(slices.Collect(maps.Values(lost)), true)
}

// done reports whether the only task of a job has ended as done.
func (t *town) done(j *job) bool {
	return slices.ContainsFunc(t.executors, func(e *executor) bool { return e.hasDone(j.id + ".0.0.0") })
}
