package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// State is the state of a job as reported to customers.
type State string

// States of jobs.
const (
	StatePending   State = "pending"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the job has ended, so that the state no longer changes.
func (s State) Final() bool { return s != StatePending && s != StateRunning }

// lateFactor times the objective is the time after which completing a job has no
// value.
const lateFactor = 3

// attemptsPerEpoch keeps the attempt numbers of successive owners apart: an owner
// does not know the numbers of the last starts that an earlier one sent.
const attemptsPerEpoch = 100

type job struct {
	spec     document.StagedJob
	queue    document.Queue
	customer *customer // nil for a job without one
	// aboveRate is true if the customer submitted more than the agreed rate when it submitted
	// the job.
	aboveRate   bool
	state       State
	accepted    clock.Time
	deadline    clock.Time
	inherited   bool
	occurrences []*occurrence
	open        int // incomplete occurrences
	idle        int // sum of those of the steps
	running     int // sum of those of the steps
	gangs       bool
	judged      bool // all steps are
	ended       clock.Time
	// reportableAt is when the job's end became durable and so visible to customers,
	// by this owner's clock; 0 if it is not yet.
	reportableAt clock.Time
}

type occurrence struct {
	job         *job
	number      int
	scheduledAt clock.Time
	steps       []*step
	open        int  // incomplete steps
	begun       bool // a task has been started
}

type step struct {
	occurrence        *occurrence
	number            int
	spec              *document.Step
	tasks             []*task
	open              int // incomplete tasks
	unmetDependencies int // incomplete steps that this one waits for
	idle              int // incomplete tasks without an attempt that has not ended
	running           int // attempts that have not ended
	dependents        []*step
	durations         []clock.Span // of completed attempts that did not resume
	// finite is true if a straggler of the step may be copied or moved: the step is neither
	// long-running nor a gang. judged is true if the step had no straggler when it was last
	// examined and has not changed since.
	finite bool
	judged bool
	load   loadEstimate
	image  imageID // of serving and best-effort steps, 0 if not assigned yet
	advice advice
	// accounted counts the tasks of which no unknown attempt runs.
	accounted int
	// yielded is for how long in total a waiting task of the step has left free
	// capacity to short tasks, last at yieldedUntil. It is reset to 0 when all tasks
	// have been started.
	yielded      clock.Span
	yieldedUntil clock.Time
	// lastWaitReason is why the last pass left tasks of the step waiting; waitLoggedAt is
	// when that was last logged.
	lastWaitReason waitReason
	waitLoggedAt   clock.Time
	// criticalPath is the sum of estimates along the longest chain of steps from this
	// one on.
	criticalPath clock.Span
}

type task struct {
	step           *step
	index          int
	done           bool
	accounted      bool // no attempt runs that this owner does not know
	lastAttempt    int
	failedAttempts []int
	checkpoint     string
	runs           []*run
	notBefore      clock.Time
	// failedWorkers are the workers on which an attempt failed.
	failedWorkers []string
	lastEnd       clock.Time
	moves         int
	// moveTarget is the worker to which the task is being moved; regroupedAt is when
	// such a move last began.
	moveTarget  *worker
	regroupedAt clock.Time
	// reservedWorker is the worker with a reservation for the task. The task may still
	// be placed on another one.
	reservedWorker *worker
	// refusedBy are the workers that refused or lost a start of the task since it last ran.
	// The task is not started there before avoidUntil.
	refusedBy  []*worker
	avoidUntil clock.Time
	// displaced is true if the task lost its worker, and its capacity with it.
	displaced bool
	// quotaHeld is true if the quota that the task used is kept for its restart.
	quotaHeld bool
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
		finite:     !spec.LongRunning && !spec.Gang,
	}
	tasks := make([]task, spec.Tasks)
	for i := range tasks {
		tasks[i].step = s
		tasks[i].index = i
		s.tasks = append(s.tasks, &tasks[i])
	}
	s.countIdle(spec.Tasks)
	o.job.gangs = o.job.gangs || spec.Gang
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

// waiting reports whether the task is to be started now. It does not check the
// dependencies of its step.
func (t *task) waiting(now clock.Time) bool { return t.idle() && !t.notBefore.After(now) }

// recordFailure adds a failed attempt and reports whether it was new. A long-running
// task may fail any number of times, so only its latest failed attempt is kept.
func (t *task) recordFailure(attempt int) bool {
	unlimited := t.step.spec.LongRunning
	if slices.Contains(t.failedAttempts, attempt) || unlimited && len(t.failedAttempts) > 0 && attempt < t.failedAttempts[0] {
		return false
	}
	if unlimited {
		t.failedAttempts = nil
	}
	t.failedAttempts = append(t.failedAttempts, attempt)
	return true
}

// nextAttempt returns the number of the next attempt. For an inherited job it lies in
// the range of this owner's epoch.
func (t *task) nextAttempt(epoch uint64) int {
	least := 1
	if t.job().inherited {
		least = int(epoch-1)*attemptsPerEpoch + 1
	}
	t.lastAttempt = max(t.lastAttempt+1, least)
	return t.lastAttempt
}

// findTask returns the task with an identifier, nil if there is none.
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
	j.customer = p.customerFor(m)
	p.jobs[j.spec.ID] = j
	if m.Progress != nil {
		j.restore(*m.Progress)
	}
	p.countArrival(j) // also of one that has ended, which a new owner learns of
	if j.state.Final() {
		j.reportableAt = now
		delete(p.unclaimedEnds, j.spec.ID)
		return
	}
	p.addActive(j)
	p.passNeeded = true
	p.claimUnknown(now, j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			p.recordReadyShortStep(s)
			if s.spec.BestEffort || s.spec.TailTarget > 0 {
				p.imageOf(s) // here, so that the order of identifiers is deterministic
			}
		}
	}
}

// queueFor returns the settings of a job's queue: the current ones, or those recorded
// when the job was accepted if the queue no longer exists. If neither is known, the
// result has no pool, and the job waits.
func (p *Planner) queueFor(m Submitted) document.Queue {
	if q, ok := p.ops.Queue(m.Job.Queue); ok {
		return q
	}
	if m.Terms != nil {
		return *m.Terms
	}
	return document.Queue{}
}

// setQueue sets the queue's settings, and the deadline if they were unknown before.
func (j *job) setQueue(terms document.Queue) {
	if j.queue.Pool == "" {
		j.deadline = j.accepted.Add(terms.Objective(j.spec.LongestChain()))
	}
	j.queue = terms
}

// Waiting returns, by queue, the number of jobs of which no task has been started.
func (p *Planner) Waiting() map[string]int {
	counts := map[string]int{}
	for _, j := range p.active {
		if j.state == StatePending {
			counts[j.spec.Queue]++
		}
	}
	return counts
}

// Forget drops jobs whose end became visible to customers before the given time, and
// returns their identifiers.
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
