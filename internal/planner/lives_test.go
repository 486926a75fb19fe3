package planner

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// lifeGap is the time between two events of a script, lifeSettle how long the worker is
	// reachable and answers at once after the last one.
	lifeGap    = 30 * clock.Millisecond
	lifeSettle = 5 * clock.Second
	// oldClock and youngClock are what a worker's clock shows when a script begins.
	oldClock   = 480 * clock.Second
	youngClock = 20 * clock.Millisecond
)

// lifeWorker is a worker that may restart under its identifier. The next life takes calls that
// were sent to an earlier one, and knows nothing of it.
type lifeWorker struct {
	id       string
	life     int64
	zero     clock.Time // when the clock of this life showed 0
	running  []runKey
	highest  map[TaskID]int
	ended    []Ended
	lastEnd  uint64
	stopping map[runKey]clock.Time // when the run ends
}

func (w *lifeWorker) restart(now clock.Time) {
	*w = lifeWorker{
		id:       w.id,
		life:     w.life + 1,
		zero:     now,
		highest:  map[TaskID]int{},
		stopping: map[runKey]clock.Time{},
	}
}

func (w *lifeWorker) clock(now clock.Time) clock.Time { return clock.Time(now.Sub(w.zero)) }

// endStopped ends the runs whose stop takes effect.
func (w *lifeWorker) endStopped(now clock.Time) {
	for key, at := range w.stopping {
		if at.After(now) {
			continue
		}
		delete(w.stopping, key)
		w.lastEnd++
		w.ended = append(w.ended, Ended{
			Number:  w.lastEnd,
			Task:    key.task,
			Attempt: key.attempt,
			How:     EndStopped,
		})
	}
}

func (w *lifeWorker) report(now clock.Time) Report {
	w.endStopped(now)
	r := Report{
		Incarnation: w.life,
		WorkerTime:  w.clock(now),
		Ended:       slices.Clone(w.ended),
	}
	for _, key := range w.running {
		r.Running = append(r.Running, Running{
			Task:    key.task,
			Attempt: key.attempt,
		})
	}
	return r
}

// lifeScript plays one task on two workers, of which the one that gets the task restarts.
type lifeScript struct {
	p       *Planner
	now     clock.Time
	workers map[string]*lifeWorker
	first   *lifeWorker // the one that got the task first
	start   Start       // the first start
	// prompt means that the owner's other orders are carried out and answered at once, also
	// before the script has ended.
	prompt   bool
	held     []Order
	runs     map[runKey]string // what runs where
	breaches []string
	// What the events of the script hand on.
	answer      Message
	reports     []Renewed
	lateStart   bool
	afterScript bool
	// keepStop makes the owner's first stop one that the script's events carry out.
	keepStop   bool
	stop       *Stop
	stopAnswer Message
}

func newLifeScript(t *testing.T, clockShows clock.Span, prompt bool) *lifeScript {
	t.Helper()
	s := &lifeScript{
		now:     1_000_000,
		workers: map[string]*lifeWorker{},
		prompt:  prompt,
		runs:    map[runKey]string{},
	}
	s.p = newConfigured(s.now, Options{Epoch: 1, Takeover: s.now, LeaseMax: 6000, StopGrace: 200})
	for _, id := range []string{"w1", "w2"} {
		w := &lifeWorker{id: id}
		w.restart(s.now.Add(-clockShows))
		s.workers[id] = w
		s.p.Handle(s.now, WorkerListed{Worker: Worker{ID: id, Pool: "pool", Zone: "z", Capacity: document.Size{Processors: 8, Memory: 8}}})
		s.p.Handle(s.now, Renewed{Worker: id, Received: s.now, Report: w.report(s.now)})
	}
	s.p.Handle(s.now, Submitted{Accepted: s.now, Job: document.StagedJob{ID: loneJob, Queue: "q", Steps: []document.Step{{
		Tasks:    1,
		Demand:   document.Size{Processors: 1, Memory: 1},
		Estimate: clock.Minute,
	}}}})
	orders := append(decideAndCommit(s.p, s.now), decideAndCommit(s.p, s.now.Add(maxPassInterval))...)
	s.now = s.now.Add(2 * maxPassInterval)
	for _, order := range orders {
		if o, ok := order.(Start); ok {
			s.start = o
		}
	}
	s.first = s.workers[s.start.Worker]
	assert.Assert(t, s.first != nil)
	return s
}

func (s *lifeScript) breach(format string, args ...any) {
	s.breaches = append(s.breaches, fmt.Sprintf("%d: ", s.now)+fmt.Sprintf(format, args...))
}

