package scheduler

import (
	"encoding/json"

	"github.com/zeebo/errs"

	"marjoramstack/internal/leaser"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Error is the error class of this package.
var Error = errs.Class("scheduler")

// Event is a durable state change of a cell. Replaying the events of a cell in
// order restores its state. Only this package defines events.
type Event interface{ event() }

// EndState is the final state of a task.
type EndState string

// Final states of a task.
const (
	EndFinished  EndState = "finished"
	EndFailed    EndState = "failed"
	EndCancelled EndState = "cancelled"
)

// Origin holds the properties of a job that are fixed at its admission and go with
// its tasks to other cells. Terms are the lease terms of the class at that time: a
// later owner must know the longest lease that an earlier owner can have given,
// even if the class has changed since.
type Origin struct {
	Spec      document.Job `json:"spec"`
	Submitted clock.Time   `json:"submitted"`
	Deadline  clock.Time   `json:"deadline"`
	Watcher   bool         `json:"watcher,omitempty"`
	Terms     leaser.Terms `json:"terms"`
}

// JobAdded admits a job with all its tasks waiting.
type JobAdded struct {
	Origin
}

// JobDropped undoes an admission that was not yet reported to the caller as
// accepted.
type JobDropped struct {
	Job string `json:"job"`
}

// JobCancelled ends every waiting task of a job. Placed tasks end when their
// attempts have stopped.
type JobCancelled struct {
	Job string `json:"job"`
}

// TaskPlaced starts a new attempt of a task and assigns it to a worker.
type TaskPlaced struct {
	Task    TaskID `json:"task"`
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker"`
}

// TaskReleased ends an attempt but not its task. The task waits again and resumes
// from the checkpoint. Failed counts the attempt as a failure of the task.
type TaskReleased struct {
	Task       TaskID     `json:"task"`
	Attempt    int        `json:"attempt"`
	Reason     string     `json:"reason"`
	Checkpoint clock.Span `json:"checkpoint-ms"`
	Failed     bool       `json:"failed,omitempty"`
}

// TaskEnded puts a task into its final state.
type TaskEnded struct {
	Task   TaskID   `json:"task"`
	State  EndState `json:"state"`
	Reason string   `json:"reason,omitempty"`
}

// TaskMoved hands a waiting task over to another cell. Taken is the event with
// which that cell takes the task over.
type TaskMoved struct {
	Task  TaskID    `json:"task"`
	To    string    `json:"to"`
	Taken TaskTaken `json:"taken"`
}

// JobForgotten removes a job that has ended from the cell. DropRow also deletes the
// row of the job in the platform's table.
type JobForgotten struct {
	Job     string `json:"job"`
	DropRow bool   `json:"drop-row,omitempty"`
}

// TaskTaken adds a task that another cell has handed over. Attempt is the number
// of its last attempt.
type TaskTaken struct {
	Origin
	Index      int        `json:"index"`
	Attempt    int        `json:"attempt"`
	Checkpoint clock.Span `json:"checkpoint-ms"`
	Failures   int        `json:"failures,omitempty"`
}

func (JobAdded) event()     {}
func (JobDropped) event()   {}
func (JobCancelled) event() {}
func (TaskPlaced) event()   {}
func (TaskReleased) event() {}
func (TaskEnded) event()    {}
func (TaskMoved) event()    {}
func (TaskTaken) event()    {}
func (JobForgotten) event() {}

// Stamped is an event and the time at which it was decided.
type Stamped struct {
	At    clock.Time
	Event Event
}

// envelope is the encoded form of a Stamped.
type envelope struct {
	Kind string          `json:"kind"`
	At   clock.Time      `json:"at"`
	Data json.RawMessage `json:"data"`
}

func kindOf(e Event) string {
	switch e.(type) {
	case JobAdded:
		return "job-added"
	case JobDropped:
		return "job-dropped"
	case JobCancelled:
		return "job-cancelled"
	case TaskPlaced:
		return "task-placed"
	case TaskReleased:
		return "task-released"
	case TaskEnded:
		return "task-ended"
	case TaskMoved:
		return "task-moved"
	case TaskTaken:
		return "task-taken"
	case JobForgotten:
		return "job-forgotten"
	}
	return ""
}

// MarshalJSON encodes the event together with its kind and time.
func (s Stamped) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(s.Event)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return json.Marshal(envelope{
		Kind: kindOf(s.Event),
		At:   s.At,
		Data: data,
	})
}

// UnmarshalJSON decodes an event according to its kind.
func (s *Stamped) UnmarshalJSON(text []byte) error {
	var env envelope
	if err := json.Unmarshal(text, &env); err != nil {
		return Error.Wrap(err)
	}
	s.At = env.At
	var err error
	s.Event, err = decodeEvent(env)
	return err
}

func decodeEvent(env envelope) (Event, error) {
	switch env.Kind {
	case "job-added":
		return decodeAs[JobAdded](env.Data)
	case "job-dropped":
		return decodeAs[JobDropped](env.Data)
	case "job-cancelled":
		return decodeAs[JobCancelled](env.Data)
	case "task-placed":
		return decodeAs[TaskPlaced](env.Data)
	case "task-released":
		return decodeAs[TaskReleased](env.Data)
	case "task-ended":
		return decodeAs[TaskEnded](env.Data)
	case "task-moved":
		return decodeAs[TaskMoved](env.Data)
	case "task-taken":
		return decodeAs[TaskTaken](env.Data)
	case "job-forgotten":
		return decodeAs[JobForgotten](env.Data)
	}
	return nil, Error.New("unknown event kind %q", env.Kind)
}

func decodeAs[E Event](data json.RawMessage) (Event, error) {
	var e E
	err := json.Unmarshal(data, &e)
	return e, Error.Wrap(err)
}
