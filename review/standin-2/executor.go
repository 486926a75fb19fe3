package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat     = 1500 * time.Millisecond
	killGrace     = 200 * time.Millisecond
	checkpointGap = 1 * time.Second
	maxEnds       = 500
	lateAfter     = 3 * time.Second
	// firstLifeClock is what the clock of an executor that has long been up shows.
	firstLifeClock = 480 * time.Second
)

type size struct {
	CPU int `json:"cpu"`
	Mem int `json:"memMb"`
	GPU int `json:"gpu,omitempty"`
}

// program is what a job's spec tells an executor: for how long the tasks of each step run, in
// milliseconds, 0 for those that last, what each takes, and whether they save their progress.
type program struct {
	Ms    []int  `json:"ms"`
	Size  []size `json:"size"`
	Label string `json:"label,omitempty"`
	Saves bool   `json:"saves,omitempty"`
	// Advised means that a start needs a ticket of the adviser.
	Advised bool `json:"advised,omitempty"`
}

// executor is one executor of the platform. It may crash and start again under its id.
type executor struct {
	rec     *recorder
	judge   *judge
	store   *store
	adviser *adviser
	id      string
	service string
	zone    string
	addr    string
	holdMax time.Duration
	calls   atomic.Int64 // that have arrived
	// lateEvery makes every so many-th order go without an answer; it is carried out lateAfter
	// later, if the executor is still in that life. 0 stands for none.
	lateEvery atomic.Int64
	orders    atomic.Int64

	mu       sync.Mutex
	ahead    time.Duration // by which its time of day is ahead
	server   *http.Server
	kind     string
	rack     string
	capacity size
	life     int
	up       bool
	born     time.Time
	bornMs   int64 // as it says itself
	clock0   time.Duration
	fence    uint64
	lease    int64
	running  map[string]*attempt
	highest  map[string]int
	ended    []end
	lastEnd  uint64
	seq      int
	changed  chan struct{}
	quit     chan struct{}
}

type attempt struct {
	task     string
	number   int
	began    time.Time
	resumed  time.Duration // work that a checkpoint saved
	work     time.Duration // 0 for a task that lasts
	saves    bool
	saved    string
	size     size
	stopping time.Time
}

type end struct {
	number  uint64
	task    string
	attempt int
	how     string
	saved   string
}

// start begins a life of the executor, which writes its entry first after the given time.
func (e *executor) start(registerAfter time.Duration) error {
	address := e.addr
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.addr = listener.Addr().String()
	e.life++
	e.up = true
	e.born = time.Now()
	e.bornMs = e.born.Add(e.ahead).UnixMilli()
	e.clock0 = 0
	if e.life == 1 {
		e.clock0 = firstLifeClock
	}
	e.fence = 0
	e.lease = 0
	e.running = map[string]*attempt{}
	e.highest = map[string]int{}
	e.ended = nil
	e.lastEnd = 0
	e.seq = 0
	e.changed = make(chan struct{})
	e.quit = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/run-start", e.handle(e.runStart))
	mux.HandleFunc("/run-stop", e.handle(e.runStop))
	mux.HandleFunc("/pace", e.handle(func(*request) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("/hold", e.hold)
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {})
	e.server = &http.Server{Handler: mux}
	server, quit, life := e.server, e.quit, e.life
	e.mu.Unlock()
	if life > 1 {
		e.rec.log("executor "+e.id, "starts again, life %d, kind %s, capacity %v, born %d", life, e.kind, e.capacity, e.bornMs)
	}
	go server.Serve(listener)
	go e.tick(quit)
	go e.register(quit, registerAfter)
	return nil
}

// crash ends the life: nothing is left of it.
func (e *executor) crash() {
	e.mu.Lock()
	e.up = false
	for _, a := range e.running {
		e.judge.ended(e, a, "crashed")
	}
	e.running = map[string]*attempt{}
	close(e.quit)
	server := e.server
	e.mu.Unlock()
	server.Close()
	e.rec.log("executor "+e.id, "crashes")
}

func (e *executor) register(quit chan struct{}, after time.Duration) {
	timer := time.NewTimer(after)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-quit:
			return
		}
		e.writeEntry()
		timer.Reset(heartbeat)
	}
}

