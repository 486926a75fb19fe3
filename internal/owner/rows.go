package owner

import (
	"encoding/json"

	"marjoramstack/internal/platform"
	"marjoramstack/internal/scheduler"
	"marjoramstack/internal/worker"
)

// Prefixes of the rows that cells keep in the platform's table.
const (
	HeadPrefix     = "cell/"
	JobPrefix      = "job/"
	HandoverPrefix = "handover/"
	CancelPrefix   = "cancel/"
)

// Head is the row of a cell: its lease, its fencing epoch, and where its state
// is. The lease has no expiry time: whoever wants to take over watches the
// row's version on its own clock.
type Head struct {
	Txn      string       `json:"txn"`
	Owner    string       `json:"owner"`
	Epoch    worker.Epoch `json:"epoch"`
	Seq      uint64       `json:"seq"`
	Snapshot string       `json:"snapshot,omitempty"`
	Batches  []string     `json:"batches,omitempty"`
}

// JobRow makes a job's identifier unique across cells and carries its durable
// cancellation.
type JobRow struct {
	Txn       string `json:"txn"`
	Digest    string `json:"digest"`
	Cell      string `json:"cell"`
	Cancelled bool   `json:"cancelled,omitempty"`
}

// CancelRow tells the owners of all cells of a cancellation.
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
		panic(err) // only plain structs are passed
	}
	return data
}

func rowOf(key string, value any) platform.Row {
	return platform.Row{
		Key:   key,
		Value: mustJSON(value),
	}
}
