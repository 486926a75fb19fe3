package conductor

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
)

// logSecond passes the start and the end of count tasks to the sampler, one a job, and one
// failure for every hundredth. It returns how many events of each kind were taken, and the
// jobs with a start and no end, or the other way round.
func logSecond(s *eventSampler, count int) (taken map[string]int, incomplete int) {
	taken = map[string]int{}
	for i := range count {
		job := fmt.Sprintf("%016x", i*7919)
		events := 0
		for _, event := range []string{"task-start", "task-done"} {
			if s.take(planner.LogEntry{Event: event, Job: job}) {
				taken[event]++
				events++
			}
		}
		if events == 1 {
			incomplete++
		}
		if i%100 == 0 && s.take(planner.LogEntry{Event: "task-failed", Job: job}) {
			taken["task-failed"]++
		}
	}
	return taken, incomplete
}

// TestLogIsBounded guards against an owner of a large pool that writes hundreds of kB of log
// in a second, which takes its processor time and pushes what failed out of the log: of 3,000
// tasks in a second the log tells the whole way of some, and all failures.
func TestLogIsBounded(t *testing.T) {
	now := clock.Time(1000)
	s := newEventSampler(now)
	logSecond(&s, 3000)
	for kind, count := range s.logged {
		assert.Assert(t, count <= maxEventsPerKind, "%d of %s", count, kind)
	}
	for range 3 {
		now = now.Add(sampleInterval)
		assert.Assert(t, s.next(now) > 0, "events were left out and not counted")
		taken, incomplete := logSecond(&s, 3000)
		assert.Equal(t, taken["task-failed"], 30)
		assert.Equal(t, incomplete, 0)
		routine := taken["task-start"] + taken["task-done"]
		assert.Assert(t, routine >= routineEventsPerSecond/2 && routine <= 2*routineEventsPerSecond, "%d routine events", routine)
	}
}

// TestFloodLeavesOthers guards against an owner that finds thousands of tasks at its takeover and
// logs each, but not that it knows all that it inherited.
func TestFloodLeavesOthers(t *testing.T) {
	s := newEventSampler(1000)
	for i := range 5000 {
		s.take(planner.LogEntry{Event: "task-adopted", Job: fmt.Sprintf("%016x", i)})
		s.take(planner.LogEntry{Event: "start-refused", Job: fmt.Sprintf("%016x", i)})
	}
	assert.Assert(t, s.take(planner.LogEntry{Event: "inheritance-known"}))
	assert.Equal(t, s.logged["start-refused"], maxEventsPerKind)
}

// TestQuietLogIsWhole checks that an owner with little to do leaves nothing out.
func TestQuietLogIsWhole(t *testing.T) {
	now := clock.Time(1000)
	s := newEventSampler(now)
	for range 3 {
		taken, _ := logSecond(&s, 100)
		assert.Equal(t, taken["task-start"]+taken["task-done"], 200)
		now = now.Add(sampleInterval)
		assert.Equal(t, s.next(now), 0)
	}
}

// TestLeftOutEventsAreCounted checks that the log tells how many events it lacks.
func TestLeftOutEventsAreCounted(t *testing.T) {
	var out bytes.Buffer
	tn := newLoggingTenure(&out)
	tn.sampler = newEventSampler(0)
	logSecond(&tn.sampler, 3000)
	tn.logLeftOut(clock.Time(sampleInterval))
	assert.Equal(t, strings.Count(out.String(), "msg=events-left-out count="), 1)
	tn.logLeftOut(clock.Time(2 * sampleInterval))
	assert.Equal(t, strings.Count(out.String(), "msg=events-left-out count="), 1)
}
