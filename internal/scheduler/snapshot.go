package scheduler

import (
	"encoding/json"
	"sort"

	"marjoramstack/pkg/clock"
)

const (
	pruneEvery   = 10 * clock.Second
	endedKept    = 24 * clock.Hour
	notesInStore = 8
)

// taskImage is a task within a snapshot.
type taskImage struct {
	Index      int        `json:"i"`
	Placed     bool       `json:"p,omitempty"`
	Attempt    int        `json:"a,omitempty"`
	Worker     string     `json:"w,omitempty"`
	Checkpoint clock.Span `json:"c,omitempty"`
	Failures   int        `json:"f,omitempty"`
}

// jobImage is a job within a snapshot.
type jobImage struct {
	Origin
	Cancelled bool        `json:"cancelled,omitempty"`
	Counts    counts      `json:"counts"`
	Reason    string      `json:"reason,omitempty"`
	Tasks     []taskImage `json:"tasks,omitempty"`
	Notes     []Note      `json:"notes,omitempty"`
}

// Snapshot encodes the durable state, with every event applied so far. The
// caller must have made those events durable.
func (c *Cell) Snapshot() ([]byte, error) {
	images := make([]jobImage, 0, len(c.jobs))
	for _, j := range c.jobs {
		images = append(images, imageOf(j))
	}
	sort.Slice(images, func(i, k int) bool { return images[i].Spec.ID < images[k].Spec.ID })
	data, err := json.Marshal(images)
	return data, Error.Wrap(err)
}

func imageOf(j *job) jobImage {
	image := jobImage{
		Origin:    j.origin,
		Cancelled: j.cancelled,
		Counts:    j.counts,
		Reason:    j.reason,
		Notes:     j.notes[max(0, len(j.notes)-notesInStore):],
	}
	for _, t := range j.tasks {
		image.Tasks = append(image.Tasks, taskImage{
			Index:      t.index,
			Placed:     t.phase == phasePlaced,
			Attempt:    t.attempt,
			Worker:     t.worker,
			Checkpoint: max(t.checkpoint, t.resume),
			Failures:   t.failures,
		})
	}
	sort.Slice(image.Tasks, func(i, k int) bool { return image.Tasks[i].Index > image.Tasks[k].Index })
	return image
}

// Restore fills an empty cell from a snapshot.
func (c *Cell) Restore(data []byte) error {
	var images []jobImage
	if err := json.Unmarshal(data, &images); err != nil {
		return Error.Wrap(err)
	}
	for _, image := range images {
		c.restoreJob(image)
	}
	return nil
}

func (c *Cell) restoreJob(image jobImage) {
	j := c.newJob(image.Origin)
	j.cancelled = image.Cancelled
	j.reason = image.Reason
	j.notes = image.Notes
	for _, ti := range image.Tasks {
		t := &task{
			job:        j,
			index:      ti.Index,
			attempt:    ti.Attempt,
			worker:     ti.Worker,
			resume:     ti.Checkpoint,
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
		c.book(t)
	}
	j.counts = image.Counts
	c.requeue(j)
}

// prune forgets jobs that ended some time ago. Replicas of watchers are
// forgotten at once, so that the class can ask for them again.
func (c *Cell) prune(now clock.Time) {
	if now.Sub(c.prunedAt) < pruneEvery {
		return
	}
	c.prunedAt = now
	c.pruneTook(now)
	for id, j := range c.jobs {
		if !j.ended() || j.counts == (counts{}) {
			continue
		}
		home := j.counts.Finished+j.counts.Failed+j.counts.Cancelled > 0
		switch {
		case j.origin.Watcher && home:
			c.emit(now, JobForgotten{
				Job:     id,
				DropRow: true,
			})
		case now.Sub(j.origin.Submitted) > endedKept:
			c.emit(now, JobForgotten{
				Job:     id,
				DropRow: home,
			})
		}
	}
}
