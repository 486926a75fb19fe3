package planner

import "marjoramstack/pkg/clock"

// load is what is known of the load of a job's serving step. All its tasks have
// the same load at the same time, so what differs between them is what disturbs
// them.
type load struct {
	known bool
	// margin is the target over the tail that nothing disturbs, low the lowest of
	// late.
	margin   float64
	low      float64
	variance float64
	at       clock.Time
}

const (
	// settled is how long a change on a worker takes to show in its figures.
	settled = 600 * clock.Millisecond
	// swingVariance is what a second adds to the variance of a margin, since the
	// load swings, and swingMost bounds it.
	swingVariance = 0.12
	swingMost     = 0.6
	// swingSoon is how far a margin falls while a best-effort task works, as its own
	// load swings over some ten seconds.
	swingSoon = 0.5
	// lowFor is about how long the lowest margin is remembered.
	lowFor = 12 * clock.Second
	// Noise of figures, which come in whole milliseconds.
	noiseLeast    = 0.03
	noiseShare    = 0.07
	noiseRounding = 0.3 // ms
	// mostMargin and leastMargin bound margins.
	mostMargin  = 6.0
	leastMargin = 0.05
)

// served is what a worker knows of one image that serves there.
type served struct {
	hottest *run // with the lowest margin
}

// margin returns the target of a serving run over the tail that was listed last.
func (r *run) margin() float64 {
	margin := float64(r.target()) / float64(max(r.figure, 1))
	return min(max(margin, leastMargin), mostMargin)
}

// serves reports whether the figure of a run is the tail of its response times.
func (r *run) serves(now clock.Time) bool {
	return r.target() != 0 && r.phase == runListed && r.figure != 0 && now.Sub(r.began) >= settled
}

// observe takes the figures that a worker has just listed.
func (p *Planner) observe(now clock.Time, w *worker) {
	clear(w.served)
	present := w.mix()
	// Figures of a worker are of one half second, but those of tasks that have
	// ended since are not listed.
	calm := now.Sub(w.mixLost) >= settled
	for _, r := range w.sortedRuns() {
		if !r.serves(now) {
			continue
		}
		r.noteMargin(now)
		if s := w.served[r.image()]; s == nil || r.margin() < s.hottest.margin() {
			w.served[r.image()] = &served{hottest: r}
		}
		if calm {
			p.learn(now, r, present)
		}
	}
}

// noteMargin keeps since when the tail has been over its target.
func (r *run) noteMargin(now clock.Time) {
	if r.margin() >= 1 {
		r.overSince = 0
	} else if r.overSince == 0 {
		r.overSince = now
	}
}

// learn corrects what is known of a step's load and of the effects on its image by
// the figure of one of its tasks.
func (p *Planner) learn(now clock.Time, r *run, present mix) {
	l := &r.task.step.load
	image := r.image()
	loss := p.images.loss(present, image)
	if !l.known {
		*l = load{
			known:    true,
			margin:   min(r.margin()+loss, mostMargin),
			low:      min(r.margin()+loss, p.images.lowest(image)),
			variance: r.noise() + p.images.spread(present, image),
			at:       now,
		}
		return
	}
	l.age(now)
	expected := max(l.margin-loss, leastMargin)
	total := r.noise() + l.variance + p.images.spread(present, image)
	more := expected - r.margin()
	p.images.correct(present, image, more, total)
	l.margin = min(max(l.margin-l.variance/total*more, leastMargin), mostMargin)
	l.variance -= l.variance * l.variance / total
	l.low = min(l.low, l.margin)
	p.images.noteLow(image, l.low)
}

// age lets time pass for what is known of a load.
func (l *load) age(now clock.Time) {
	span := now.Sub(l.at)
	l.at = now
	l.variance = min(l.variance+swingVariance*float64(span)/float64(clock.Second), swingMost)
	l.low += max(l.margin-l.low, 0) * min(float64(span)/float64(lowFor), 1)
}

// noise is the variance of a run's margin.
func (r *run) noise() float64 {
	rounding := noiseRounding * float64(r.target()) / float64(max(r.figure*r.figure, 1))
	spread := noiseShare * r.margin()
	return noiseLeast + rounding*rounding + spread*spread
}

// soonMargin returns the lowest margin that a serving run is expected to have
// before a best-effort task placed now has ended, while nothing disturbs it.
func (p *Planner) soonMargin(r *run) float64 {
	if l := r.task.step.load; l.known {
		return max(l.low, l.margin-swingSoon)
	}
	return p.images.lowest(r.image())
}

// forecastOf returns, for each image that serves on the worker, the margin that is
// expected soon beside what is placed there.
func (p *Planner) forecastOf(w *worker) map[string]float64 {
	if w.forecast != nil {
		return w.forecast
	}
	w.forecast = map[string]float64{}
	demanded := w.demanded()
	for _, r := range w.runs {
		if r.target() == 0 {
			continue
		}
		margin := p.soonMargin(r) - p.images.loss(demanded, r.image())
		if r.overSince != 0 {
			margin = min(margin, leastMargin)
		}
		if known, ok := w.forecast[r.image()]; !ok || margin < known {
			w.forecast[r.image()] = margin
		}
	}
	return w.forecast
}
