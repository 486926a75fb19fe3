package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployments that an executor keeps.
const (
	holdMax         = 6 * time.Second
	killGrace       = 200 * time.Millisecond
	checkpointEvery = 1 * time.Second
	restoreTime     = 100 * time.Millisecond
	paceTime        = 100 * time.Millisecond
	maxHoldWait     = 2 * time.Second
	heartbeat       = 1500 * time.Millisecond
	silentBeats     = 3
	endsPerAnswer   = 500
	stepTime        = 10 * time.Millisecond
)

// workSpec is the spec of a job: what the tasks of each step do. The system passes it on
// unread.
type workSpec struct {
	Steps []workStep `json:"steps"`
}

// workStep describes the tasks of a step. Tasks that serve last for good.
type workStep struct {
	WorkMs int64 `json:"workMs,omitempty"`
	CPU    int   `json:"cpu"`
	Fills  bool  `json:"fills,omitempty"`
	Serves bool  `json:"serves,omitempty"`
	// Ticket means that a start needs a ticket.
	Ticket bool `json:"ticket,omitempty"`
	// Gang is the number of tasks of a gang, 0 if the tasks are none.
	Gang int `json:"gang,omitempty"`
}

type taskRun struct {
	task    string
	attempt int
	step    workStep
	began   time.Time
	readyAt time.Time // when a resumed run has restored its checkpoint
	done    time.Duration
	saved   string
	savedAt time.Duration
	pace    int
	stopAt  time.Time // when it ends because of a stop, zero if it isn't stopped
}

func (t *taskRun) job() string { return strings.SplitN(t.task, ".", 2)[0] }

type taskEnd struct {
	number  uint64
	task    string
	attempt int
	how     string
	saved   string
	listed  time.Time
	noted   time.Time // when ackCursor reached it, zero until then
}

type taskStart struct {
	task    string
	attempt int
	at      time.Time
}

// executor is a stand-in of one executor, which doesn't guard its capacity.
type executor struct {
	id, service, zone, rack string
	cpu, memMb              int
	record                  *record
	store                   *store
	adviser                 *adviser
	gangs                   *gangs
	server                  *http.Server
	address                 string
	stopped                 chan struct{}

	mu      sync.Mutex
	born    time.Time
	fence   uint64
	lease   int64 // on the executor's clock
	running map[string]*taskRun
	highest map[string]int
	ended   []*taskEnd // those that ackCursor has not reached
	noted   []*taskEnd
	starts  []taskStart
	number  uint64
	changed chan struct{}
	seq     int
	// tail is the tail of the tasks that serve without any others, in milliseconds;
	// disturbance is what fillers on all processors add to it.
	tail, disturbance float64
}

func newExecutor(id, service, zone, rack string, cpu, memMb int, st *store, adv *adviser, gg *gangs, rec *record) (*executor, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &executor{
		id: id, service: service, zone: zone, rack: rack, cpu: cpu, memMb: memMb,
		record: rec, store: st, adviser: adv, gangs: gg, address: listener.Addr().String(), stopped: make(chan struct{}),
		born: time.Now(), running: map[string]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{}),
		tail: 10,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/run-start", e.answer(e.start))
	mux.HandleFunc("/run-stop", e.answer(e.stop))
	mux.HandleFunc("/pace", e.answer(e.setPace))
	mux.HandleFunc("/hold", e.hold)
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", e.id) })
	e.server = &http.Server{Handler: mux}
	go e.server.Serve(listener)
	return e, nil
}

// run lets the executor write its row and its runs advance.
func (e *executor) run() {
	go e.work()
	go e.beat()
}

func (e *executor) close() {
	close(e.stopped)
	e.server.Close()
}

// beat writes the executor's row about every heartbeat.
func (e *executor) beat() {
	for {
		e.mu.Lock()
		e.seq++
		entry := map[string]any{
			"service": e.service, "addr": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": e.cpu, "memMb": e.memMb, "gpu": 0}, "labels": []string{"a", e.rack},
			"born": e.born.UnixMilli(), "clockMs": e.clock(), "seq": e.seq, "hostId": "m-" + e.id,
		}
		e.mu.Unlock()
		e.store.put("servers", e.id, entry)
		select {
		case <-time.After(heartbeat):
		case <-e.stopped:
			return
		}
	}
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() }

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fenceToken"`
	Checkpoint string `json:"lastCheckpoint"`
	Ack        uint64 `json:"ackCursor"`
	WaitMs     int64  `json:"waitMs"`
	Percent    *int   `json:"percent"`
	Ticket     string `json:"ticket"`
}

type orderReply struct {
	Clock  int64  `json:"clockMs"`
	Reason string `json:"reason,omitempty"`
}

