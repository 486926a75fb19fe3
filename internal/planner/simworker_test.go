package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// reading is the worker's own clock, which may be slow.
func (s *simWorker) reading(now clock.Time) clock.Time {
	span := now.Sub(s.zero)
	return clock.Time(span - span*s.slow/1000)
}

// arrive lets a worker carry out an order. It reports false if the worker is
// unreachable.
func (w *world) arrive(owner int, order Order, reply func(Message)) bool {
	switch o := order.(type) {
	case Start:
		sim := w.workers[o.Worker]
		if w.unreachable(sim, owner) {
			return false
		}
		out := w.start(sim, o, w.epochOf(owner))
		reply(StartEnded{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, Outcome: out, WorkerTime: sim.reading(w.now)})
	case Stop:
		sim := w.workers[o.Worker]
		if w.unreachable(sim, owner) {
			return false
		}
		out := w.stop(sim, o, w.epochOf(owner))
		reply(StopEnded{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, Outcome: out, WorkerTime: sim.reading(w.now)})
	case Renew:
		return w.hold(owner, o, reply)
	}
	return true
}

// unreachable reports whether a worker is cut off from an owner.
func (w *world) unreachable(sim *simWorker, owner int) bool {
	return sim.cut.After(w.now) && sim.reacher != owner
}

// epochOf returns the epoch of an owner: there is one owner an epoch.
func (w *world) epochOf(owner int) uint64 { return uint64(owner) }

func (w *world) start(sim *simWorker, o Start, epoch uint64) Outcome {
	w.settle(sim)
	if out := sim.admit(epoch); out != OutcomeTaken {
		return out
	}
	if o.Incarnation != sim.born {
		return OutcomeReplaced
	}
	key := runKey{task: o.Task, attempt: o.Attempt}
	switch {
	case sim.running[key] != nil:
		return OutcomeTaken
	case o.Deadline.Before(sim.reading(w.now)):
		return OutcomeLate
	case o.Attempt <= sim.highest[o.Task]:
		return OutcomeOld
	}
	sim.lease = max(sim.lease, min(o.Deadline, sim.reading(w.now).Add(simLease)))
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
func (w *world) begin(sim *simWorker, key runKey) {
	w.started++
	spec := w.spec(key.task)
	for _, id := range w.order {
		other := w.workers[id]
		w.settle(other)
		for running := range other.running {
			if running.task == key.task {
				w.breach("%v attempt %d starts on %s while attempt %d runs on %s", key.task, key.attempt, sim.info.ID, running.attempt, id)
			}
		}
	}
	if w.noted[key.task] {
		w.breach("%v starts after its end was acknowledged", key.task)
	}
	if !spec.LongRunning && w.failed[key.task] >= w.attempts(key.task) {
		w.breach("%v starts after %d failures", key.task, w.failed[key.task])
	}
	for _, a := range spec.After {
		if !w.stepDone(key.task, a) {
			w.breach("%v starts before step %d is done", key.task, a)
		}
	}
	run := &simRun{key: key, until: w.now.Add(spec.Estimate), speed: fullSpeed}
	if spec.LongRunning {
		run.until = w.now.Add(clock.Hour)
	}
	if w.chance(w.faults.taskFailures) {
		run.fails = true
		run.until = w.now.Add(clock.Span(50 + w.random.IntN(500)))
	}
	sim.running[key] = run
	used := document.Size{}
	for running := range sim.running {
		used = used.Plus(room(w.spec(running.task)))
	}
	if !used.Fits(sim.info.Capacity) {
		w.breach("%s holds %+v", sim.info.ID, used)
	}
	w.at(run.until, func() { w.wake(sim) })
}

func (w *world) spec(id TaskID) *document.Step {
	for i := range w.jobs {
		if w.jobs[i].ID == id.Job {
			return &w.jobs[i].Steps[id.Step]
		}
	}
	panic("a task of no job")
}

func (w *world) attempts(id TaskID) int {
	for _, job := range w.jobs {
		if job.ID == id.Job && job.Queue == "quick" {
			return 4
		}
	}
	return 3
}

func (w *world) stepDone(id TaskID, step int) bool {
	spec := w.spec(TaskID{Job: id.Job, Step: step})
	for i := range spec.Tasks {
		if !w.done[TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: step, Index: i}] {
			return false
		}
	}
	return true
}

