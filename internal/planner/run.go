package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

type runPhase int

const (
	// runPlanned: the start waits until the worker's durable record names the task.
	runPlanned runPhase = iota
	// runStartSent: the start is in flight.
	runStartSent
	// runStartUnknown: the start was not answered, so it may have been or still be
	// carried out.
	runStartUnknown
	// runStarted: the worker has started the attempt.
	runStarted
	// runStopping: the worker has been told to stop the attempt.
	runStopping
)

const (
	fullSpeed = 100 // percent
	// stopRetryDelay is how long after StopGrace an unanswered or ineffective stop is
	// sent again.
	stopRetryDelay = 300 * clock.Millisecond
)

// run is an attempt that is planned on a worker or may be running there. Its task is
// nil if the worker reports an attempt of an unknown task.
type run struct {
	task          *task
	worker        *worker
	key           runKey
	phase         runPhase
	inRecordWrite bool // a record that names the planned run is in flight
	demand        document.Size
	orderedAt     clock.Time
	// startIncarnation is the worker's incarnation to which the start was sent.
	startIncarnation int64
	// startDeadline is the worker's time after which it refuses the start. The worker
	// compares it with the clock of the incarnation that the start reaches.
	startDeadline clock.Time
	// startLost is true if the worker never carried out the start.
	startLost bool
	lifeTimes
	// answeredAt is when the owner read the answer that set confirmedAt.
	answeredAt   clock.Time
	stopSentAt   clock.Time
	stopInFlight bool
	startedAt    clock.Time
	listedAt     clock.Time
	percent      int
	// firstPercent is the progress first reported, at firstPercentAt.
	firstPercent    int
	firstPercentAt  clock.Time
	progressedAt    clock.Time // when percent last increased
	metric          int
	checkpoint      string
	speed           int // in percent, as last ordered
	resumed         bool
	overTargetSince clock.Time // 0 while the tail is within its target
	throttledAt     clock.Time
	// adopted is true if an earlier owner started the run; its speed is not known then.
	adopted bool
	// speedOrderedAt is when the run's speed was last ordered, or the run adopted.
	speedOrderedAt clock.Time
	searchedAt     clock.Time // when another worker was last looked for
}

// lifeTimes are times on the clock of one incarnation of a run's worker. They say nothing in
// the next incarnation, whose clock starts anew.
type lifeTimes struct {
	// confirmedAt is the time from which the worker's reports include the run.
	confirmedAt clock.Time
	// stopAckedAt is the time at which the worker acknowledged a stop.
	stopAckedAt clock.Time
	// missingSince is the time of the first report that lacks the run.
	missingSince clock.Time
	// newerConfirmed is true if confirmedAt is earlier than the clock of the known incarnation
	// showed when the start was sent, so a later one has accepted the start.
	newerConfirmed bool
}

func (r *run) bestEffort() bool { return r.task != nil && r.task.step.spec.BestEffort }

// target returns the tail target of a serving task, 0 for any other.
func (r *run) target() clock.Span {
	if r.task == nil {
		return 0
	}
	return r.task.step.spec.TailTarget
}

func (r *run) image() string {
	if r.task == nil {
		return ""
	}
	return r.task.step.spec.Image
}

// allocation returns what a task takes from the worker's capacity. Best-effort tasks
// take memory but no processors.
func allocation(spec *document.Step) document.Size {
	size := spec.Demand
	if spec.BestEffort {
		size.Processors = 0
	}
	return size
}

// attach adds an attempt to a worker. An attempt of an unknown task (nil) takes the
// worker's whole capacity.
func (p *Planner) attach(w *worker, t *task, key runKey) *run {
	r := &run{
		task:   t,
		worker: w,
		key:    key,
		speed:  fullSpeed,
		demand: w.info.Capacity,
	}
	if t != nil {
		r.demand = allocation(t.step.spec)
		r.checkpoint = t.checkpoint
		r.resumed = t.checkpoint != ""
		t.addRun(r)
		t.useQuota()
		t.step.occurrence.begun = true
		t.lastAttempt = max(t.lastAttempt, key.attempt)
		w.guaranteedUse += expectedUsage(t.step.spec)
		if r.target() != 0 {
			w.servingTasks[r.image()]++
			w.masks = nil
		}
		if t.moveTarget == w {
			t.moveTarget = nil
		}
		t.reservedWorker = nil
		t.displaced = false
		if t.step.spec.BestEffort {
			w.bestEffortProcessors += t.step.spec.Demand.Processors
		}
	}
	w.addRun(r)
	p.watchExpiry(w)
	w.forecast = nil
	if r.bestEffort() && p.colocation.colocated != nil {
		p.addColocated(p.colocation.colocated, w)
	}
	w.allocated = w.allocated.Plus(r.demand)
	return r
}

