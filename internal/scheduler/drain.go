package scheduler

import (
	"sort"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// drainFillPermille is the share, in thousandths, of the free capacity of other
	// cells that a leaving zone may fill with waiting and stopping tasks. It stops
	// no further tasks beyond that.
	drainFillPermille = 900
	// moveDelay is how long a task waits before it may move to another cell.
	moveDelay        = 3 * clock.Second
	maxMovesPerPass  = 256
	maxDrainsPerPass = 512
)

// drain evicts tasks from leaving workers, least slack first. The tasks of a
// leaving worker resume in the same cell. The tasks of a leaving zone are evicted
// only as fast as other cells have capacity for them; the others keep running.
func (c *Cell) drain(now clock.Time) {
	var leaving []*task
	for _, id := range c.leavingWorkers() {
		for _, t := range c.tasksOn(id) {
			if t.evictable() {
				leaving = append(leaving, t)
			}
		}
	}
	if len(leaving) == 0 {
		return
	}
	c.sortBySlack(leaving)
	c.evictWhileRoom(now, leaving, c.drainCapacity())
}

// leavingWorkers returns the workers that have tasks but are not usable, sorted.
func (c *Cell) leavingWorkers() []string {
	if !c.anyLeaving {
		return nil
	}
	var ids []string
	for id, tasks := range c.tasksByWorker {
		if w := c.workers[id]; len(tasks) > 0 && (w == nil || !c.usable(w)) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (c *Cell) sortBySlack(tasks []*task) {
	rank := make(map[*task]clock.Time, len(tasks))
	for _, t := range tasks {
		left := c.runtimes.Expect(t.job.origin.Spec.Class, t.job.declared, runTimeQuantile) - t.done
		rank[t] = t.job.origin.Deadline.Add(-max(left, 0))
	}
	sort.Slice(tasks, func(i, j int) bool {
		if rank[tasks[i]] != rank[tasks[j]] {
			return rank[tasks[i]] < rank[tasks[j]]
		}
		return less(tasks[i].id(), tasks[j].id())
	})
}

// drainCapacity returns the free capacity of this cell, or of the other cells if
// the zone is leaving, minus the size of the tasks that already wait.
func (c *Cell) drainCapacity() document.Size {
	var room document.Size
	if !c.zoneLeaving[c.opts.Zone] {
		own := c.Load()
		return own.Free.Minus(own.Wanted)
	}
	for _, l := range c.cellLoads {
		if l.Cell != c.opts.ID && !l.Leaving {
			room = room.Plus(l.Free).Minus(l.Wanted)
		}
	}
	room = scale(room, drainFillPermille)
	for _, j := range c.jobs {
		room = room.Minus(j.size().Times(j.counts.Waiting))
	}
	return room
}

func scale(s document.Size, permille int) document.Size {
	return document.Size{
		Processors:   s.Processors * permille / 1000,
		Memory:       s.Memory * permille / 1000,
		Accelerators: s.Accelerators * permille / 1000,
	}
}

// evictWhileRoom evicts the tasks in order until the next one does not fit into
// room or maxDrainsPerPass is reached. Tasks that are already being evicted from
// leaving workers count against room.
func (c *Cell) evictWhileRoom(now clock.Time, tasks []*task, room document.Size) {
	for _, id := range c.leavingWorkers() {
		for _, t := range c.tasksOn(id) {
			if t.evict == evictLeaving {
				room = room.Minus(t.job.size())
			}
		}
	}
	for i, t := range tasks {
		if i >= maxDrainsPerPass || !t.job.size().Fits(room) {
			return
		}
		room = room.Minus(t.job.size())
		c.startEviction(now, t, evictLeaving)
	}
}

// moveWaiting hands waiting tasks over to other cells with free capacity: all of
// them if the zone is leaving, otherwise those that have waited for some time.
func (c *Cell) moveWaiting(now clock.Time) {
	room := c.otherCells()
	if len(room) == 0 || len(c.queue) == 0 || !c.authority.Owns(now) {
		return
	}
	moved := 0
	for _, j := range append([]*job(nil), c.queue...) {
		for len(j.waiting) > 0 && moved < maxMovesPerPass {
			t := j.waiting[len(j.waiting)-1]
			if !c.mayMove(now, t) {
				break
			}
			to := cellWithMostFree(room, j.size())
			if to < 0 {
				break
			}
			room[to].Free = room[to].Free.Minus(j.size())
			c.stats.MovedOut++
			c.emit(now, TaskMoved{
				Task:  t.id(),
				To:    room[to].Cell,
				Taken: handover(t),
			})
			moved++
		}
	}
}

// mayMove reports whether the task may move to another cell. Unless the zone is
// leaving, only tasks that this cell could not place for some time may move, so
// that tasks do not move back and forth.
func (c *Cell) mayMove(now clock.Time, t *task) bool {
	if c.zoneLeaving[c.opts.Zone] {
		return true
	}
	return now.Sub(t.job.origin.Submitted) > moveDelay && t.job.reason != ""
}

// otherCells returns the loads of the other cells that are not leaving and have
// workers. The size of the tasks that wait there is subtracted from Free.
func (c *Cell) otherCells() []Load {
	var room []Load
	for _, l := range c.cellLoads {
		if l.Cell == c.opts.ID || l.Leaving || l.Workers == 0 {
			continue
		}
		l.Free = l.Free.Minus(l.Wanted)
		room = append(room, l)
	}
	return room
}

// cellWithMostFree returns the index of the cell with the most free processors
// among those where the size fits, or -1 if it fits nowhere.
func cellWithMostFree(cells []Load, size document.Size) int {
	best := -1
	for i, l := range cells {
		if !size.Fits(l.Free) {
			continue
		}
		if best < 0 || l.Free.Processors > cells[best].Free.Processors {
			best = i
		}
	}
	return best
}

func handover(t *task) TaskTaken {
	return TaskTaken{
		Origin:     t.job.origin,
		Index:      t.index,
		Attempt:    t.attempt,
		Checkpoint: t.resumeFrom,
		Failures:   t.failures,
	}
}
