package scheduler

import (
	"sort"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// JobView is a cell's part of a job, as shown to operators. The counts cover the
// tasks of this cell only.
type JobView struct {
	Spec           document.Job `json:"spec"`
	Cell           string       `json:"cell"`
	Watcher        bool         `json:"watcher,omitempty"`
	Submitted      clock.Time   `json:"submitted"`
	Deadline       clock.Time   `json:"deadline"`
	Cancelled      bool         `json:"cancelled,omitempty"`
	Waiting        int          `json:"waiting"`
	Placed         int          `json:"placed"`
	Finished       int          `json:"finished"`
	Failed         int          `json:"failed"`
	CancelledTasks int          `json:"ended-by-cancel"`
	Moved          int          `json:"moved"`
	Reason         string       `json:"reason,omitempty"`
	Running        []Placement  `json:"running,omitempty"`
	Notes          []Note       `json:"notes,omitempty"`
}

// Placement is the current attempt of a task and its worker. Started is set once the
// worker has reported the attempt.
type Placement struct {
	Task    string     `json:"task"`
	Attempt int        `json:"attempt"`
	Worker  string     `json:"worker"`
	Done    clock.Span `json:"done-ms"`
	Started bool       `json:"started"`
}

// View returns the cell's part of a job, with notes and placements if detailed. It
// reports false if the cell has no record of the job.
func (c *Cell) View(id string, detailed bool) (JobView, bool) {
	j := c.jobs[id]
	if j == nil {
		return JobView{}, false
	}
	view := JobView{
		Spec:           j.origin.Spec,
		Cell:           c.opts.ID,
		Watcher:        j.origin.Watcher,
		Submitted:      j.origin.Submitted,
		Deadline:       j.origin.Deadline,
		Cancelled:      j.cancelled,
		Waiting:        j.counts.Waiting,
		Placed:         j.counts.Placed,
		Finished:       j.counts.Finished,
		Failed:         j.counts.Failed,
		CancelledTasks: j.counts.Cancelled,
		Moved:          j.counts.Moved,
		Reason:         j.reason,
	}
	if detailed {
		view.Notes = append([]Note(nil), j.notes...)
		view.Running = placements(j)
	}
	return view, true
}

func placements(j *job) []Placement {
	var list []Placement
	for _, t := range j.tasks {
		if t.phase != phasePlaced {
			continue
		}
		list = append(list, Placement{
			Task:    t.id().String(),
			Attempt: t.attempt,
			Worker:  t.worker,
			Done:    t.done,
			Started: t.reported,
		})
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Task < list[k].Task })
	return list
}

// Views returns the cell's part of every job without notes and placements, sorted
// by identifier.
func (c *Cell) Views() []JobView {
	views := make([]JobView, 0, len(c.jobs))
	for id := range c.jobs {
		view, _ := c.View(id, false)
		views = append(views, view)
	}
	sort.Slice(views, func(i, k int) bool { return views[i].Spec.ID < views[k].Spec.ID })
	return views
}

// OpenJobs returns the identifiers of the jobs that have neither ended nor been
// cancelled, sorted. A new owner looks up which of them were cancelled while the
// cell had no owner.
func (c *Cell) OpenJobs() []string {
	var ids []string
	for id, j := range c.jobs {
		if !j.ended() && !j.cancelled {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}
