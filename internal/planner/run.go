package planner

import (
	"cmp"
	"slices"
	"strings"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

type runPhase int

const (
	// runPlanned: the start waits until the record names the task.
	runPlanned runPhase = iota
	// runOrdered: the start is under way.
	runStartSent
	// runDoubtful: the start got no answer, so it may still be carried out.
	runStartUnknown
	// runListed: the worker has started it.
	runStarted
	// runStopping: the worker is told to stop it.
	runStopping
)

const (
	fullSpeed = 100 // percent
	// stopAgain is how long after a stop it is sent again.
	stopRetryDelay = 300 * clock.Millisecond
)

// run is one attempt of a task on a worker that has not ended for certain. An
// attempt that a worker lists and that belongs to no known task has task nil.
type run struct {
	task          *task
	worker        *worker
	key           runKey
	phase         runPhase
	inRecordWrite bool // a record that names the planned run is being written
	demand        document.Size
	orderedAt     clock.Time
	// life is the worker's incarnation for which the start was meant.
	incarnation int64
	// confirmed is the worker's reading from which on it lists the run.
	confirmedAt clock.Time
	// deadline is the worker's reading after which it cannot start the run.
	startDeadline clock.Time
	// refused is the worker's reading at which a stop was acknowledged.
	stopAckedAt clock.Time
	// missing is the worker's reading from which on it lists the run no more.
	missingSince clock.Time
	stopSentAt   clock.Time
	stopInFlight bool
	startedAt    clock.Time
	listedAt     clock.Time
	percent      int
	// percentFirst is the progress first listed, at percentAt.
	firstPercent    int
	firstPercentAt  clock.Time
	progressedAt    clock.Time // when it last grew
	metric          int
	checkpoint      string
	speed           int // percent last ordered
	resumed         bool
	overTargetSince clock.Time // 0 if the tail is under its target
	throttledAt     clock.Time
}

func (r *run) bestEffort() bool { return r.task != nil && r.task.step.spec.BestEffort }

// target returns the tail target of a run that serves users of its own, else 0.
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

// room is what the run takes from the worker's capacity.
func allocation(spec *document.Step) document.Size {
	size := spec.Demand
	if spec.BestEffort {
		size.Processors = 0
	}
	return size
}

// attach notes an attempt on a worker. A nil task blocks the whole worker.
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
		t.runs = append(t.runs, r)
		t.step.running++
		t.lastAttempt = max(t.lastAttempt, key.attempt)
		w.guaranteedUse += expectedUsage(t.step.spec)
		if r.target() != 0 {
			w.servingTasks[r.image()]++
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
	w.runs[key] = r
	w.forecast = nil
	if r.bestEffort() && p.grouping.colocated != nil {
		w.addColocated(p.grouping.colocated)
	}
	w.reserved = w.reserved.Plus(r.demand)
	return r
}

func (p *Planner) detach(now clock.Time, r *run) {
	w := r.worker
	w.forecast = nil
	delete(w.runs, r.key)
	w.reserved = w.reserved.Minus(r.demand)
	p.passNeeded = true
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
		if w.servingTasks[r.image()] == 0 {
			delete(w.servingTasks, r.image())
		}
	}
	r.task.step.running--
	if r.bestEffort() {
		w.bestEffortEndedAt = now
		w.bestEffortProcessors -= r.task.step.spec.Demand.Processors
	}
	r.task.runs = slices.DeleteFunc(r.task.runs, func(other *run) bool { return other == r })
}

// end takes note that an attempt is over for certain.
func (p *Planner) endRun(now clock.Time, r *run, how End, checkpoint string) {
	p.detach(now, r)
	t := r.task
	if t == nil {
		return
	}
	t.lastEnd = now
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
	p.reservePlace(now, t, r.worker)
}

// apply draws the consequences of an end for its task.
func (p *Planner) applyEnd(now clock.Time, t *task, w *worker, attempt int, how End, checkpoint string) {
	t.lastAttempt = max(t.lastAttempt, attempt)
	if t.job().state.Final() || t.done {
		return
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

// stop tells a worker to end an attempt.
func (p *Planner) stop(now clock.Time, r *run, reason string) {
	if r.phase == runStopping {
		return
	}
	if r.phase == runPlanned {
		p.detach(now, r)
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
	r.phase = runStopping
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

// stopAll stops every attempt of a task but one.
func (p *Planner) stopAll(now clock.Time, t *task, but *run) {
	for _, r := range slices.Clone(t.runs) {
		if r != but {
			p.stop(now, r, "not needed any more")
		}
	}
}

// sortedRuns returns the worker's runs in a fixed order, so that decisions
// repeat.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareKeys(a.key, b.key) })
	return runs
}

func compareKeys(a, b runKey) int {
	return cmp.Or(
		strings.Compare(a.task.Job, b.task.Job),
		a.task.Occurrence-b.task.Occurrence,
		a.task.Step-b.task.Step,
		a.task.Index-b.task.Index,
		a.attempt-b.attempt,
	)
}
