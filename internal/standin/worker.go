package standin

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// WorkerFaults are the switches of a worker stand-in. A paused worker neither
// answers nor works while its clock runs on; an unreachable one works and does
// not answer.
type WorkerFaults struct {
	FailAll     bool `json:"fail-all"`
	Paused      bool `json:"paused"`
	Unreachable bool `json:"unreachable"`
	LoseAnswers int  `json:"lose-answers"`
}

// Slowdown is the factor, in thousandths of full speed, that one neighbour of
// class Other leaves to a task of class Class.
type Slowdown struct {
	Class    string `json:"class"`
	Other    string `json:"other"`
	Permille int    `json:"permille"`
}

// WorkerOptions describe a worker stand-in.
type WorkerOptions struct {
	ID        string
	Size      document.Size
	Clock     clock.Clock
	Offset    clock.Span
	Slowdowns []Slowdown
	Lag       clock.Span
}

// Run is one attempt's time on a worker, in readings of the clock that all
// stand-ins of a test share. End is 0 while it runs.
type Run struct {
	Worker  string       `json:"worker"`
	Task    string       `json:"task"`
	Attempt int          `json:"attempt"`
	Epoch   worker.Epoch `json:"epoch"`
	Start   clock.Time   `json:"start"`
	End     clock.Time   `json:"end"`
	Resume  clock.Span   `json:"resume-ms"`
	Done    clock.Span   `json:"done-ms"`
	State   worker.State `json:"state"`
}

// WorkerRecord is what a worker stand-in did.
type WorkerRecord struct {
	Runs      []Run    `json:"runs"`
	Overfull  int      `json:"overfull"`
	Refusals  int      `json:"refusals"`
	LateStart int      `json:"late-start"`
	Doubled   []string `json:"doubled"`
}

type attemptKey struct {
	task   string
	number int
}

type attempt struct {
	start      worker.Start
	cell       string
	state      worker.State
	done       clock.Span
	fraction   float64
	checkpoint clock.Span
	throttled  bool
	reason     string
	run        int
}

// Worker is the stand-in of one worker. It is safe for concurrent use.
type Worker struct {
	mu       sync.Mutex
	opts     WorkerOptions
	boots    int
	epochs   map[string]worker.Epoch
	attempts map[attemptKey]*attempt
	seen     map[attemptKey]clock.Time
	updated  clock.Time
	faults   WorkerFaults
	record   WorkerRecord
	samples  []worker.Sample
	sampled  clock.Time
	slow     map[[2]string]int
	mux      *http.ServeMux
}

const (
	sampleEvery    = 1 * clock.Second
	seenRetention  = 60 * clock.Second
	throttleSpeed  = 0.25
	minimumSpeed   = 0.05
	stepsPerSecond = 50
)

// NewWorker returns a running worker without attempts.
func NewWorker(opts WorkerOptions) *Worker {
	w := &Worker{
		opts:     opts,
		epochs:   map[string]worker.Epoch{},
		attempts: map[attemptKey]*attempt{},
		seen:     map[attemptKey]clock.Time{},
		slow:     map[[2]string]int{},
		mux:      http.NewServeMux(),
		updated:  opts.Clock.Now(),
	}
	for _, s := range opts.Slowdowns {
		w.slow[[2]string{s.Class, s.Other}] = s.Permille
	}
	w.mux.HandleFunc("POST /exchange", w.serveExchange)
	w.mux.HandleFunc("PUT /fault/switches", w.serveFaults)
	w.mux.HandleFunc("PUT /fault/restart", func(http.ResponseWriter, *http.Request) { w.Restart() })
	w.mux.HandleFunc("GET /record", func(rw http.ResponseWriter, _ *http.Request) { encode(rw, w.Record()) })
	return w
}

// ServeHTTP answers one call, subject to the fault switches.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

// SetFaults replaces the fault switches. Time until now passes under the old
// ones.
func (w *Worker) SetFaults(faults WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.faults = faults
}

// Restart kills the worker and starts it anew, without memory.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, a := range w.attempts {
		if a.state == worker.StateRunning {
			w.end(a, worker.StateLapsed, "killed", w.opts.Clock.Now())
		}
	}
	w.boots++
	w.epochs = map[string]worker.Epoch{}
	w.attempts = map[attemptKey]*attempt{}
	w.seen = map[attemptKey]clock.Time{}
	w.samples = nil
}

// Record returns what the worker did so far.
func (w *Worker) Record() WorkerRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	record := w.record
	record.Runs = append([]Run(nil), w.record.Runs...)
	for _, a := range w.attempts {
		record.Runs[a.run].Done = a.done
	}
	return record
}

// Exchange carries out one request as if it had arrived now.
func (w *Worker) Exchange(request worker.Request) (worker.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Paused || w.faults.Unreachable {
		return worker.Answer{}, worker.Error.New("worker %s does not answer", w.opts.ID)
	}
	w.advance()
	answer := w.obey(request)
	if w.faults.LoseAnswers > 0 {
		w.faults.LoseAnswers--
		return worker.Answer{}, worker.Error.New("answer of worker %s lost", w.opts.ID)
	}
	return answer, nil
}

