package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	finishTime  = 14 * time.Second // finish_s
	idleTime    = 3 * time.Second  // of the rule LOST
	visibleTime = 3 * time.Second  // visible_ms
	tick        = 100 * time.Millisecond
)

func smallTown(record *Record) (*Town, error) {
	return NewTown(record, newExecutors(service, 12, zones, func(int) string { return "a" }), 3)
}

// quotes hands in small jobs every period until the end, and returns those that were accepted.
func quotes(t *Town, group int, until time.Time, period time.Duration) []string {
	var accepted []string
	for n := 1; time.Now().Before(until); n++ {
		id := jobID(group, n)
		job := Job{
			Spec:  Work{Ms: 300}.Spec(),
			Steps: []Step{{Count: 2, Cpu: 1000, MemMb: 500, Estimate: 300}, {Count: 2, Cpu: 1000, MemMb: 500, Estimate: 300, After: []int{0}}},
		}
		if t.Client.Submit(quoteRoute, id, job) {
			accepted = append(accepted, id)
		}
		time.Sleep(period)
	}
	return accepted
}

// quoteTasks is how many tasks a job of quotes has.
const quoteTasks = 4

// judgeLost applies LOST to the accepted jobs of quotes, after the end of the traffic and
// finish_s: each must be known, and none may have nothing running for 3 s while a task's turn
// has come. These jobs need a thousandth of the service's capacity, of which the callers use
// far less than half.
func judgeLost(t *Town, accepted []string) string {
	time.Sleep(finishTime)
	unknown, incomplete := 0, 0
	for _, id := range accepted {
		switch state := t.Client.State(quoteRoute, id); state {
		case "completed":
		case "":
			unknown++
		default:
			incomplete++
		}
	}
	idle := idleJobs(t, accepted)
	t.Record.Line("of %d accepted jobs, %d s after the traffic: %d without an answer, %d not completed, %d with nothing running for 3 s while a task's turn has come", len(accepted), int(finishTime.Seconds()), unknown, incomplete, len(idle))
	t.Record.Line("%d calls of the system were refused by the store with 400, %d starts on executors, %d of tasks that had ended done or were at work", t.Store.Refused(), t.Runs.starts, t.Runs.Twice())
	noted, missed := 0, 0
	for _, e := range t.Executors {
		n, m := e.Acks()
		noted += n
		missed += m
	}
	t.Record.Line("of %d ends that executors listed, %d were not taken note of within ackMs", noted+missed, missed)
	switch {
	case unknown+len(idle) > 0:
		return fmt.Sprintf("LOST: of %d accepted jobs, %d are not told and %d have nothing running for 3 s; %d are not completed", len(accepted), unknown, len(idle), incomplete)
	case missed*maxMissedShare > noted+missed:
		return fmt.Sprintf("Acks: of %d ends that executors listed, %d were not taken note of within ackMs; of %d accepted jobs, %d are not completed", noted+missed, missed, len(accepted), incomplete)
	}
	return ""
}

// maxMissedShare: more than one in so many ends without acknowledgement break the rule Acks.
const maxMissedShare = 5

// idleJobs returns the unfinished jobs that have nothing running for idleTime on end.
func idleJobs(t *Town, accepted []string) []string {
	suspects := map[string]bool{}
	for _, id := range accepted {
		if t.Runs.Done(id) < quoteTasks {
			suspects[id] = true
		}
	}
	for began := time.Now(); time.Since(began) < idleTime; time.Sleep(tick) {
		for id := range suspects {
			if !t.Runs.JobIdle(id) {
				delete(suspects, id)
			}
		}
	}
	var idle []string
	for id := range suspects {
		idle = append(idle, id)
	}
	return idle
}

// playMemory hands in jobs that are scheduled many times, none of which is due yet.
func playMemory(t *Town, trouble bool) (string, error) {
	const traffic = 40 * time.Second
	const scheduled, minutesPerWeek = 14, 7 * 24 * 60
	until := time.Now().Add(traffic)
	if trouble {
		for n := range scheduled {
			job := Job{
				Spec:     Work{Ms: 500}.Spec(),
				Times:    minutesPerWeek,
				StartAt:  time.Now().Add(time.Hour).UnixMilli(),
				PeriodMs: time.Minute.Milliseconds(),
			}
			for range 5 {
				job.Steps = append(job.Steps, Step{Count: 1, Cpu: 1000, MemMb: 500, Estimate: 500})
			}
			if !t.Client.Submit(trialRoute, jobID(9, n+1), job) {
				return "", fmt.Errorf("a scheduled job was not accepted")
			}
		}
	}
	accepted := quotes(t, 1, until, 500*time.Millisecond)
	if len(accepted) == 0 {
		return "", fmt.Errorf("no job was accepted")
	}
	fault := judgeLost(t, accepted)
	machines := 0
	for _, vm := range t.VMs {
		count, peak := vm.Overruns()
		t.Record.Line("vm %s: killed %d times for its memory, peak %d MB of %d MB", vm.Name, count, peak, memoryLimitMb)
		if count >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		fault = fmt.Sprintf("Fault: on %d of %d machines processes ended three times or more by themselves, over the memory limit; %s", machines, len(t.VMs), fault)
	}
	return fault, nil
}

// labelledTown has 48 executors, of which 4 are of the kind b.
func labelledTown(record *Record) (*Town, error) {
	return NewTown(record, newExecutors(service, 48, zones, func(i int) string {
		if i%12 == 5 {
			return "b"
		}
		return "a"
	}), 3)
}

