package planner

import "marjoramstack/pkg/clock"

// evacuate stops the long-running and the checkpointing tasks on a worker that is
// leaving, so that they restart elsewhere. Others may still end in time.
func (p *Planner) evacuate(now clock.Time, w *worker) {
	for _, r := range w.sortedRuns() {
		if r.task == nil || r.phase == runStopping {
			continue
		}
		spec := r.task.step.spec
		if spec.LongRunning || spec.Checkpoints {
			p.stats.Evicted++
			p.stop(now, r, "the worker is leaving")
		}
	}
}
