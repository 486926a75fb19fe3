package planner

import (
	"math"
	"slices"

	"marjoramstack/pkg/clock"
)

// loadEstimate estimates the margin of a serving step from its load alone. All tasks of a
// step have the same load at the same time, so differences between them are due to
// interference.
type loadEstimate struct {
	known bool
	// margin is the target divided by the tail latency without interference, recentMin
	// its recent minimum.
	margin    float64
	recentMin float64
	variance  float64
	updatedAt clock.Time
}

const (
	// settleTime is how long a change on a worker takes to show in its metrics.
	settleTime = 600 * clock.Millisecond
	// loadVarianceRate is added to the variance of a margin per second, since the load
	// fluctuates. maxLoadVariance bounds the variance.
	loadVarianceRate = 0.12
	maxLoadVariance  = 0.6
	// expectedMarginDrop is how far a margin may fall while a best-effort task runs,
	// since the load fluctuates over some ten seconds.
	expectedMarginDrop = 0.5
	// recentMinDecay is the time constant with which the recent minimum decays.
	recentMinDecay = 12 * clock.Second
	// Noise of a margin: noiseFloor is a variance, noiseRelative a standard deviation
	// relative to the margin, and noiseRounding the standard deviation of a metric,
	// which is rounded to whole milliseconds.
	noiseFloor    = 0.03
	noiseRelative = 0.07
	noiseRounding = 0.3 // ms
	// maxMargin and minMargin bound margins.
	maxMargin = 6.0
	minMargin = 0.05
)

// servedImage describes the tasks of one serving image on a worker.
type servedImage struct {
	lowestMargin *run // the run with the lowest margin
}

// margin returns the target of a serving run divided by its last reported tail latency.
func (r *run) margin() float64 {
	margin := float64(r.target()) / float64(max(r.metric, 1))
	return min(max(margin, minMargin), maxMargin)
}

// reportsTail reports whether the metric of a run is its tail latency and reflects the
// state of the worker.
func (r *run) reportsTail(now clock.Time) bool {
	return r.target() != 0 && r.phase == runStarted && r.metric != 0 && now.Sub(r.startedAt) >= settleTime
}

// observe processes the metrics that a worker has just reported.
func (p *Planner) observe(now clock.Time, w *worker) {
	clear(w.servedImages)
	usage := p.bestEffortUsage(w)
	// All metrics of a report cover the same half second, but tasks that have ended
	// since then are missing, so nothing is learned shortly after an end.
	steady := now.Sub(w.bestEffortEndedAt) >= settleTime
	for _, r := range w.ordered {
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

// trackOverTarget records since when the tail latency has been over its target.
func (r *run) trackOverTarget(now clock.Time) {
	if r.margin() >= 1 {
		r.overTargetSince = 0
	} else if r.overTargetSince == 0 {
		r.overTargetSince = now
	}
}

// updateEstimates updates the load estimate of a step and the effects on its image from
// the metric of one of its tasks.
func (p *Planner) updateEstimates(now clock.Time, r *run, usage imageShares) {
	l := &r.task.step.load
	image := p.imageOf(r.task.step)
	loss := p.interferenceModel.loss(usage, image)
	if !l.known {
		*l = loadEstimate{
			known:     true,
			margin:    min(r.margin()+loss, maxMargin),
			recentMin: min(r.margin()+loss, p.interferenceModel.peakMargin(image)),
			variance:  r.marginVariance() + p.interferenceModel.lossVariance(usage, image),
			updatedAt: now,
		}
		return
	}
	l.age(now)
	expected := max(l.margin-loss, minMargin)
	totalVariance := r.marginVariance() + l.variance + p.interferenceModel.lossVariance(usage, image)
	excessLoss := expected - r.margin()
	p.interferenceModel.update(usage, image, excessLoss, totalVariance)
	l.margin = min(max(l.margin-l.variance/totalVariance*excessLoss, minMargin), maxMargin)
	l.variance -= l.variance * l.variance / totalVariance
	l.recentMin = min(l.recentMin, l.margin)
	p.interferenceModel.updatePeakMargin(image, l.recentMin)
}

// age raises the variance of the estimate and decays its recent minimum with time.
func (l *loadEstimate) age(now clock.Time) {
	elapsed := now.Sub(l.updatedAt)
	l.updatedAt = now
	l.variance = min(l.variance+loadVarianceRate*float64(elapsed)/float64(clock.Second), maxLoadVariance)
	l.recentMin += max(l.margin-l.recentMin, 0) * min(float64(elapsed)/float64(recentMinDecay), 1)
}

// marginVariance returns the variance of the noise of a run's margin.
func (r *run) marginVariance() float64 {
	rounding := noiseRounding * float64(r.target()) / float64(max(r.metric*r.metric, 1))
	spread := noiseRelative * r.margin()
	return noiseFloor + rounding*rounding + spread*spread
}

// expectedMinMargin returns the lowest margin, without interference, that a serving run is
// expected to have while a best-effort task that is placed now runs.
func (p *Planner) expectedMinMargin(r *run) float64 {
	if l := &r.task.step.load; l.known {
		return max(l.recentMin, l.margin-expectedMarginDrop)
	}
	return p.interferenceModel.peakMargin(p.imageOf(r.task.step))
}

// imageMargin is the lowest margin expected of the tasks of a serving image on a worker,
// which includes the loss to the best-effort tasks there.
type imageMargin struct {
	image  imageID
	margin float64
	loss   float64
}

// forecastMargins returns, for each serving image on the worker, the lowest margin
// expected with the best-effort tasks that are placed there. The result is cached until
// the runs or their speeds change.
func (p *Planner) forecastMargins(w *worker) []imageMargin {
	if w.forecast != nil {
		return w.forecast
	}
	demand := p.bestEffortDemand(w)
	forecast := make([]imageMargin, 0, len(w.servingTasks)) // not nil, even if it is empty
	for _, r := range w.ordered {
		if r.target() == 0 {
			continue
		}
		image := p.imageOf(r.task.step)
		at := slices.IndexFunc(forecast, func(m imageMargin) bool { return m.image == image })
		if at < 0 {
			at = len(forecast)
			forecast = append(forecast, imageMargin{
				image:  image,
				margin: math.Inf(1),
				loss:   p.interferenceModel.loss(demand, image),
			})
		}
		margin := p.expectedMinMargin(r) - forecast[at].loss
		if r.overTargetSince != 0 {
			margin = min(margin, minMargin)
		}
		forecast[at].margin = min(forecast[at].margin, margin)
	}
	w.forecast = forecast
	return forecast
}
