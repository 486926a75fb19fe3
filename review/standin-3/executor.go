package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxLease      = 6 * time.Second // holdMaxMs
	maxHoldWait   = 2 * time.Second
	maxListedEnds = 500
	beatInterval  = 1500 * time.Millisecond // heartbeatMs
	stopTime      = 100 * time.Millisecond  // within killGraceMs
	tickTime      = 10 * time.Millisecond
	ackTime       = 4100 * time.Millisecond // ackMs, from 100 ms after the end was listed
)

// Work is the spec of a job's tasks: how long each runs, or whether it lasts, and the figure
// that it reports.
type Work struct {
	Ms     int  `json:"ms,omitempty"`
	Lasts  bool `json:"lasts,omitempty"`
	Figure int  `json:"figure,omitempty"`
}

// Spec encodes the work.
func (w Work) Spec() string {
	text, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// Observer learns of the runs on executors. Its methods must not call the executor.
type Observer interface {
	Begun(executor, task string, attempt int)
	Ended(executor, task string, attempt int, how string)
}

// Executor is a stand-in for an executor that behaves as the pages say.
type Executor struct {
	ID, Zone, Kind, Rack string
	Service              string
	Cpu, MemMb           int

	observer Observer
	listener net.Listener
	born     time.Time

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced when a run ends
	fence    uint64
	lease    int64 // on its clock, in milliseconds
	seq      int
	running  map[string]*taskRun
	ended    []taskEnd
	lastEnd  uint64
	highest  map[string]int // by task, the highest attempt that ended or was stopped
	shedding bool           // starts get 503
	crashed  bool
	beatFrom time.Time // no row is written before
	// noted and missed count the ends that were acknowledged within ackTime, and later.
	noted, missed int
}

type taskRun struct {
	task    string
	attempt int
	work    Work
	began   time.Time
	stopAt  time.Time // zero unless it is being stopped
	percent int
}

type taskEnd struct {
	number  uint64
	task    string
	attempt int
	how     string
	at      time.Time
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	FenceToken uint64 `json:"fenceToken"`
	AckCursor  uint64 `json:"ackCursor"`
	WaitMs     int    `json:"waitMs"`
}

// Serve starts the executor on a free loopback port.
func (e *Executor) Serve(observer Observer) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.listener = listener
	e.observer = observer
	e.born = time.Now()
	e.changed = make(chan struct{})
	e.running = map[string]*taskRun{}
	e.highest = map[string]int{}
	mux := http.NewServeMux()
	mux.HandleFunc("/run-start", e.handle(e.start))
	mux.HandleFunc("/run-stop", e.handle(e.stop))
	mux.HandleFunc("/pace", e.handle(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("/hold", e.handle(e.hold))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", e.ID) })
	go http.Serve(listener, mux)
	go func() {
		for range time.Tick(tickTime) {
			e.mu.Lock()
			e.advance()
			e.mu.Unlock()
		}
	}()
	return nil
}

// Beat writes the executor's row to the store from now on.
func (e *Executor) Beat(store *Store) {
	for {
		e.beat(store)
		time.Sleep(beatInterval)
	}
}

func (e *Executor) beat(store *Store) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed || time.Now().Before(e.beatFrom) {
		return
	}
	e.seq++
	store.Put("servers", "", e.ID, map[string]any{
		"service":    e.Service,
		"addr":       e.listener.Addr().String(),
		"zone":       e.Zone,
		"version":    "v1",
		"slots":      8,
		"state":      "ready",
		"coldLeftMs": 0,
		"capacity":   map[string]int{"cpu": e.Cpu, "memMb": e.MemMb, "gpu": 0},
		"labels":     []string{e.Kind, e.Rack},
		"clockMs":    e.clock(),
		"seq":        e.seq,
	})
}

// Restart crashes the executor, and starts it again under its id after down, as one of another
// kind. It writes its row again entryDelay after that.
func (e *Executor) Restart(store *Store, down, entryDelay time.Duration, kind string) {
	e.mu.Lock()
	e.crashed = true
	for _, r := range e.sorted() {
		e.observer.Ended(e.ID, r.task, r.attempt, "crashed")
	}
	e.running = map[string]*taskRun{}
	e.highest = map[string]int{}
	e.ended = nil
	e.lastEnd = 0
	e.fence = 0
	e.lease = 0
	e.mu.Unlock()
	time.Sleep(down)
	e.mu.Lock()
	e.crashed = false
	e.Kind = kind
	e.born = time.Now()
	e.seq = 0
	e.beatFrom = e.born.Add(entryDelay)
	e.mu.Unlock()
	time.AfterFunc(entryDelay, func() { e.beat(store) })
}

// Shed makes the executor answer starts with 503, or take them again.
func (e *Executor) Shed(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shedding = on
}

func (e *Executor) clock() int64 { return time.Since(e.born).Milliseconds() }

func (e *Executor) handle(apply func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if intended := r.Header.Get("Expect-Instance"); intended != "" && intended != e.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.crashed {
			panic(http.ErrAbortHandler)
		}
		life := e.born
		if e.shedding && r.URL.Path == "/run-start" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		body := map[string]any{}
		status := http.StatusConflict
		if o.FenceToken < e.fence {
			body["reason"] = "fence"
		} else {
			e.fence = o.FenceToken
			e.advance()
			var reason string
			status, reason = apply(o)
			if e.crashed || e.born != life {
				panic(http.ErrAbortHandler)
			}
			if reason != "" {
				body["reason"] = reason
			}
			if r.URL.Path == "/hold" {
				body["running"], body["ended"] = e.lists()
			}
		}
		body["clockMs"] = e.clock()
		body["born"] = e.born.UnixMilli()
		writeJSON(w, status, body)
	}
}

