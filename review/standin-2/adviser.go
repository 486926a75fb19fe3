package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxAdviceCalls is how many calls may wait at the adviser.
const maxAdviceCalls = 32

// adviser is the platform's service that knows which executors may run a step: here, every
// second one. It handles one call at a time for each VM, and goes on with a call whose caller
// has left.
type adviser struct {
	rec   *recorder
	world *world

	decide time.Duration
	valid  time.Duration

	mu       sync.Mutex
	each     map[string]time.Duration // for each executor that is named, by job
	tickets  map[string]ticket
	waiting  int
	answered int
	left     int
}

type ticket struct {
	step     string
	executor string
	life     int
	until    time.Time
}

func newAdviser(rec *recorder, w *world, decide, valid time.Duration) *adviser {
	return &adviser{
		rec:     rec,
		world:   w,
		decide:  decide,
		valid:   valid,
		each:    map[string]time.Duration{},
		tickets: map[string]ticket{},
	}
}

// expect tells the service how long it takes for each executor named for a job's steps.
func (a *adviser) expect(job string, each time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.each[job] = each
}

// listen opens an address of the service for one VM.
func (a *adviser) listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	turn := &sync.Mutex{}
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serve(w, r, turn) }))
	return listener.Addr().String(), nil
}

func (a *adviser) serve(w http.ResponseWriter, r *http.Request, turn *sync.Mutex) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Workers) > 100 {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if !a.enter() {
		answer(w, http.StatusTooManyRequests, map[string]any{})
		return
	}
	turn.Lock()
	span := a.span(call.Step, len(call.Workers))
	time.Sleep(span)
	good := a.permit(call.Step, call.Workers)
	turn.Unlock()
	a.leave(r.Context().Err() != nil)
	a.rec.log("adviser", "%s: %d of %d executors after %v, caller left: %v", call.Step, len(good), len(call.Workers), span, r.Context().Err() != nil)
	answer(w, http.StatusOK, map[string]any{"good": good, "validMs": a.valid.Milliseconds()})
}

// span returns how long the service takes for a call.
func (a *adviser) span(step string, executors int) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	job, _, _ := strings.Cut(step, ".")
	return a.decide + time.Duration(executors)*a.each[job]
}

func (a *adviser) enter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting >= maxAdviceCalls {
		return false
	}
	a.waiting++
	return true
}

func (a *adviser) leave(alone bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
	a.answered++
	if alone {
		a.left++
	}
}

// permit returns tickets for every second executor of the world that is named.
func (a *adviser) permit(step string, names []string) [][]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	named := map[string]bool{}
	for _, name := range names {
		named[name] = true
	}
	good := [][]string{}
	for i, e := range a.world.executors {
		if i%2 != 0 || !named[e.id] {
			continue
		}
		text := fmt.Sprintf("t-%d", len(a.tickets)+1)
		a.tickets[text] = ticket{
			step:     step,
			executor: e.id,
			life:     e.lives(),
			until:    time.Now().Add(a.valid),
		}
		good = append(good, []string{e.id, text})
	}
	return good
}

// allows reports whether a start may run with the ticket.
func (a *adviser) allows(text, step string, e *executor) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[text]
	return ok && t.step == step && t.executor == e.id && t.life == e.life && time.Now().Before(t.until)
}
