package main

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gangs knows the gangs of all executors, by step and attempt.
type gangs struct {
	mu    sync.Mutex
	known map[string]*gang
}

type gang struct {
	present map[string]bool
	worked  bool   // all members were present at some time
	end     string // how the first member has ended
}

func newGangs() *gangs { return &gangs{known: map[string]*gang{}} }

// of returns the gang of a run. The caller holds the lock.
func (g *gangs) of(t *taskRun) *gang {
	parts := strings.Split(t.task, ".")
	name := strings.Join(parts[:3], ".") + " " + strconv.Itoa(t.attempt)
	if g.known[name] == nil {
		g.known[name] = &gang{present: map[string]bool{}}
	}
	return g.known[name]
}

func (g *gangs) join(t *taskRun) {
	if t.step.Gang == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	members := g.of(t)
	members.present[t.task] = true
	members.worked = members.worked || len(members.present) == t.step.Gang
}

func (g *gangs) leave(t *taskRun, how string) {
	if t.step.Gang == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	members := g.of(t)
	delete(members.present, t.task)
	if members.end == "" && members.worked {
		members.end = how
	}
}

// together reports whether a run may work: it is no member of a gang, or all members are there.
func (g *gangs) together(t *taskRun) bool {
	if t.step.Gang == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.of(t).present) == t.step.Gang
}

// fate returns how a member of a gang ends because of the others, "" if it doesn't.
func (g *gangs) fate(t *taskRun) string {
	if t.step.Gang == 0 {
		return ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	members := g.of(t)
	switch {
	case members.end == "done":
		return "done"
	case members.end != "":
		return "broken"
	case !members.worked && time.Since(t.began) > gangTimeout:
		return "alone"
	}
	return ""
}
