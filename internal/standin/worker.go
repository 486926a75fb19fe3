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

// WorkerFaults are the faults that a worker stand-in can be told to show. FailAll
// makes every attempt fail at its start. A paused worker neither answers nor makes
// progress, while its clock runs on. An unreachable one makes progress but does not
// answer. LoseAnswers is the number of requests to carry out without an answer.
type WorkerFaults struct {
	FailAll     bool `json:"fail-all"`
	Paused      bool `json:"paused"`
	Unreachable bool `json:"unreachable"`
	LoseAnswers int  `json:"lose-answers"`
}

// Slowdown describes interference: each neighbour of class Other on the same worker
// multiplies the speed of a task of class Class by Permille thousandths.
type Slowdown struct {
	Class    string `json:"class"`
	Other    string `json:"other"`
	Permille int    `json:"permille"`
}

// WorkerOptions configure a worker stand-in. Offset is added to Clock to give the
// worker's clock. Lag is how long samples are held back before they are reported.
type WorkerOptions struct {
	ID        string
	Size      document.Size
	Clock     clock.Clock
	Offset    clock.Span
	Slowdowns []Slowdown
	Lag       clock.Span
}

// Run records one attempt on a worker. Start and End are readings of the clock that
// all stand-ins of a test share, without the worker's offset. End is 0 while the
// attempt runs.
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

// WorkerRecord lists the attempts that a worker stand-in ran. Overfull counts the
// starts that exceeded its capacity, Refusals the requests refused for a stale epoch,
// and LateStart the starts that arrived after their NotAfter. Doubled names each task
// that was started while another attempt of it ran on the worker.
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

// attempt is the state of one attempt. done and checkpoint are work in milliseconds
// at full speed, and fraction is the part of a millisecond not yet in done. runIndex
// is its index in WorkerRecord.Runs.
type attempt struct {
	start      worker.Start
	cell       string
	state      worker.State
	done       clock.Span
	fraction   float64
	checkpoint clock.Span
	throttled  bool
	reason     string
	runIndex   int
}

// Worker simulates one worker. Its state is brought up to date with the clock at
// each call. It is safe for concurrent use.
type Worker struct {
	mu          sync.Mutex
	opts        WorkerOptions
	bootCount   int
	epochs      map[string]worker.Epoch
	attempts    map[attemptKey]*attempt
	seen        map[attemptKey]clock.Time
	lastAdvance clock.Time
	faults      WorkerFaults
	record      WorkerRecord
	samples     []worker.Sample
	lastSample  clock.Time
	slowdowns   map[[2]string]int
	mux         *http.ServeMux
}

const (
	sampleInterval = 1 * clock.Second
	seenRetention  = 60 * clock.Second
	throttleSpeed  = 0.25
	minSpeed       = 0.05
	stepsPerSecond = 50
)

// NewWorker returns a worker without attempts or faults.
func NewWorker(opts WorkerOptions) *Worker {
	w := &Worker{
		opts:        opts,
		epochs:      map[string]worker.Epoch{},
		attempts:    map[attemptKey]*attempt{},
		seen:        map[attemptKey]clock.Time{},
		slowdowns:   map[[2]string]int{},
		mux:         http.NewServeMux(),
		lastAdvance: opts.Clock.Now(),
	}
	for _, s := range opts.Slowdowns {
		w.slowdowns[[2]string{s.Class, s.Other}] = s.Permille
	}
	w.mux.HandleFunc("POST /exchange", w.serveExchange)
	w.mux.HandleFunc("PUT /fault/switches", w.serveFaults)
	w.mux.HandleFunc("PUT /fault/restart", func(http.ResponseWriter, *http.Request) { w.Restart() })
	w.mux.HandleFunc("GET /record", func(rw http.ResponseWriter, _ *http.Request) { encode(rw, w.Record()) })
	return w
}

// ServeHTTP serves an exchange with the faults that are set, or a call that sets
// faults, restarts the worker or reads the record.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

