package owner

import (
	"encoding/json"

	"marjoramstack/internal/platform"
	"marjoramstack/internal/scheduler"
	"marjoramstack/internal/worker"
)

// Key prefixes of the rows that cells keep in the platform's table.
const (
	HeadPrefix     = "cell/"
	JobPrefix      = "job/"
	HandoverPrefix = "handover/"
	CancelPrefix   = "cancel/"
)

// Head is the head row of a cell. It holds the lease, the epoch (the fencing
// token), and the names of the objects that hold the cell's state. The lease has
// no expiry time: an entry VM that wants to take over the cell measures on its
// own clock how long the row's version stays unchanged.
type Head struct {
	Txn      string       `json:"txn"`
	Owner    string       `json:"owner"`
	Epoch    worker.Epoch `json:"epoch"`
	Seq      uint64       `json:"seq"`
	Snapshot string       `json:"snapshot,omitempty"`
	Batches  []string     `json:"batches,omitempty"`
}

// JobRow keeps a job's identifier unique across cells and records whether the job
// was cancelled.
type JobRow struct {
	Txn       string `json:"txn"`
	Digest    string `json:"digest"`
	Cell      string `json:"cell"`
	Cancelled bool   `json:"cancelled,omitempty"`
}

// CancelRow announces cancelled jobs to the owners of all cells.
type CancelRow struct {
	Txn string   `json:"txn"`
	IDs []string `json:"jobs"`
	At  int64    `json:"at"`
}

func handoverKey(cell string, id scheduler.TaskID) string {
	return HandoverPrefix + cell + "/" + id.String()
}

func mustJSON(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot happen: callers pass plain structs only
	}
	return data
}

func rowOf(key string, value any) platform.Row {
	return platform.Row{
		Key:   key,
		Value: mustJSON(value),
	}
}
