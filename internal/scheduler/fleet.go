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
	maxClassHistory = 128
	// A worker is quarantined after maxConsecutiveFailures, or when tasks of more
	// than maxFailedJobs jobs have failed on it in a row.
	maxConsecutiveFailures = 4
	minBackoff             = 30 * clock.Second
	maxBackoff             = 10 * clock.Minute
	maxFailedJobs          = 2
)

// configure applies a configuration, unless it is older than the current one.
func (c *Cell) configure(now clock.Time, m Configured) {
	if m.Version < c.version || m.Document == nil {
		return
	}
	returned := c.zoneLeaving[c.opts.Zone] && !m.ZoneLeaving[c.opts.Zone]
	c.version = m.Version
	c.doc = m.Document
	c.zoneLeaving = m.ZoneLeaving
	c.vmLeaving = m.VMLeaving
	for _, w := range c.workers {
		if returned {
			w.rampUpUntil = now.Add(rampUpDuration)
		}
		c.updateOpen(now, w)
	}
	c.updateAnyLeaving()
	c.trimWatchers(now)
	c.withdrawStarts(now)
}

// updateAnyLeaving records whether any worker is not usable.
func (c *Cell) updateAnyLeaving() {
	c.anyLeaving = false
	for _, w := range c.workers {
		c.anyLeaving = c.anyLeaving || !c.usable(w)
	}
}

// withdrawStarts releases the attempts on leaving workers for which no start has
// been sent.
func (c *Cell) withdrawStarts(now clock.Time) {
	for _, id := range c.leavingWorkers() {
		for _, t := range c.tasksOn(id) {
			if !t.startSent {
				c.release(now, t, "leaving", false)
			}
		}
	}
}

// updateFleet applies the platform's list of VMs. The list can be stale, so a
// worker that is missing from it gets no new tasks but keeps the ones it has.
func (c *Cell) updateFleet(now clock.Time, m Listed) {
	listed := map[string]bool{}
	for _, vm := range m.VMs {
		if vm.Kind == platform.KindWorker && vm.Zone == c.opts.Zone {
			listed[vm.ID] = true
			c.updateWorker(now, vm)
		}
	}
	for id, w := range c.workers {
		if !listed[id] && w.listed {
			w.listed = false
			c.updateOpen(now, w)
		}
		if !listed[id] && len(c.tasksByWorker[id]) == 0 {
			c.index.Remove(id)
			delete(c.workers, id)
			delete(c.tasksByWorker, id)
		}
	}
	c.updateAnyLeaving()
}

func (c *Cell) updateWorker(now clock.Time, vm platform.VM) {
	w := c.workers[vm.ID]
	fresh := w == nil
	if fresh {
		w = &workerState{
			id:         vm.ID,
			endSeq:     map[worker.Ack]uint64{},
			failedJobs: map[string]bool{},
		}
		c.workers[vm.ID] = w
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
		for t := range c.tasksByWorker[vm.ID] {
			c.index.Reserve(vm.ID, c.ask(t))
		}
	}
	c.updateOpen(now, w)
}

// updateOpen opens the worker for new tasks or closes it.
func (c *Cell) updateOpen(now clock.Time, w *workerState) {
	open := c.usable(w) && w.synced && !w.silent && !now.Before(w.quarantinedUntil) && !now.Before(w.nextRampUp)
	if w.probation && len(c.tasksByWorker[w.id]) > 0 {
		open = false
	}
	if w.escalation.level >= levelNoNewTasks {
		open = false
	}
	c.index.SetOpen(w.id, open)
}

// busyWorkers returns the workers that have tasks, sorted.
func (c *Cell) busyWorkers() []string {
	ids := make([]string, 0, len(c.tasksByWorker))
	for id, tasks := range c.tasksByWorker {
		if len(tasks) > 0 {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (w *workerState) quarantined() bool { return w.probation || w.quarantinedUntil != 0 }

// recordFailure counts a task failure against the worker. A worker that fails every
// task is quarantined with exponential backoff and then gets one task as a trial.
func (c *Cell) recordFailure(now clock.Time, w *workerState, t *task) {
	w.failures++
	w.failedJobs[t.job.origin.Spec.ID] = true
	several := w.failures >= maxConsecutiveFailures || len(w.failedJobs) > maxFailedJobs
	if !several && !w.probation {
		return
	}
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	w.quarantinedUntil = now.Add(w.backoff)
	w.probation = true
	c.updateOpen(now, w)
	c.note(Note{
		At:     now,
		What:   "quarantine",
		Worker: w.id,
		Reason: "fails-what-it-starts",
	})
}

func (c *Cell) recordSuccess(w *workerState) {
	w.failures = 0
	w.failedJobs = map[string]bool{}
	w.quarantinedUntil = 0
	w.backoff = 0
	w.probation = false
}

// recordClasses records which classes run on a worker from now on, so that a
// measurement that arrives late is attributed to the tasks that ran when it was
// taken.
func (c *Cell) recordClasses(id string) {
	w := c.workers[id]
	h := c.index.Host(id)
	if w == nil || h == nil {
		return
	}
	present := make(map[string]int, len(h.Counts()))
	for class, n := range h.Counts() {
		present[class] = n
	}
	w.classHistory = append(w.classHistory, classCounts{
		at:     c.lastTick,
		counts: present,
	})
	if len(w.classHistory) > maxClassHistory {
		w.classHistory = append(w.classHistory[:0], w.classHistory[len(w.classHistory)-maxClassHistory:]...)
	}
}

// observeSlowdowns learns from the measurements in an answer. Each is attributed to
// the tasks that ran on the worker when it was taken.
func (c *Cell) observeSlowdowns(_ clock.Time, w *workerState, m Answered) {
	for _, s := range m.Answer.Samples {
		taken := m.Received.Add(s.Taken.Sub(m.Answer.Now))
		counts := w.classCountsAt(taken)
		if counts == nil {
			continue
		}
		c.slowdowns.Observe(s.Class, colocatedClasses(counts, s.Class), s.Speed)
	}
}

// classCountsAt returns the tasks by class at the given time, or nil if the history
// does not reach back that far.
func (w *workerState) classCountsAt(at clock.Time) map[string]int {
	for i := len(w.classHistory) - 1; i >= 0; i-- {
		if !w.classHistory[i].at.After(at) {
			return w.classHistory[i].counts
		}
	}
	return nil
}

// colocatedClasses returns the classes of the other tasks on a worker, sorted and
// repeated as often as they occur. One task of class own is left out.
func colocatedClasses(counts map[string]int, own string) []string {
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
