package planner

import "marjoramstack/pkg/clock"

const (
	// durationWeight is the share of a new observation in a learnt ratio.
	durationWeight = 0.1
	// durationLeast is the shortest estimate that ratios are learnt from.
	durationLeast = 20 * clock.Millisecond
)

// durations learns how long the tasks of a queue take against their estimates.
type durations struct {
	ratios map[string]float64
}

func newDurations() *durations { return &durations{ratios: map[string]float64{}} }

// observe records that a task of the queue took a span.
func (d *durations) observe(queue string, estimate, took clock.Span) {
	if estimate < durationLeast {
		return
	}
	ratio := float64(took) / float64(estimate)
	known, ok := d.ratios[queue]
	if !ok {
		d.ratios[queue] = ratio
		return
	}
	d.ratios[queue] = known + durationWeight*(ratio-known)
}

// expect returns how long a task of the queue is expected to take.
func (d *durations) expect(queue string, estimate clock.Span) clock.Span {
	ratio, ok := d.ratios[queue]
	if !ok {
		return estimate
	}
	return clock.Span(float64(estimate) * ratio)
}

func (p *Planner) learnDuration(now clock.Time, r *run) {
	t := r.task
	if r.resumed || r.began == 0 || t.step.spec.LongRunning || t.step.spec.BestEffort {
		return
	}
	p.durations.observe(t.job().spec.Queue, t.step.spec.Estimate, now.Sub(r.began))
}