func (w *Worker) obey(request worker.Request) worker.Answer {
	answer := worker.Answer{
		Worker: w.opts.ID,
		Boot:   fmt.Sprintf("%s.%d", w.opts.ID, w.boots),
		Now:    w.now(),
	}
	if request.Epoch < w.epochs[request.Cell] {
		w.record.Refusals++
		answer.Refused = true
		answer.Epoch = w.epochs[request.Cell]
		return answer
	}
	w.epochs[request.Cell] = request.Epoch
	answer.Epoch = request.Epoch
	if request.Boot != answer.Boot {
		request.Starts = nil
		request.Renewals = nil
		request.Until = 0
	}
	w.renew(request)
	for _, c := range request.Commands {
		w.command(c)
	}
	for _, a := range request.Acks {
		w.forget(a)
	}
	for _, s := range request.Starts {
		w.start(request, s)
	}
	answer.Reports = w.reports(request.Cell)
	answer.Samples = w.takeSamples()
	return answer
}

func (w *Worker) now() clock.Time { return w.opts.Clock.Now().Add(w.opts.Offset) }

func (w *Worker) renew(request worker.Request) {
	named := map[attemptKey]bool{}
	for _, r := range request.Renewals {
		key := attemptKey{task: r.Task, number: r.Attempt}
		named[key] = true
		w.extend(w.attempts[key], r.Until)
	}
	if request.Until == 0 {
		return
	}
	for key, a := range w.attempts {
		if a.cell == request.Cell && !named[key] {
			w.extend(a, request.Until)
		}
	}
}

func (w *Worker) extend(a *attempt, until clock.Time) {
	if a != nil && a.state == worker.StateRunning && until.After(a.start.Until) {
		a.start.Until = until
	}
}

func (w *Worker) command(c worker.Command) {
	a := w.attempts[attemptKey{task: c.Task, number: c.Attempt}]
	if a == nil || a.state != worker.StateRunning {
		return
	}
	switch c.Action {
	case worker.ActionCheckpoint:
		a.checkpoint = a.done
	case worker.ActionThrottle:
		a.throttled = true
	case worker.ActionRelease:
		a.throttled = false
	case worker.ActionStop:
		a.checkpoint = a.done
		w.end(a, worker.StateStopped, "stopped", w.opts.Clock.Now())
	case worker.ActionKill:
		w.end(a, worker.StateStopped, "killed", w.opts.Clock.Now())
	}
}

func (w *Worker) forget(ack worker.Ack) {
	key := attemptKey{task: ack.Task, number: ack.Attempt}
	if a := w.attempts[key]; a != nil && a.state != worker.StateRunning {
		w.record.Runs[a.run].Done = a.done
		delete(w.attempts, key)
	}
}

func (w *Worker) start(request worker.Request, s worker.Start) {
	key := attemptKey{task: s.Task, number: s.Attempt}
	if _, ok := w.seen[key]; ok {
		return
	}
	now := w.now()
	if now.After(s.NotAfter) {
		w.record.LateStart++
		return
	}
	w.seen[key] = now
	w.checkStart(s)
	s.Work = realWork(s)
	a := &attempt{
		start:      s,
		cell:       request.Cell,
		state:      worker.StateRunning,
		done:       s.Resume,
		checkpoint: s.Resume,
		run:        len(w.record.Runs),
	}
	w.attempts[key] = a
	w.record.Runs = append(w.record.Runs, Run{
		Worker:  w.opts.ID,
		Task:    s.Task,
		Attempt: s.Attempt,
		Epoch:   request.Epoch,
		Start:   w.opts.Clock.Now(),
		Resume:  s.Resume,
		State:   worker.StateRunning,
	})
	if w.faults.FailAll {
		w.end(a, worker.StateFailed, "fails-all", w.opts.Clock.Now())
	}
}

// realWork reads the work of a task from a payload such as "work=90s"; without
// one the declared run time is true.
func realWork(s worker.Start) clock.Span {
	text, ok := strings.CutPrefix(s.Payload, "work=")
	if !ok {
		return s.Work
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return s.Work
	}
	return clock.FromDuration(d)
}

// checkStart records a start that breaks what must always hold.
func (w *Worker) checkStart(s worker.Start) {
	used := s.Size
	for key, a := range w.attempts {
		if a.state != worker.StateRunning {
			continue
		}
		used = used.Plus(a.start.Size)
		if key.task == s.Task {
			w.record.Doubled = append(w.record.Doubled, s.Task)
		}
	}
	if !used.Fits(w.opts.Size) {
		w.record.Overfull++
	}
}

func (w *Worker) reports(cell string) []worker.Report {
	var reports []worker.Report
	for key, a := range w.attempts {
		if a.cell != cell {
			continue
		}
		reports = append(reports, worker.Report{
			Task:       key.task,
			Attempt:    key.number,
			State:      a.state,
			Done:       a.done,
			Checkpoint: a.checkpoint,
			Throttled:  a.throttled,
			Reason:     a.reason,
		})
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Task < reports[j].Task })
	return reports
}

func (w *Worker) serveExchange(rw http.ResponseWriter, r *http.Request) {
	var request worker.Request
	if !decode(rw, r, &request) {
		return
	}
	answer, err := w.Exchange(request)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusServiceUnavailable)
		return
	}
	encode(rw, answer)
}

func (w *Worker) serveFaults(rw http.ResponseWriter, r *http.Request) {
	var faults WorkerFaults
	if decode(rw, r, &faults) {
		w.SetFaults(faults)
	}
}
