package operator

import (
	"marjoramstack/internal/ledger"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/scheduler"
)

// Change is the response to a configuration change. Lacking maps each
// availability zone in which the change is not in force yet to the reason. TookMs
// is the time that the change took, in milliseconds.
type Change struct {
	Version uint64            `json:"version"`
	State   string            `json:"state"`
	Change  string            `json:"change"`
	Lacking map[string]string `json:"lacking,omitempty"`
	TookMs  int64             `json:"took-ms"`
}

// Zone is the state of an availability zone. Versions maps its entry VMs to their
// configuration versions.
type Zone struct {
	Name     string            `json:"name"`
	Leaving  bool              `json:"leaving"`
	Versions map[string]uint64 `json:"versions"`
	InForce  bool              `json:"in-force"`
	Cells    []scheduler.Load  `json:"cells,omitempty"`
}

// VM is an entry of the platform's VM list. Leaving means that the VM is being
// drained, and Why gives the reason.
type VM struct {
	platform.VM
	Leaving bool   `json:"leaving"`
	Why     string `json:"why,omitempty"`
}

// Status is the state of the system as seen by one entry VM.
type Status struct {
	VM       string `json:"vm"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
	Version  uint64 `json:"version"`
	Service  string `json:"service,omitempty"`
	Platform string `json:"platform"`
	Slots    int    `json:"slots"`
	Free     int    `json:"free"`
	Queued   int    `json:"queued"`
	// PeerBytes is the number of bytes of heartbeats sent and received.
	PeerBytes int64            `json:"peer-bytes"`
	View      []string         `json:"view"`
	Peers     []Peer           `json:"peers"`
	Cells     []scheduler.Load `json:"cells"`
}

// Peer is another entry VM as seen by this one. SilentMs is the time since it was
// last heard of, in milliseconds.
type Peer struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	SilentMs int64  `json:"silent-ms"`
	DelayMs  int64  `json:"delay-ms"`
	Version  uint64 `json:"version"`
	Leaving  bool   `json:"leaving,omitempty"`
}

// Job is the state of a job, combined from the cells that have a part of it.
type Job struct {
	ID    string              `json:"id"`
	State string              `json:"state"`
	Parts []scheduler.JobView `json:"parts"`
	// Unasked lists the cells whose owner could not be queried.
	Unasked []string `json:"unasked,omitempty"`
}

// Explanation is the history of a job or an order.
type Explanation struct {
	Kind  string           `json:"kind"`
	ID    string           `json:"id"`
	Notes []scheduler.Note `json:"notes,omitempty"`
	Job   *Job             `json:"job,omitempty"`
	Order *ledger.Row      `json:"order,omitempty"`
}

// Problem is the body of an error response.
type Problem struct {
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Detail string `json:"detail"`
}

// ApplyRequest is the body of a request to replace or check the configuration
// document. If Base is not 0, the change is rejected unless Base is the version in
// force.
type ApplyRequest struct {
	Text   string `json:"text"`
	Author string `json:"author"`
	Base   uint64 `json:"base,omitempty"`
}

// CancelRequest is the body of a request to cancel jobs.
type CancelRequest struct {
	Jobs []string `json:"jobs"`
}
