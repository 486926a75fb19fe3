package worker

import (
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Epoch fences the commands of a cell's successive owners.
type Epoch uint64

// State says what a worker knows of an attempt.
type State string

// States of attempts. All but StateRunning are final: a worker never takes an
// attempt out of them.
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

// Start asks for an attempt to be started. Until and NotAfter are readings of
// the worker's own clock, so a message that was held up cannot start or renew
// anything late. Work is the declared run time, 0 for a watcher; Payload is what
// the submitter wants run.
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

// Renewal extends the lease of one attempt to a reading of the worker's clock.
type Renewal struct {
	Task    string     `json:"task"`
	Attempt int        `json:"attempt"`
	Until   clock.Time `json:"until"`
}

// Command applies an Action to an attempt.
type Command struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Action  Action `json:"order"`
}

// Ack lets a worker forget an attempt whose end is durable.
type Ack struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
}

// Request is one exchange with a worker. Until renews every running attempt of
// the cell that Renewals does not name; 0 renews none. Boot is the life of the
// worker that the request was planned for: in another life it renews and starts
// nothing.
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

// Report tells the state of one attempt. Done and Checkpoint are spans of work
// done at full speed.
type Report struct {
	Task       string     `json:"task"`
	Attempt    int        `json:"attempt"`
	State      State      `json:"state"`
	Done       clock.Span `json:"done-ms"`
	Checkpoint clock.Span `json:"checkpoint-ms"`
	Throttled  bool       `json:"throttled,omitempty"`
	Reason     string     `json:"reason,omitempty"`
}

// Sample is a late measurement of one task: the share of full speed, in
// thousandths, that it had around Taken, and what it used.
type Sample struct {
	Task  string        `json:"task"`
	Class string        `json:"class"`
	Taken clock.Time    `json:"taken"`
	Speed int           `json:"speed-permille"`
	Used  document.Size `json:"used"`
}

// Answer ends an exchange. Boot names one life of the worker: when it changes,
// everything that ran before is gone. Now is a reading of the worker's clock.
type Answer struct {
	Worker  string     `json:"worker"`
	Boot    string     `json:"boot"`
	Now     clock.Time `json:"now"`
	Refused bool       `json:"refused,omitempty"`
	Epoch   Epoch      `json:"epoch"`
	Reports []Report   `json:"reports,omitempty"`
	Samples []Sample   `json:"samples,omitempty"`
}
