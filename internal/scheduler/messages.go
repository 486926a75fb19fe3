package scheduler

import (
	"marjoramstack/internal/platform"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Message is what a Cell is told. The set of messages is sealed.
type Message interface{ message() }

// Configured tells the configuration that is in force for the cell.
type Configured struct {
	Version     uint64
	Document    *document.Document
	ZoneLeaving map[string]bool
	VMLeaving   map[string]bool
}

// Listed tells the platform's list of VMs.
type Listed struct {
	VMs []platform.VM
}

// Submitted asks for a job to be admitted. The job has been checked against
// the document and its row is known to be absent.
type Submitted struct {
	Job document.Job
}

// Withdrawn tells that a job's row turned out to exist, so its admission must
// not be committed.
type Withdrawn struct {
	Job string
}

// Cancelled tells that jobs have been cancelled durably.
type Cancelled struct {
	Jobs []string
}

// Arrived tells of a task that another cell has handed over.
type Arrived struct {
	Key       string
	Row       platform.Version
	Taken     TaskTaken
	Cancelled bool
	JobRow    platform.Version
}

// Answered ends an exchange with a worker.
type Answered struct {
	Worker   string
	Answer   worker.Answer
	Received clock.Time
}

// Unanswered ends an exchange that failed or whose answer was lost.
type Unanswered struct {
	Worker string
}

// Committed tells that all events up to a sequence number are durable. Sent is
// when the transaction that made them so was sent.
type Committed struct {
	Seq  uint64
	Sent clock.Time
}

// Confirmed tells that a call sent at the time found this owner in place.
type Confirmed struct {
	Sent clock.Time
}

// CellLoads tells what the other cells hold.
type CellLoads struct {
	Cells []Load
}

// EndpointLatency tells how an endpoint hosted on a worker does against its target, in
// thousandths: above 1000 the target is missed.
type EndpointLatency struct {
	Worker   string
	Permille int
}

// Ticked lets time pass.
type Ticked struct{}

func (Configured) message()      {}
func (Listed) message()          {}
func (Submitted) message()       {}
func (Withdrawn) message()       {}
func (Cancelled) message()       {}
func (Arrived) message()         {}
func (Answered) message()        {}
func (Unanswered) message()      {}
func (Committed) message()       {}
func (Confirmed) message()       {}
func (CellLoads) message()       {}
func (EndpointLatency) message() {}
func (Ticked) message()          {}

// Load summarises a cell for other cells and for operators. Epoch and Serial
// order the loads of one cell.
type Load struct {
	Cell    string        `json:"cell"`
	Zone    string        `json:"zone"`
	Owner   string        `json:"owner"`
	Total   document.Size `json:"total"`
	Free    document.Size `json:"free"`
	Wanted  document.Size `json:"wanted"`
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
	Workers int           `json:"workers"`
	Leaving bool          `json:"leaving,omitempty"`
	Epoch   worker.Epoch  `json:"epoch"`
	Serial  uint64        `json:"serial"`
}

// Newer reports whether the load was told after other.
func (l Load) Newer(other Load) bool {
	if l.Epoch != other.Epoch {
		return l.Epoch > other.Epoch
	}
	return l.Serial > other.Serial
}

// Note is one decision, for the log and for explaining.
type Note struct {
	At     clock.Time `json:"at"`
	What   string     `json:"what"`
	Job    string     `json:"job,omitempty"`
	Task   string     `json:"task,omitempty"`
	Worker string     `json:"worker,omitempty"`
	Second string     `json:"second,omitempty"`
	Reason string     `json:"reason,omitempty"`
}
