package conductor

import (
	"github.com/cespare/xxhash/v2"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
)

const (
	// routineEventsPerSecond is how many events of tasks that went as usual are logged in a
	// second, about. maxEventsPerKind bounds the events of each kind in a second, so that a
	// flood of one kind leaves out nothing of the others.
	routineEventsPerSecond = 200
	maxEventsPerKind       = 300
	sampleInterval         = 1 * clock.Second
)

// routineEvents are the events of tasks that went as usual.
var routineEvents = map[string]bool{
	"task-start":    true,
	"task-done":     true,
	"task-stop":     true,
	"task-stopped":  true,
	"task-adopted":  true,
	"task-throttle": true,
}

// eventSampler bounds how many events of the planner are logged. If there are too many, it
// leaves out the routine events of some jobs, and keeps all of those of the others, so that
// the log still tells the whole way of a job. Failures, refusals and the events of jobs and
// workers are left out only beyond maxEventsPerKind.
type eventSampler struct {
	// jobsPermille is the share of the jobs whose routine events are logged.
	jobsPermille int
	since        clock.Time
	routine      int            // routine events since then
	logged       map[string]int // by kind
	leftOut      int
}

func newEventSampler(now clock.Time) eventSampler {
	return eventSampler{
		jobsPermille: permille,
		since:        now,
		logged:       map[string]int{},
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
	if s.logged[entry.Event] >= maxEventsPerKind {
		s.leftOut++
		return false
	}
	s.logged[entry.Event]++
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
	clear(s.logged)
	*s = eventSampler{
		jobsPermille: share,
		since:        now,
		logged:       s.logged,
	}
	return leftOut
}
