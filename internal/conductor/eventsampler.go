package conductor

import (
	"github.com/cespare/xxhash/v2"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
)

const (
	// routineEventsPerSecond is how many events of tasks that went as usual are logged in a
	// second, about. maxEventsPerSecond bounds all events of the planner in a second.
	routineEventsPerSecond = 200
	maxEventsPerSecond     = 1000
	sampleInterval         = 1 * clock.Second
)

// routineEvents are the events of tasks that went as usual.
var routineEvents = map[string]bool{
	"task-start":    true,
	"task-done":     true,
	"task-stop":     true,
	"task-stopped":  true,
	"task-throttle": true,
}

// eventSampler bounds how many events of the planner are logged. If there are too many, it
// leaves out the routine events of some jobs, and keeps all of those of the others, so that
// the log still tells the whole way of a job. Failures, refusals and the events of jobs and
// workers are left out only beyond maxEventsPerSecond.
type eventSampler struct {
	// jobsPermille is the share of the jobs whose routine events are logged.
	jobsPermille int
	since        clock.Time
	routine      int // routine events since then
	logged       int
	leftOut      int
}

func newEventSampler(now clock.Time) eventSampler {
	return eventSampler{
		jobsPermille: permille,
		since:        now,
	}
}

// take reports whether an event is to be logged.
func (s *eventSampler) take(entry planner.LogEntry) bool {
	if routineEvents[entry.Event] {
		s.routine++
		if s.jobsPermille < permille && int(xxhash.Sum64String(entry.Job)%permille) >= s.jobsPermille {
			s.leftOut++
			return false
		}
	}
	if s.logged >= maxEventsPerSecond {
		s.leftOut++
		return false
	}
	s.logged++
	return true
}

// next begins the next interval if this one is over. It returns how many events were left
// out of the log in it.
func (s *eventSampler) next(now clock.Time) (leftOut int) {
	if now.Sub(s.since) < sampleInterval {
		return 0
	}
	leftOut = s.leftOut
	share := permille
	if s.routine > routineEventsPerSecond {
		share = max(permille*routineEventsPerSecond/s.routine, 1)
	}
	*s = eventSampler{
		jobsPermille: share,
		since:        now,
	}
	return leftOut
}
