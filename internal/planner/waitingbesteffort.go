package planner

import (
	"fmt"
	"slices"

	"marjoramstack/pkg/clock"
)

const (
	// bestEffortWaitLogAfter is how long a best-effort step waits before the reason is logged,
	// bestEffortWaitLogInterval the time between two such lines.
	bestEffortWaitLogAfter    = 5 * clock.Second
	bestEffortWaitLogInterval = 2 * clock.Second
)

// bestEffortCounts counts the workers of a pool by the first reason why they can't run a
// best-effort task.
type bestEffortCounts struct {
	unusable   int // or reserved, ineligible or without memory
	busy       int // too few idle processors
	lowMargin  int // a serving task would miss its target, by its margin without the task
	tooHarmful int // it would by what the task is expected to take from it
	unknown    int // the effect is not known and being tried elsewhere
	fitting    int
	idle       int // whole processors of the workers that margins exclude
}

// logBestEffortWaiting logs why the best-effort step waits that has waited longest.
func (p *Planner) logBestEffortWaiting(now clock.Time, backlog []*step) {
	if now.Sub(p.bestEffortWaitLoggedAt) < bestEffortWaitLogInterval {
		return
	}
	var longest *task
	for _, s := range backlog {
		if !s.spec.BestEffort || s.lastWaitReason != waitNoWorker && s.lastWaitReason != waitSimilarUnplaced {
			continue
		}
		if t := s.longestWaiting(now); t != nil && (longest == nil || t.waitingSince().Before(longest.waitingSince())) {
			longest = t
		}
	}
	if longest == nil || now.Sub(longest.waitingSince()) < bestEffortWaitLogAfter {
		return
	}
	p.bestEffortWaitLoggedAt = now
	p.log(LogEntry{
		Event:   "task-waits",
		Job:     longest.job().spec.ID,
		Task:    longest.id().String(),
		Attempt: longest.lastAttempt,
		Reason:  p.countBestEffort(now, longest).String(),
		Age:     now.Sub(longest.waitingSince()),
	})
}

func (p *Planner) countBestEffort(now clock.Time, t *task) bestEffortCounts {
	var c bestEffortCounts
	for _, w := range p.fleet {
		if w.info.Pool != t.job().queue.Pool {
			continue
		}
		switch {
		case !p.canRun(now, t, w):
			c.unusable++
		case !p.hasIdle(w, t.step.spec):
			c.busy++
		default:
			c.countMargins(p, t, w)
		}
	}
	return c
}

func (c *bestEffortCounts) countMargins(p *Planner, t *task, w *worker) {
	image := p.imageOf(t.step)
	share := w.share(t.step.spec.Demand.Processors)
	loss := func(m imageMargin) float64 { return share * p.interferenceModel.effect(image, m.image) }
	at := slices.IndexFunc(p.forecastMargins(w), func(m imageMargin) bool {
		return loss(m) > minLoss && m.margin-loss(m) < placementMargin && !p.mayProbe(image, m.image, m.margin)
	})
	if at < 0 {
		c.fitting++
		return
	}
	c.idle += int(p.idleProcessors(w)) / milliScale
	m := p.forecastMargins(w)[at]
	switch {
	case m.margin < placementMargin:
		c.lowMargin++
	case p.interferenceModel.unknown(image, m.image):
		c.unknown++
	default:
		c.tooHarmful++
	}
}

// String formats the counts for logs.
func (c bestEffortCounts) String() string {
	return fmt.Sprintf("no worker can run it beside the tasks that it would disturb; workers: fitting %d, too few idle processors %d, serving tasks near their target %d, too harmful %d, effect unknown %d, other %d; idle where margins exclude it: %d processors",
		c.fitting, c.busy, c.lowMargin, c.tooHarmful, c.unknown, c.unusable, c.idle)
}
