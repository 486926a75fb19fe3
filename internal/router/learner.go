package router

import (
	"math"

	"marjoramstack/internal/limiter"
	"marjoramstack/pkg/clock"
)

const (
	firstMean     = 10.0
	meanWeight    = 0.02
	riseWeight    = 0.3
	fallWeight    = 0.1
	forgetHalf    = 5 * clock.Second
	lateQuantile  = 0.95
	lateStep      = 0.05
	earliestLate  = 20 * clock.Millisecond
	lateMargin    = 1.3
	extraShare    = 0.05
	extraReserve  = 20
	failuresAside = 5
	firstAside    = 1 * clock.Second
	longestAside  = 30 * clock.Second
)

// classStats is what is learnt of a class: the mean span in milliseconds that
// its requests hold a slot, and a high quantile of it.
type classStats struct {
	seen   int
	ms     float64
	lateMs float64
	budget *limiter.Budget
}

func (r *Router) class(name string) *classStats {
	c := r.classes[name]
	if c == nil {
		c = &classStats{
			ms:     firstMean,
			lateMs: firstMean,
			budget: limiter.NewBudget(extraShare, extraReserve),
		}
		r.classes[name] = c
	}
	return c
}

func (c *classStats) mean() clock.Span { return clock.Span(math.Ceil(c.ms)) }

func (c *classStats) observe(ms float64) {
	c.seen++
	weight := max(meanWeight, 1/float64(c.seen))
	c.ms += weight * (ms - c.ms)
	step := lateStep * max(c.ms, 1)
	if c.seen == 1 {
		c.lateMs = ms
	}
	if ms > c.lateMs {
		c.lateMs += step * lateQuantile
	} else {
		c.lateMs -= step * (1 - lateQuantile)
	}
	c.lateMs = max(c.lateMs, c.ms)
}

// meanOfAll is the mean span in milliseconds over the classes seen, each
// weighed by how often it came.
func (r *Router) meanOfAll() float64 {
	var sum, n float64
	for _, c := range r.classes {
		sum += c.ms * float64(c.seen)
		n += float64(c.seen)
	}
	if n == 0 {
		return firstMean
	}
	return sum / n
}

// at is the station's slowdown now. What was learnt is forgotten by halves, so
// that an endpoint that was slow is tried again.
func (s *station) at(now clock.Time) float64 {
	age := float64(now.Sub(s.learntAt)) / float64(forgetHalf)
	if age <= 0 {
		return s.slowdown
	}
	return 1 + (s.slowdown-1)*math.Exp2(-age)
}

// predict returns the time to answer at the station.
func (r *Router) predict(now clock.Time, s *station, class string) clock.Span {
	return clock.Span(r.class(class).ms * s.at(now))
}

// LateAfter returns the span after which an answer of the class is late enough
// for a probe and a hedge.
func (r *Router) LateAfter(class string) clock.Span {
	return max(clock.Span(r.class(class).lateMs*lateMargin), earliestLate)
}

func (r *Router) learn(now clock.Time, s *station, done Done) {
	if done.Failed {
		r.learnFailure(now, s)
		return
	}
	s.failures = 0
	s.backoff = 0
	s.trial = false
	if done.Unmeasured {
		return
	}
	c := r.class(done.Class)
	ms := float64(max(done.Span, 1))
	observed := ms / max(c.ms, 0.5)
	present := s.at(now)
	weight := fallWeight
	if observed > present {
		weight = riseWeight * min(1, present/observed+0.2)
	}
	s.slowdown = max(present+weight*(observed-present), 0.1)
	s.learntAt = now
	c.observe(ms)
}

// learnFailure sets a station aside that fails everything, for twice as long
// each time, and lets it back with one request at a time.
func (r *Router) learnFailure(now clock.Time, s *station) {
	s.failures++
	if s.failures < failuresAside && !s.trial {
		return
	}
	s.backoff = min(max(2*s.backoff, firstAside), longestAside)
	s.aside = now.Add(s.backoff)
	s.trial = true
}
