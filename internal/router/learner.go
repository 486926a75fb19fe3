package router

import (
	"math"

	"marjoramstack/internal/limiter"
	"marjoramstack/pkg/clock"
)

const (
	initialMeanMs = 10.0 // mean response time of a class without samples
	minMeanWeight = 0.02 // least weight of a sample in the mean of its class

	// Weights of a sample in the slowdown of its endpoint, if the sample is above
	// or below the current slowdown.
	riseWeight       = 0.3
	fallWeight       = 0.1
	slowdownHalfLife = 5 * clock.Second

	lateQuantile = 0.95
	quantileStep = 0.05 // step of the quantile estimate, as a fraction of the mean
	minLateAfter = 20 * clock.Millisecond
	lateMargin   = 1.3 // ratio of LateAfter to the quantile estimate

	extraAttemptShare   = 0.05 // hedges and retries per request
	extraAttemptReserve = 20   // hedges and retries that the budget can save up

	ejectAfterFailures = 5
	minEjection        = 1 * clock.Second
	maxEjection        = 30 * clock.Second
)

// classStats holds the measured response times of a class in milliseconds, from
// taking a slot to releasing it: an exponential moving average and an estimate of
// the quantile lateQuantile. budget limits the hedges and retries of the class.
type classStats struct {
	samples    int
	meanMs     float64
	quantileMs float64
	budget     *limiter.Budget
}

func (r *Router) class(name string) *classStats {
	c := r.classes[name]
	if c == nil {
		c = &classStats{
			meanMs:     initialMeanMs,
			quantileMs: initialMeanMs,
			budget:     limiter.NewBudget(extraAttemptShare, extraAttemptReserve),
		}
		r.classes[name] = c
	}
	return c
}

func (c *classStats) mean() clock.Span { return clock.Span(math.Ceil(c.meanMs)) }

func (c *classStats) observe(ms float64) {
	c.samples++
	weight := max(minMeanWeight, 1/float64(c.samples))
	c.meanMs += weight * (ms - c.meanMs)
	step := quantileStep * max(c.meanMs, 1)
	if c.samples == 1 {
		c.quantileMs = ms
	}
	if ms > c.quantileMs {
		c.quantileMs += step * lateQuantile
	} else {
		c.quantileMs -= step * (1 - lateQuantile)
	}
	c.quantileMs = max(c.quantileMs, c.meanMs)
}

// overallMeanMs returns the mean response time of all classes in milliseconds,
// weighted by their numbers of requests.
func (r *Router) overallMeanMs() float64 {
	var sum, n float64
	for _, c := range r.classes {
		sum += c.meanMs * float64(c.samples)
		n += float64(c.samples)
	}
	if n == 0 {
		return initialMeanMs
	}
	return sum / n
}

// slowdownAt returns the slowdown of the endpoint at a given time. It decays
// towards 1 with a half-life of slowdownHalfLife, so that an endpoint that was
// slow is tried again.
func (s *endpointState) slowdownAt(now clock.Time) float64 {
	age := float64(now.Sub(s.updatedAt)) / float64(slowdownHalfLife)
	if age <= 0 {
		return s.slowdown
	}
	return 1 + (s.slowdown-1)*math.Exp2(-age)
}

// predict returns the predicted response time of the endpoint for the class.
func (r *Router) predict(now clock.Time, s *endpointState, class string) clock.Span {
	return clock.Span(r.class(class).meanMs * s.slowdownAt(now))
}

// LateAfter returns how long to wait for an answer to a request of the class
// before probing the endpoint and hedging the request.
func (r *Router) LateAfter(class string) clock.Span {
	return max(clock.Span(r.class(class).quantileMs*lateMargin), minLateAfter)
}

func (r *Router) recordResult(now clock.Time, s *endpointState, done Done) {
	if done.Failed {
		r.recordFailure(now, s)
		return
	}
	s.consecutiveFailures = 0
	s.backoff = 0
	s.halfOpen = false
	if done.Unmeasured {
		return
	}
	c := r.class(done.Class)
	ms := float64(max(done.Span, 1))
	observed := ms / max(c.meanMs, 0.5)
	current := s.slowdownAt(now)
	weight := fallWeight
	if observed > current {
		weight = riseWeight * min(1, current/observed+0.2)
	}
	s.slowdown = max(current+weight*(observed-current), 0.1)
	s.updatedAt = now
	c.observe(ms)
}

// recordFailure counts a failure. After ejectAfterFailures failures in a row it
// ejects the endpoint, for twice as long each time, from minEjection up to
// maxEjection. The endpoint then gets one request at a time until one succeeds.
func (r *Router) recordFailure(now clock.Time, s *endpointState) {
	s.consecutiveFailures++
	if s.consecutiveFailures < ejectAfterFailures && !s.halfOpen {
		return
	}
	s.backoff = min(max(2*s.backoff, minEjection), maxEjection)
	s.ejectedUntil = now.Add(s.backoff)
	s.halfOpen = true
}
