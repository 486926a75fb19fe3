package scheduler

import (
	"sort"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// drainFillPermille is the part, in thousandths, of the room elsewhere that tasks
	// on their way may fill before more are stopped.
	drainFillPermille = 900
	moveDelay         = 3 * clock.Second
	maxMovesPerPass   = 256
	maxDrainsPerPass  = 512
)

// drain stops what runs on leaving workers, least slack first. A worker that
// leaves alone is emptied into its own cell; a zone that leaves is emptied as
// fast as the other cells can take it, and what they cannot take runs on.
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

// leavingWorkers returns the workers that have tasks and take no new ones any
// more, in order.
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

// drainCapacity is what can be taken up by the own cell, or by the others if the
// whole zone leaves, less what already waits.
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

// moveWaiting hands waiting tasks to other cells: all of them when the zone
// leaves, else those that have waited while another cell has room.
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

// mayMove keeps tasks from wandering: outside a leaving zone only those move
// that the own cell has not placed for some time.
func (c *Cell) mayMove(now clock.Time, t *task) bool {
	if c.zoneLeaving[c.opts.Zone] {
		return true
	}
	return now.Sub(t.job.origin.Submitted) > moveDelay && t.job.reason != ""
}

// otherCells returns the other cells with their free size less what already
// waits there.
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

// cellWithMostFree returns the cell with the most free processors that holds the size,
// or -1.
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
