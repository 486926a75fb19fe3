package planner

import (
	"encoding/base64"
	"maps"
	"slices"

	"marjoramstack/pkg/clock"
)

// Progress is the durable record of a job: which tasks are done, which attempts
// failed, and from which checkpoints interrupted tasks resume.
type Progress struct {
	State State  `json:"state"`
	Queue string `json:"queue"`
	// Customer is who submitted the job, empty if it came without a key.
	Customer string       `json:"customer,omitempty"`
	Ended    clock.Time   `json:"ended,omitempty"`
	Steps    []StepRecord `json:"steps,omitempty"`
	Tasks    []TaskRecord `json:"tasks,omitempty"`
}

// maxAttemptNumber is far above the number of any attempt; the numbers of an owner are
// attemptsPerEpoch above those of the one before.
const maxAttemptNumber = 1 << 52

// Check returns an error if no owner can have recorded the progress.
func (r Progress) Check() error {
	switch r.State {
	case StatePending, StateRunning, StateCompleted, StateFailed, StateCancelled:
	default:
		return Error.New("unknown state %.40q", string(r.State))
	}
	for _, t := range r.Tasks {
		for _, attempt := range t.Failed {
			if attempt < 0 || attempt > maxAttemptNumber {
				return Error.New("attempt number %d is out of range", attempt)
			}
		}
	}
	return nil
}

// StepRecord lists the done tasks of a step: all of them, or those whose bits are set
// in Done, a base64-encoded bitmap by task index.
type StepRecord struct {
	Occurrence int    `json:"o,omitempty"`
	Step       int    `json:"s,omitempty"`
	All        bool   `json:"all,omitempty"`
	Done       string `json:"done,omitempty"`
}

