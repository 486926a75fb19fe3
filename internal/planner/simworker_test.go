package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// reading is the worker's own clock, which may be slow.
func (s *simWorker) workerTime(now clock.Time) clock.Time {
	span := now.Sub(s.clockZero)
	return clock.Time(span - span*s.clockSlow/1000)
}

// arrive lets a worker carry out an order. It reports false if the worker is
// unreachable.
func (w *simulation) execute(owner int, order Order, reply func(Message)) bool {
	switch o := order.(type) {
	case Start:
		sim := w.workers[o.Worker]
		if w.unreachable(sim, owner) {
			return false
		}
		out := w.start(sim, o, w.epochOf(owner))
		reply(StartEnded{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, Outcome: out, WorkerTime: sim.workerTime(w.now)})
	case Stop:
		sim := w.workers[o.Worker]
		if w.unreachable(sim, owner) {
			return false
		}
		out := w.stop(sim, o, w.epochOf(owner))
		reply(StopEnded{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, Outcome: out, WorkerTime: sim.workerTime(w.now)})
	case Renew:
		return w.renew(owner, o, reply)
	}
	return true
}

// unreachable reports whether a worker is cut off from an owner.
func (w *simulation) unreachable(sim *simWorker, owner int) bool {
	return sim.cutUntil.After(w.now) && sim.reachableBy != owner
}

// epochOf returns the epoch of an owner: there is one owner an epoch.
func (w *simulation) epochOf(owner int) uint64 { return uint64(owner) }

func (w *simulation) start(sim *simWorker, o Start, epoch uint64) Outcome {
	w.advance(sim)
	if out := sim.admit(epoch); out != OutcomeTaken {
		return out
	}
	if o.Incarnation != sim.incarnation {
		return OutcomeReplaced
	}
	key := runKey{task: o.Task, attempt: o.Attempt}
	switch {
	case sim.running[key] != nil:
		return OutcomeTaken
	case o.Deadline.Before(sim.workerTime(w.now)):
		return OutcomeLate
	case o.Attempt <= sim.highest[o.Task]:
		return OutcomeOld
	}
	sim.lease = max(sim.lease, min(o.Deadline, sim.workerTime(w.now).Add(simLease)))
	w.begin(sim, key)
	return OutcomeTaken
}

// admit holds an order against the worker's identifier and epoch. That starts for
// an earlier life are carried out by the next under the same identifier is left
// out (docs/QUESTIONS.md, 1).
func (s *simWorker) admit(epoch uint64) Outcome {
	switch {
	case s.replaced:
		return OutcomeReplaced
	case epoch < s.epoch:
		return OutcomeFenced
	}
	s.epoch = epoch
	return OutcomeTaken
}

// begin starts an attempt and checks what every start must keep.
func (w *simulation) begin(sim *simWorker, key runKey) {
	w.started++
	spec := w.spec(key.task)
	for _, id := range w.workerIDs {
		other := w.workers[id]
		w.advance(other)
		for running := range other.running {
			if running.task == key.task {
				w.violate("%v attempt %d starts on %s while attempt %d runs on %s", key.task, key.attempt, sim.info.ID, running.attempt, id)
			}
		}
	}
	if w.acknowledged[key.task] {
		w.violate("%v starts after its end was acknowledged", key.task)
	}
	if !spec.LongRunning && w.failed[key.task] >= w.maxAttempts(key.task) {
		w.violate("%v starts after %d failures", key.task, w.failed[key.task])
	}
	for _, a := range spec.After {
		if !w.stepDone(key.task, a) {
			w.violate("%v starts before step %d is done", key.task, a)
		}
	}
	run := &simRun{key: key, endsAt: w.now.Add(spec.Estimate), speed: fullSpeed}
	if spec.LongRunning {
		run.endsAt = w.now.Add(clock.Hour)
	}
	if w.chance(w.faults.taskFailures) {
		run.willFail = true
		run.endsAt = w.now.Add(clock.Span(50 + w.random.IntN(500)))
	}
	sim.running[key] = run
	used := document.Size{}
	for running := range sim.running {
		used = used.Plus(allocation(w.spec(running.task)))
	}
	if !used.Fits(sim.info.Capacity) {
		w.violate("%s holds %+v", sim.info.ID, used)
	}
	w.schedule(run.endsAt, func() { w.wake(sim) })
}

func (w *simulation) spec(id TaskID) *document.Step {
	for i := range w.jobs {
		if w.jobs[i].ID == id.Job {
			return &w.jobs[i].Steps[id.Step]
		}
	}
	panic("a task of no job")
}

func (w *simulation) maxAttempts(id TaskID) int {
	for _, job := range w.jobs {
		if job.ID == id.Job && job.Queue == "quick" {
			return 4
		}
	}
	return 3
}

func (w *simulation) stepDone(id TaskID, step int) bool {
	spec := w.spec(TaskID{Job: id.Job, Step: step})
	for i := range spec.Tasks {
		if !w.done[TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: step, Index: i}] {
			return false
		}
	}
	return true
}

