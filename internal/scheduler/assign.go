package scheduler

import (
	"marjoramstack/internal/placer"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// roundJobs bounds how many jobs one round tries, so that a crowd of jobs
	// that do not fit cannot hold up the rest for long.
	roundJobs  = 256
	roundTasks = 2048

	runQuantile     = 0.9
	roundInterval   = 100 * clock.Millisecond
	refillPerWorker = 200 * clock.Millisecond
	refillSpan      = 10 * clock.Second
)

// latestStart is the last time at which a task of the job can start and still
// make the deadline, by the run time learnt for its class.
func (c *Cell) latestStart(j *job) clock.Time {
	run := c.runtimes.Expect(j.origin.Spec.Class, j.declared, runQuantile)
	if len(j.waiting) > 0 {
		run = max(run-j.waiting[len(j.waiting)-1].resume, 0)
	}
	return j.origin.Deadline.Add(-run)
}

// tryAssign places at once what has just come in, but keeps full rounds apart.
func (c *Cell) tryAssign(now clock.Time) {
	if now.Sub(c.assignedAt) >= roundInterval {
		c.assign(now)
	}
}

// assign places waiting tasks, least slack first. A job that does not fit is
// set aside for the round and keeps nobody from running.
func (c *Cell) assign(now clock.Time) {
	c.assignedAt = now
	if c.doc == nil || c.zoneGone[c.opts.Zone] || !c.authority.Owns(now) {
		return
	}
	var aside []*job
	placed := 0
	for tried := 0; tried < roundJobs && placed < roundTasks && len(c.queue) > 0; tried++ {
		j := c.queue.first()
		placed += c.assignJob(now, j)
		if len(j.waiting) > 0 {
			aside = append(aside, j)
		}
	}
	for _, j := range aside {
		c.queue.add(j)
	}
	if len(aside) == roundJobs {
		c.rotate(aside)
	}
}

// rotate ranks jobs that did not fit a little later, so that the next round
// reaches the ones behind them.
func (c *Cell) rotate(aside []*job) {
	for _, j := range aside {
		c.queue.remove(j)
		j.rank = j.rank.Add(clock.Minute)
		c.queue.add(j)
	}
}

// assignJob places tasks of the job until one does not fit, and returns how
// many it placed.
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
	c.afterPlacing(now, choice.Best)
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

// afterPlacing holds a worker back that is on probation or refilled after its
// return.
func (c *Cell) afterPlacing(now clock.Time, id string) {
	w := c.members[id]
	if w == nil {
		return
	}
	if w.probation {
		c.index.SetOpen(id, false)
	}
	if now.Before(w.refillUntil) {
		w.refill = now.Add(refillPerWorker)
		c.index.SetOpen(id, false)
	}
}

// withinQuota reports whether one more task of the job keeps its team within
// the cell's part of the quota.
func (c *Cell) withinQuota(j *job) bool {
	team, ok := c.doc.Team(j.origin.Spec.Team)
	if !ok {
		return false
	}
	return c.running[j.origin.Spec.Team].Plus(j.size()).Fits(c.quotaPart(team.Quota))
}

// quotaPart is the cell's part of a quota: whole if no other cell is known,
// else split by capacity, but never less than what one task needs to start
// somewhere.
func (c *Cell) quotaPart(quota document.Size) document.Size {
	var all, own int
	for _, l := range c.others {
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
