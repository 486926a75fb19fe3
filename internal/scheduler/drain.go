package scheduler

import (
	"sort"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// drainShare is the part, in thousandths, of the room elsewhere that tasks
	// on their way may fill before more are stopped.
	drainShare  = 900
	moveAfter   = 3 * clock.Second
	moveAtOnce  = 256
	drainAtOnce = 512
)

// drain stops what runs on leaving workers, least slack first. A worker that
// leaves alone is emptied into its own cell; a zone that leaves is emptied as
// fast as the other cells can take it, and what they cannot take runs on.
func (c *Cell) drain(now clock.Time) {
	var leaving []*task
	for _, id := range c.leavingHolders() {
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
	c.evictWithin(now, leaving, c.roomForDrain())
}

// leavingHolders returns the workers that have tasks and take no new ones any
// more, in order.
func (c *Cell) leavingHolders() []string {
	if !c.departing {
		return nil
	}
	var ids []string
	for id, tasks := range c.onWorker {
		if w := c.members[id]; len(tasks) > 0 && (w == nil || !c.usable(w)) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (c *Cell) sortBySlack(tasks []*task) {
	rank := make(map[*task]clock.Time, len(tasks))
	for _, t := range tasks {
		left := c.runtimes.Expect(t.job.origin.Spec.Class, t.job.declared, runQuantile) - t.done
		rank[t] = t.job.origin.Deadline.Add(-max(left, 0))
	}
	sort.Slice(tasks, func(i, j int) bool {
		if rank[tasks[i]] != rank[tasks[j]] {
			return rank[tasks[i]] < rank[tasks[j]]
		}
		return less(tasks[i].id(), tasks[j].id())
	})
}

// roomForDrain is what can be taken up by the own cell, or by the others if the
// whole zone leaves, less what already waits.
func (c *Cell) roomForDrain() document.Size {
	var room document.Size
	if !c.zoneGone[c.opts.Zone] {
		own := c.Load()
		return own.Free.Minus(own.Wanted)
	}
	for _, l := range c.others {
		if l.Cell != c.opts.ID && !l.Leaving {
			room = room.Plus(l.Free).Minus(l.Wanted)
		}
	}
	room = scale(room, drainShare)
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

func (c *Cell) evictWithin(now clock.Time, tasks []*task, room document.Size) {
	for _, id := range c.leavingHolders() {
		for _, t := range c.tasksOn(id) {
			if t.evict == evictLeaving {
				room = room.Minus(t.job.size())
			}
		}
	}
	for i, t := range tasks {
		if i >= drainAtOnce || !t.job.size().Fits(room) {
			return
		}
		room = room.Minus(t.job.size())
		c.startEviction(now, t, evictLeaving)
	}
}

// moveWaiting hands waiting tasks to other cells: all of them when the zone
// leaves, else those that have waited while another cell has room.
func (c *Cell) moveWaiting(now clock.Time) {
	room := c.roomElsewhere()
	if len(room) == 0 || len(c.queue) == 0 || !c.authority.Owns(now) {
		return
	}
	moved := 0
	for _, j := range append([]*job(nil), c.queue...) {
		for len(j.waiting) > 0 && moved < moveAtOnce {
			t := j.waiting[len(j.waiting)-1]
			if !c.mayMove(now, t) {
				break
			}
			to := mostRoom(room, j.size())
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
	if c.zoneGone[c.opts.Zone] {
		return true
	}
	return now.Sub(t.job.origin.Submitted) > moveAfter && t.job.reason != ""
}

// roomElsewhere returns the other cells with their free size less what already
// waits there.
func (c *Cell) roomElsewhere() []Load {
	var room []Load
	for _, l := range c.others {
		if l.Cell == c.opts.ID || l.Leaving || l.Workers == 0 {
			continue
		}
		l.Free = l.Free.Minus(l.Wanted)
		room = append(room, l)
	}
	return room
}

// mostRoom returns the cell with the most free processors that holds the size,
// or -1.
func mostRoom(cells []Load, size document.Size) int {
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
		Checkpoint: t.resume,
		Failures:   t.failures,
	}
}
