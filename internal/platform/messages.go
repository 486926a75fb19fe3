package platform

import (
	"encoding/json"

	"marjoramstack/pkg/clock"
)

// Version numbers a row's content. It grows with every write to the table; an
// absent row has version 0.
type Version uint64

// Row is a key with its value and version.
type Row struct {
	Key     string          `json:"key"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Check is a condition of a transaction: the row must have the version.
type Check struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Txn is a transaction: if every check holds, every put and delete takes
// effect at once, else none does.
type Txn struct {
	ID      string   `json:"id"`
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Row    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Verdict is the platform's answer to a transaction. Version is that of all
// rows put. Conflicts holds the present rows whose checks failed.
type Verdict struct {
	Committed bool    `json:"committed"`
	Version   Version `json:"version,omitempty"`
	Conflicts []Row   `json:"conflicts,omitempty"`
}

// Query selects rows by key and by prefix; After and Limit page through a
// prefix in the order of keys.
type Query struct {
	Keys   []string `json:"keys,omitempty"`
	Prefix string   `json:"prefix,omitempty"`
	After  string   `json:"after,omitempty"`
	Limit  int      `json:"limit,omitempty"`
}

// Rows is the answer to a Query. Keys that are absent are left out.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Kind says what a VM is for.
type Kind string

// Kinds of VMs.
const (
	KindEntry    Kind = "entry"
	KindWorker   Kind = "worker"
	KindEndpoint Kind = "endpoint"
)

// VM is one line of the platform's list of VMs. Host names the worker that an
// endpoint shares its machine with, if any.
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

// Fleet is the platform's list of VMs. It lags behind reality.
type Fleet struct {
	VMs []VM `json:"vms"`
}

// Faults are the switches of the platform stand-in.
type Faults struct {
	Down        bool       `json:"down"`
	Slow        clock.Span `json:"slow-ms"`
	LoseAnswers int        `json:"lose-answers"`
	FreezeFleet bool       `json:"freeze-fleet"`
}
