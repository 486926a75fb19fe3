package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
)

// lateOrdersFor is how long after it was sent an order may be carried out.
const lateOrdersFor = 15 * clock.Second

// reborn takes note that a worker lives another life: nothing of before runs.
func (p *Planner) reborn(now clock.Time, w *worker, incarnation int64) {
	if w.synced {
		p.loseBegun(now, w)
		// It has forgotten the epoch. Only an owner that can still write may start
		// anything there.
		w.use = useNone
	}
	w.incarnation = incarnation
	p.refuseLate(now, w)
	w.applied = 0
	w.acked = 0
	w.granted = 0
	w.health = health{}
	p.note(LogEntry{
		Event:  "worker-incarnation",
		Worker: w.info.ID,
	})
}

// loseBegun ends what ran in an earlier life of a worker. A start that was not
// answered may still be carried out in this life, so it stays in doubt until a
// stop has come first.
func (p *Planner) loseBegun(now clock.Time, w *worker) {
	for _, r := range w.sortedRuns() {
		if r.began != 0 || r.confirmed != 0 {
			p.stats.Lapsed++
			p.end(now, r, EndLapsed, r.checkpoint)
			continue
		}
		r.refused = 0
		if r.phase == runStopping {
			r.phase = runDoubtful
		}
	}
}

// leftUnanswered remembers a start for as long as it may be carried out.
func (w *worker) leftUnanswered(now clock.Time, r *run) {
	w.unanswered = slices.DeleteFunc(w.unanswered, func(u unansweredStart) bool { return now.Sub(u.ordered) > lateOrdersFor })
	w.unanswered = append(w.unanswered, unansweredStart{
		key:     r.key,
		ordered: r.ordered,
	})
}

// refuseLate makes a new life of a worker refuse starts that its earlier life left
// unanswered: it knows nothing of the stops that came then.
func (p *Planner) refuseLate(now clock.Time, w *worker) {
	for _, u := range w.unanswered {
		if w.runs[u.key] == nil && now.Sub(u.ordered) < lateOrdersFor {
			p.order(Stop{
				Target:  w.target(),
				Task:    u.key.task,
				Attempt: u.key.attempt,
			})
		}
	}
	w.unanswered = nil
}

// replaced takes note that another worker answers at the address: this one is
// gone, and nothing of it runs.
func (p *Planner) replaced(now clock.Time, w *worker) {
	if len(w.runs) > 0 {
		p.loseAll(now, w, "another worker answers at its address")
	}
	w.suspects = map[TaskID]bool{}
	if w.use == useReached || w.use == useUnreached {
		w.use = useNone
		p.gone[w.id] = true
	}
	p.stirred = true
}
