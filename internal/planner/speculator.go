package planner

import (
	"maps"
	"slices"
	"strings"

	"marjoramstack/pkg/clock"
)

const (
	// lagLeast and gainedLeast are how long a task must have run and how much it
	// must have done for its speed to be judged: listed progress is rough.
	minJudgedRuntime  = 400 * clock.Millisecond
	minJudgedProgress = 10 // percent
	// stuckAfter is how long a task without any progress may take.
	stalledAfter = 900 * clock.Millisecond
	// copyFactor and moveFactor are how many times longer than its peers a task
	// must be expected to take to be copied, or moved.
	copyFactor = 1.7
	moveFactor = 2.5
	// moveGain is how much sooner another worker must be expected to finish.
	minMoveGain = 200 * clock.Millisecond
	// copiesMost bounds the attempts of a speculative task at a time.
	maxConcurrentAttempts = 2
	// movesMost bounds how often a task is moved for being slow, so that one that
	// lists no progress comes to its end.
	maxMoves = 2
	// peersLeast is how many durations make a typical one.
	minDurations = 3
	// keptSpans bounds the durations that a step remembers.
	maxDurations = 16
	fullProgress = 100 // percent
)

// progressed notes the progress that a worker lists of a run.
func (r *run) updateProgress(now clock.Time, percent int) {
	if r.percentAt == 0 {
		r.percentAt = now
		r.percentFirst = percent
		r.gainedAt = now
	}
	if percent > r.percent {
		r.gainedAt = now
	}
	r.percent = percent
}

// total returns how long the whole task would take at the speed that the run
// had until it was last listed; ok is false while that can't be told. A run that stands still
// is expected to need ten times as long as it has run.
func (r *run) estimatedDuration() (clock.Span, bool) {
	if r.percentAt == 0 || r.began == 0 || r.throttled != 0 || r.bestEffort() && r.starved() {
		return 0, false
	}
	if r.seen.Sub(r.gainedAt) > stalledAfter && r.percent < fullProgress-1 {
		return 10 * r.seen.Sub(r.began), true
	}
	since, from := r.began, 0
	if r.resumed {
		since, from = r.percentAt, r.percentFirst
	}
	ran, gained := r.seen.Sub(since), r.percent-from
	if ran < minJudgedRuntime || gained < minJudgedProgress {
		return 0, false
	}
	return ran * fullProgress / clock.Span(gained), true
}

// starved reports whether a best-effort run finds too few processors, which is
// not its worker's fault.
func (r *run) starved() bool {
	return float64(r.figure) < minIdleShare*float64(r.task.step.spec.Demand.Processors)
}

// took notes how long a task of the step has taken.
func (s *step) recordDuration(span clock.Span) {
	s.spans = append(s.spans, span)
	if len(s.spans) > maxDurations {
		s.spans = s.spans[1:]
	}
}

// typical returns how long the tasks of the step usually take: the median of
// what has been seen and can be foretold. ok is false if that is too little.
func (s *step) typicalDuration() (clock.Span, bool) {
	spans := slices.Clone(s.spans)
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if span, ok := r.estimatedDuration(); ok && r.phase == runListed {
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

// speculate finds tasks that take much longer than their peers, and starts them
// on another worker: as a copy if the step allows it, else from the last
// checkpoint or from the beginning if that is still sooner.
func (p *Planner) speculate(now clock.Time) {
	for _, j := range p.sortedActive() {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.running > 0 && !s.spec.LongRunning && !s.spec.Gang {
					p.speculateStep(now, s)
				}
			}
		}
	}
}

func (p *Planner) speculateStep(now clock.Time, s *step) {
	typical, ok := s.typicalDuration()
	if !ok {
		return
	}
	for _, t := range s.tasks {
		if !t.done && len(t.runs) > 0 && len(t.runs) < maxConcurrentAttempts && t.runs[0].phase == runListed {
			p.speculateRun(now, t.runs[0], typical)
		}
	}
}

// hurry copies or moves a run that is expected to take much longer than usual.
func (p *Planner) speculateRun(now clock.Time, r *run, typical clock.Span) {
	total, ok := r.estimatedDuration()
	if !ok || float64(total) < copyFactor*float64(typical) {
		return
	}
	if float64(total) >= moveFactor*float64(typical) {
		r.worker.health.lag(now, float64(total)/float64(max(typical, 1)))
	}
	t := r.task
	spec := t.step.spec
	remaining := total * clock.Span(fullProgress-r.percent) / fullProgress
	expected := typical
	if spec.Checkpoints && r.checkpoint != "" && !spec.Speculative {
		expected = typical * clock.Span(fullProgress-r.percent) / fullProgress
	}
	if remaining < expected+minMoveGain {
		return
	}
	w := p.choose(now, t, "")
	if w == nil {
		return
	}
	if spec.Speculative {
		p.noteStraggler(r, "task-copy", total, typical)
		p.start(now, t, w)
		return
	}
	if float64(total) < moveFactor*float64(typical) || t.moves >= maxMoves {
		return
	}
	t.moves++
	p.noteStraggler(r, "task-move", total, typical)
	p.stats.Evicted++
	p.stop(now, r, "takes much longer than its peers")
}

func (p *Planner) noteStraggler(r *run, event string, total, typical clock.Span) {
	p.note(LogEntry{
		Event:   event,
		Job:     r.key.task.Job,
		Task:    r.key.task.String(),
		Attempt: r.key.attempt,
		Worker:  r.worker.id,
		Reason:  "expected to take " + total.String() + ", usual is " + typical.String(),
	})
}

// sortedActive returns the jobs that are not over in the order of their
// identifiers.
func (p *Planner) sortedActive() []*job {
	jobs := slices.Collect(maps.Values(p.active))
	slices.SortFunc(jobs, func(a, b *job) int { return strings.Compare(a.spec.ID, b.spec.ID) })
	return jobs
}
