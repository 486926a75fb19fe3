package scheduler

import (
	"marjoramstack/internal/platform"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Message is an input of a Cell. Only this package defines messages.
type Message interface{ message() }

// Configured sets the configuration that applies to the cell.
type Configured struct {
	Version     uint64
	Document    *document.Document
	ZoneLeaving map[string]bool
	VMLeaving   map[string]bool
}

// Listed reports the platform's current list of VMs.
type Listed struct {
	VMs []platform.VM
}

// Submitted requests the admission of a job. The caller has validated the job
// against the document and found no row for it in the platform's table.
type Submitted struct {
	Job document.Job
}

// Withdrawn reports that a row for the job already exists, so that its admission
// must not be committed.
type Withdrawn struct {
	Job string
}

// Cancelled reports that jobs have been cancelled durably.
type Cancelled struct {
	Jobs []string
}

// Arrived reports a task that another cell has handed over. Key and Row are the
// key and version of the row that carries it; JobRow is the version of the job's
// row.
type Arrived struct {
	Key       string
	Row       platform.Version
	Taken     TaskTaken
	Cancelled bool
	JobRow    platform.Version
}

// Answered reports the answer of a worker and ends the exchange with it.
type Answered struct {
	Worker   string
	Answer   worker.Answer
	Received clock.Time
}

// Unanswered ends an exchange that failed or whose answer was lost. The worker
// may still have processed the request.
type Unanswered struct {
	Worker string
}

// Committed reports that all batches up to Seq are durable. Sent is the time at
// which the transaction that made the last one durable was sent.
type Committed struct {
	Seq  uint64
	Sent clock.Time
}

// Confirmed reports that the platform still named this owner in the answer to a
// call sent at Sent.
type Confirmed struct {
	Sent clock.Time
}

// CellLoads reports the load of every known cell.
type CellLoads struct {
	Cells []Load
}

// EndpointLatency reports the latency of an endpoint hosted on a worker as a
// share of its target, in thousandths: above 1000 the target is missed.
type EndpointLatency struct {
	Worker   string
	Permille int
}

// Ticked runs the periodic work.
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

// Load is the load of a cell, as sent to other cells and to operators. Total and
// Free cover the workers that are listed and not leaving. Wanted is the total size
// of the waiting tasks. Epoch and Serial order the loads of one cell.
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

// Newer reports whether the load was taken after other.
func (l Load) Newer(other Load) bool {
	if l.Epoch != other.Epoch {
		return l.Epoch > other.Epoch
	}
	return l.Serial > other.Serial
}

// Note records one decision and its reason, for the log and for operators. Second
// is the second-best worker of a placement or the target cell of a move.
type Note struct {
	At     clock.Time `json:"at"`
	What   string     `json:"what"`
	Job    string     `json:"job,omitempty"`
	Task   string     `json:"task,omitempty"`
	Worker string     `json:"worker,omitempty"`
	Second string     `json:"second,omitempty"`
	Reason string     `json:"reason,omitempty"`
}
