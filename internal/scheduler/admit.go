package scheduler

import (
	"fmt"

	"marjoramstack/internal/leaser"
	"marjoramstack/internal/platform"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// replicaRetryDelay is how long a replica that another cell holds is not offered to
// the platform's table again.
const replicaRetryDelay = 30 * clock.Second

// submit admits a job.
func (c *Cell) submit(now clock.Time, m Submitted) {
	if c.jobs[m.Job.ID] != nil {
		return
	}
	class := c.class(m.Job.Class)
	c.emit(now, JobAdded{Origin: Origin{
		Spec:      m.Job,
		Submitted: now,
		Deadline:  m.Job.Deadline(class, now),
		Terms:     leaser.TermsOf(class),
	}})
	c.tryAssign(now)
}

// Holds reports whether the cell has, or had within its memory, part of the
// job.
func (c *Cell) Holds(id string) bool { return c.jobs[id] != nil }

func (c *Cell) withdraw(now clock.Time, m Withdrawn) {
	c.replicaRetryAt[m.Job] = now.Add(replicaRetryDelay)
	c.emit(now, JobDropped(m))
}

func (c *Cell) cancel(now clock.Time, m Cancelled) {
	for _, id := range m.Jobs {
		if j := c.jobs[id]; j != nil && !j.cancelled && !j.ended() {
			c.emit(now, JobCancelled{Job: id})
		}
	}
}

// arrive takes over a task that another cell has handed to this one. The row
// that carried it is deleted in the same transaction.
func (c *Cell) arrive(now clock.Time, m Arrived) {
	if _, taken := c.arrivals[m.Key]; taken || c.takenOver[m.Key].covers(m) {
		return
	}
	c.arrivals[m.Key] = m
	c.stats.MovedIn++
	c.emit(now, m.Taken)
	if m.Cancelled {
		c.emit(now, JobCancelled{Job: m.Taken.Spec.ID})
	}
	c.tryAssign(now)
}

// Arrivals returns the handed-over tasks whose rows have still to be deleted,
// by the key of the row.
func (c *Cell) Arrivals() map[string]Arrived { return c.arrivals }

// ForgetArrival drops a hand-over whose row is gone. A look at the table from
// before may still bring the row.
func (c *Cell) ForgetArrival(key string) {
	c.takenOver[key] = takenHandover{
		row: c.arrivals[key].Row,
		at:  c.lastTick,
	}
	delete(c.arrivals, key)
}

// takenHandover is the last hand-over of a key that was takenHandover over, and when.
type takenHandover struct {
	row platform.Version
	at  clock.Time
}

func (t takenHandover) covers(m Arrived) bool { return m.Row != 0 && m.Row <= t.row }

// takenOverRetention is longer than any look at the table takes.
const takenOverRetention = 1 * clock.Minute

func (c *Cell) pruneTakenOver(now clock.Time) {
	for key, t := range c.takenOver {
		if now.Sub(t.at) > takenOverRetention {
			delete(c.takenOver, key)
		}
	}
}

// addWatchers adds the replicas of watcher classes whose home is this zone.
// Replicas are jobs of one task that never ends; their identifiers are unique
// across cells, so a replica that exists elsewhere is withdrawn again.
func (c *Cell) addWatchers(now clock.Time) {
	if c.doc == nil || c.zoneLeaving[c.opts.Zone] {
		return
	}
	zones := c.servingZones()
	for _, class := range c.doc.Classes {
		if class.Kind != document.KindWatcher {
			continue
		}
		for i := range class.Alive {
			if zones[i%len(zones)] == c.opts.Zone {
				c.addReplica(now, class, i)
			}
		}
	}
}

func (c *Cell) servingZones() []string {
	var zones []string
	for _, z := range c.doc.Zones {
		if !c.zoneLeaving[z] {
			zones = append(zones, z)
		}
	}
	return zones
}

// ReplicaID names a replica of a watcher class.
func ReplicaID(class string, index int) string {
	return fmt.Sprintf("watch-%s-%d", class, index)
}

func (c *Cell) addReplica(now clock.Time, class document.Class, index int) {
	id := ReplicaID(class.Name, index)
	if c.jobs[id] != nil || now.Before(c.replicaRetryAt[id]) {
		return
	}
	c.emit(now, JobAdded{Origin: Origin{
		Spec: document.Job{
			ID:    id,
			Class: class.Name,
			Team:  class.Team,
			Tasks: 1,
			Size:  *class.Size,
		},
		Submitted: now,
		Deadline:  now,
		Watcher:   true,
		Terms:     leaser.TermsOf(class),
	}})
}

// trimWatchers cancels replicas that the class no longer asks for.
func (c *Cell) trimWatchers(now clock.Time) {
	wanted := map[string]bool{}
	for _, class := range c.doc.Classes {
		for i := range class.Alive {
			wanted[ReplicaID(class.Name, i)] = true
		}
	}
	for id, j := range c.jobs {
		if j.origin.Watcher && !j.cancelled && !wanted[id] {
			c.emit(now, JobCancelled{Job: id})
		}
	}
}

// RefreshArrival records the present version of the job row of a hand-over.
func (c *Cell) RefreshArrival(key string, job platform.Version) {
	a, ok := c.arrivals[key]
	if !ok {
		return
	}
	a.JobRow = job
	c.arrivals[key] = a
}
