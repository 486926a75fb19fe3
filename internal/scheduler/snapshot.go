package scheduler

import (
	"encoding/json"
	"sort"

	"marjoramstack/pkg/clock"
)

const (
	pruneInterval = 10 * clock.Second
	// endedRetention counts from the submission of a job.
	endedRetention = 24 * clock.Hour
	// maxSnapshotNotes limits the notes stored for each job.
	maxSnapshotNotes = 8
)

// taskSnapshot is the stored form of a task.
type taskSnapshot struct {
	Index      int        `json:"i"`
	Placed     bool       `json:"p,omitempty"`
	Attempt    int        `json:"a,omitempty"`
	Worker     string     `json:"w,omitempty"`
	Checkpoint clock.Span `json:"c,omitempty"`
	Failures   int        `json:"f,omitempty"`
}

// jobSnapshot is the stored form of a job.
type jobSnapshot struct {
	Origin
	Cancelled bool           `json:"cancelled,omitempty"`
	Counts    counts         `json:"counts"`
	Reason    string         `json:"reason,omitempty"`
	Tasks     []taskSnapshot `json:"tasks,omitempty"`
	Notes     []Note         `json:"notes,omitempty"`
}

// Snapshot encodes the durable state after all events applied so far. The caller
// must have made those events durable.
func (c *Cell) Snapshot() ([]byte, error) {
	snapshots := make([]jobSnapshot, 0, len(c.jobs))
	for _, j := range c.jobs {
		snapshots = append(snapshots, snapshotOf(j))
	}
	sort.Slice(snapshots, func(i, k int) bool { return snapshots[i].Spec.ID < snapshots[k].Spec.ID })
	data, err := json.Marshal(snapshots)
	return data, Error.Wrap(err)
}

func snapshotOf(j *job) jobSnapshot {
	snapshot := jobSnapshot{
		Origin:    j.origin,
		Cancelled: j.cancelled,
		Counts:    j.counts,
		Reason:    j.reason,
		Notes:     j.notes[max(0, len(j.notes)-maxSnapshotNotes):],
	}
	for _, t := range j.tasks {
		snapshot.Tasks = append(snapshot.Tasks, taskSnapshot{
			Index:      t.index,
			Placed:     t.phase == phasePlaced,
			Attempt:    t.attempt,
			Worker:     t.worker,
			Checkpoint: max(t.checkpoint, t.resumeFrom),
			Failures:   t.failures,
		})
	}
	sort.Slice(snapshot.Tasks, func(i, k int) bool { return snapshot.Tasks[i].Index > snapshot.Tasks[k].Index })
	return snapshot
}

// Restore sets the state of an empty cell from a snapshot.
func (c *Cell) Restore(data []byte) error {
	var snapshots []jobSnapshot
	if err := json.Unmarshal(data, &snapshots); err != nil {
		return Error.Wrap(err)
	}
	for _, snapshot := range snapshots {
		c.restoreJob(snapshot)
	}
	return nil
}

func (c *Cell) restoreJob(snapshot jobSnapshot) {
	j := c.newJob(snapshot.Origin)
	j.cancelled = snapshot.Cancelled
	j.reason = snapshot.Reason
	j.notes = snapshot.Notes
	for _, ti := range snapshot.Tasks {
		t := &task{
			job:        j,
			index:      ti.Index,
			attempt:    ti.Attempt,
			worker:     ti.Worker,
			resumeFrom: ti.Checkpoint,
			done:       ti.Checkpoint,
			checkpoint: ti.Checkpoint,
			failures:   ti.Failures,
		}
		j.tasks[t.index] = t
		if !ti.Placed {
			j.waiting = append(j.waiting, t)
			continue
		}
		t.phase = phasePlaced
		if j.cancelled {
			t.evict = evictCancelled
		}
		c.reserve(t)
	}
	j.counts = snapshot.Counts
	c.requeue(j)
}

// prune removes jobs that have ended and were submitted more than endedRetention
// ago. Watcher replicas that have ended are removed at once, so that addWatchers
// can add them again.
func (c *Cell) prune(now clock.Time) {
	if now.Sub(c.prunedAt) < pruneInterval {
		return
	}
	c.prunedAt = now
	c.pruneTakenOver(now)
	for id, j := range c.jobs {
		if !j.ended() || j.counts == (counts{}) {
			continue
		}
		endedHere := j.counts.Finished+j.counts.Failed+j.counts.Cancelled > 0
		switch {
		case j.origin.Watcher && endedHere:
			c.emit(now, JobForgotten{
				Job:     id,
				DropRow: true,
			})
		case now.Sub(j.origin.Submitted) > endedRetention:
			c.emit(now, JobForgotten{
				Job:     id,
				DropRow: endedHere,
			})
		}
	}
}
