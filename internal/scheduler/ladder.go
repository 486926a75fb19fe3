package scheduler

import "marjoramstack/pkg/clock"

// Steps of the ladder that a worker climbs while an endpoint on it misses its
// target: place new work away, throttle the most harmful task, checkpoint and
// move it.
const (
	stepNone = iota
	stepAway
	stepThrottle
	stepMove
)

const (
	dangerPermille = 1000
	calmPermille   = 700
	climbEvery     = 2 * clock.Second
	descendAfter   = 10 * clock.Second
	pressureFresh  = 5 * clock.Second
	movedRest      = 60 * clock.Second
)

// ladder is a worker's place on the ladder. Climbing and descending use
// different thresholds and waits, so that it does not swing.
type ladder struct {
	step      int
	permille  int
	heardAt   clock.Time
	changedAt clock.Time
	calmSince clock.Time
}

// press notes how an endpoint on a worker does against its target.
func (c *Cell) press(now clock.Time, m EndpointLatency) {
	w := c.members[m.Worker]
	if w == nil {
		return
	}
	if now.Sub(w.ladder.heardAt) > clock.Second || m.Permille > w.ladder.permille {
		w.ladder.permille = m.Permille
	}
	w.ladder.heardAt = now
	c.pressed[m.Worker] = true
}

// relieve moves each worker along its ladder.
func (c *Cell) relieve(now clock.Time) {
	for id := range c.pressed {
		w := c.members[id]
		if w == nil {
			delete(c.pressed, id)
			continue
		}
		c.relieveOne(now, w)
	}
}

func (c *Cell) relieveOne(now clock.Time, w *member) {
	l := &w.ladder
	if now.Sub(l.heardAt) > pressureFresh {
		l.permille = 0
	}
	if l.permille >= calmPermille || l.calmSince == 0 {
		l.calmSince = now
	}
	switch {
	case l.permille > dangerPermille && now.Sub(l.changedAt) >= climbEvery:
		c.climb(now, w)
	case l.step > stepNone && now.Sub(l.calmSince) >= descendAfter && now.Sub(l.changedAt) >= descendAfter:
		c.descend(now, w)
	}
}

func (c *Cell) climb(now clock.Time, w *member) {
	l := &w.ladder
	l.changedAt = now
	l.step = min(l.step+1, stepMove)
	worst := c.mostHarmful(w)
	switch {
	case l.step == stepThrottle && worst != nil:
		worst.throttle = true
		c.stir(w.id)
		c.noteLadder(now, w, worst, "throttle")
	case l.step == stepMove && worst != nil && now.Sub(worst.placedAt) >= movedRest:
		c.startEviction(now, worst, evictPressed)
	case l.step == stepAway:
		c.noteLadder(now, w, nil, "place-away")
	}
	c.reopen(now, w)
}

func (c *Cell) descend(now clock.Time, w *member) {
	l := &w.ladder
	l.changedAt = now
	l.step--
	if l.step < stepThrottle {
		for t := range c.onWorker[w.id] {
			t.throttle = false
		}
		c.stir(w.id)
	}
	c.noteLadder(now, w, nil, "ease")
	c.reopen(now, w)
}

// mostHarmful returns the batch task whose class harms the worker's other
// tasks most and that would lose least by being stopped.
func (c *Cell) mostHarmful(w *member) *task {
	h := c.index.Host(w.id)
	if h == nil {
		return nil
	}
	var worst *task
	var worstHarm float64
	for _, t := range c.tasksOn(w.id) {
		if t.job.origin.Watcher || !t.evictable() {
			continue
		}
		harm := c.slowdowns.Harm(t.job.origin.Spec.Class, h.Counts()) + float64(t.job.size().Processors)/float64(max(w.total.Processors, 1))
		if worst == nil || harm > worstHarm {
			worst, worstHarm = t, harm
		}
	}
	return worst
}

func (c *Cell) noteLadder(now clock.Time, w *member, t *task, what string) {
	n := Note{
		At:     now,
		What:   what,
		Worker: w.id,
		Reason: "target-in-danger",
	}
	if t != nil {
		n.Job = t.job.origin.Spec.ID
		n.Task = t.id().String()
	}
	if what == "ease" {
		n.Reason = "target-met"
	}
	c.note(n)
}
