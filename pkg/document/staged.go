package document

import (
	"regexp"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

// Bounds of a staged job.
const (
	maxStagedPayload = 4000 // bytes
	maxSteps         = 1000
	maxStepTasks     = 10000
	maxStagedTasks   = 100000
	maxOccurrences   = 100000
	maxProcessors    = 1 << 30
)

var stagedPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

// StagedJob is a job whose tasks are grouped into steps that depend on each
// other. Payload tells the worker what to run.
type StagedJob struct {
	ID       string   `json:"id"`
	Queue    string   `json:"queue"`
	Payload  string   `json:"payload,omitempty"`
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"`
}

// Schedule makes the steps of a job run several times. Occurrence n, counting
// from 0, is due at StartAt plus n times Every. A Schedule with Times 0 is none:
// the steps run once, as soon as they can.
type Schedule struct {
	Times   int        `json:"times,omitempty"`
	StartAt int64      `json:"start-at,omitempty"` // Unix milliseconds
	Every   clock.Span `json:"every-ms,omitempty"`
}

// Step is a number of equal tasks. Demand is what each of them needs, with
// processors in thousandths; Estimate is a rough guess at its duration.
type Step struct {
	Tasks    int        `json:"tasks"`
	Demand   Size       `json:"demand"`
	Estimate clock.Span `json:"estimate-ms,omitempty"`
	// After are the numbers of earlier steps that must be complete.
	After []int `json:"after,omitempty"`
	// Checkpoints tells that the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang tells that the tasks work only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack tells that the tasks of a gang are slow across racks.
	SameRack bool `json:"same-rack,omitempty"`
	// Label is one that the worker must have; empty means any.
	Label string `json:"label,omitempty"`
	// Rack is where the data is; empty means anywhere.
	Rack string `json:"rack,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 means no bound.
	MaxPerWorker int `json:"max-per-worker,omitempty"`
	// Speculative allows copies of a task to run in parallel.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"long-running,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget is the bound for the tail of the response times of tasks with
	// users of their own; 0 means that there is none.
	TailTarget clock.Span `json:"tail-target-ms,omitempty"`
	// BestEffort tasks use the processors that the others leave idle; their
	// processors are not counted against the worker.
	BestEffort bool `json:"best-effort,omitempty"`
	// MaxUnavailable is how many tasks may be away at once by the system's doing.
	MaxUnavailable int `json:"max-unavailable,omitempty"`
}

// Lasts reports whether the job runs until it is cancelled.
func (j StagedJob) Lasts() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// Occurrences returns how many times the steps run.
func (j StagedJob) Occurrences() int { return max(j.Schedule.Times, 1) }

// LongestChain returns the sum of the estimates along the longest path through
// the steps.
func (j StagedJob) LongestChain() clock.Span {
	ends := make([]clock.Span, len(j.Steps))
	var longest clock.Span
	for i, s := range j.Steps {
		var begin clock.Span
		for _, a := range s.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// ValidStagedID reports whether a staged job can have the identifier.
func ValidStagedID(id string) bool { return stagedPattern.MatchString(id) }

// Check refuses a malformed job with a *result.Fault that names the field.
func (j StagedJob) Check() error {
	if !ValidStagedID(j.ID) {
		return result.New(result.MalformedJob, "id: got %.40q, expected 16 hexadecimal digits", j.ID)
	}
	if len(j.Payload) > maxStagedPayload {
		return result.New(result.MalformedJob, "payload: got %d bytes, expected at most %d", len(j.Payload), maxStagedPayload)
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return result.New(result.MalformedJob, "steps: got %d, expected 1 to %d", len(j.Steps), maxSteps)
	}
	if err := j.Schedule.check(); err != nil {
		return err
	}
	total := 0
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return err
		}
		total += s.Tasks
	}
	if total*j.Occurrences() > maxStagedTasks {
		return result.New(result.MalformedJob, "steps: got %d tasks in all, expected at most %d", total*j.Occurrences(), maxStagedTasks)
	}
	return nil
}

func (s Schedule) check() error {
	if s.Times < 0 || s.Times > maxOccurrences {
		return result.New(result.MalformedJob, "times: got %d, expected 0 to %d", s.Times, maxOccurrences)
	}
	if s.StartAt < 0 || s.Every < 0 {
		return result.New(result.MalformedJob, "schedule: got a negative time")
	}
	return nil
}

func (s Step) check(number int) error {
	if s.Tasks < 1 || s.Tasks > maxStepTasks {
		return result.New(result.MalformedJob, "step %d: got %d tasks, expected 1 to %d", number, s.Tasks, maxStepTasks)
	}
	d := s.Demand
	if d.Processors < 0 || d.Memory < 0 || d.Accelerators < 0 || d.Processors > maxProcessors || d.Memory > maxProcessors || d.Accelerators > maxProcessors {
		return result.New(result.MalformedJob, "step %d: demand out of range", number)
	}
	if s.Estimate < 0 || s.TailTarget < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return result.New(result.MalformedJob, "step %d: got a negative figure", number)
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return result.New(result.MalformedJob, "step %d: runs after step %d, expected an earlier one", number, a)
		}
	}
	return nil
}
