package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memLimitMb   = 284 // memLimitMb of the deployment
	restartAfter = 500 * time.Millisecond
	cronJobs     = 12
	cronTimes    = 43200 // each minute of 30 days
	usualTimes   = 6     // as the site's kinds of requests have it
	cronEveryMs  = 60000
)

// manyTimes hands in jobs that run each minute for 30 days, or six times, and then small jobs.
func manyTimes(rec *record, trouble bool) (int, error) {
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
	time.Sleep(4 * time.Second)
	kills := t.limitMemory()
	times := usualTimes
	if trouble {
		times = cronTimes
	}
	accepted := 0
	for range cronJobs {
		j := newJob(workSpec{Steps: []workStep{{WorkMs: smallWork, CPU: smallCPU}}},
			jobStep{Count: 1, CPU: smallCPU, MemMb: 512, EstimateMs: smallWork})
		j.body.Times, j.body.StartAtMs, j.body.PeriodMs = times, time.Now().UnixMilli(), cronEveryMs
		if t.client.submit(t.vms, j) {
			accepted++
		}
	}
	rec.say("%d jobs of %d times are accepted", accepted, times)
	time.Sleep(recovery)
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
	lost := t.checkLost(jobs)
	rec.say("%d times a VM was over %d MB", kills(), memLimitMb)
	if lost {
		return broken, nil
	}
	return held, nil
}

// limitMemory kills VMs over their memory limit, as the platform does, and starts them again. It
// returns a function that stops it and tells how often.
func (t *town) limitMemory() func() int {
	stop := make(chan struct{})
	var group sync.WaitGroup
	kills := 0
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, v := range t.vms {
				if used := v.residentMb(); used > memLimitMb {
					kills++
					t.record.add("%s has %d MB", v.name, used)
					v.signal(syscall.SIGKILL)
					time.Sleep(restartAfter)
					if err := v.start(); err != nil {
						t.record.add("%s: %v", v.name, err)
					}
				}
			}
		}
	})
	return func() int {
		close(stop)
		group.Wait()
		return kills
	}
}

// residentMb returns the resident memory of the process.
func (v *vm) residentMb() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, err := strconv.Atoi(fields[1])
			if err == nil {
				return kb / 1024
			}
		}
	}
	return 0
}
