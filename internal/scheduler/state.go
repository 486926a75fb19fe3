package scheduler

import (
	"strconv"
	"strings"

	"marjoramstack/internal/leaser"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TaskID identifies a task by its job and its index within the job.
type TaskID struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// String returns the identifier as it is sent to workers, for example "run-7.3".
func (id TaskID) String() string { return id.Job + "." + strconv.Itoa(id.Index) }

// ParseTaskID parses an identifier in the format of String. It reports false if
// the text has no valid index.
func ParseTaskID(text string) (TaskID, bool) {
	at := strings.LastIndexByte(text, '.')
	if at < 0 {
		return TaskID{}, false
	}
	index, err := strconv.Atoi(text[at+1:])
	return TaskID{Job: text[:at], Index: index}, err == nil
}

// phase is the state of a task that has not ended.
type phase uint8

const (
	phaseWaiting phase = iota
	phasePlaced
)

// eviction is the reason for which a placed task is being stopped. A cancelled
// task is killed; the others stop at a checkpoint.
type eviction uint8

const (
	evictNone eviction = iota
	evictLeaving
	evictPreempted
	evictTargetMissed
	evictCancelled
)

func (e eviction) String() string {
	switch e {
	case evictLeaving:
		return "leaving"
	case evictPreempted:
		return "preempted"
	case evictTargetMissed:
		return "target-in-danger"
	case evictCancelled:
		return "cancelled"
	}
	return "none"
}

// task is a task that has not ended. The fields up to failures are durable. A
// new owner rebuilds the others from replayed events and worker reports.
type task struct {
	job        *job
	index      int
	phase      phase
	attempt    int
	worker     string
	resumeFrom clock.Span
	failures   int
	failedOn   []string

	// placedSeq is the batch that records the placement.
	placedSeq uint64
	// startDeadline is when the start window closes, or 0 while the placement is
	// not durable.
	startDeadline clock.Time
	startSent     bool
	startBoot     string
	// reported is set once the worker has reported the attempt to this owner.
	reported bool
	// leaseBound is the time by which the lease has certainly expired.
	leaseBound          clock.Time
	done                clock.Span
	checkpoint          clock.Span
	checkpointOrderedAt clock.Time
	placedAt            clock.Time
	evict               eviction
	evictedAt           clock.Time
	throttleWanted      bool
	throttled           bool
}

func (t *task) id() TaskID {
	return TaskID{
		Job:   t.job.origin.Spec.ID,
		Index: t.index,
	}
}

// resetAttempt clears the state of the previous attempt and makes the task wait.
func (t *task) resetAttempt() {
	t.phase = phaseWaiting
	t.worker = ""
	t.placedSeq = 0
	t.startDeadline = 0
	t.startSent = false
	t.startBoot = ""
	t.reported = false
	t.leaseBound = 0
	t.done = t.resumeFrom
	t.checkpoint = t.resumeFrom
	t.evict = evictNone
	t.throttleWanted = false
	t.throttled = false
}

// counts holds the number of tasks of a job in each state, within one cell.
type counts struct {
	Waiting   int `json:"waiting"`
	Placed    int `json:"placed"`
	Finished  int `json:"finished"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Moved     int `json:"moved"`
}

// job holds the tasks of a job that this cell has or had.
type job struct {
	origin    Origin
	declared  clock.Span
	cancelled bool
	counts    counts
	tasks     map[int]*task
	// waiting is a stack: tasks are placed from its end.
	waiting []*task
	// rank orders the job in the queue; lower is first.
	rank clock.Time
	// queueIndex is the position in the queue, or -1.
	queueIndex int
	reason     string
	notes      []Note
}

func (j *job) ended() bool { return j.counts.Waiting == 0 && j.counts.Placed == 0 }

func (j *job) size() document.Size { return j.origin.Spec.Size }

const maxNotesPerJob = 64

func (j *job) note(n Note) {
	if len(j.notes) >= maxNotesPerJob {
		j.notes = append(j.notes[:0], j.notes[1:]...)
	}
	j.notes = append(j.notes, n)
}

func (j *job) removeWaiting(t *task) {
	for i := len(j.waiting) - 1; i >= 0; i-- {
		if j.waiting[i] == t {
			j.waiting = append(j.waiting[:i], j.waiting[i+1:]...)
			return
		}
	}
}

// workerState is the state of a worker. None of it is durable.
type workerState struct {
	id      string
	rack    string
	total   document.Size
	address string
	leaving bool
	listed  bool
	anchor  leaser.Anchor
	boot    string
	// synced is set once the worker has answered this owner.
	synced     bool
	answeredAt clock.Time
	silent     bool

	exchanging   bool
	nextExchange clock.Time
	// exchangeWanted asks for an exchange before nextExchange.
	exchangeWanted bool
	kills          []worker.Command
	acks           []worker.Ack
	// endSeq holds the batch that records the end of an attempt. The worker must
	// keep its report until that batch is durable.
	endSeq       map[worker.Ack]uint64
	classHistory []classCounts

	// failures counts consecutive failures, failedJobs the jobs they belong to.
	failures         int
	failedJobs       map[string]bool
	quarantinedUntil clock.Time
	backoff          clock.Span
	// probation limits the worker to one task at a time until one succeeds.
	probation bool
	// nextRampUp is when the worker may take its next task before rampUpUntil.
	nextRampUp  clock.Time
	rampUpUntil clock.Time
	escalation  escalation
}

// classCounts holds the number of tasks of each class on a worker from time at on.
type classCounts struct {
	at     clock.Time
	counts map[string]int
}
