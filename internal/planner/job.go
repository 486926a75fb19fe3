package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// State is what callers are told of a job.
type State string

// States of jobs.
const (
	StatePending   State = "pending"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state does not change any more.
func (s State) Final() bool { return s != StatePending && s != StateRunning }

// lateFactor times the objective is the span after which a job has no value.
const lateFactor = 3

// attemptsPerEpoch keeps attempts of successive owners apart: an owner does not
// know the numbers of starts that an earlier one sent in its last moments.
const attemptsPerEpoch = 100

type job struct {
	spec        document.StagedJob
	queue       document.Queue
	state       State
	accepted    clock.Time
	deadline    clock.Time
	inherited   bool
	occurrences []*occurrence
	open        int // occurrences that are not complete
	ended       clock.Time
	// shown is since when callers can be told that the job has ended, by this
	// owner's clock; 0 if they can't yet.
	reportableAt clock.Time
}

type occurrence struct {
	job         *job
	number      int
	scheduledAt clock.Time
	steps       []*step
	open        int // steps that are not complete
}

type step struct {
	occurrence        *occurrence
	number            int
	spec              *document.Step
	tasks             []*task
	open              int // tasks that are not complete
	unmetDependencies int // steps that have to be complete first
	running           int // attempts that have not ended
	dependents        []*step
	durations         []clock.Span // that tasks have taken
	load              loadEstimate
	advice            advice
	// left is for how long, until leftUntil, there was room for a task of the step
	// that it left to short ones since all of them had been started.
	yielded      clock.Span
	yieldedUntil clock.Time
	// held is why the last pass left tasks of the step waiting, waitNoted when the
	// log last said so.
	holdReason   waitReason
	waitLoggedAt clock.Time
	// tail is the longest chain of estimates from this step on.
	criticalPath clock.Span
}

type task struct {
	step           *step
	index          int
	done           bool
	lastAttempt    int
	failedAttempts []int
	checkpoint     string
	runs           []*run
	notBefore      clock.Time
	// badWorkers are those on which an attempt failed.
	failedWorkers []string
	lastEnd       clock.Time
	moves         int
	// destined is the worker to which the task moves; regrouped is when it was
	// last moved so.
	moveTarget  *worker
	regroupedAt clock.Time
	// kept is the worker on which room is kept for the task, which may go to
	// another one all the same.
	reservedWorker *worker
	// displaced tells that the task lost its worker, and its room with it.
	displaced bool
}

func newJob(m Submitted) *job {
	j := &job{
		spec:      m.Job,
		state:     StatePending,
		accepted:  m.Accepted,
		inherited: m.Inherited,
	}
	for n := range m.Job.Occurrences() {
		j.occurrences = append(j.occurrences, newOccurrence(j, n))
	}
	j.open = len(j.occurrences)
	return j
}

func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{
		job:         j,
		number:      number,
		scheduledAt: j.accepted,
		open:        len(j.spec.Steps),
	}
	if s := j.spec.Schedule; s.Times > 0 {
		o.scheduledAt = clock.Time(s.StartAt).Add(s.Every * clock.Span(number))
	}
	for i := range j.spec.Steps {
		o.steps = append(o.steps, newStep(o, i))
	}
	for _, s := range o.steps {
		for _, a := range s.spec.After {
			o.steps[a].dependents = append(o.steps[a].dependents, s)
			s.unmetDependencies++
		}
	}
	for _, s := range slices.Backward(o.steps) {
		for _, f := range s.dependents {
			s.criticalPath = max(s.criticalPath, f.criticalPath)
		}
		s.criticalPath += s.spec.Estimate
	}
	return o
}

func newStep(o *occurrence, number int) *step {
	spec := &o.job.spec.Steps[number]
	s := &step{
		occurrence: o,
		number:     number,
		spec:       spec,
		open:       spec.Tasks,
	}
	tasks := make([]task, spec.Tasks)
	for i := range tasks {
		tasks[i].step = s
		tasks[i].index = i
		s.tasks = append(s.tasks, &tasks[i])
	}
	return s
}

