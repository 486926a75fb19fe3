package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	turnedAway  = 7 * time.Second // as in the platform_down of kartvel-seals
	firstMs     = 800
	gangMs      = 400
	lastMs      = 2000
	gangSize    = 4
	memberCPU   = 2000
	submitEvery = 50 * time.Millisecond
	trafficTime = 6 * time.Second
)

// gangTwice hands in jobs of a task, a gang after it and a task after that. Meanwhile the store turns the owner's VM
// away and serves the others.
func gangTwice(rec *record, trouble bool) (int, error) {
	t, err := newTown(rec, 1)
	defer t.close()
	if err != nil {
		return failed, err
	}
	for _, zone := range zones {
		if err := t.addExecutors(zone, 1); err != nil {
			return failed, err
		}
	}
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	group.Go(func() { t.submitGangs() })
	time.Sleep(trafficTime / 2)
	if trouble {
		owner := t.owner()
		if owner == nil {
			return failed, fmt.Errorf("no VM owns the cell")
		}
		for n, v := range t.vms {
			if v == owner {
				rec.say("the store turns %s away", v.name)
				t.doors[n].closed.Store(true)
				time.AfterFunc(turnedAway, func() { t.doors[n].closed.Store(false) })
			}
		}
	}
	group.Wait()
	time.Sleep(turnedAway + finish)
	return t.checkTwice(), nil
}

// submitGangs hands in jobs at each VM in turn.
func (t *town) submitGangs() {
	var group sync.WaitGroup
	for n := range int(trafficTime / submitEvery) {
		j := newJob(workSpec{Steps: []workStep{{WorkMs: firstMs, CPU: memberCPU}, {WorkMs: gangMs, CPU: memberCPU, Gang: gangSize}, {WorkMs: lastMs, CPU: memberCPU}}},
			jobStep{Count: 1, CPU: memberCPU, MemMb: 1024, EstimateMs: firstMs},
			jobStep{Count: gangSize, CPU: memberCPU, MemMb: 1024, EstimateMs: gangMs, After: []int{0}, Gang: true},
			jobStep{Count: 1, CPU: memberCPU, MemMb: 1024, EstimateMs: lastMs, After: []int{1}})
		vms := append(append([]*vm{}, t.vms[n%len(t.vms):]...), t.vms[:n%len(t.vms)]...)
		group.Go(func() { t.client.submit(vms, j) })
		time.Sleep(submitEvery)
	}
	group.Wait()
}

// checkTwice reports starts of tasks after a run of the task has ended as done, if that end was
// taken note of and no run of its executor had lapsed.
func (t *town) checkTwice() int {
	var starts []taskStart
	done := map[string]taskEnd{}
	lapsed := 0
	for _, e := range t.executors {
		s, ends := e.history()
		starts = append(starts, s...)
		for _, end := range ends {
			if end.how == "lapsed" {
				lapsed++
			}
			if first, ok := done[end.task]; end.how == "done" && !end.noted.IsZero() && (!ok || end.listed.Before(first.listed)) {
				done[end.task] = end
			}
		}
	}
	twice := 0
	for _, s := range starts {
		end, ok := done[s.task]
		if !ok || !s.at.After(end.listed) {
			continue
		}
		twice++
		t.record.say("TWICE: %s, attempt %d, ended as done at %.3f s, noted at %.3f s; attempt %d starts at %.3f s", s.task, end.attempt,
			end.listed.Sub(t.record.began).Seconds(), end.noted.Sub(t.record.began).Seconds(), s.attempt, s.at.Sub(t.record.began).Seconds())
	}
	t.record.say("%d starts, %d tasks done, %d started again after that; %d runs lapsed", len(starts), len(done), twice, lapsed)
	if twice > 0 && lapsed == 0 {
		return broken
	}
	return held
}
