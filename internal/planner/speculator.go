package planner

import (
	"slices"

	"marjoramstack/pkg/clock"
)

const (
	// minJudgedRuntime and minJudgedProgress are how long a task must have run and how
	// much progress it must have made for its speed to be estimated, since the reported
	// progress is coarse.
	minJudgedRuntime  = 400 * clock.Millisecond
	minJudgedProgress = 10 // percent
	// stalledAfter is how long a task may make no progress before it counts as stalled.
	stalledAfter = 900 * clock.Millisecond
	// copyFactor and moveFactor are how many times longer than its peers a straggler
	// must be expected to take to be copied or moved.
	copyFactor = 1.7
	moveFactor = 2.5
	// minMoveGain is how much sooner another worker must be expected to finish.
	minMoveGain = 200 * clock.Millisecond
	// maxConcurrentAttempts bounds the concurrent attempts of a task.
	maxConcurrentAttempts = 2
	// maxMoves bounds how often a task is moved for being slow, so that a task that
	// reports no progress can complete.
	maxMoves = 2
	// speculateInterval is how often stragglers are looked for. In a large pool a report
	// changes some step in every pass.
	speculateInterval = 100 * clock.Millisecond
	// minDurations is how many durations are needed for a median.
	minDurations = 3
	// maxDurations is how many of the latest durations a step keeps.
	maxDurations = 16
	fullProgress = 100 // percent
)

// updateProgress records the progress of a run that a worker reports.
func (r *run) updateProgress(now clock.Time, percent int) {
	if r.firstPercentAt == 0 {
		r.firstPercentAt = now
		r.firstPercent = percent
		r.progressedAt = now
	}
	if percent > r.percent {
		r.progressedAt = now
	}
	r.percent = percent
}

// estimatedDuration extrapolates how long the whole task takes at the speed that the run
// had up to its last report. ok is false if that cannot be estimated. A stalled run is
// expected to take ten times as long as it has run.
func (r *run) estimatedDuration() (clock.Span, bool) {
	if r.firstPercentAt == 0 || r.startedAt == 0 || r.throttledAt != 0 || r.bestEffort() && r.starved() {
		return 0, false
	}
	if r.listedAt.Sub(r.progressedAt) > stalledAfter && r.percent < fullProgress-1 {
		return 10 * r.listedAt.Sub(r.startedAt), true
	}
	since, from := r.startedAt, 0
	if r.resumed {
		since, from = r.firstPercentAt, r.firstPercent
	}
	ran, gained := r.listedAt.Sub(since), r.percent-from
	if ran < minJudgedRuntime || gained < minJudgedProgress {
		return 0, false
	}
	return ran * fullProgress / clock.Span(gained), true
}

// starved reports whether a best-effort run gets too few processors, in which case its
// speed says nothing about its worker.
func (r *run) starved() bool {
	return float64(r.metric) < minIdleShare*float64(r.task.step.spec.Demand.Processors)
}

// recordDuration records how long a task of the step has taken.
func (s *step) recordDuration(span clock.Span) {
	s.markChanged()
	s.durations = append(s.durations, span)
	if len(s.durations) > maxDurations {
		s.durations = s.durations[1:]
	}
}

// typicalDuration returns the median of the recorded and estimated durations of the
// step's tasks. ok is false if there are too few.
func (s *step) typicalDuration() (clock.Span, bool) {
	if len(s.durations)+s.running < minDurations {
		return 0, false
	}
	var buffer [2 * maxDurations]clock.Span // so that the usual case allocates nothing
	spans := append(buffer[:0], s.durations...)
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if span, ok := r.estimatedDuration(); ok && r.phase == runStarted {
				spans = append(spans, span)
			}
		}
	}
	if len(spans) < minDurations {
		return 0, false
	}
	slices.Sort(spans)
	return spans[(len(spans)-1)/2], true
}

// speculateIfDue looks for stragglers once per speculateInterval.
func (p *Planner) speculateIfDue(now clock.Time) {
	if now.Sub(p.speculatedAt) >= speculateInterval {
		p.speculate(now)
	}
}

// speculate finds stragglers, which are tasks that take much longer than their peers, and
// starts them on another worker: as a copy if the step allows speculative copies, else
// from the last checkpoint or from the beginning if that is expected to finish sooner.
func (p *Planner) speculate(now clock.Time) {
	p.speculatedAt = now
	for _, j := range p.activeJobs {
		if !j.judged {
			p.speculateJob(now, j)
		}
	}
}

func (p *Planner) speculateJob(now clock.Time, j *job) {
	j.judged = true
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if !s.finite || s.running == 0 || s.judged {
				continue
			}
			s.judged = true
			p.speculateStep(now, s)
			j.judged = j.judged && s.judged
		}
	}
}

func (p *Planner) speculateStep(now clock.Time, s *step) {
	typical, ok := s.typicalDuration()
	if !ok {
		return
	}
	for _, t := range s.tasks {
		if !t.done && len(t.runs) > 0 && len(t.runs) < maxConcurrentAttempts && t.runs[0].phase == runStarted {
			p.speculateRun(now, t.runs[0], typical)
		}
	}
}

// speculateRun copies or moves a run that is expected to take much longer than typical.
func (p *Planner) speculateRun(now clock.Time, r *run, typical clock.Span) {
	if !r.straggles(typical) {
		return
	}
	r.markChanged() // what can be done may depend on the time and on other workers
	total, _ := r.estimatedDuration()
	if float64(total) >= moveFactor*float64(typical) {
		r.worker.health.markSlow(now, float64(total)/float64(max(typical, 1)))
	}
	t := r.task
	spec := t.step.spec
	remaining := total * clock.Span(fullProgress-r.percent) / fullProgress
	expected := typical
	if spec.Checkpoints && r.checkpoint != "" && !spec.Speculative {
		expected = typical * clock.Span(fullProgress-r.percent) / fullProgress
	}
	tooFastToMove := float64(total) < moveFactor*float64(typical) || t.moves >= maxMoves
	if remaining < expected+minMoveGain || !spec.Speculative && tooFastToMove || !p.searchDue(now, r) {
		return
	}
	if spec.Speculative && !p.withinQuota(t.step, 1, t) {
		return
	}
	w := p.choose(now, t, "")
	if w == nil {
		return
	}
	if spec.Speculative {
		p.logStraggler(r, "task-copy", total, typical)
		p.start(now, t, w)
		return
	}
	t.moves++
	p.logStraggler(r, "task-move", total, typical)
	p.stats.Evicted++
	p.stop(now, r, "takes much longer than its peers")
}

// straggles reports whether the run is expected to take much longer than typical.
func (r *run) straggles(typical clock.Span) bool {
	total, ok := r.estimatedDuration()
	return ok && float64(total) >= copyFactor*float64(typical)
}

func (p *Planner) logStraggler(r *run, event string, total, typical clock.Span) {
	p.log(LogEntry{
		Event:   event,
		Job:     r.key.task.Job,
		Task:    r.key.task.String(),
		Attempt: r.key.attempt,
		Worker:  r.worker.id,
		Reason:  "expected to take " + total.String() + ", typical is " + typical.String(),
	})
}
