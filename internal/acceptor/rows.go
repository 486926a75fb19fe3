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

// Tables of a cell. Jobs lie in parts of their own, so that acceptances don't
// queue behind each other; all that the owner writes lies in one part.
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

// JobRow is an accepted job. Accepted is in Unix milliseconds. Terms are those of
// its queue at that time, by which it is carried out if operators drop the queue.
type JobRow struct {
	Job      document.StagedJob `json:"job"`
	Accepted clock.Time         `json:"accepted"`
	Terms    *document.Queue    `json:"terms,omitempty"`
}

// CancelRow marks a job as cancelled.
type CancelRow struct {
	At clock.Time `json:"at"`
}

// Head names the owner of a cell. Every write of the owner replaces it, on the
// condition that it is still the one that the owner wrote last.
type Head struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	Serial      uint64 `json:"serial"`
	// Probe is where the owner is asked whether its writes are confirmed.
	Probe string `json:"probe,omitempty"`
	// Share is the owner's share of a core, in thousandths.
	Share int `json:"share,omitempty"`
	// Overlap is for how long, from this write on, an earlier owner may still
	// act.
	Overlap clock.Span `json:"overlap-ms,omitempty"`
	// Released tells that the owner has given the cell up.
	Released bool `json:"released,omitempty"`
	// Waiting counts, by queue, the jobs of which nothing has started; Counted
	// tells that the owner knows all jobs, so that the counts hold.
	Waiting map[string]int `json:"waiting,omitempty"`
	Counted bool           `json:"counted,omitempty"`
}

// UsedRow is a worker on which the owner may have started tasks. If it is exact,
// Held names all tasks that may be there: the owner starts no others on it before
// the row names them.
type UsedRow struct {
	Worker planner.Worker   `json:"worker"`
	Exact  bool             `json:"exact,omitempty"`
	Held   []planner.TaskID `json:"held,omitempty"`
}

// Part returns the part in which a job's rows lie.
func Part(id string) string { return id[:1] }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id string) string { return id + cancelSuffix }

// SplitKey returns the job that a key of the jobs' table belongs to, and whether
// it is that of a cancellation.
func SplitKey(key string) (string, bool) { return strings.CutSuffix(key, cancelSuffix) }

// DecodeJob reads a JobRow.
func DecodeJob(value []byte) (JobRow, error) {
	var row JobRow
	err := json.Unmarshal(value, &row)
	return row, Error.Wrap(err)
}

// DecodeHead reads a Head; an absent row is a head without owner.
func DecodeHead(row table.Row) (Head, error) {
	var head Head
	if row.Version == 0 {
		return head, nil
	}
	err := json.Unmarshal(row.Value, &head)
	return head, Error.Wrap(err)
}

// DecodeProgress reads what an owner has recorded of a job.
func DecodeProgress(value []byte) (planner.Progress, error) {
	var progress planner.Progress
	err := json.Unmarshal(value, &progress)
	return progress, Error.Wrap(err)
}