func (e *Executor) extendLease(deadline int64) {
	e.lease = max(e.lease, min(deadline, e.clock()+maxLease.Milliseconds()))
}

func (e *Executor) start(o order) (int, string) {
	var work Work
	if json.Unmarshal([]byte(o.Spec), &work) != nil {
		return http.StatusBadRequest, ""
	}
	current := e.running[o.Task]
	switch {
	case current != nil && current.attempt == o.Attempt:
		return http.StatusOK, ""
	case o.DeadlineMs < e.clock():
		return http.StatusConflict, "late"
	case current != nil || o.Attempt <= e.highest[o.Task]:
		e.extendLease(o.DeadlineMs)
		return http.StatusConflict, "old"
	}
	e.extendLease(o.DeadlineMs)
	e.running[o.Task] = &taskRun{
		task:    o.Task,
		attempt: o.Attempt,
		work:    work,
		began:   time.Now(),
	}
	e.observer.Begun(e.ID, o.Task, o.Attempt)
	return http.StatusOK, ""
}

func (e *Executor) stop(o order) (int, string) {
	e.highest[o.Task] = max(e.highest[o.Task], o.Attempt)
	if r := e.running[o.Task]; r != nil && r.attempt <= o.Attempt && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, ""
}

// hold extends the lease, forgets acknowledged ends and waits for an end.
func (e *Executor) hold(o order) (int, string) {
	if o.DeadlineMs != 0 {
		e.extendLease(o.DeadlineMs)
	}
	e.acknowledge(o.AckCursor)
	timer := time.NewTimer(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait))
	defer timer.Stop()
	for o.WaitMs > 0 && len(e.ended) == 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			o.WaitMs = 0
		}
		e.mu.Lock()
	}
	return http.StatusOK, ""
}

// acknowledge forgets the ends up to cursor.
func (e *Executor) acknowledge(cursor uint64) {
	for len(e.ended) > 0 && e.ended[0].number <= cursor {
		if time.Since(e.ended[0].at) <= ackTime {
			e.noted++
		} else {
			e.missed++
		}
		e.ended = e.ended[1:]
	}
}

// Acks returns how many ends were acknowledged within ackTime, and how many were not. Later
// ends are left out.
func (e *Executor) Acks() (noted, missed int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	missed = e.missed
	for _, t := range e.ended {
		if time.Since(t.at) > ackTime {
			missed++
		}
	}
	return e.noted, missed
}

func (e *Executor) lists() (running, ended [][]any) {
	running = [][]any{}
	ended = [][]any{}
	for _, r := range e.sorted() {
		running = append(running, []any{r.task, r.attempt, "", r.progress(), r.work.Figure})
	}
	for i, t := range e.ended {
		if i < maxListedEnds {
			ended = append(ended, []any{t.number, t.task, t.attempt, t.how, ""})
		}
	}
	return running, ended
}

func (r *taskRun) progress() int {
	if r.work.Lasts {
		return 100
	}
	return min(int(time.Since(r.began).Milliseconds())*100/max(r.work.Ms, 1), 99)
}

func (e *Executor) sorted() []*taskRun {
	var all []*taskRun
	for _, r := range e.running {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *taskRun) int { return strings.Compare(a.task, b.task) })
	return all
}

// advance ends the runs that are due, or all of them if the lease is over.
func (e *Executor) advance() {
	now := time.Now()
	for _, r := range e.sorted() {
		switch {
		case e.clock() > e.lease:
			e.end(r, "lapsed")
		case !r.stopAt.IsZero():
			if !now.Before(r.stopAt) {
				e.end(r, "stopped")
			}
		case !r.work.Lasts && now.Sub(r.began) >= time.Duration(r.work.Ms)*time.Millisecond:
			e.end(r, "done")
		}
	}
}

func (e *Executor) end(r *taskRun, how string) {
	delete(e.running, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.attempt)
	e.lastEnd++
	e.ended = append(e.ended, taskEnd{
		number:  e.lastEnd,
		task:    r.task,
		attempt: r.attempt,
		how:     how,
		at:      time.Now(),
	})
	e.observer.Ended(e.ID, r.task, r.attempt, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// newExecutors returns executors of a service, spread over the zones, 8 a rack.
func newExecutors(service string, count int, zones []string, kindOf func(i int) string) []*Executor {
	const rackSize = 8
	var all []*Executor
	for i := range count {
		all = append(all, &Executor{
			ID:      fmt.Sprintf("i-%08x", 0x7f3a0000+i),
			Zone:    zones[i%len(zones)],
			Kind:    kindOf(i),
			Rack:    fmt.Sprintf("r%d-%d", i%len(zones)+1, i/len(zones)/rackSize),
			Service: service,
			Cpu:     64000,
			MemMb:   256000,
		})
	}
	return all
}