// carryOutStart starts a task on the worker, in whatever life it is.
func (s *lifeScript) carryOutStart(o Start) Message {
	w := s.workers[o.Worker]
	answer := StartEnded{
		Worker:     o.Worker,
		Task:       o.Task,
		Attempt:    o.Attempt,
		WorkerTime: w.clock(s.now),
	}
	key := runKey{
		task:    o.Task,
		attempt: o.Attempt,
	}
	switch {
	case slices.Contains(w.running, key):
	case w.clock(s.now).After(o.Deadline):
		answer.Outcome = OutcomeLate
	case o.Attempt <= w.highest[o.Task]:
		answer.Outcome = OutcomeOld
	default:
		for other, where := range s.runs {
			s.breach("attempt %d starts on %s while attempt %d runs on %s", o.Attempt, w.id, other.attempt, where)
		}
		w.running = append(w.running, key)
		w.highest[o.Task] = o.Attempt
		s.runs[key] = w.id
	}
	return answer
}

func (s *lifeScript) carryOutStop(o Stop) Message {
	w := s.workers[o.Worker]
	key := runKey{
		task:    o.Task,
		attempt: o.Attempt,
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	if slices.Contains(w.running, key) {
		w.running = slices.DeleteFunc(w.running, func(k runKey) bool { return k == key })
		w.stopping[key] = s.now.Add(60)
		delete(s.runs, key)
	}
	return StopEnded{
		Worker:      o.Worker,
		Incarnation: o.Incarnation,
		Task:        o.Task,
		Attempt:     o.Attempt,
		WorkerTime:  w.clock(s.now),
	}
}

// takeOrders returns what the owner orders now. What it records is durable at once.
func (s *lifeScript) takeOrders() []Order {
	s.p.Handle(s.now, Ticked{})
	s.p.Decide(s.now)
	if batch, ok := s.p.TakeChanges(60); ok {
		s.p.Handle(s.now, Committed{Number: batch.Number})
		s.p.Decide(s.now)
	}
	return slices.Clone(s.p.TakeOrders())
}

// decide passes a message to the owner. Its orders are carried out now or after the
// script.
func (s *lifeScript) decide(m Message) {
	s.p.Handle(s.now, m)
	s.held = append(s.held, s.takeOrders()...)
	if s.prompt || s.afterScript {
		s.carryOutHeld()
	}
}

func (s *lifeScript) carryOutHeld() {
	for len(s.held) > 0 {
		order := s.held[0]
		s.held = s.held[1:]
		switch o := order.(type) {
		case Start:
			s.p.Handle(s.now, s.carryOutStart(o))
		case Stop:
			if s.keepStop {
				s.keepStop = false
				s.stop = &o
				continue
			}
			s.p.Handle(s.now, s.carryOutStop(o))
		case Renew:
			if o.Extra || s.afterScript {
				s.p.Handle(s.now, Renewed{Worker: o.Worker, Received: s.now, Report: s.workers[o.Worker].report(s.now), Extra: o.Extra})
			}
		}
		if s.afterScript {
			continue // the next step decides
		}
		s.held = append(s.held, s.takeOrders()...)
	}
}

// lifeEvents are the events that scripts consist of.
var lifeEvents = map[string]func(*lifeScript){
	"restart": func(s *lifeScript) {
		for _, key := range s.first.running {
			delete(s.runs, key)
		}
		s.first.restart(s.now)
	},
	"carry out start": func(s *lifeScript) { s.answer = s.carryOutStart(s.start) },
	"time out start": func(s *lifeScript) {
		s.lateStart = true
		s.decide(StartEnded{Worker: s.start.Worker, Task: s.start.Task, Attempt: s.start.Attempt, Outcome: OutcomeUnknown})
	},
	"answer start": func(s *lifeScript) {
		answer := s.answer.(StartEnded)
		answer.Late = s.lateStart
		s.decide(answer)
	},
	"carry out stop": func(s *lifeScript) {
		if s.stop != nil {
			s.stopAnswer = s.carryOutStop(*s.stop)
		}
	},
	"answer stop": func(s *lifeScript) {
		if s.stopAnswer != nil {
			s.decide(s.stopAnswer)
		}
	},
	"make report": func(s *lifeScript) {
		s.reports = append(s.reports, Renewed{Worker: s.first.id, Report: s.first.report(s.now)})
	},
	"read report": func(s *lifeScript) {
		report := s.reports[0]
		s.reports = s.reports[1:]
		report.Received = s.now
		report.Extra = true
		s.decide(report)
	},
}

// settle lets the workers answer everything at once.
func (s *lifeScript) settle() {
	s.afterScript = true
	for end := s.now.Add(lifeSettle); s.now.Before(end); s.now = s.now.Add(50) {
		s.carryOutHeld()
		for _, id := range []string{"w1", "w2"} {
			s.decide(Renewed{Worker: id, Received: s.now, Report: s.workers[id].report(s.now), Extra: true})
		}
	}
	if len(s.runs) != 1 {
		s.breach("%d runs at the end", len(s.runs))
	}
	if known := s.p.findTask(s.start.Task).runs; len(known) != 1 || known[0].phase != runStarted || s.runs[known[0].key] != known[0].worker.id {
		s.breach("the owner does not know the run: %d known", len(known))
	}
}

// orders returns all orders of the events in which each pair keeps its order.
func ordersOf(events []string, before [][2]string) [][]string {
	var found [][]string
	var extend func(order, left []string)
	extend = func(order, left []string) {
		if len(left) == 0 {
			found = append(found, slices.Clone(order))
			return
		}
		for i, event := range left {
			if slices.Contains(left[:i], event) || slices.ContainsFunc(before, func(b [2]string) bool { return b[1] == event && slices.Contains(left, b[0]) }) {
				continue
			}
			extend(append(slices.Clone(order), event), slices.Delete(slices.Clone(left), i, i+1))
		}
	}
	extend(nil, events)
	return found
}

// settledScript plays a script to its end.
func settledScript(t *testing.T, order []string, clockShows clock.Span, prompt bool) *lifeScript {
	t.Helper()
	s := newLifeScript(t, clockShows, prompt)
	s.keepStop = slices.Contains(order, "carry out stop")
	for _, event := range order {
		s.now = s.now.Add(lifeGap)
		lifeEvents[event](s)
	}
	s.keepStop = false
	if s.stop != nil && s.stopAnswer == nil {
		s.decide(StopEnded{Worker: s.stop.Worker, Task: s.stop.Task, Attempt: s.stop.Attempt, Outcome: OutcomeUnknown})
	}
	s.settle()
	return s
}

// TestOrdersAroundRestarts guards against a task that runs twice, or never again, because its
// worker restarts under its identifier around its start or the stop of a start in doubt: it
// plays the events of both, of reports and of restarts in every possible order.
func TestOrdersAroundRestarts(t *testing.T) {
	before := [][2]string{
		{"carry out start", "answer start"},
		{"time out start", "answer start"},
		{"carry out stop", "answer stop"},
		{"make report", "read report"},
	}
	for _, events := range [][]string{
		{"restart", "carry out start", "time out start", "carry out stop", "answer stop", "make report", "read report"},
		{"restart", "time out start", "carry out stop", "answer stop", "make report", "read report", "make report", "read report"},
		{"restart", "restart", "carry out start", "time out start", "carry out stop", "answer stop", "make report", "read report"},
		{"restart", "carry out start", "answer start", "make report", "read report"},
		{"restart", "carry out start", "time out start", "answer start", "make report", "read report"},
		{"restart", "restart", "carry out start", "answer start", "make report", "read report"},
		{"restart", "restart", "carry out start", "time out start", "answer start", "make report", "read report", "make report", "read report"},
	} {
		played := 0
		var breaches []string
		for _, order := range ordersOf(events, before) {
			for _, clockShows := range []clock.Span{oldClock, youngClock} {
				for _, prompt := range []bool{true, false} {
					s := settledScript(t, order, clockShows, prompt)
					played++
					if len(s.breaches) > 0 {
						breaches = append(breaches, fmt.Sprintf("%s; clock at first %s, prompt %t: %s", strings.Join(order, ", "), clockShows, prompt, strings.Join(s.breaches, "; ")))
					}
				}
			}
		}
		for _, breach := range breaches[:min(len(breaches), 3)] {
			t.Error(breach)
		}
		t.Log(len(breaches), "of", played, "orders of", strings.Join(events, ", "), "break a rule")
	}
}

// TestEarlierBorn guards against a worker that gets no work and is asked without end because its
// time of day was set back before it restarted: its incarnation is then lower than that of its
// earlier life. A late answer of the earlier life still changes nothing.
func TestEarlierBorn(t *testing.T) {
	now := clock.Time(1_000_000)
	p := newConfigured(now, Options{Epoch: 1, Takeover: now, LeaseMax: 6000, StopGrace: 200})
	p.Handle(now, WorkerListed{Worker: seriesWorker("w1")})
	report := func(incarnation int64, clockShows clock.Time, ordered, received clock.Time) {
		p.Handle(received, Renewed{Worker: "w1", Ordered: ordered, Received: received, Report: Report{
			Incarnation: incarnation,
			WorkerTime:  clockShows,
		}})
		decideAndCommit(p, received)
	}
	w := p.workers["w1"]
	report(9, 480_000, now, now.Add(10))
	assert.Equal(t, w.incarnation, int64(9))
	report(7, 100, now.Add(5), now.Add(200))
	assert.Equal(t, w.incarnation, int64(9), "it may be of an earlier incarnation")
	report(7, 110, now.Add(200), now.Add(210))
	assert.Equal(t, w.incarnation, int64(7))
	assert.Equal(t, w.workerTime, clock.Time(110))
	report(9, 480_050, now.Add(60), now.Add(220))
	assert.Equal(t, w.incarnation, int64(7), "a late answer of the earlier incarnation")
	report(8, 50, now.Add(230), now.Add(240))
	assert.Equal(t, w.incarnation, int64(8))
}
