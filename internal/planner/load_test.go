package planner

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
)

// overloadedPool is the load of largePool on an owner that can start two thirds of the tasks.
func overloadedPool(workers int) loadRates {
	rates := largePool(workers)
	rates.startsPerSecond = 2000 * workers / 1100
	return rates
}

// offered returns how many tasks of a queue's jobs came per second.
func (s *loadSim) offered(queue string, span clock.Span) float64 {
	tasks := 0
	for _, job := range s.jobs {
		if job.Queue != queue {
			continue
		}
		for _, step := range job.Steps {
			tasks += step.Tasks
		}
	}
	return float64(tasks) * float64(clock.Second) / float64(span)
}

// TestOverloadServesWholeJobs answers the pattern that more is handed in than can be started
// for longer than jobs can wait. If each job is begun as late as it may be, and given up for
// another one once it is late, almost none is in time. Three quarters of what the starts would
// suffice for must be in time, and the short jobs, which come first, nearly all.
func TestOverloadServesWholeJobs(t *testing.T) {
	const (
		workers = 1100
		span    = 18 * clock.Second
	)
	for seed := range uint64(2) {
		s := newLoadSim(seed, overloadedPool(workers))
		s.runFor(span)
		served := s.served(s.now.Add(-8 * clock.Second))
		rate := float64(overloadedPool(workers).startsPerSecond)
		suffices := min(1, (rate-s.offered("quote", span))/s.offered("trial", span))
		assert.Assert(t, float64(served["trial"]) >= 0.75*suffices*1000, "seed %d: %d of 1000 trials are in time, the starts suffice for %.0f", seed, served["trial"], 1000*suffices)
		assert.Assert(t, served["quote"] >= 950, "seed %d: %d of 1000 quotes are in time", seed, served["quote"])
	}
}

// TestPoolWithRoomServesAll checks that nearly all jobs are in time if the owner can start
// all tasks.
func TestPoolWithRoomServesAll(t *testing.T) {
	s := newLoadSim(1, largePool(1100))
	s.runFor(18 * clock.Second)
	served := s.served(s.now.Add(-8 * clock.Second))
	assert.Assert(t, served["quote"] >= 950 && served["trial"] >= 900, "in time: %v", served)
}