// TaskRecord holds the failed attempts and the latest checkpoint of a task that is not
// done.
type TaskRecord struct {
	Occurrence int    `json:"o,omitempty"`
	Step       int    `json:"s,omitempty"`
	Index      int    `json:"i,omitempty"`
	Failed     []int  `json:"failed,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Change is a job's record to be made durable.
type Change struct {
	Job      string
	Progress Progress
}

// Batch is a set of changes to be made durable in one transaction. Used holds the
// records of workers to write, Unused the workers whose records are to be deleted.
type Batch struct {
	Number  uint64
	Changes []Change
	Used    []WorkerRecord
	Unused  []string
}

// WorkerRecord is the durable record of a worker in use. If it is exact, Held lists
// every task that may be running there; otherwise any task may be.
type WorkerRecord struct {
	Worker Worker
	Exact  bool
	Held   []TaskID
	// SilentEpoch is set while the worker does not answer: the epoch of the owner that
	// says so. LeaseLeft is then the longest that any lease there may still last, counted
	// from when the row is written; no owner grants another before it has replaced the row.
	SilentEpoch uint64
	LeaseLeft   clock.Span
}

// pendingBatch is the batch in flight. The acks are the ends that the owner may
// acknowledge to workers once the batch is durable.
type pendingBatch struct {
	number  uint64
	acks    []workerAck
	jobs    map[string]*job
	records []pendingRecord
}

type workerAck struct {
	worker      *worker
	incarnation int64
	number      uint64
}

// Dirty reports whether there are changes to be made durable.
func (p *Planner) Dirty() bool {
	if len(p.dirty) > 0 || len(p.recordsToDrop) > 0 {
		return true
	}
	if !p.recordsCurrent {
		due := slices.ContainsFunc(p.fleet, p.recordDue)
		p.recordsCurrent = !due && !slices.ContainsFunc(p.fleet, func(w *worker) bool { return w.recordOutdated || w.silentRecorded })
		return due
	}
	return false
}

// TakeChanges returns the next batch of at most the given number of changes, and
// false if there is none. Only one batch can be in flight: the next one is returned
// after Committed.
func (p *Planner) TakeChanges(limit int) (Batch, bool) {
	if p.inFlight != nil || !p.Dirty() {
		return Batch{}, false
	}
	p.lastBatch++
	batch := Batch{Number: p.lastBatch}
	pending := &pendingBatch{
		number: p.lastBatch,
		jobs:   map[string]*job{},
	}
	ended, unfinished := p.sortedDirty()
	p.takeProgress(&batch, pending, ended, limit)
	// A new owner has many worker records to write. The ends that workers have reported to
	// it must not wait for all of them.
	p.takeProgress(&batch, pending, unfinished, (limit+len(batch.Changes))/2)
	p.takeWorkerRecords(&batch, pending, limit-len(batch.Changes))
	p.takeProgress(&batch, pending, unfinished, limit-len(batch.Used)-len(batch.Unused))
	if len(p.dirty) == 0 {
		pending.acks = p.newAcks()
	}
	p.inFlight = pending
	return batch, true
}

// newAcks returns the acknowledgements of ends that are not acknowledged yet.
func (p *Planner) newAcks() []workerAck {
	var acks []workerAck
	for _, w := range p.fleet {
		if w.appliedEnd <= w.ackedEnd {
			continue
		}
		acks = append(acks, workerAck{
			worker:      w,
			incarnation: w.incarnation,
			number:      p.acknowledgeable(w),
		})
	}
	return acks
}

// sortedDirty returns the jobs whose record has changed, sorted by identifier: those
// that have ended, which customers wait for, and the others.
func (p *Planner) sortedDirty() (ended, unfinished []string) {
	for _, id := range slices.Sorted(maps.Keys(p.dirty)) {
		if p.dirty[id].state.Final() {
			ended = append(ended, id)
		} else {
			unfinished = append(unfinished, id)
		}
	}
	return ended, unfinished
}

// takeProgress adds the records of jobs to the batch, up to limit changes in total.
func (p *Planner) takeProgress(batch *Batch, pending *pendingBatch, ids []string, limit int) {
	for _, id := range ids {
		if len(batch.Changes) >= limit {
			return
		}
		j := p.dirty[id]
		if j == nil {
			continue // the batch holds it already
		}
		batch.Changes = append(batch.Changes, Change{
			Job:      id,
			Progress: j.record(),
		})
		pending.jobs[id] = j
		delete(p.dirty, id)
	}
}

func (p *Planner) commit(now clock.Time, m Committed) {
	b := p.inFlight
	if b == nil || b.number != m.Number {
		return
	}
	p.inFlight = nil
	p.committedBatch = m.Number
	p.recordsCurrent = false // a worker that is leaving may hold nothing any more
	for id, j := range b.jobs {
		if j.state.Final() && p.dirty[id] == nil {
			j.reportableAt = now
		}
	}
	for _, u := range b.records {
		p.recordDurable(now, u)
	}
	for _, ack := range b.acks {
		w := ack.worker
		if p.workers[w.id] != w || w.incarnation != ack.incarnation || ack.number <= w.ackedEnd {
			continue
		}
		w.ackedEnd = ack.number
		if !w.renewInFlight && w.renewAt.After(now) {
			p.scheduleRenewal(w, p.earliestRenewal(now, w))
		}
	}
}

// markStarted records that a worker has begun a task of the job. A start that was only sent may
// be refused or get lost.
func (j *job) markStarted(p *Planner) {
	if j.state == StatePending {
		j.state = StateRunning
		p.dirty[j.spec.ID] = j
	}
}

func (j *job) record() Progress {
	r := Progress{
		State:    j.state,
		Queue:    j.spec.Queue,
		Customer: j.spec.Customer,
		Ended:    j.ended,
	}
	if j.state.Final() {
		return r
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.open < len(s.tasks) {
				r.Steps = append(r.Steps, s.record())
			}
			for _, t := range s.tasks {
				if t.done || (len(t.failedAttempts) == 0 && t.checkpoint == "") {
					continue
				}
				r.Tasks = append(r.Tasks, TaskRecord{
					Occurrence: o.number,
					Step:       s.number,
					Index:      t.index,
					Failed:     slices.Clone(t.failedAttempts),
					Checkpoint: t.checkpoint,
				})
			}
		}
	}
	return r
}

func (s *step) record() StepRecord {
	r := StepRecord{
		Occurrence: s.occurrence.number,
		Step:       s.number,
	}
	if s.open == 0 {
		r.All = true
		return r
	}
	bits := make([]byte, (len(s.tasks)+7)/8)
	for _, t := range s.tasks {
		if t.done {
			bits[t.index/8] |= 1 << (t.index % 8)
		}
	}
	r.Done = base64.StdEncoding.EncodeToString(bits)
	return r
}

// restore sets a job to the state that an earlier owner recorded.
func (j *job) restore(r Progress) {
	j.state = r.State
	j.ended = r.Ended
	if j.state.Final() {
		return
	}
	for _, sr := range r.Steps {
		j.restoreStep(sr)
	}
	for _, tr := range r.Tasks {
		s := j.step(tr.Occurrence, tr.Step)
		if s == nil || tr.Index < 0 || tr.Index >= len(s.tasks) {
			continue
		}
		s.tasks[tr.Index].restore(tr)
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.open == 0 {
				s.restoreComplete()
			}
		}
	}
}

// restore sets a task to its recorded state. Its next attempt gets a number higher
// than those that the earlier owner may have used since it wrote the record.
func (t *task) restore(r TaskRecord) {
	t.failedAttempts = r.Failed
	t.checkpoint = r.Checkpoint
	if len(t.failedAttempts) > 0 {
		t.lastAttempt = slices.Max(t.failedAttempts) + attemptsPerEpoch - 1
	}
}

func (j *job) step(occurrence, number int) *step {
	if occurrence < 0 || occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[occurrence]
	if number < 0 || number >= len(o.steps) {
		return nil
	}
	return o.steps[number]
}

func (j *job) restoreStep(r StepRecord) {
	s := j.step(r.Occurrence, r.Step)
	if s == nil {
		return
	}
	bits, err := base64.StdEncoding.DecodeString(r.Done)
	if err != nil {
		bits = nil // an unreadable record marks no task as done
	}
	for _, t := range s.tasks {
		set := t.index/8 < len(bits) && bits[t.index/8]&(1<<(t.index%8)) != 0
		if !t.done && (r.All || set) {
			s.occurrence.begun = true
			t.markDone()
			s.open--
		}
	}
}

func (s *step) restoreComplete() {
	for _, f := range s.dependents {
		f.unmetDependencies--
	}
	s.occurrence.open--
	if s.occurrence.open == 0 {
		s.occurrence.job.open--
	}
}
