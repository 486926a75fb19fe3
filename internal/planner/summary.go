package planner

import "marjoramstack/pkg/clock"

// Summary is the state of the cell in a few numbers. Processors are counted in whole
// processors.
type Summary struct {
	Jobs       int // not finished
	Waiting    int // tasks ready to start
	Running    int
	BestEffort int // best-effort tasks that may use processors
	Throttled  int // paused best-effort tasks
	OverTarget int // serving tasks over their tail targets
	Starting   int // starts in flight
	StartLimit int // how many may be
	Workers    int // that accept starts
	Capacity   int
	Reserved   int
	Idle       int // processors expected to stay unused
	// Restarts counts the waiting long-running tasks that have run before, LongestRestart
	// is how long the first of them has waited under this owner.
	Restarts       int
	LongestRestart clock.Span
}

// Summary returns the state of the cell at the given time.
func (p *Planner) Summary(now clock.Time) Summary {
	sum := Summary{
		Jobs:       len(p.active),
		Starting:   p.starts.inFlight,
		StartLimit: p.StartLimit(),
	}
	for _, j := range p.activeJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.unmetDependencies > 0 || s.idle == 0 || o.scheduledAt.After(now) {
					continue
				}
				for _, t := range s.tasks {
					if t.waiting(now) {
						sum.addWaiting(t, now.Sub(max(t.waitingSince(), p.opts.Takeover)))
					}
				}
			}
		}
	}
	for _, w := range p.fleet {
		sum.addRuns(w)
		if !p.usable(now, w) {
			continue
		}
		sum.Workers++
		sum.Capacity += w.info.Capacity.Processors / milliScale
		sum.Reserved += w.allocated.Processors / milliScale
		sum.Idle += max(int(p.idleProcessors(w)), 0) / milliScale
	}
	return sum
}

// addWaiting adds a task that has waited for a span under this owner.
func (s *Summary) addWaiting(t *task, waited clock.Span) {
	s.Waiting++
	if t.step.spec.LongRunning && t.hasRun() {
		s.Restarts++
		s.LongestRestart = max(s.LongestRestart, waited)
	}
}

func (s *Summary) addRuns(w *worker) {
	s.Running += len(w.runs)
	for _, r := range w.ordered {
		switch {
		case r.overTargetSince != 0:
			s.OverTarget++
		case r.bestEffort() && r.speed == 0:
			s.Throttled++
		case r.bestEffort():
			s.BestEffort++
		}
	}
}
