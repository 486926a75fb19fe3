package worker

import (
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Epoch is the fencing token of a cell's owner. It increases with every new
// owner.
type Epoch uint64

// State is the state of an attempt on a worker.
type State string

// States of attempts. All except StateRunning are final. StateLapsed means that
// the lease expired.
const (
	StateRunning  State = "running"
	StateFinished State = "finished"
	StateFailed   State = "failed"
	StateStopped  State = "stopped"
	StateLapsed   State = "lapsed"
)

// Action is what a worker must do with an attempt.
type Action string

// Actions.
const (
	ActionCheckpoint Action = "checkpoint"
	ActionThrottle   Action = "throttle"
	ActionRelease    Action = "release"
	ActionStop       Action = "stop"
	ActionKill       Action = "kill"
)

// Start is a request to start an attempt. Until is the expiry of its lease, and
// NotAfter the latest time at which it may start. Both are times on the worker's
// clock, so a delayed message cannot start an attempt or renew a lease too late.
// Work is the declared run time, 0 for a watcher. Payload tells the worker what to
// run. Resume is the checkpoint to continue from.
type Start struct {
	Task     string        `json:"task"`
	Attempt  int           `json:"attempt"`
	Class    string        `json:"class"`
	Size     document.Size `json:"size"`
	Work     clock.Span    `json:"work-ms"`
	Payload  string        `json:"payload,omitempty"`
	Resume   clock.Span    `json:"resume-ms,omitempty"`
	Until    clock.Time    `json:"until"`
	NotAfter clock.Time    `json:"not-after"`
}

// Renewal extends the lease of one attempt until the given time on the worker's
// clock.
type Renewal struct {
	Task    string     `json:"task"`
	Attempt int        `json:"attempt"`
	Until   clock.Time `json:"until"`
}

// Command tells a worker to apply an Action to an attempt.
type Command struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Action  Action `json:"order"`
}

// Ack tells a worker that the end of an attempt is stored durably, so the worker
// can forget the attempt.
type Ack struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
}

// Request is the request of one exchange with a worker. Until renews the lease of
// every running attempt of the cell that is not in Renewals; 0 renews none. Boot
// is the boot identifier of the worker for which the request was planned: if the
// worker has restarted since, the request renews and starts nothing.
type Request struct {
	Cell     string     `json:"cell"`
	Boot     string     `json:"boot,omitempty"`
	Epoch    Epoch      `json:"epoch"`
	Until    clock.Time `json:"until,omitempty"`
	Starts   []Start    `json:"starts,omitempty"`
	Renewals []Renewal  `json:"renewals,omitempty"`
	Commands []Command  `json:"commands,omitempty"`
	Acks     []Ack      `json:"acks,omitempty"`
}

// Report is the state of one attempt. Done is the work done, and Checkpoint the
// work saved by the last checkpoint, both as run time at full speed.
type Report struct {
	Task       string     `json:"task"`
	Attempt    int        `json:"attempt"`
	State      State      `json:"state"`
	Done       clock.Span `json:"done-ms"`
	Checkpoint clock.Span `json:"checkpoint-ms"`
	Throttled  bool       `json:"throttled,omitempty"`
	Reason     string     `json:"reason,omitempty"`
}

// Sample is a measurement of one task that arrives with a delay. Speed is the
// task's speed around Taken in thousandths of full speed, and Used the resources
// that it used.
type Sample struct {
	Task  string        `json:"task"`
	Class string        `json:"class"`
	Taken clock.Time    `json:"taken"`
	Speed int           `json:"speed-permille"`
	Used  document.Size `json:"used"`
}

// Answer is the response of an exchange. Boot identifies one boot of the worker:
// when it changes, all attempts that ran before are gone. Now is the time on the
// worker's clock.
type Answer struct {
	Worker  string     `json:"worker"`
	Boot    string     `json:"boot"`
	Now     clock.Time `json:"now"`
	Refused bool       `json:"refused,omitempty"`
	Epoch   Epoch      `json:"epoch"`
	Reports []Report   `json:"reports,omitempty"`
	Samples []Sample   `json:"samples,omitempty"`
}
