package operator

import (
	"marjoramstack/internal/ledger"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/scheduler"
)

// Change is the answer to a change of the configuration. Lacking names the
// availability zones that do not have it in force yet, with the reason.
type Change struct {
	Version uint64            `json:"version"`
	State   string            `json:"state"`
	Change  string            `json:"change"`
	Lacking map[string]string `json:"lacking,omitempty"`
	TookMs  int64             `json:"took-ms"`
}

// Zone is the state of an availability zone.
type Zone struct {
	Name     string            `json:"name"`
	Leaving  bool              `json:"leaving"`
	Versions map[string]uint64 `json:"versions"`
	InForce  bool              `json:"in-force"`
	Cells    []scheduler.Load  `json:"cells,omitempty"`
}

// VM is the state of a VM.
type VM struct {
	platform.VM
	Leaving bool   `json:"leaving"`
	Why     string `json:"why,omitempty"`
}

// Status is the state of the system as one entry VM sees it.
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
	// PeerBytes counts the bytes of heartbeats sent and received.
	PeerBytes int64            `json:"peer-bytes"`
	View      []string         `json:"view"`
	Peers     []Peer           `json:"peers"`
	Cells     []scheduler.Load `json:"cells"`
}

// Peer is another entry VM as this one sees it.
type Peer struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	SilentMs int64  `json:"silent-ms"`
	DelayMs  int64  `json:"delay-ms"`
	Version  uint64 `json:"version"`
	Leaving  bool   `json:"leaving,omitempty"`
}

// Job is a job as all cells together see it.
type Job struct {
	ID    string              `json:"id"`
	State string              `json:"state"`
	Parts []scheduler.JobView `json:"parts"`
	// Unasked names the cells whose owner could not be asked.
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

// Problem is the body of an answer that reports a fault.
type Problem struct {
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Detail string `json:"detail"`
}

// ApplyRequest is the body of a change of the class document.
type ApplyRequest struct {
	Text   string `json:"text"`
	Author string `json:"author"`
	Base   uint64 `json:"base,omitempty"`
}

// CancelRequest is the body of a cancellation.
type CancelRequest struct {
	Jobs []string `json:"jobs"`
}
