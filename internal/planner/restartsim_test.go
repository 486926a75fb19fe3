package planner

import (
	"fmt"
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// workerZone is the zone of the simulated workers.
const workerZone = "z"

// simStep is the simulated time between two steps.
const simStep = 20 * clock.Millisecond

// restartSim simulates workers that execute orders and end tasks according to a scenario.
type restartSim struct {
	scenario  restartScenario
	start     clock.Time
	planner   *Planner
	workers   []*restartSimWorker
	answers   []delayedMessage
	shortJobs int
	epoch     uint64
	jobs      []Submitted
	recorded  map[string]Progress
	// writesFrom is when the table accepts writes again.
	writesFrom clock.Time

	lastRun        map[TaskID]clock.Time // when each serving task last ran
	downtime       map[TaskID]clock.Span // the longest time without a run, by serving task
	shortSubmitted int
	shortDone      int
	violations     []string
}

type restartSimWorker struct {
	id          string
	incarnation int64
	number      uint64
	running     map[runKey]clock.Time // end time of each run, 0 for long-running tasks
	ended       []Ended
	reported    clock.Time
	left        bool
	silentUntil clock.Time // does not answer before this time
	refuseUntil clock.Time // refuses starts before this time
	loseUntil   clock.Time // neither carries out nor answers starts before this time
}

type delayedMessage struct {
	at      clock.Time
	message Message
}

type downtime struct {
	id   TaskID
	span clock.Span
}

func newRestartSim(scenario restartScenario) *restartSim {
	s := &restartSim{
		scenario: scenario,
		start:    1_000_000,
		lastRun:  map[TaskID]clock.Time{},
		downtime: map[TaskID]clock.Span{},
		recorded: map[string]Progress{},
	}
	s.startOwner(s.start)
	for i := range scenario.Workers {
		w := &restartSimWorker{id: fmt.Sprintf("w%d", i), incarnation: 1, running: map[runKey]clock.Time{}}
		s.workers = append(s.workers, w)
		s.list(s.start, w, false)
		s.report(s.start, w)
	}
	return s
}

// startOwner replaces the planner by one of a new owner.
func (s *restartSim) startOwner(now clock.Time) {
	s.epoch++
	zone := "elsewhere"
	if s.scenario.OwnerZone {
		zone = workerZone
	}
	s.planner = New(Options{Epoch: s.epoch, Zone: zone, Takeover: now, LeaseMax: 6000, StopGrace: 200, Seed: 3})
	s.planner.Handle(now, Configured{Operations: document.Operations{
		Revision: 1,
		Queues: []document.Queue{
			{Name: "watch", Pool: "pool", MaxAttempts: 4, Stretch: 2200, Slack: 2500},
			{Name: "quote", Pool: "pool", MaxAttempts: 4, Stretch: 1500, Slack: 300},
		},
	}})
}

// takeOver starts a new owner and gives it the recorded state.
func (s *restartSim) takeOver(now clock.Time) {
	s.startOwner(now)
	s.answers = nil
	for _, w := range s.workers {
		s.planner.Handle(now, WorkerInherited{Worker: Worker{ID: w.id, Address: w.id, Pool: "pool"}})
	}
	for _, m := range s.jobs {
		m.Inherited = true
		if progress, ok := s.recorded[m.Job.ID]; ok {
			m.Progress = &progress
		}
		s.planner.Handle(now, m)
	}
	for _, w := range s.workers {
		s.list(now, w, w.left)
	}
}

func (s *restartSim) list(now clock.Time, w *restartSimWorker, leaving bool) {
	var labels []string
	if slices.Contains(s.scenario.Labelled, w.id) {
		labels = []string{"labelled"}
	}
	s.planner.Handle(now, WorkerListed{Worker: Worker{
		ID: w.id, Address: w.id, Pool: "pool", Zone: workerZone, Rack: "r", Leaving: leaving, Labels: labels,
		Capacity: document.Size{Processors: s.scenario.Processors * 1000, Memory: 1 << 20},
	}})
}

func (s *restartSim) step(now clock.Time) {
	at := now.Sub(s.start)
	s.submitDue(now, at)
	for _, f := range s.scenario.Faults {
		if f.AtMs == at {
			s.inject(now, f)
		}
	}
	for _, w := range s.workers {
		s.endShortTasks(now, w)
		if !w.silentUntil.After(now) && (len(w.ended) > 0 || now.Sub(w.reported) >= 200) {
			s.report(now, w)
		}
	}
	s.answers = slices.DeleteFunc(s.answers, func(a delayedMessage) bool {
		if a.at <= now {
			s.planner.Handle(now, a.message)
		}
		return a.at <= now
	})
	s.planner.Handle(now, Ticked{})
	s.planner.Decide(now)
	if fault := s.planner.checkBookkeeping(now); fault != "" {
		s.violations = append(s.violations, fmt.Sprintf("at %s %s", now.Sub(s.start), fault))
	}
	s.planner.TakeLog()
	for _, order := range s.planner.TakeOrders() {
		s.execute(now, order)
	}
	if batch, ok := s.takeChanges(now); ok {
		for _, change := range batch.Changes {
			s.recorded[change.Job] = change.Progress
		}
		s.planner.Handle(now, Committed{Number: batch.Number})
	}
	s.recordDowntime(now)
	s.checkReservations(now)
}

// takeChanges returns the next batch to be written, unless the table accepts no writes.
func (s *restartSim) takeChanges(now clock.Time) (Batch, bool) {
	if s.writesFrom.After(now) {
		return Batch{}, false
	}
	return s.planner.TakeChanges(60)
}

// submitDue submits the jobs that are due.
func (s *restartSim) submitDue(now clock.Time, at clock.Span) {
	for i, l := range s.scenario.Serving {
		if l.AtMs == at {
			s.submit(now, fmt.Sprintf("%016x", i), "watch", document.Step{Tasks: l.Tasks, Demand: document.Size{Processors: l.Processors * 1000, Memory: 1}, LongRunning: true, Label: l.Label})
		}
	}
	for _, l := range s.scenario.Short {
		if at >= l.AtMs && (at-l.AtMs)%l.EveryMs == 0 {
			s.shortJobs++
			s.shortSubmitted += l.Tasks
			s.submit(now, fmt.Sprintf("f%015x", s.shortJobs), "quote", document.Step{Tasks: l.Tasks, Demand: document.Size{Processors: l.Processors * 1000, Memory: 1}, Estimate: l.SpanMs})
		}
	}
}

func (s *restartSim) submit(now clock.Time, id, queue string, step document.Step) {
	m := Submitted{Accepted: now, Job: document.StagedJob{ID: id, Queue: queue, Steps: []document.Step{step}}}
	s.jobs = append(s.jobs, m)
	s.planner.Handle(now, m)
}

func (s *restartSim) inject(now clock.Time, f scenarioFault) {
	switch {
	case f.TakesOver:
		if f.Silent != "" {
			s.worker(f.Silent).silentUntil = now.Add(f.ForMs)
		}
		s.takeOver(now)
		return
	case f.NoWrites:
		s.writesFrom = now.Add(f.ForMs)
		return
	case f.Cancel:
		s.planner.Handle(now, Cancelled{Job: fmt.Sprintf("%016x", f.Serving)})
		return
	case f.Leaves != "":
		s.list(now, s.worker(f.Leaves), true)
		s.worker(f.Leaves).left = true
		return
	case f.Crash != "":
		w := s.worker(f.Crash)
		w.incarnation++
		w.number = 0
		w.ended = nil
		w.running = map[runKey]clock.Time{}
		return
	}
	for _, w := range s.workers {
		for key := range w.running {
			if key.task.Job != fmt.Sprintf("%016x", f.Serving) || key.task.Index != f.Task {
				continue
			}
			if f.MovesTo != "" {
				s.planner.startMove(now, s.planner.workers[w.id].runs[key], s.planner.workers[f.MovesTo])
				return
			}
			w.refuseUntil = now.Add(f.RefusesMs)
			w.loseUntil = now.Add(f.LosesMs)
			w.end(key, EndFailed)
			return
		}
	}
	s.violations = append(s.violations, fmt.Sprintf("at %s the task that should fail was not running", now.Sub(s.start)))
}

func (w *restartSimWorker) end(key runKey, how End) {
	delete(w.running, key)
	w.number++
	w.ended = append(w.ended, Ended{Number: w.number, Task: key.task, Attempt: key.attempt, How: how})
}

func (s *restartSim) endShortTasks(now clock.Time, w *restartSimWorker) {
	for _, key := range sortedKeys(w.running) {
		if until := w.running[key]; until != 0 && until <= now {
			w.end(key, EndDone)
			s.shortDone++
		}
	}
}

func sortedKeys(running map[runKey]clock.Time) []runKey {
	var keys []runKey
	for key := range running {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func (s *restartSim) report(now clock.Time, w *restartSimWorker) {
	report := Report{Incarnation: w.incarnation, WorkerTime: now, Ended: w.ended}
	for _, key := range sortedKeys(w.running) {
		report.Running = append(report.Running, Running{Task: key.task, Attempt: key.attempt, Percent: readyPercent})
	}
	w.ended = nil
	w.reported = now
	s.planner.Handle(now, Renewed{Worker: w.id, Received: now, Report: report})
}

func (s *restartSim) execute(now clock.Time, order Order) {
	switch o := order.(type) {
	case Start:
		w := s.worker(o.Worker)
		if w.refuseUntil.After(now) {
			s.answer(now, StartEnded{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, Outcome: OutcomeBusy, WorkerTime: now})
			return
		}
		if w.loseUntil.After(now) {
			s.answer(now, StartEnded{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, Outcome: OutcomeUnknown})
			return
		}
		key := runKey{task: o.Task, attempt: o.Attempt}
		var until clock.Time
		if span := s.duration(o.Task); span != 0 {
			until = now.Add(span)
		}
		w.running[key] = until
		s.checkCapacity(now, w)
		s.answer(now, StartEnded{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, Outcome: OutcomeTaken, WorkerTime: now})
	case Stop:
		w := s.worker(o.Worker)
		key := runKey{task: o.Task, attempt: o.Attempt}
		if _, ok := w.running[key]; ok {
			w.end(key, EndStopped)
		}
		s.answer(now, StopEnded{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt, Outcome: OutcomeTaken, WorkerTime: now})
	}
}

func (s *restartSim) answer(now clock.Time, m Message) {
	s.answers = append(s.answers, delayedMessage{at: now.Add(s.scenario.AnswerMs), message: m})
}

func (s *restartSim) worker(id string) *restartSimWorker {
	i := slices.IndexFunc(s.workers, func(w *restartSimWorker) bool { return w.id == id })
	return s.workers[i]
}

// duration returns how long a task runs, 0 if it is long-running.
func (s *restartSim) duration(id TaskID) clock.Span {
	return s.planner.findTask(id).step.spec.Estimate
}

// checkCapacity checks that no worker runs more than its capacity.
func (s *restartSim) checkCapacity(now clock.Time, w *restartSimWorker) {
	sum := 0
	for key := range w.running {
		sum += s.planner.findTask(key.task).step.spec.Demand.Processors
	}
	if sum > s.scenario.Processors*1000 {
		s.violations = append(s.violations, fmt.Sprintf("at %s %s runs tasks with %d thousandths of processors, more than its capacity", now.Sub(s.start), w.id, sum))
	}
}

// recordDowntime records how long serving tasks are down after they have run, and checks
// that none runs twice.
func (s *restartSim) recordDowntime(now clock.Time) {
	on := map[TaskID]string{}
	for _, w := range s.workers {
		for key, until := range w.running {
			if until != 0 {
				continue
			}
			s.lastRun[key.task] = now
			if on[key.task] != "" {
				s.violations = append(s.violations, fmt.Sprintf("at %s %s ran on %s and %s", now.Sub(s.start), key.task, on[key.task], w.id))
			}
			on[key.task] = w.id
		}
	}
	for id, last := range s.lastRun {
		if s.placeable(id) && !s.withoutRoom(id) && !s.planner.findTask(id).job().state.Final() {
			s.downtime[id] = max(s.downtime[id], now.Sub(last))
		}
	}
}

// withoutRoom reports whether the capacity does not suffice for the task's job.
func (s *restartSim) withoutRoom(id TaskID) bool {
	return slices.ContainsFunc(s.scenario.WithoutRoom, func(job int) bool { return id.Job == fmt.Sprintf("%016x", job) })
}

// placeable reports whether a worker with the task's label is left.
func (s *restartSim) placeable(id TaskID) bool {
	label := s.planner.findTask(id).step.spec.Label
	return slices.ContainsFunc(s.workers, func(w *restartSimWorker) bool {
		return !w.left && (label == "" || slices.Contains(s.scenario.Labelled, w.id))
	})
}

// checkReservations checks that capacity is reserved for a restart only while the task
// waits.
func (s *restartSim) checkReservations(now clock.Time) {
	for _, w := range s.planner.fleet {
		for _, res := range w.reservations {
			if res.active(now, w) && res.task.reservedWorker == w && (len(res.task.runs) > 0 || res.task.job().state.Final()) {
				s.violations = append(s.violations, fmt.Sprintf("at %s %s has a reservation for %s, which is not waiting", now.Sub(s.start), w.id, res.task.id()))
			}
		}
	}
}

// checkMoves checks that moved tasks run on the workers that were reserved for them.
func (s *restartSim) checkMoves() {
	for _, f := range s.scenario.Faults {
		if f.MovesTo == "" {
			continue
		}
		id := TaskID{Job: fmt.Sprintf("%016x", f.Serving), Index: f.Task}
		for _, r := range s.planner.findTask(id).runs {
			if r.worker.id != f.MovesTo {
				s.violations = append(s.violations, fmt.Sprintf("%s was moved to %s but runs on %s", id, f.MovesTo, r.worker.id))
			}
		}
	}
}

// longestDowntimes returns the serving tasks with the longest downtimes.
func (s *restartSim) longestDowntimes(limit int) []downtime {
	var all []downtime
	for id, span := range s.downtime {
		all = append(all, downtime{id: id, span: span})
	}
	slices.SortFunc(all, func(a, b downtime) int {
		if a.span != b.span {
			return int(b.span - a.span)
		}
		return compareKeys(runKey{task: a.id}, runKey{task: b.id})
	})
	return all[:min(len(all), limit)]
}
