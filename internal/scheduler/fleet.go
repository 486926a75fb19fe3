package scheduler

import (
	"sort"

	"marjoramstack/internal/placer"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	historyKept   = 128
	failuresInRow = 4
	firstBackoff  = 30 * clock.Second
	longestBack   = 10 * clock.Minute
	quickFailures = 2
)

// configure takes a newer configuration into force.
func (c *Cell) configure(now clock.Time, m Configured) {
	if m.Version < c.version || m.Document == nil {
		return
	}
	returned := c.zoneGone[c.opts.Zone] && !m.ZoneLeaving[c.opts.Zone]
	c.version = m.Version
	c.doc = m.Document
	c.zoneGone = m.ZoneLeaving
	c.vmGone = m.VMLeaving
	for _, w := range c.members {
		if returned {
			w.refillUntil = now.Add(refillSpan)
		}
		c.reopen(now, w)
	}
	c.lookForDepartures()
	c.trimWatchers(now)
	c.withdrawStarts(now)
}

// lookForDepartures notes whether any worker takes no new tasks because it, or
// its zone, leaves.
func (c *Cell) lookForDepartures() {
	c.departing = false
	for _, w := range c.members {
		c.departing = c.departing || !c.usable(w)
	}
}

// withdrawStarts gives back what was placed where nothing may start any more
// and has not been sent.
func (c *Cell) withdrawStarts(now clock.Time) {
	for _, id := range c.leavingHolders() {
		for _, t := range c.tasksOn(id) {
			if !t.sent {
				c.release(now, t, "leaving", false)
			}
		}
	}
}

// list takes the platform's list of VMs. The list lags: a worker that is not
// on it takes no new work, but keeps what it has.
func (c *Cell) list(now clock.Time, m Listed) {
	listed := map[string]bool{}
	for _, vm := range m.VMs {
		if vm.Kind == platform.KindWorker && vm.Zone == c.opts.Zone {
			listed[vm.ID] = true
			c.listOne(now, vm)
		}
	}
	for id, w := range c.members {
		if !listed[id] && w.listed {
			w.listed = false
			c.reopen(now, w)
		}
		if !listed[id] && len(c.onWorker[id]) == 0 {
			c.index.Remove(id)
			delete(c.members, id)
			delete(c.onWorker, id)
		}
	}
	c.lookForDepartures()
}

func (c *Cell) listOne(now clock.Time, vm platform.VM) {
	w := c.members[vm.ID]
	fresh := w == nil
	if fresh {
		w = &member{
			id:         vm.ID,
			ending:     map[worker.Ack]uint64{},
			failedJobs: map[string]bool{},
		}
		c.members[vm.ID] = w
	}
	w.rack = vm.Rack
	w.address = vm.Address
	w.leaving = vm.Leaving
	w.listed = true
	w.total = document.Size{
		Processors:   vm.Processors,
		Memory:       vm.Memory,
		Accelerators: vm.Accelerators,
	}
	c.index.Set(placer.Host{
		ID:    vm.ID,
		Rack:  vm.Rack,
		Total: w.total,
		Free:  w.total,
	})
	if fresh {
		for t := range c.onWorker[vm.ID] {
			c.index.Reserve(vm.ID, c.ask(t))
		}
	}
	c.reopen(now, w)
}

// reopen decides whether the worker takes new tasks.
func (c *Cell) reopen(now clock.Time, w *member) {
	open := c.usable(w) && w.synced && !w.silent && !now.Before(w.quarantine) && !now.Before(w.refill)
	if w.probation && len(c.onWorker[w.id]) > 0 {
		open = false
	}
	if w.ladder.step >= stepAway {
		open = false
	}
	c.index.SetOpen(w.id, open)
}

// holders returns the workers that have tasks, in order.
func (c *Cell) holders() []string {
	ids := make([]string, 0, len(c.onWorker))
	for id, tasks := range c.onWorker {
		if len(tasks) > 0 {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (w *member) quarantined() bool { return w.probation || w.quarantine != 0 }

// failed counts a failure against the worker. One that fails everything is kept
// from new work for a growing time and then tried with one task.
func (c *Cell) failed(now clock.Time, w *member, t *task) {
	w.failures++
	w.failedJobs[t.job.origin.Spec.ID] = true
	several := w.failures >= failuresInRow || len(w.failedJobs) > quickFailures
	if !several && !w.probation {
		return
	}
	w.backoff = min(max(2*w.backoff, firstBackoff), longestBack)
	w.quarantine = now.Add(w.backoff)
	w.probation = true
	c.reopen(now, w)
	c.note(Note{
		At:     now,
		What:   "quarantine",
		Worker: w.id,
		Reason: "fails-what-it-starts",
	})
}

func (c *Cell) succeeded(w *member) {
	w.failures = 0
	w.failedJobs = map[string]bool{}
	w.quarantine = 0
	w.backoff = 0
	w.probation = false
}

// remember records which classes stand on a worker from now on, so that a late
// measurement can be attributed to the time it was taken.
func (c *Cell) remember(id string) {
	w := c.members[id]
	h := c.index.Host(id)
	if w == nil || h == nil {
		return
	}
	present := make(map[string]int, len(h.Counts()))
	for class, n := range h.Counts() {
		present[class] = n
	}
	w.history = append(w.history, standing{
		at:     c.tick,
		counts: present,
	})
	if len(w.history) > historyKept {
		w.history = append(w.history[:0], w.history[len(w.history)-historyKept:]...)
	}
}

// learn attributes late measurements to the neighbours of their time.
func (c *Cell) learn(_ clock.Time, w *member, m Answered) {
	for _, s := range m.Answer.Samples {
		taken := m.Received.Add(s.Taken.Sub(m.Answer.Now))
		counts := w.standingAt(taken)
		if counts == nil {
			continue
		}
		c.slowdowns.Observe(s.Class, neighbours(counts, s.Class), s.Speed)
	}
}

func (w *member) standingAt(at clock.Time) map[string]int {
	for i := len(w.history) - 1; i >= 0; i-- {
		if !w.history[i].at.After(at) {
			return w.history[i].counts
		}
	}
	return nil
}

func neighbours(counts map[string]int, own string) []string {
	var names []string
	for class, n := range counts {
		if class == own {
			n--
		}
		for ; n > 0; n-- {
			names = append(names, class)
		}
	}
	sort.Strings(names)
	return names
}