func (e *executor) writeEntry() {
	e.mu.Lock()
	e.seq++
	seq := e.seq
	entry := map[string]any{
		"service": e.service, "addr": e.addr, "zone": e.zone, "version": "1", "slots": 8,
		"state": "ready", "coldLeftMs": 0, "seq": e.seq, "born": e.bornMs,
		"capacity": e.capacity, "labels": []string{e.kind, e.rack}, "hostId": "host-" + e.id,
	}
	up := e.up
	e.mu.Unlock()
	if !up {
		return
	}
	e.store.put("servers", e.id, entry)
	if seq == 1 {
		e.rec.log("executor "+e.id, "writes its entry: kind %s, capacity %v", e.kind, e.capacity)
	}
}

func (e *executor) now() int64 { return (e.clock0 + time.Since(e.born)).Milliseconds() }

func (e *executor) tick(quit chan struct{}) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.mu.Lock()
			if e.up {
				e.advance()
			}
			e.mu.Unlock()
		case <-quit:
			return
		}
	}
}

// advance ends what is due.
func (e *executor) advance() {
	lapsed := len(e.running) > 0 && e.now() > e.lease
	for _, a := range e.running {
		done := a.resumed + time.Since(a.began)
		a.save(done)
		switch {
		case lapsed:
			e.end(a, "lapsed")
		case !a.stopping.IsZero() && time.Since(a.stopping) > killGrace/2:
			e.end(a, "stopped")
		case a.work > 0 && done >= a.work && a.stopping.IsZero():
			e.end(a, "done")
		}
	}
}

// save takes a checkpoint for each checkpointGap of work.
func (a *attempt) save(done time.Duration) {
	if a.saves && done >= checkpointGap {
		a.saved = fmt.Sprintf("%016x", int64(done/checkpointGap))
	}
}

func (e *executor) end(a *attempt, how string) {
	delete(e.running, a.task)
	e.highest[a.task] = max(e.highest[a.task], a.number)
	e.lastEnd++
	saved := a.saved
	if how == "done" {
		saved = ""
	}
	e.ended = append(e.ended, end{
		number:  e.lastEnd,
		task:    a.task,
		attempt: a.number,
		how:     how,
		saved:   saved,
	})
	e.judge.ended(e, a, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

type request struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	FenceToken uint64 `json:"fenceToken"`
	Checkpoint string `json:"lastCheckpoint"`
	Ticket     string `json:"ticket"`
	AckCursor  uint64 `json:"ackCursor"`
	WaitMs     int    `json:"waitMs"`
}

// admit decodes a call, and reports false if it was not for this executor.
func (e *executor) admit(w http.ResponseWriter, r *http.Request, req *request) bool {
	e.calls.Add(1)
	if err := json.NewDecoder(r.Body).Decode(req); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return false
	}
	if r.Header.Get("Expect-Instance") != e.id {
		answer(w, http.StatusMisdirectedRequest, map[string]any{"clockMs": e.now()})
		return false
	}
	return true
}

func (e *executor) handle(do func(*request) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req request
		if !e.admit(w, r, &req) {
			return
		}
		if every := e.lateEvery.Load(); every > 0 && e.orders.Add(1)%every == 0 {
			e.carryOutLate(&req, do)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
		e.abortIfDown()
		status, reason := http.StatusConflict, "fence"
		if req.FenceToken >= e.fence {
			e.fence = req.FenceToken
			status, reason = do(&req)
		}
		body := map[string]any{"clockMs": e.now(), "born": e.bornMs}
		e.mu.Unlock()
		if reason != "" {
			body["reason"] = reason
		}
		answer(w, status, body)
	}
}

