package scheduler

import (
	"strconv"
	"strings"

	"marjoramstack/internal/leaser"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TaskID names a task: its job and its index within it.
type TaskID struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// String returns the identifier as workers see it, for example "run-7.3".
func (id TaskID) String() string { return id.Job + "." + strconv.Itoa(id.Index) }

// ParseTaskID reads an identifier written by String.
func ParseTaskID(text string) (TaskID, bool) {
	at := strings.LastIndexByte(text, '.')
	if at < 0 {
		return TaskID{}, false
	}
	index, err := strconv.Atoi(text[at+1:])
	return TaskID{Job: text[:at], Index: index}, err == nil
}

// phase is where a task that has not ended stands.
type phase uint8

const (
	phaseWaiting phase = iota
	phasePlaced
)

// eviction says why and how a placed task is being stopped.
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

// task is one unit of a job that has not ended. The fields up to failures are
// durable; the rest is learnt again by a new owner.
type task struct {
	job        *job
	index      int
	phase      phase
	attempt    int
	worker     string
	resumeFrom clock.Span
	failures   int
	failedOn   []string

	placedSeq           uint64
	startDeadline       clock.Time
	startSent           bool
	startBoot           string
	reported            bool
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

// resetAttempt clears what belonged to the last attempt.
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

// counts tells how many tasks of a job stand where, within one cell.
type counts struct {
	Waiting   int `json:"waiting"`
	Placed    int `json:"placed"`
	Finished  int `json:"finished"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Moved     int `json:"moved"`
}

// job is a cell's part of a job.
type job struct {
	origin     Origin
	declared   clock.Span
	cancelled  bool
	counts     counts
	tasks      map[int]*task
	waiting    []*task
	rank       clock.Time
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

// workerState is a worker as the cell knows it. Nothing of it is durable.
type workerState struct {
	id         string
	rack       string
	total      document.Size
	address    string
	leaving    bool
	listed     bool
	anchor     leaser.Anchor
	boot       string
	synced     bool
	answeredAt clock.Time
	silent     bool

	exchanging     bool
	nextExchange   clock.Time
	exchangeWanted bool
	kills          []worker.Command
	acks           []worker.Ack
	endSeq         map[worker.Ack]uint64
	classHistory   []classCounts

	failures         int
	failedJobs       map[string]bool
	quarantinedUntil clock.Time
	backoff          clock.Span
	probation        bool
	nextRampUp       clock.Time
	rampUpUntil      clock.Time
	escalation       escalation
}

// classCounts is the set of classes on a worker from a time on.
type classCounts struct {
	at     clock.Time
	counts map[string]int
}
