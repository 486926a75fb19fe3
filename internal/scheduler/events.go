package scheduler

import (
	"encoding/json"

	"github.com/zeebo/errs"

	"marjoramstack/internal/leaser"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Error is the class of this package's errors.
var Error = errs.Class("scheduler")

// Event is a durable change of a cell. Replaying the events of a cell in order
// gives its state. The set of events is sealed.
type Event interface{ event() }

// EndState says how a task ended for good.
type EndState string

// End states.
const (
	EndFinished  EndState = "finished"
	EndFailed    EndState = "failed"
	EndCancelled EndState = "cancelled"
)

// Origin is what stays with a job from its admission on, wherever its tasks go.
// The terms are those of the class at that time: a successor must know the
// longest lease that any earlier owner can have given, whatever the class says
// by then.
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

// JobDropped undoes an admission that was never answered as accepted.
type JobDropped struct {
	Job string `json:"job"`
}

// JobCancelled ends every waiting task of a job; the placed ones end when they
// have stopped.
type JobCancelled struct {
	Job string `json:"job"`
}

// TaskPlaced assigns an attempt of a task to a worker.
type TaskPlaced struct {
	Task    TaskID `json:"task"`
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker"`
}

// TaskReleased ends an attempt without ending the task, which waits again and
// resumes from the checkpoint.
type TaskReleased struct {
	Task       TaskID     `json:"task"`
	Attempt    int        `json:"attempt"`
	Reason     string     `json:"reason"`
	Checkpoint clock.Span `json:"checkpoint-ms"`
	Failed     bool       `json:"failed,omitempty"`
}

// TaskEnded ends a task for good.
type TaskEnded struct {
	Task   TaskID   `json:"task"`
	State  EndState `json:"state"`
	Reason string   `json:"reason,omitempty"`
}

// TaskMoved hands a waiting task to another cell. Taken is the event by which
// that cell takes it over.
type TaskMoved struct {
	Task  TaskID    `json:"task"`
	To    string    `json:"to"`
	Taken TaskTaken `json:"taken"`
}

// JobForgotten drops a job that has ended. DropRow says that the job's row in
// the platform's table goes with it.
type JobForgotten struct {
	Job     string `json:"job"`
	DropRow bool   `json:"drop-row,omitempty"`
}

// TaskTaken takes over a task from another cell, with the number of its last
// attempt and its checkpoint.
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

// Stamped is an event with the time at which it was decided.
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

// MarshalJSON encodes the event with its kind.
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

// UnmarshalJSON decodes an event by its kind.
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
