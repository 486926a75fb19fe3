package document

import (
	"bytes"
	"regexp"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

// Limits of a staged job.
const (
	maxStagedPayloadBytes = 4000 // bytes
	maxSteps              = 1000
	maxStepTasks          = 10000
	maxStagedTasks        = 100000
	maxOccurrences        = 100000
	maxDemand             = 1 << 30 // of each resource
)

var stagedIDPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

// StagedJob is a job whose steps form a directed acyclic graph. Each step
// consists of identical tasks. Payload tells the worker what to run.
type StagedJob struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Customer is who submitted the job, empty if it came without a key.
	Customer string   `json:"customer,omitempty"`
	Payload  string   `json:"payload,omitempty"`
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"`
}

// Schedule makes the steps of a job run Times times. Occurrence n, counting
// from 0, is due at StartAt plus n times Every. If Times is 0 the job has no
// schedule, and its steps run once, as soon as possible.
type Schedule struct {
	Times   int        `json:"times,omitempty"`
	StartAt int64      `json:"start-at,omitempty"` // Unix milliseconds
	Every   clock.Span `json:"every-ms,omitempty"`
}

// Step is a group of Tasks identical tasks. Demand is the resources that each
// task needs, with processors in thousandths. Estimate is a rough estimate of
// the run time of a task.
type Step struct {
	Tasks    int        `json:"tasks"`
	Demand   Size       `json:"demand"`
	Estimate clock.Span `json:"estimate-ms,omitempty"`
	// After lists the indexes of the earlier steps that must be complete before
	// this one starts.
	After []int `json:"after,omitempty"`
	// Checkpoints means that the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang means that the tasks make progress only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks of a gang run slowly if they are spread over
	// several racks.
	SameRack bool `json:"same-rack,omitempty"`
	// Label is a label that the worker must have. Empty means any worker.
	Label string `json:"label,omitempty"`
	// Rack is the rack that holds the input data. Empty means no preference.
	Rack string `json:"rack,omitempty"`
	// MaxPerWorker limits the number of the step's tasks on one worker. 0 means
	// no limit.
	MaxPerWorker int `json:"max-per-worker,omitempty"`
	// Speculative allows speculative execution: copies of a task may run in
	// parallel.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool `json:"long-running,omitempty"`
	// Image names the program that the tasks run. Tasks with the same image are
	// expected to behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget is the target tail latency of tasks that serve requests. 0
	// means that there is no target.
	TailTarget clock.Span `json:"tail-target-ms,omitempty"`
	// BestEffort means that the tasks use only processors that other tasks leave
	// idle. Their processors do not count against the capacity of the worker.
	BestEffort bool `json:"best-effort,omitempty"`
	// MaxUnavailable limits how many of the tasks the scheduler may make
	// unavailable at the same time.
	MaxUnavailable int `json:"max-unavailable,omitempty"`
}

// Lasts reports whether the job runs until it is cancelled, which is the case if
// any of its steps is long-running.
func (j StagedJob) Lasts() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// Occurrences returns how many times the steps run, at least 1.
func (j StagedJob) Occurrences() int { return max(j.Schedule.Times, 1) }

// LongestChain returns the length of the critical path: the largest sum of
// estimates along a path through the steps.
func (j StagedJob) LongestChain() clock.Span {
	ends := make([]clock.Span, len(j.Steps))
	var longest clock.Span
	for i, s := range j.Steps {
		var start clock.Span
		for _, a := range s.After {
			start = max(start, ends[a])
		}
		ends[i] = start + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// ValidStagedID reports whether id is a valid identifier of a staged job: 16
// lowercase hexadecimal digits.
func ValidStagedID(id string) bool { return stagedIDPattern.MatchString(id) }

// CheckEncoded returns a *result.Fault if a body in JSON has more objects than a job can, each
// of which would take a hundred times its length in memory. It is called before decoding.
func CheckEncoded(body []byte) error {
	const most = 1 + maxSteps + maxStagedPayloadBytes // the payload may contain braces
	if count := bytes.Count(body, []byte("{")); count > most {
		return result.New(result.MalformedJob, "body: got %d objects, expected at most %d", count, most)
	}
	return nil
}

// Footprint returns about how many bytes the job and its encodings take while it is stored.
func (j StagedJob) Footprint() int64 {
	const (
		stepBytes     = 1024
		numberBytes   = 32
		payloadCopies = 4
	)
	size := int64(len(j.Payload)) * payloadCopies
	for _, s := range j.Steps {
		size += stepBytes + int64(len(s.After))*numberBytes + int64(len(s.Label)+len(s.Rack)+len(s.Image))*payloadCopies
	}
	return size
}

// Check returns a *result.Fault that names the field if the job is malformed.
func (j StagedJob) Check() error {
	if !ValidStagedID(j.ID) {
		return result.New(result.MalformedJob, "id: got %.40q, expected 16 hexadecimal digits", j.ID)
	}
	if len(j.Payload) > maxStagedPayloadBytes {
		return result.New(result.MalformedJob, "payload: got %d bytes, expected at most %d", len(j.Payload), maxStagedPayloadBytes)
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
	if d.Processors < 0 || d.Memory < 0 || d.Accelerators < 0 || d.Processors > maxDemand || d.Memory > maxDemand || d.Accelerators > maxDemand {
		return result.New(result.MalformedJob, "step %d: demand out of range", number)
	}
	if s.Estimate < 0 || s.TailTarget < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return result.New(result.MalformedJob, "step %d: got a negative limit or duration", number)
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return result.New(result.MalformedJob, "step %d: runs after step %d, expected an earlier one", number, a)
		}
	}
	if len(s.After) > number {
		return result.New(result.MalformedJob, "step %d: runs after %d steps, expected at most the %d earlier ones", number, len(s.After), number)
	}
	return nil
}
