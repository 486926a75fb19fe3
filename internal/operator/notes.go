package operator

import (
	"sort"

	"marjoramstack/internal/scheduler"
)

// sortNotes sorts notes by time.
func sortNotes(notes []scheduler.Note) {
	sort.SliceStable(notes, func(i, j int) bool { return notes[i].At < notes[j].At })
}

// NewJob combines the parts of a job that the cells reported. unasked lists the
// cells that could not be queried.
func NewJob(id string, parts []scheduler.JobView, unasked []string) Job {
	sort.Slice(parts, func(i, j int) bool { return parts[i].Cell < parts[j].Cell })
	return Job{
		ID:      id,
		State:   jobState(parts),
		Parts:   parts,
		Unasked: unasked,
	}
}

// jobState derives the state of a job from its parts. A job is moving while some of
// its tasks are in none of the reported parts.
func jobState(parts []scheduler.JobView) string {
	var waiting, placed, failed, ended int
	cancelled := false
	for _, p := range parts {
		waiting += p.Waiting
		placed += p.Placed
		failed += p.Failed
		ended += p.Finished + p.Failed + p.CancelledTasks
		cancelled = cancelled || p.Cancelled
	}
	switch {
	case placed > 0 && cancelled:
		return "cancelling"
	case placed > 0:
		return "running"
	case waiting > 0:
		return "waiting"
	case ended < parts[0].Spec.Tasks:
		return "moving"
	case cancelled:
		return "cancelled"
	case failed > 0:
		return "failed"
	}
	return "finished"
}