func (p *Planner) detach(now clock.Time, r *run) {
	w := r.worker
	w.forecast = nil
	w.removeRun(r)
	w.allocated = w.allocated.Minus(r.demand)
	p.passNeeded = true
	if w.record == recordFrozen {
		p.recordsCurrent = false // it may hold nothing any more
	}
	if p.restartNoticedAt != 0 {
		p.watchExpiry(w) // its lease may expire earlier without the run
	}
	if r.phase == runPlanned {
		w.plannedStarts--
	}
	if r.phase == runPlanned && !r.inRecordWrite {
		w.unrecordedStarts--
	}
	if r.task == nil {
		return
	}
	w.guaranteedUse -= expectedUsage(r.task.step.spec)
	if r.target() != 0 {
		w.servingTasks[r.image()]--
		w.masks = nil
		if w.servingTasks[r.image()] == 0 {
			delete(w.servingTasks, r.image())
		}
	}
	if r.bestEffort() {
		w.bestEffortEndedAt = now
		w.bestEffortProcessors -= r.task.step.spec.Demand.Processors
	}
	r.task.removeRun(r)
	r.task.freeQuota(r)
}

// endRun handles an attempt that has certainly ended.
func (p *Planner) endRun(now clock.Time, r *run, how End, checkpoint string) {
	p.detach(now, r)
	t := r.task
	if t == nil {
		return
	}
	if r.startLost {
		t.refused(r.worker)
	} else {
		t.refusedBy = nil
	}
	if !r.startLost || t.lastEnd == 0 {
		t.lastEnd = now // a lost start does not begin the time anew
	}
	p.updateHealth(now, r, how)
	p.log(LogEntry{
		Event:   "task-" + how.String(),
		Job:     r.key.task.Job,
		Task:    r.key.task.String(),
		Attempt: r.key.attempt,
		Worker:  r.worker.info.ID,
		Age:     now.Sub(r.orderedAt),
	})
	p.applyEnd(now, t, r.worker, r.key.attempt, how, checkpoint)
	if !t.done {
		p.outdateRecord(r.worker)
	}
	p.reservePlace(now, t, r.worker)
}

// applyEnd updates the task after the end of an attempt.
func (p *Planner) applyEnd(now clock.Time, t *task, w *worker, attempt int, how End, checkpoint string) {
	t.lastAttempt = max(t.lastAttempt, attempt)
	if t.job().state.Final() || t.done {
		return
	}
	if how == EndDone || how == EndFailed {
		p.addUnrecordedEnd(w, t)
	}
	switch how {
	case EndDone:
		if !t.step.spec.LongRunning {
			p.completeGang(now, t)
			return
		}
	case EndFailed:
		p.countFailure(now, t, attempt, w.info.ID)
	case EndStopped, EndLapsed, EndBroken, EndAlone:
	}
	if checkpoint != "" && len(t.runs) == 0 && checkpoint != t.checkpoint {
		t.checkpoint = checkpoint
		p.dirty[t.job().spec.ID] = t.job()
	}
}

// stop orders the end of an attempt. A planned run is just removed.
func (p *Planner) stop(now clock.Time, r *run, reason string) {
	if r.phase == runStopping {
		return
	}
	if r.phase == runPlanned {
		p.detach(now, r)
		p.outdateRecord(r.worker)
		return
	}
	p.log(LogEntry{
		Event:   "task-stop",
		Job:     r.key.task.Job,
		Task:    r.key.task.String(),
		Attempt: r.key.attempt,
		Worker:  r.worker.info.ID,
		Reason:  reason,
	})
	r.setPhase(runStopping)
	p.sendStop(now, r)
}

func (p *Planner) sendStop(now clock.Time, r *run) {
	r.stopSentAt = now
	r.stopInFlight = true
	p.order(Stop{
		Target:  r.worker.target(),
		Task:    r.key.task,
		Attempt: r.key.attempt,
	})
}

// stopAll stops every attempt of a task except one, which may be nil.
func (p *Planner) stopAll(now clock.Time, t *task, except *run) {
	for _, r := range slices.Clone(t.runs) {
		if r != except {
			p.stop(now, r, "no longer needed")
		}
	}
}