// playWaiting makes the executors of one kind refuse starts, and hands in jobs that need it.
func playWaiting(t *Town, trouble bool) (string, error) {
	const jobs = 10
	const unhealthy = 6500 * time.Millisecond
	if trouble {
		for _, e := range t.Executors {
			if e.Kind == "b" {
				e.Shed(true)
			}
		}
		t.Record.Line("the executors of kind b answer starts with 503")
		time.AfterFunc(unhealthy, func() {
			for _, e := range t.Executors {
				e.Shed(false)
			}
			t.Record.Line("all executors take starts")
		})
	}
	began := time.Now()
	var accepted []string
	for n := range jobs {
		id := jobID(1, n+1)
		job := Job{
			Spec:  Work{Ms: 500}.Spec(),
			Steps: []Step{{Count: 1, Cpu: 4000, MemMb: 8000, Estimate: 500, Label: "b"}},
		}
		if t.Client.Submit(quoteRoute, id, job) {
			accepted = append(accepted, id)
		}
	}
	acceptedAt := time.Now()
	fault := ""
	for time.Since(began) < unhealthy {
		time.Sleep(tick)
		if time.Since(acceptedAt) < visibleTime+2*time.Second {
			continue
		}
		status, answer := t.Client.Ask(http.MethodGet, quoteRoute, nil)
		waiting := 0
		for _, id := range accepted {
			if !t.Runs.JobBegun(id) {
				waiting++
			}
		}
		var told struct {
			Waiting int `json:"waiting"`
		}
		if status != http.StatusOK || json.Unmarshal(answer, &told) != nil {
			continue
		}
		if told.Waiting*2 < waiting && time.Since(began) < unhealthy {
			fault = fmt.Sprintf("MIXED: %d jobs accepted over %s ago have not begun, waiting is given as %d", waiting, visibleTime+2*time.Second, told.Waiting)
		}
	}
	if len(accepted) < jobs {
		return "", fmt.Errorf("only %d of %d jobs were accepted", len(accepted), jobs)
	}
	time.Sleep(finishTime)
	for _, id := range accepted {
		t.Client.State(quoteRoute, id)
	}
	return fault, nil
}

// playFilling hands in jobs that fill while all executors run a task that serves, whose tail is
// just below its target because of its own load.
func playFilling(t *Town, trouble bool) (string, error) {
	const target, busyTail, calmTail = 18, 16, 4 // ms
	const traffic = 20 * time.Second
	const jobs = 10
	work := Work{
		Lasts:  true,
		Figure: calmTail,
	}
	if trouble {
		work.Figure = busyTail
	}
	serving := Job{
		Spec:  work.Spec(),
		Steps: []Step{{Count: len(t.Executors), Cpu: 13000, MemMb: 26000, Lasts: true, PerHost: 1, TargetMs: target, Image: "press-watch"}},
	}
	if !t.Client.Submit(watchRoute, jobID(8, 1), serving) {
		return "", fmt.Errorf("the job that lasts was refused")
	}
	time.Sleep(3 * time.Second)
	var accepted []string
	for n := range jobs {
		id := jobID(1, n+1)
		job := Job{
			Spec:  Work{Ms: 2700, Figure: 7000}.Spec(),
			Steps: []Step{{Count: 2, Cpu: 7000, MemMb: 13000, Estimate: 2700, Fills: true, Image: "cure-trial"}},
		}
		if t.Client.Submit(trialRoute, id, job) {
			accepted = append(accepted, id)
		}
		time.Sleep(traffic / jobs)
	}
	if len(accepted) == 0 {
		return "", fmt.Errorf("no job was accepted")
	}
	time.Sleep(finishTime)
	never := 0
	for _, id := range accepted {
		t.Client.State(trialRoute, id)
		if !t.Runs.JobBegun(id) {
			never++
		}
	}
	if never == 0 {
		return "", nil
	}
	return fmt.Sprintf("LOST: of %d accepted jobs that fill, %d have never begun, %d s after the end of the traffic", len(accepted), never, int(finishTime.Seconds())), nil
}

// kindsTown has 12 executors, of which every other one is of the kind b.
func kindsTown(record *Record) (*Town, error) {
	return NewTown(record, newExecutors(service, 12, zones, func(i int) string { return []string{"a", "b"}[i%2] }), 3)
}

// playKind crashes an executor of the kind a, which comes back under its id as one of the kind b,
// while jobs that need the kind a keep those executors busy.
func playKind(t *Town, trouble bool) (string, error) {
	const traffic, before = 20 * time.Second, 6 * time.Second
	const down, entryDelay = 1 * time.Second, 800 * time.Millisecond
	changed := t.Executors[0]
	if trouble {
		time.AfterFunc(before, func() {
			t.Record.Line("executor %s of the kind a crashes", changed.ID)
			changed.Restart(t.Store, down, entryDelay, "b")
			t.Record.Line("executor %s is back under its id, of the kind b", changed.ID)
			t.Runs.Forbid(changed.ID)
		})
	}
	until := time.Now().Add(traffic)
	accepted := 0
	for n := 1; time.Now().Before(until); n++ {
		job := Job{
			Spec:  Work{Ms: 600}.Spec(),
			Steps: []Step{{Count: 12, Cpu: 16000, MemMb: 8000, Estimate: 600, Label: "a"}},
		}
		if t.Client.Submit(quoteRoute, jobID(1, n), job) {
			accepted++
		}
		time.Sleep(200 * time.Millisecond)
	}
	if accepted == 0 {
		return "", fmt.Errorf("no job was accepted")
	}
	if n := t.Runs.Forbidden(); n > 0 {
		return fmt.Sprintf("ROUTE: %d tasks that need an executor of the kind a were started on one of the kind b", n), nil
	}
	return "", nil
}