func (w *simulation) stop(sim *simWorker, o Stop, epoch uint64) Outcome {
	w.advance(sim)
	if out := sim.admit(epoch); out != OutcomeTaken {
		return out
	}
	sim.highest[o.Task] = max(sim.highest[o.Task], o.Attempt)
	if run := sim.running[runKey{task: o.Task, attempt: o.Attempt}]; run != nil {
		w.after(clock.Span(w.random.IntN(200)), func() {
			w.advance(sim)
			if sim.running[run.key] == run {
				w.endRun(sim, run, EndStopped)
			}
		})
	}
	return OutcomeTaken
}

// settle lets time act on a worker: its lease may have run out.
func (w *simulation) advance(sim *simWorker) {
	reading := sim.workerTime(w.now)
	for _, run := range sim.sorted() {
		switch {
		case reading.After(sim.lease):
			w.endRun(sim, run, EndLapsed)
		case !run.endsAt.After(w.now) && run.willFail:
			w.endRun(sim, run, EndFailed)
		case !run.endsAt.After(w.now):
			w.done[run.key.task] = true
			w.endRun(sim, run, EndDone)
		}
	}
}

func (s *simWorker) sorted() []*simRun {
	var runs []*simRun
	for _, r := range s.running {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *simRun) int {
		if a.endsAt != b.endsAt {
			return int(a.endsAt - b.endsAt)
		}
		if a.key.task.String() < b.key.task.String() {
			return -1
		}
		return 1
	})
	return runs
}

func (w *simulation) endRun(sim *simWorker, run *simRun, how End) {
	delete(sim.running, run.key)
	sim.highest[run.key.task] = max(sim.highest[run.key.task], run.key.attempt)
	sim.number++
	sim.ended = append(sim.ended, Ended{
		Number:  sim.number,
		Task:    run.key.task,
		Attempt: run.key.attempt,
		How:     how,
	})
	w.answerRenewal(sim)
}

func (w *simulation) wake(sim *simWorker) { w.advance(sim) }

// hold renews the lease and answers at once, or when an attempt ends.
func (w *simulation) renew(owner int, o Renew, reply func(Message)) bool {
	sim := w.workers[o.Worker]
	if w.unreachable(sim, owner) {
		return false
	}
	if sim.replaced {
		reply(RenewFailed{Worker: o.Worker, Address: o.Address, Outcome: OutcomeReplaced, Extra: o.Extra})
		return true
	}
	w.advance(sim)
	if w.epochOf(owner) < sim.epoch {
		reply(RenewFailed{Worker: o.Worker, Outcome: OutcomeFenced, Extra: o.Extra})
		return true
	}
	sim.epoch = w.epochOf(owner)
	if o.Incarnation != 0 && o.Incarnation != sim.incarnation && o.Deadline != 0 {
		// The worker's identifier stays, so it answers in its new life.
		o.Deadline = 0
		o.Acked = 0
	}
	if o.Deadline != 0 {
		sim.lease = max(sim.lease, min(o.Deadline, sim.workerTime(w.now).Add(simLease)))
	}
	w.acknowledge(sim, o.Acked)
	if o.Wait > 0 && len(sim.ended) == 0 && !o.Extra {
		sim.pendingRenew = &pendingRenew{owner: owner, renew: o}
		w.after(o.Wait, func() {
			if sim.pendingRenew != nil && sim.pendingRenew.renew == o {
				w.answerRenewal(sim)
			}
		})
		return true
	}
	reply(Renewed{Worker: o.Worker, Report: sim.report(w.now), Received: w.now, Extra: o.Extra})
	return true
}

// forget drops the ends that the owner has acknowledged, and notes them.
func (w *simulation) acknowledge(sim *simWorker, acked uint64) {
	for len(sim.ended) > 0 && sim.ended[0].Number <= acked {
		e := sim.ended[0]
		switch {
		case e.How == EndDone && !w.spec(e.Task).LongRunning:
			w.acknowledged[e.Task] = true
		case e.How == EndFailed:
			w.failed[e.Task]++
		}
		sim.ended = sim.ended[1:]
	}
}

// answerHold answers the renewal that waits at a worker.
func (w *simulation) answerRenewal(sim *simWorker) {
	waiting := sim.pendingRenew
	if waiting == nil {
		return
	}
	sim.pendingRenew = nil
	if w.unreachable(sim, waiting.owner) {
		w.after(400, func() { w.tellOwner(waiting.owner, unanswered(waiting.renew)) })
		return
	}
	report := sim.report(w.now)
	w.after(clock.Span(1+w.random.IntN(8)), func() {
		w.tellOwner(waiting.owner, Renewed{Worker: sim.info.ID, Report: report, Received: w.now})
	})
}

func (s *simWorker) report(now clock.Time) Report {
	r := Report{
		Incarnation: s.incarnation,
		WorkerTime:  s.workerTime(now),
		Ended:       slices.Clone(s.ended),
	}
	for _, run := range s.sorted() {
		r.Running = append(r.Running, Running{Task: run.key.task, Attempt: run.key.attempt})
	}
	return r
}