// abortIfDown ends a call that a crash has overtaken, without an answer. It is called with the
// lock held.
func (e *executor) abortIfDown() {
	if !e.up {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

// carryOutLate carries an order out later than newer ones, in this life only.
func (e *executor) carryOutLate(req *request, do func(*request) (int, string)) {
	life := e.lives()
	e.rec.log("executor "+e.id, "leaves an order for %s, attempt %d, unanswered", req.Task, req.Attempt)
	time.AfterFunc(lateAfter, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.up && e.life == life && req.FenceToken >= e.fence {
			e.fence = req.FenceToken
			do(req)
		}
	})
}

func (e *executor) extend(deadline int64) {
	e.lease = max(e.lease, min(deadline, e.now()+e.holdMax.Milliseconds()))
}

func (e *executor) runStart(req *request) (int, string) {
	if a := e.running[req.Task]; a != nil && a.number == req.Attempt {
		e.extend(req.DeadlineMs)
		return http.StatusOK, ""
	}
	if req.Attempt <= e.highest[req.Task] {
		e.extend(req.DeadlineMs)
		return http.StatusConflict, "old"
	}
	if req.DeadlineMs < e.now() {
		return http.StatusConflict, "late"
	}
	var p program
	step := taskStep(req.Task)
	if err := json.Unmarshal([]byte(req.Spec), &p); err != nil || step < 0 || step >= len(p.Ms) {
		return http.StatusBadRequest, ""
	}
	if p.Advised && !e.adviser.allows(req.Ticket, req.Task[:strings.LastIndexByte(req.Task, '.')], e) {
		return http.StatusConflict, "ticket"
	}
	e.extend(req.DeadlineMs)
	a := &attempt{
		task:   req.Task,
		number: req.Attempt,
		began:  time.Now(),
		work:   time.Duration(p.Ms[step]) * time.Millisecond,
		saves:  p.Saves,
		saved:  req.Checkpoint,
		size:   p.Size[step],
	}
	if n, err := strconv.ParseInt(req.Checkpoint, 16, 64); err == nil {
		a.resumed = time.Duration(n) * checkpointGap
	}
	e.running[req.Task] = a
	e.judge.begun(e, a, p)
	return http.StatusOK, ""
}

func (e *executor) runStop(req *request) (int, string) {
	e.highest[req.Task] = max(e.highest[req.Task], req.Attempt)
	if a := e.running[req.Task]; a != nil && a.number <= req.Attempt && a.stopping.IsZero() {
		a.stopping = time.Now()
	}
	return http.StatusOK, ""
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request) {
	var req request
	if !e.admit(w, r, &req) {
		return
	}
	e.mu.Lock()
	e.abortIfDown()
	if req.FenceToken < e.fence {
		body := map[string]any{"clockMs": e.now(), "born": e.bornMs, "reason": "fence"}
		e.mu.Unlock()
		answer(w, http.StatusConflict, body)
		return
	}
	e.fence = req.FenceToken
	if req.DeadlineMs > 0 {
		e.extend(req.DeadlineMs)
	}
	for len(e.ended) > 0 && e.ended[0].number <= req.AckCursor {
		e.judge.noted(e, e.ended[0])
		e.ended = e.ended[1:]
	}
	timeout := time.After(time.Duration(min(req.WaitMs, 2000)) * time.Millisecond)
	for waiting := req.WaitMs > 0; waiting && len(e.ended) == 0; {
		changed, quit := e.changed, e.quit
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		case <-quit:
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
	}
	running := [][]any{}
	for _, a := range e.running {
		percent := 100
		if a.work > 0 {
			percent = min(99, int(100*(a.resumed+time.Since(a.began))/a.work))
		}
		running = append(running, []any{a.task, a.number, a.saved, percent, a.size.CPU})
	}
	ends := [][]any{}
	for _, x := range e.ended {
		if len(ends) < maxEnds {
			ends = append(ends, []any{x.number, x.task, x.attempt, x.how, x.saved})
		}
	}
	body := map[string]any{"clockMs": e.now(), "born": e.bornMs, "running": running, "ended": ends}
	e.mu.Unlock()
	answer(w, http.StatusOK, body)
}

func (e *executor) load() (tasks int, used size) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), e.used()
}

// setAhead sets by how much the time of day is ahead from the next life on.
func (e *executor) setAhead(span time.Duration) {
	e.mu.Lock()
	e.ahead = span
	e.mu.Unlock()
	e.rec.log("executor "+e.id, "its time of day is ahead by %v", span)
}

// lives returns how often the executor has been started.
func (e *executor) lives() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

func (e *executor) used() size {
	var used size
	for _, a := range e.running {
		used.CPU += a.size.CPU
		used.Mem += a.size.Mem
		used.GPU += a.size.GPU
	}
	return used
}

// taskStep returns the step in a task's name, ID.K.STEP.INDEX.
func taskStep(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return -1
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil {
		return -1
	}
	return step
}
