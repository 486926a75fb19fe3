// Package estimator estimates the run times of classes of work and how much tasks
// on the same worker slow each other down.
//
// Declared run times are very inaccurate. For each class, Runtimes therefore
// keeps a histogram of the ratio of real to declared run time, with geometric
// buckets, and returns quantiles of it. Old counts decay, so that the estimates
// follow a class whose run times change.
//
// Slowdowns learns a speed factor for each ordered pair of classes from
// measurements, which arrive late. The caller passes the neighbours that were on
// the worker when the measurement was taken, not when it arrived. The model is
// multiplicative: the speed of a task is the product of one factor per neighbour.
// Factors are fitted by normalised least mean squares on logarithms (Widrow and
// Hoff, 1960). Keeping factors per pair of classes follows Paragon (Delimitrou
// and Kozyrakis, ASPLOS 2013).
//
// # Usage
//
//	runtimes := estimator.NewRuntimes()
//	runtimes.Observe("cure-test", declared, real)
//	expect := runtimes.Expect("cure-test", declared, 0.9)
//
//	slowdowns := estimator.NewSlowdowns()
//	slowdowns.Observe("cure-test", []string{"proof"}, 640)
//	factor := slowdowns.Factor("cure-test", "proof")
package estimator

import (
	"math"

	"marjoramstack/pkg/clock"
)

const (
	bucketCount     = 64
	bucketBase      = 1.15
	middleBucket    = bucketCount / 2
	decayThreshold  = 512
	minObservations = 5
)

// sketch is a histogram of ratios with geometric buckets centred on 1. When its
// total exceeds decayThreshold, all counts are halved.
type sketch struct {
	counts [bucketCount]float64
	total  float64
}

func (s *sketch) add(ratio float64) {
	bucket := middleBucket + int(math.Round(math.Log(ratio)/math.Log(bucketBase)))
	s.counts[min(max(bucket, 0), bucketCount-1)]++
	s.total++
	if s.total > decayThreshold {
		s.decay()
	}
}

func (s *sketch) decay() {
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += s.counts[i]
	}
}

func (s *sketch) quantile(q float64) float64 {
	rank := q * s.total
	var sum float64
	for i, n := range s.counts {
		sum += n
		if sum >= rank && n > 0 {
			return math.Pow(bucketBase, float64(i-middleBucket))
		}
	}
	return 1
}

// Runtimes estimates run times per class.
type Runtimes struct {
	classes map[string]*sketch
}

// NewRuntimes returns a Runtimes without observations.
func NewRuntimes() *Runtimes {
	return &Runtimes{classes: map[string]*sketch{}}
}

// Observe records the declared and the real run time of a task. It ignores the
// task if either is not positive.
func (r *Runtimes) Observe(class string, declared, real clock.Span) {
	if declared <= 0 || real <= 0 {
		return
	}
	s := r.classes[class]
	if s == nil {
		s = &sketch{}
		r.classes[class] = s
	}
	s.add(float64(real) / float64(declared))
}

// Expect returns the run time within which a task of the class ends with
// probability q, given its declared run time. With fewer than minObservations
// observations it returns the declared run time.
func (r *Runtimes) Expect(class string, declared clock.Span, q float64) clock.Span {
	s := r.classes[class]
	if s == nil || s.total < minObservations {
		return declared
	}
	return clock.Span(float64(declared) * s.quantile(q))
}

// Seen returns the number of observations of the class, reduced by decay.
func (r *Runtimes) Seen(class string) int {
	if s := r.classes[class]; s != nil {
		return int(s.total)
	}
	return 0
}
