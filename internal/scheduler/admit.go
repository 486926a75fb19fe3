package scheduler

import (
	"fmt"

	"marjoramstack/internal/leaser"
	"marjoramstack/internal/platform"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// replicaRetryDelay is how long the cell waits before it tries again to add a
// replica whose row another cell has created.
const replicaRetryDelay = 30 * clock.Second

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

// Holds reports whether the cell has any record of the job: tasks of it, or an
// ended part that has not been pruned yet.
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

// arrive takes over a task that another cell has handed over. The row that carries
// it is deleted in the transaction that makes this durable. A handover that was
// already taken over is ignored.
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

// Arrivals returns the handovers whose rows have still to be deleted, by the key
// of the row.
func (c *Cell) Arrivals() map[string]Arrived { return c.arrivals }

// ForgetArrival removes a handover whose row has been deleted. The cell remembers
// it for a while, because a scan that began before the deletion may still return
// the row.
func (c *Cell) ForgetArrival(key string) {
	c.takenOver[key] = takenHandover{
		row: c.arrivals[key].Row,
		at:  c.lastTick,
	}
	delete(c.arrivals, key)
}

// takenHandover is the last row version taken over under a key, and the time at
// which that row was known to be deleted.
type takenHandover struct {
	row platform.Version
	at  clock.Time
}

// covers reports whether the handover is the remembered one or an older one.
func (t takenHandover) covers(m Arrived) bool { return m.Row != 0 && m.Row <= t.row }

// takenOverRetention is longer than any scan of the platform's table takes.
const takenOverRetention = 1 * clock.Minute

func (c *Cell) pruneTakenOver(now clock.Time) {
	for key, t := range c.takenOver {
		if now.Sub(t.at) > takenOverRetention {
			delete(c.takenOver, key)
		}
	}
}

// addWatchers adds the missing replicas of watcher classes that belong to this
// zone. A replica is a job of one task that never ends. Its identifier is unique
// across cells, so the admission of a replica that already exists in another cell
// is withdrawn.
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

// servingZones returns the zones that are not leaving.
func (c *Cell) servingZones() []string {
	var zones []string
	for _, z := range c.doc.Zones {
		if !c.zoneLeaving[z] {
			zones = append(zones, z)
		}
	}
	return zones
}

// ReplicaID returns the job identifier of a replica of a watcher class.
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

// trimWatchers cancels replicas that the configuration no longer requires.
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

// RefreshArrival updates the version of the job row of a handover that has still
// to be committed.
func (c *Cell) RefreshArrival(key string, job platform.Version) {
	a, ok := c.arrivals[key]
	if !ok {
		return
	}
	a.JobRow = job
	c.arrivals[key] = a
}