// SetFaults replaces the faults. It first simulates the time up to now with the old
// ones.
func (w *Worker) SetFaults(faults WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.faults = faults
}

// Restart simulates a crash and restart: it kills all attempts and clears the
// worker's state, including the epochs it has seen.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, a := range w.attempts {
		if a.state == worker.StateRunning {
			w.end(a, worker.StateLapsed, "killed", w.opts.Clock.Now())
		}
	}
	w.bootCount++
	w.epochs = map[string]worker.Epoch{}
	w.attempts = map[attemptKey]*attempt{}
	w.seen = map[attemptKey]clock.Time{}
	w.samples = nil
}

// Record returns a copy of the record so far.
func (w *Worker) Record() WorkerRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	record := w.record
	record.Runs = append([]Run(nil), w.record.Runs...)
	for _, a := range w.attempts {
		record.Runs[a.runIndex].Done = a.done
	}
	return record
}

// Exchange carries out one request as if it arrived now. It returns an error if the
// fault that is set prevents an answer.
func (w *Worker) Exchange(request worker.Request) (worker.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Paused || w.faults.Unreachable {
		return worker.Answer{}, worker.Error.New("worker %s does not answer", w.opts.ID)
	}
	w.advance()
	answer := w.handle(request)
	if w.faults.LoseAnswers > 0 {
		w.faults.LoseAnswers--
		return worker.Answer{}, worker.Error.New("answer of worker %s lost", w.opts.ID)
	}
	return answer, nil
}

func (w *Worker) handle(request worker.Request) worker.Answer {
	answer := worker.Answer{
		Worker: w.opts.ID,
		Boot:   fmt.Sprintf("%s.%d", w.opts.ID, w.bootCount),
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
	w.renewLeases(request)
	for _, c := range request.Commands {
		w.applyCommand(c)
	}
	for _, a := range request.Acks {
		w.acknowledge(a)
	}
	for _, s := range request.Starts {
		w.start(request, s)
	}
	answer.Reports = w.reports(request.Cell)
	answer.Samples = w.takeSamples()
	return answer
}

// now returns the reading of the worker's clock.
func (w *Worker) now() clock.Time { return w.opts.Clock.Now().Add(w.opts.Offset) }

func (w *Worker) renewLeases(request worker.Request) {
	renewedKeys := map[attemptKey]bool{}
	for _, r := range request.Renewals {
		key := attemptKey{task: r.Task, number: r.Attempt}
		renewedKeys[key] = true
		w.extendLease(w.attempts[key], r.Until)
	}
	if request.Until == 0 {
		return
	}
	for key, a := range w.attempts {
		if a.cell == request.Cell && !renewedKeys[key] {
			w.extendLease(a, request.Until)
		}
	}
}

func (w *Worker) extendLease(a *attempt, until clock.Time) {
	if a != nil && a.state == worker.StateRunning && until.After(a.start.Until) {
		a.start.Until = until
	}
}

func (w *Worker) applyCommand(c worker.Command) {
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

func (w *Worker) acknowledge(ack worker.Ack) {
	key := attemptKey{task: ack.Task, number: ack.Attempt}
	if a := w.attempts[key]; a != nil && a.state != worker.StateRunning {
		w.record.Runs[a.runIndex].Done = a.done
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
	w.recordViolations(s)
	s.Work = actualWork(s)
	a := &attempt{
		start:      s,
		cell:       request.Cell,
		state:      worker.StateRunning,
		done:       s.Resume,
		checkpoint: s.Resume,
		runIndex:   len(w.record.Runs),
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

// actualWork returns the work that a task really takes. A payload such as "work=90s"
// gives it; otherwise it is the declared run time.
func actualWork(s worker.Start) clock.Span {
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

// recordViolations records whether a start violates an invariant: it exceeds the
// worker's capacity, or another attempt of the task runs on it.
func (w *Worker) recordViolations(s worker.Start) {
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