func (w *world) stop(sim *simWorker, o Stop, epoch uint64) Outcome {
	w.settle(sim)
	if out := sim.admit(epoch); out != OutcomeTaken {
		return out
	}
	sim.highest[o.Task] = max(sim.highest[o.Task], o.Attempt)
	if run := sim.running[runKey{task: o.Task, attempt: o.Attempt}]; run != nil {
		w.after(clock.Span(w.random.IntN(200)), func() {
			w.settle(sim)
			if sim.running[run.key] == run {
				w.endRun(sim, run, EndStopped)
			}
		})
	}
	return OutcomeTaken
}

// settle lets time act on a worker: its lease may have run out.
func (w *world) settle(sim *simWorker) {
	reading := sim.reading(w.now)
	for _, run := range sim.sorted() {
		switch {
		case reading.After(sim.lease):
			w.endRun(sim, run, EndLapsed)
		case !run.until.After(w.now) && run.fails:
			w.endRun(sim, run, EndFailed)
		case !run.until.After(w.now):
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
		if a.until != b.until {
			return int(a.until - b.until)
		}
		if a.key.task.String() < b.key.task.String() {
			return -1
		}
		return 1
	})
	return runs
}

func (w *world) endRun(sim *simWorker, run *simRun, how End) {
	delete(sim.running, run.key)
	sim.highest[run.key.task] = max(sim.highest[run.key.task], run.key.attempt)
	sim.number++
	sim.ended = append(sim.ended, Ended{
		Number:  sim.number,
		Task:    run.key.task,
		Attempt: run.key.attempt,
		How:     how,
	})
	w.answerHold(sim)
}

func (w *world) wake(sim *simWorker) { w.settle(sim) }

// hold renews the lease and answers at once, or when an attempt ends.
func (w *world) hold(owner int, o Renew, reply func(Message)) bool {
	sim := w.workers[o.Worker]
	if w.unreachable(sim, owner) {
		return false
	}
	if sim.replaced {
		reply(RenewFailed{Worker: o.Worker, Address: o.Address, Outcome: OutcomeReplaced, Extra: o.Extra})
		return true
	}
	w.settle(sim)
	if w.epochOf(owner) < sim.epoch {
		reply(RenewFailed{Worker: o.Worker, Outcome: OutcomeFenced, Extra: o.Extra})
		return true
	}
	sim.epoch = w.epochOf(owner)
	if o.Incarnation != 0 && o.Incarnation != sim.born && o.Deadline != 0 {
		// The worker's identifier stays, so it answers in its new life.
		o.Deadline = 0
		o.Acked = 0
	}
	if o.Deadline != 0 {
		sim.lease = max(sim.lease, min(o.Deadline, sim.reading(w.now).Add(simLease)))
	}
	w.forget(sim, o.Acked)
	if o.Wait > 0 && len(sim.ended) == 0 && !o.Extra {
		sim.waiting = &waitingRenew{owner: owner, renew: o}
		w.after(o.Wait, func() {
			if sim.waiting != nil && sim.waiting.renew == o {
				w.answerHold(sim)
			}
		})
		return true
	}
	reply(Renewed{Worker: o.Worker, Report: sim.report(w.now), Received: w.now, Extra: o.Extra})
	return true
}

// forget drops the ends that the owner has acknowledged, and notes them.
func (w *world) forget(sim *simWorker, acked uint64) {
	for len(sim.ended) > 0 && sim.ended[0].Number <= acked {
		e := sim.ended[0]
		switch {
		case e.How == EndDone && !w.spec(e.Task).LongRunning:
			w.noted[e.Task] = true
		case e.How == EndFailed:
			w.failed[e.Task]++
		}
		sim.ended = sim.ended[1:]
	}
}

// answerHold answers the renewal that waits at a worker.
func (w *world) answerHold(sim *simWorker) {
	waiting := sim.waiting
	if waiting == nil {
		return
	}
	sim.waiting = nil
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
		Incarnation: s.born,
		WorkerTime:  s.reading(now),
		Ended:       slices.Clone(s.ended),
	}
	for _, run := range s.sorted() {
		r.Running = append(r.Running, Running{Task: run.key.task, Attempt: run.key.attempt})
	}
	return r
}
