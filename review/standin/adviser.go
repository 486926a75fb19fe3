package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// adviceTime is how long advice takes and holds.
type adviceTime struct {
	DecideMs int `json:"decideMs"`
	EachMs   int `json:"eachMs"`
	ValidMs  int `json:"validMs"`
}

var adviceTimes = adviceTime{DecideMs: 20, EachMs: 1, ValidMs: 3000}

// adviser is a stand-in of the service that gives advice. Its policy allows every executor to
// run every step.
type adviser struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	issued  int
	calls   []time.Time
	tickets map[string]time.Time // until when a ticket is valid
	turn    sync.Mutex           // one call after the other
}

func newAdviser() (*adviser, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &adviser{address: listener.Addr().String(), tickets: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	a.server = &http.Server{Handler: mux}
	go a.server.Serve(listener)
	return a, nil
}

func (a *adviser) advise(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	a.turn.Lock()
	time.Sleep(time.Duration(adviceTimes.DecideMs+adviceTimes.EachMs*len(call.Workers)) * time.Millisecond)
	a.turn.Unlock()
	good := [][2]string{}
	a.mu.Lock()
	a.calls = append(a.calls, time.Now())
	for _, id := range call.Workers {
		a.issued++
		ticket := fmt.Sprintf("c81e-%08x", a.issued)
		a.tickets[call.Step+" "+id+" "+ticket] = time.Now().Add(time.Duration(adviceTimes.ValidMs) * time.Millisecond)
		good = append(good, [2]string{id, ticket})
	}
	a.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"good": good, "validMs": adviceTimes.ValidMs})
}

// valid reports whether a ticket lets an executor run a step now.
func (a *adviser) valid(step, executor, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.tickets[step+" "+executor+" "+ticket])
}

// count returns how many calls were answered after a time.
func (a *adviser) count(since time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.calls {
		if at.After(since) {
			n++
		}
	}
	return n
}