type holdReply struct {
	Clock   int64   `json:"clockMs"`
	Born    int64   `json:"born"`
	Running [][]any `json:"running"`
	Ended   [][]any `json:"ended"`
}

// admit decodes an order and checks its addressee and fencing token. If it is admitted the
// executor is locked, else it is answered.
func (e *executor) admit(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return o, false
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		reply(w, http.StatusMisdirectedRequest, struct{}{})
		return o, false
	}
	e.mu.Lock()
	if o.Fence < e.fence {
		answer := orderReply{Clock: e.clock(), Reason: "fence"}
		e.mu.Unlock()
		reply(w, http.StatusConflict, answer)
		return o, false
	}
	e.fence = o.Fence
	e.advance()
	return o, true
}

func (e *executor) answer(carryOut func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, ok := e.admit(w, r)
		if !ok {
			return
		}
		status, reason := carryOut(o)
		answer := orderReply{Clock: e.clock(), Reason: reason}
		e.mu.Unlock()
		reply(w, status, answer)
	}
}

func (e *executor) extend(deadline int64) {
	e.lease = max(e.lease, min(deadline, e.clock()+holdMax.Milliseconds()))
}

func (e *executor) start(o order) (int, string) {
	var spec workSpec
	parts := strings.Split(o.Task, ".")
	if len(parts) != 4 || json.Unmarshal([]byte(o.Spec), &spec) != nil {
		return http.StatusBadRequest, ""
	}
	number, err := strconv.Atoi(parts[2])
	if err != nil || number < 0 || number >= len(spec.Steps) {
		return http.StatusBadRequest, ""
	}
	current := e.running[o.Task]
	if current != nil && current.attempt == o.Attempt {
		return http.StatusOK, ""
	}
	if o.Deadline < e.clock() {
		return http.StatusConflict, "late"
	}
	e.extend(o.Deadline)
	if current != nil || o.Attempt <= e.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	if spec.Steps[number].Ticket && !e.adviser.valid(strings.Join(parts[:3], "."), e.id, o.Ticket) {
		return http.StatusConflict, "ticket"
	}
	t := &taskRun{task: o.Task, attempt: o.Attempt, step: spec.Steps[number], began: time.Now(), readyAt: time.Now(), pace: 100}
	if o.Checkpoint != "" {
		done, err := strconv.ParseInt(o.Checkpoint[:min(8, len(o.Checkpoint))], 16, 64)
		if err != nil {
			return http.StatusBadRequest, ""
		}
		t.done = time.Duration(done) * time.Millisecond
		t.saved, t.savedAt, t.readyAt = o.Checkpoint, t.done, t.began.Add(restoreTime)
	}
	e.running[o.Task] = t
	e.starts = append(e.starts, taskStart{task: o.Task, attempt: o.Attempt, at: t.began})
	e.gangs.join(t)
	e.record.add("%s starts %s, attempt %d, fencing token %d", e.id, o.Task, o.Attempt, o.Fence)
	return http.StatusOK, ""
}

func (e *executor) stop(o order) (int, string) {
	e.highest[o.Task] = max(e.highest[o.Task], o.Attempt)
	if t := e.running[o.Task]; t != nil && t.attempt <= o.Attempt && t.stopAt.IsZero() {
		t.stopAt = time.Now().Add(killGrace / 2)
	}
	return http.StatusOK, ""
}

func (e *executor) setPace(o order) (int, string) {
	if o.Percent == nil || *o.Percent < 0 || *o.Percent > 100 {
		return http.StatusBadRequest, ""
	}
	e.record.add("%s paces %s, attempt %d, to %d%%, fencing token %d", e.id, o.Task, o.Attempt, *o.Percent, o.Fence)
	percent := *o.Percent
	time.AfterFunc(paceTime/2, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if t := e.running[o.Task]; t != nil && t.attempt == o.Attempt {
			t.pace = percent
		}
	})
	return http.StatusOK, ""
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := e.admit(w, r)
	if !ok {
		return
	}
	if o.Deadline != 0 {
		e.extend(o.Deadline)
	}
	for len(e.ended) > 0 && e.ended[0].number <= o.Ack {
		e.ended[0].noted = time.Now()
		e.noted = append(e.noted, e.ended[0])
		e.ended = e.ended[1:]
	}
	timer := time.NewTimer(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait))
	defer timer.Stop()
	for waiting := o.WaitMs > 0; waiting && len(e.ended) == 0; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
	}
	answer := e.lists()
	e.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

