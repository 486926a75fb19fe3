package platform

import (
	"encoding/json"

	"marjoramstack/pkg/clock"
)

// Version is the version of a row. Every write to the table assigns a higher one.
// An absent row has version 0.
type Version uint64

// Row is a row of the table.
type Row struct {
	Key     string          `json:"key"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Check is a precondition of a transaction: the row must have the given version.
type Check struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Txn is an atomic transaction: if all checks succeed, all puts and deletes take
// effect, otherwise none does. ID must be unique.
type Txn struct {
	ID      string   `json:"id"`
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Row    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Verdict is the result of a transaction. Version is the new version of all rows
// put. Conflicts contains the current rows whose checks failed.
type Verdict struct {
	Committed bool    `json:"committed"`
	Version   Version `json:"version,omitempty"`
	Conflicts []Row   `json:"conflicts,omitempty"`
}

// Query selects rows by key and by key prefix. After and Limit page through the
// rows of a prefix in key order.
type Query struct {
	Keys   []string `json:"keys,omitempty"`
	Prefix string   `json:"prefix,omitempty"`
	After  string   `json:"after,omitempty"`
	Limit  int      `json:"limit,omitempty"`
}

// Rows is the result of a Query. It omits absent rows.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Kind is the role of a VM.
type Kind string

// The kinds of VMs.
const (
	KindEntry    Kind = "entry"
	KindWorker   Kind = "worker"
	KindEndpoint Kind = "endpoint"
)

// VM is an entry of the platform's list of VMs. Host is the worker that shares a
// machine with an endpoint, if any.
type VM struct {
	ID           string `json:"id"`
	Kind         Kind   `json:"kind"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack,omitempty"`
	Address      string `json:"address"`
	Host         string `json:"host,omitempty"`
	Leaving      bool   `json:"leaving,omitempty"`
	Processors   int    `json:"processors,omitempty"`
	Memory       int    `json:"memory-mb,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
	Slots        int    `json:"slots,omitempty"`
	Connections  int    `json:"connections,omitempty"`
}

// Fleet is the platform's list of VMs. It can be out of date. Faults describe the entries
// that can't be decoded and are left out.
type Fleet struct {
	VMs    []VM    `json:"vms"`
	Faults []error `json:"-"`
}

// UnmarshalJSON decodes each entry of the list by itself.
func (f *Fleet) UnmarshalJSON(data []byte) error {
	var list struct {
		VMs []json.RawMessage `json:"vms"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return Error.Wrap(err)
	}
	*f = Fleet{VMs: make([]VM, 0, len(list.VMs))}
	for i, text := range list.VMs {
		var vm VM
		if err := json.Unmarshal(text, &vm); err != nil {
			f.Faults = append(f.Faults, Error.New("entry %d: %v", i, err))
			continue
		}
		f.VMs = append(f.VMs, vm)
	}
	return nil
}

// Faults are the faults to inject into the fake platform.
type Faults struct {
	Down        bool       `json:"down"`
	Slow        clock.Span `json:"slow-ms"`
	LoseAnswers int        `json:"lose-answers"`
	FreezeFleet bool       `json:"freeze-fleet"`
}