func (t *task) job() *job { return t.step.occurrence.job }

func (t *task) id() TaskID {
	return TaskID{
		Job:        t.job().spec.ID,
		Occurrence: t.step.occurrence.number,
		Step:       t.step.number,
		Index:      t.index,
	}
}

// waiting reports whether the task has to be started.
func (t *task) waiting(now clock.Time) bool {
	return !t.done && len(t.runs) == 0 && !t.notBefore.After(now)
}

// hasFailed counts an attempt that failed, once. Of a task that lasts, which may fail
// any number of times, only the latest is kept.
func (t *task) recordFailure(attempt int) bool {
	lasts := t.step.spec.LongRunning
	if slices.Contains(t.failedAttempts, attempt) || lasts && len(t.failedAttempts) > 0 && attempt < t.failedAttempts[0] {
		return false
	}
	if lasts {
		t.failedAttempts = nil
	}
	t.failedAttempts = append(t.failedAttempts, attempt)
	return true
}

// nextAttempt numbers a further attempt.
func (t *task) nextAttempt(epoch uint64) int {
	least := 1
	if t.job().inherited {
		least = int(epoch-1)*attemptsPerEpoch + 1
	}
	t.lastAttempt = max(t.lastAttempt+1, least)
	return t.lastAttempt
}

// find returns the task of an identifier, nil if there is none.
func (p *Planner) findTask(id TaskID) *task {
	j := p.jobs[id.Job]
	if j == nil || id.Occurrence < 0 || id.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if id.Step < 0 || id.Step >= len(o.steps) {
		return nil
	}
	s := o.steps[id.Step]
	if id.Index < 0 || id.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[id.Index]
}

func (p *Planner) submit(now clock.Time, m Submitted) {
	if p.jobs[m.Job.ID] != nil {
		return
	}
	j := newJob(m)
	j.accepted = min(j.accepted, now)
	j.setQueue(p.queueFor(m))
	p.jobs[j.spec.ID] = j
	if m.Progress != nil {
		j.restore(*m.Progress)
	}
	if j.state.Final() {
		j.reportableAt = now
		delete(p.unclaimedEnds, j.spec.ID)
		return
	}
	p.active[j.spec.ID] = j
	p.passNeeded = true
	p.claimUnknown(now, j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			p.recordReadyShortStep(s)
		}
	}
}

// terms returns by what a job is carried out: as operators ask for now, else as it
// was accepted. If neither is known, it waits.
func (p *Planner) queueFor(m Submitted) document.Queue {
	if q, ok := p.ops.Queue(m.Job.Queue); ok {
		return q
	}
	if m.Terms != nil {
		return *m.Terms
	}
	return document.Queue{}
}

// agree sets by what a job is carried out.
func (j *job) setQueue(terms document.Queue) {
	if j.queue.Pool == "" {
		j.deadline = j.accepted.Add(terms.Objective(j.spec.LongestChain()))
	}
	j.queue = terms
}

// Waiting counts, by queue, the jobs of which no task has been started.
func (p *Planner) Waiting() map[string]int {
	counts := map[string]int{}
	for _, j := range p.active {
		if j.state == StatePending {
			counts[j.spec.Queue]++
		}
	}
	return counts
}

// Forget drops jobs that were shown as ended before the time, and returns their
// identifiers.
func (p *Planner) Forget(before clock.Time) []string {
	var ids []string
	for id, j := range p.jobs {
		if j.reportableAt != 0 && j.reportableAt.Before(before) && p.dirty[id] == nil && !j.hasRuns() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		delete(p.jobs, id)
	}
	return ids
}

func (j *job) hasRuns() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if len(t.runs) > 0 {
					return true
				}
			}
		}
	}
	return false
}
