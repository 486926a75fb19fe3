package acceptor

import (
	"encoding/json"
	"strings"

	"github.com/zeebo/errs"

	"marjoramstack/internal/planner"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Error is the class of this package's errors.
var Error = errs.Class("acceptor")

// Tables, parts and keys of a cell. Jobs are spread over several parts, so that
// submissions do not serialize behind each other. All rows that the owner writes are
// in CellPart, so that one transaction can cover them.
const (
	JobsTable     = "jobs"
	ProgressTable = "progress"
	CellTable     = "cell"
	UsedTable     = "used"
	CellPart      = "cell"
	HeadKey       = "owner"
	LessonsKey    = "lessons"
	VMsTable      = "vms"
	VMsPart       = "vms"

	cancelSuffix = ".cancel"
)

// JobRow is an accepted job. Accepted is in Unix milliseconds. Terms are the settings
// of its queue at that time; they apply to the job if operators remove the queue.
type JobRow struct {
	Job      document.StagedJob `json:"job"`
	Accepted clock.Time         `json:"accepted"`
	Terms    *document.Queue    `json:"terms,omitempty"`
	// Customer is the customer at that time. It applies if operators remove the customer.
	Customer *document.Customer `json:"customer,omitempty"`
}

// CancelRow marks a job as cancelled. At is in Unix milliseconds.
type CancelRow struct {
	At clock.Time `json:"at"`
}

// Head is the row that names the owner of a cell. Each write of the owner replaces it,
// and commits only if the row still has the version that the owner wrote last.
type Head struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	Serial      uint64 `json:"serial"`
	// Probe is the address at which other VMs ask whether the owner's writes are
	// still being confirmed.
	Probe string `json:"probe,omitempty"`
	// Share is the owner's share of a core, in thousandths.
	Share int `json:"share,omitempty"`
	// Overlap is how long, from this write on, a previous owner may still be
	// active.
	Overlap clock.Span `json:"overlap-ms,omitempty"`
	// Released is set when the owner has given up the cell.
	Released bool `json:"released,omitempty"`
	// Waiting is the number of jobs by queue of which no task has started. It is
	// valid only if Counted is set, when the owner has loaded all jobs.
	Waiting map[string]int `json:"waiting,omitempty"`
	Counted bool           `json:"counted,omitempty"`
	// Advised is set while a job of the cell needs advice, also if no queue of the
	// configuration has it any more.
	Advised bool `json:"advised,omitempty"`
	// LeasesSince is the epoch from which on all owners have kept to LeaseLeft of UsedRow;
	// owners of earlier builds leave it out.
	LeasesSince uint64 `json:"leases-since,omitempty"`
}

// UsedRow is a worker on which the owner may have started tasks. If Exact is set, Held
// names all tasks that may run there: the owner records a task in the row before it
// starts the task on the worker.
type UsedRow struct {
	Worker planner.Worker   `json:"worker"`
	Exact  bool             `json:"exact,omitempty"`
	Held   []planner.TaskID `json:"held,omitempty"`
	// SilentEpoch is set while the worker does not answer: the epoch of the owner that
	// says so. LeaseLeft is then the longest that any lease there may still last, counted
	// from when the row is written; no owner grants another before it has replaced the row.
	SilentEpoch uint64     `json:"silent-epoch,omitempty"`
	LeaseLeft   clock.Span `json:"lease-left-ms,omitempty"`
}

// Part returns the part that holds a job's rows: the first digit of its identifier.
func Part(id string) string { return id[:1] }

// CancelKey returns the key of a job's CancelRow.
func CancelKey(id string) string { return id + cancelSuffix }

// SplitKey returns the job that a key of JobsTable belongs to, and whether the key is
// that of a CancelRow.
func SplitKey(key string) (string, bool) { return strings.CutSuffix(key, cancelSuffix) }

// DecodeJob decodes the JobRow with a key. It returns an error if the row does not hold
// a well-formed job with that identifier; such a job must not be used.
func DecodeJob(key string, value []byte) (JobRow, error) {
	var row JobRow
	if err := json.Unmarshal(value, &row); err != nil {
		return JobRow{}, Error.Wrap(err)
	}
	if row.Job.ID != key {
		return JobRow{}, Error.New("the row holds job %.40q", row.Job.ID)
	}
	if err := row.Job.Check(); err != nil {
		return JobRow{}, Error.Wrap(err)
	}
	return row, nil
}

// DecodeHead decodes a Head; for an absent row it returns a Head without an owner.
func DecodeHead(row table.Row) (Head, error) {
	var head Head
	if row.Version == 0 {
		return head, nil
	}
	err := json.Unmarshal(row.Value, &head)
	return head, Error.Wrap(err)
}

// DecodeProgress decodes the progress of a job as recorded by the cell's owner.
func DecodeProgress(value []byte) (planner.Progress, error) {
	var progress planner.Progress
	if err := json.Unmarshal(value, &progress); err != nil {
		return planner.Progress{}, Error.Wrap(err)
	}
	return progress, Error.Wrap(progress.Check())
}

// DecodeUsed decodes the UsedRow with a key. If the row can't be read, it returns an
// error and the row to use instead, which names the worker by the key alone: any task
// may have been started there.
func DecodeUsed(key string, value []byte) (UsedRow, error) {
	unknown := UsedRow{Worker: planner.Worker{ID: key}}
	var row UsedRow
	if err := json.Unmarshal(value, &row); err != nil {
		return unknown, Error.Wrap(err)
	}
	if row.Worker.ID != key {
		return unknown, Error.New("the row holds worker %.40q", row.Worker.ID)
	}
	return row, nil
}
