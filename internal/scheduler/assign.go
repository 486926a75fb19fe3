package scheduler

import (
	"marjoramstack/internal/placer"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// maxJobsPerRound limits the jobs that one round tries, so that many jobs that
	// do not fit cannot delay the others for long.
	maxJobsPerRound  = 256
	maxTasksPerRound = 2048

	// runTimeQuantile is the quantile of the learned run times that is used as the
	// expected run time.
	runTimeQuantile = 0.9
	// roundInterval is the minimum time between rounds that new tasks trigger.
	roundInterval = 100 * clock.Millisecond
	// After its zone has returned, a worker takes one task per rampUpInterval for
	// rampUpDuration.
	rampUpInterval = 200 * clock.Millisecond
	rampUpDuration = 10 * clock.Second
)

// latestStart returns the latest time at which the next task of the job can start
// and still meet the deadline, given the run time learned for its class.
func (c *Cell) latestStart(j *job) clock.Time {
	run := c.runtimes.Expect(j.origin.Spec.Class, j.declared, runTimeQuantile)
	if len(j.waiting) > 0 {
		run = max(run-j.waiting[len(j.waiting)-1].resumeFrom, 0)
	}
	return j.origin.Deadline.Add(-run)
}

// tryAssign runs a round for newly added tasks, unless the last one was less than
// roundInterval ago.
func (c *Cell) tryAssign(now clock.Time) {
	if now.Sub(c.assignedAt) >= roundInterval {
		c.assign(now)
	}
}

// assign runs one round: it places waiting tasks, least slack first. A job that
// does not fit is skipped for this round and does not block the jobs behind it.
func (c *Cell) assign(now clock.Time) {
	c.assignedAt = now
	if c.doc == nil || c.zoneLeaving[c.opts.Zone] || !c.authority.Owns(now) {
		return
	}
	var skipped []*job
	placed := 0
	for tried := 0; tried < maxJobsPerRound && placed < maxTasksPerRound && len(c.queue) > 0; tried++ {
		j := c.queue.popFirst()
		placed += c.assignJob(now, j)
		if len(j.waiting) > 0 {
			skipped = append(skipped, j)
		}
	}
	for _, j := range skipped {
		c.queue.add(j)
	}
	if len(skipped) == maxJobsPerRound {
		c.deferJobs(skipped)
	}
}

// deferJobs moves jobs that did not fit back by one minute in the order of the
// queue, so that the next round reaches the jobs behind them.
func (c *Cell) deferJobs(skipped []*job) {
	for _, j := range skipped {
		c.queue.remove(j)
		j.rank = j.rank.Add(clock.Minute)
		c.queue.add(j)
	}
}

// assignJob places tasks of the job until one does not fit, and returns the number
// of tasks placed.
func (c *Cell) assignJob(now clock.Time, j *job) int {
	placed := 0
	for len(j.waiting) > 0 {
		t := j.waiting[len(j.waiting)-1]
		if !c.withinQuota(j) {
			j.reason = "quota-reached"
			return placed
		}
		choice, ok := c.choose(now, t)
		if !ok {
			j.reason = "no-worker-has-room"
			if choice.Harmful > 0 {
				j.reason = "would-slow-others-more"
			}
			c.preempt(now, t)
			return placed
		}
		c.place(now, t, choice)
		placed++
	}
	return placed
}

func (c *Cell) choose(now clock.Time, t *task) (placer.Choice, bool) {
	ask := c.ask(t)
	ask.Urgent = c.urgent(now, t)
	if c.opts.Baseline {
		return c.index.FirstFit(ask)
	}
	return c.index.Pick(ask)
}

func (c *Cell) place(now clock.Time, t *task, choice placer.Choice) {
	c.stats.Placed++
	if t.attempt > 0 {
		c.stats.Restarted++
	}
	id := t.id()
	c.emit(now, TaskPlaced{
		Task:    id,
		Attempt: t.attempt + 1,
		Worker:  choice.Best,
	})
	c.note(Note{
		At:     now,
		What:   "place",
		Job:    id.Job,
		Task:   id.String(),
		Worker: choice.Best,
		Second: choice.Second,
		Reason: placeReason(t),
	})
	c.pauseAfterPlacement(now, choice.Best)
}

func placeReason(t *task) string {
	if t.job.origin.Watcher {
		return "spread-best-fit"
	}
	if t.attempt > 1 {
		return "resume-least-slack-best-fit"
	}
	return "least-slack-best-fit"
}

// pauseAfterPlacement closes the worker for new tasks if it is on probation, or
// until its next ramp-up step if its zone has returned recently.
func (c *Cell) pauseAfterPlacement(now clock.Time, id string) {
	w := c.workers[id]
	if w == nil {
		return
	}
	if w.probation {
		c.index.SetOpen(id, false)
	}
	if now.Before(w.rampUpUntil) {
		w.nextRampUp = now.Add(rampUpInterval)
		c.index.SetOpen(id, false)
	}
}

// withinQuota reports whether the team of the job stays within the cell's share of
// its quota with one more task of the job.
func (c *Cell) withinQuota(j *job) bool {
	team, ok := c.doc.Team(j.origin.Spec.Team)
	if !ok {
		return false
	}
	return c.runningByTeam[j.origin.Spec.Team].Plus(j.size()).Fits(c.quotaShare(team.Quota))
}

// quotaShare returns the cell's share of a quota. Cells that are not leaving share
// it in proportion to their processors. It is the whole quota if no other cell is
// known. Shares are rounded down, so a share of a small quota can be less than one
// task needs.
func (c *Cell) quotaShare(quota document.Size) document.Size {
	var all, own int
	for _, l := range c.cellLoads {
		if l.Leaving {
			continue
		}
		all += l.Total.Processors
		if l.Cell == c.opts.ID {
			own = l.Total.Processors
		}
	}
	if own == 0 || all <= own {
		return quota
	}
	return document.Size{
		Processors:   quota.Processors * own / all,
		Memory:       quota.Memory * own / all,
		Accelerators: quota.Accelerators * own / all,
	}
}
