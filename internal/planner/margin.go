package planner

import "marjoramstack/pkg/clock"

// load is what is known of the load of a job's serving step. All its tasks have
// the same load at the same time, so what differs between them is what disturbs
// them.
type loadEstimate struct {
	known bool
	// margin is the target over the tail that nothing disturbs, low the lowest of
	// late.
	margin    float64
	recentMin float64
	variance  float64
	updatedAt clock.Time
}

const (
	// settled is how long a change on a worker takes to show in its figures.
	settleTime = 600 * clock.Millisecond
	// swingVariance is what a second adds to the variance of a margin, since the
	// load swings, and swingMost bounds it.
	loadVarianceRate = 0.12
	maxLoadVariance  = 0.6
	// swingSoon is how far a margin falls while a best-effort task works, as its own
	// load swings over some ten seconds.
	expectedMarginDrop = 0.5
	// lowFor is about how long the lowest margin is remembered.
	recentMinDecay = 12 * clock.Second
	// Noise of figures, which come in whole milliseconds.
	noiseFloor    = 0.03
	noiseRelative = 0.07
	noiseRounding = 0.3 // ms
	// mostMargin and leastMargin bound margins.
	maxMargin = 6.0
	minMargin = 0.05
)

// served is what a worker knows of one image that serves there.
type servedImage struct {
	lowestMargin *run // with the lowest margin
}

// margin returns the target of a serving run over the tail that was listed last.
func (r *run) margin() float64 {
	margin := float64(r.target()) / float64(max(r.metric, 1))
	return min(max(margin, minMargin), maxMargin)
}

// serves reports whether the figure of a run is the tail of its response times.
func (r *run) reportsTail(now clock.Time) bool {
	return r.target() != 0 && r.phase == runStarted && r.metric != 0 && now.Sub(r.startedAt) >= settleTime
}

// observe takes the figures that a worker has just listed.
func (p *Planner) observe(now clock.Time, w *worker) {
	clear(w.servedImages)
	usage := w.bestEffortUsage()
	// Figures of a worker are of one half second, but those of tasks that have
	// ended since are not listed.
	steady := now.Sub(w.bestEffortEndedAt) >= settleTime
	for _, r := range w.sortedRuns() {
		if !r.reportsTail(now) {
			continue
		}
		r.trackOverTarget(now)
		if s := w.servedImages[r.image()]; s == nil || r.margin() < s.lowestMargin.margin() {
			w.servedImages[r.image()] = &servedImage{lowestMargin: r}
		}
		if steady {
			p.updateEstimates(now, r, usage)
		}
	}
}

// noteMargin keeps since when the tail has been over its target.
func (r *run) trackOverTarget(now clock.Time) {
	if r.margin() >= 1 {
		r.overTargetSince = 0
	} else if r.overTargetSince == 0 {
		r.overTargetSince = now
	}
}

// learn corrects what is known of a step's load and of the effects on its image by
// the figure of one of its tasks.
func (p *Planner) updateEstimates(now clock.Time, r *run, usage imageShares) {
	l := &r.task.step.load
	image := r.image()
	loss := p.interference.loss(usage, image)
	if !l.known {
		*l = loadEstimate{
			known:     true,
			margin:    min(r.margin()+loss, maxMargin),
			recentMin: min(r.margin()+loss, p.interference.peakMargin(image)),
			variance:  r.marginVariance() + p.interference.lossVariance(usage, image),
			updatedAt: now,
		}
		return
	}
	l.age(now)
	expected := max(l.margin-loss, minMargin)
	totalVariance := r.marginVariance() + l.variance + p.interference.lossVariance(usage, image)
	excessLoss := expected - r.margin()
	p.interference.update(usage, image, excessLoss, totalVariance)
	l.margin = min(max(l.margin-l.variance/totalVariance*excessLoss, minMargin), maxMargin)
	l.variance -= l.variance * l.variance / totalVariance
	l.recentMin = min(l.recentMin, l.margin)
	p.interference.updatePeakMargin(image, l.recentMin)
}

// age lets time pass for what is known of a load.
func (l *loadEstimate) age(now clock.Time) {
	elapsed := now.Sub(l.updatedAt)
	l.updatedAt = now
	l.variance = min(l.variance+loadVarianceRate*float64(elapsed)/float64(clock.Second), maxLoadVariance)
	l.recentMin += max(l.margin-l.recentMin, 0) * min(float64(elapsed)/float64(recentMinDecay), 1)
}

// noise is the variance of a run's margin.
func (r *run) marginVariance() float64 {
	rounding := noiseRounding * float64(r.target()) / float64(max(r.metric*r.metric, 1))
	spread := noiseRelative * r.margin()
	return noiseFloor + rounding*rounding + spread*spread
}

// soonMargin returns the lowest margin that a serving run is expected to have
// before a best-effort task placed now has ended, while nothing disturbs it.
func (p *Planner) expectedMinMargin(r *run) float64 {
	if l := r.task.step.load; l.known {
		return max(l.recentMin, l.margin-expectedMarginDrop)
	}
	return p.interference.peakMargin(r.image())
}

// forecastOf returns, for each image that serves on the worker, the margin that is
// expected soon beside what is placed there.
func (p *Planner) forecastMargins(w *worker) map[string]float64 {
	if w.forecast != nil {
		return w.forecast
	}
	w.forecast = map[string]float64{}
	demanded := w.bestEffortDemand()
	for _, r := range w.runs {
		if r.target() == 0 {
			continue
		}
		margin := p.expectedMinMargin(r) - p.interference.loss(demanded, r.image())
		if r.overTargetSince != 0 {
			margin = min(margin, minMargin)
		}
		if known, ok := w.forecast[r.image()]; !ok || margin < known {
			w.forecast[r.image()] = margin
		}
	}
	return w.forecast
}