func (e *executor) lists() holdReply {
	e.advance()
	answer := holdReply{Clock: e.clock(), Born: e.born.UnixMilli(), Running: [][]any{}, Ended: [][]any{}}
	for _, t := range e.sorted() {
		percent := 100
		if t.step.WorkMs > 0 {
			percent = int(min(t.done.Milliseconds()*100/t.step.WorkMs, 99))
		}
		answer.Running = append(answer.Running, []any{t.task, t.attempt, t.saved, percent, e.figure(t)})
	}
	for _, t := range e.ended[:min(len(e.ended), endsPerAnswer)] {
		answer.Ended = append(answer.Ended, []any{t.number, t.task, t.attempt, t.how, t.saved})
	}
	return answer
}

// figure returns the fifth entry of a row of running: the tail of a task that serves, the
// processors in use of any other.
func (e *executor) figure(t *taskRun) int {
	if !t.step.Serves {
		return t.step.CPU * t.pace / 100
	}
	used := 0
	for _, other := range e.running {
		if other.step.Fills {
			used += other.step.CPU * other.pace / 100
		}
	}
	return int(e.tail + e.disturbance*float64(used)/float64(e.cpu))
}

func (e *executor) sorted() []*taskRun {
	var all []*taskRun
	for _, t := range e.running {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *taskRun) int { return strings.Compare(a.task, b.task) })
	return all
}

// work lets the runs advance until the executor is closed.
func (e *executor) work() {
	ticker := time.NewTicker(stepTime)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case now := <-ticker.C:
			e.mu.Lock()
			e.progress(now, now.Sub(last))
			e.advance()
			e.mu.Unlock()
			last = now
		case <-e.stopped:
			return
		}
	}
}

func (e *executor) progress(now time.Time, span time.Duration) {
	for _, t := range e.running {
		if t.step.Serves || now.Before(t.readyAt) || !e.gangs.together(t) {
			continue
		}
		t.done += span * time.Duration(t.pace) / 100
		if t.done-t.savedAt >= checkpointEvery {
			t.save()
		}
	}
}

func (t *taskRun) save() {
	hash := fnv.New32a()
	hash.Write([]byte(t.task))
	t.savedAt = t.done
	t.saved = fmt.Sprintf("%08x%08x", t.done.Milliseconds(), hash.Sum32())
}

// advance ends the runs that are due, or all if the lease has expired.
func (e *executor) advance() {
	lapsed := e.clock() > e.lease
	for _, t := range e.sorted() {
		how := e.gangs.fate(t)
		switch {
		case lapsed:
			e.end(t, "lapsed")
		case how != "":
			e.end(t, how)
		case !t.stopAt.IsZero() && time.Now().After(t.stopAt):
			t.save()
			e.end(t, "stopped")
		case t.stopAt.IsZero() && !t.step.Serves && t.done.Milliseconds() >= t.step.WorkMs:
			e.end(t, "done")
		}
	}
}

func (e *executor) end(t *taskRun, how string) {
	e.gangs.leave(t, how)
	delete(e.running, t.task)
	e.highest[t.task] = max(e.highest[t.task], t.attempt)
	e.number++
	saved := t.saved
	if how == "done" {
		saved = ""
	}
	e.ended = append(e.ended, &taskEnd{number: e.number, task: t.task, attempt: t.attempt, how: how, saved: saved, listed: time.Now()})
	e.record.add("%s ends %s, attempt %d: %s", e.id, t.task, t.attempt, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// used returns the processors that the runs take from the capacity, and the number of runs
// of each job and of those that are at work.
func (e *executor) used() (cpu int, runs, atWork map[string]int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs, atWork = map[string]int{}, map[string]int{}
	for _, t := range e.running {
		if !t.step.Fills {
			cpu += t.step.CPU
		}
		runs[t.job()]++
		if t.pace > 0 {
			atWork[t.job()]++
		}
	}
	return cpu, runs, atWork
}

func (e *executor) load(tail, disturbance float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tail, e.disturbance = tail, disturbance
}

// lateAcks counts the ends that were listed by now less the limit, and those of them that were
// not taken note of within the limit, counted from calm on at the earliest.
func (e *executor) lateAcks(calm, now time.Time, limit time.Duration) (listed, late int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, end := range slices.Concat(e.noted, e.ended) {
		from := end.listed
		if from.Before(calm) {
			from = calm
		}
		if now.Sub(from) < limit || !end.noted.IsZero() && end.noted.Before(calm) {
			continue
		}
		listed++
		if end.noted.IsZero() || end.noted.Sub(from) > limit {
			late++
		}
	}
	return listed, late
}

// hasDone reports whether a task has ended here as done.
func (e *executor) hasDone(task string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(slices.Concat(e.noted, e.ended), func(t *taskEnd) bool { return t.task == task && t.how == "done" })
}

// history returns the starts and the ends since the executor's start.
func (e *executor) history() ([]taskStart, []taskEnd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ends []taskEnd
	for _, end := range slices.Concat(e.noted, e.ended) {
		ends = append(ends, *end)
	}
	return slices.Clone(e.starts), ends
}
