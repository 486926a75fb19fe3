// Package estimator learns what classes of work really need and how much
// neighbours slow each other down.
//
// Declared run times are far off, so Runtimes keeps, for each class, quantiles
// of the ratio of the real to the declared run time, and Sizes the quantiles of
// the ratio of used to declared resources. Both come from a sketch of counters
// in geometric buckets whose old content decays, so that a class that changes
// is learnt anew.
//
// Slowdowns learns a factor for each ordered pair of classes from late
// measurements. A measurement belongs to the neighbours that stood on the
// worker when it was taken, not when it arrived, so the caller passes those.
// The model is multiplicative: the speed of a task is the product of one factor
// per neighbour. Factors are fitted by normalised least mean squares on
// logarithms, after Widrow and Hoff (1960); keeping factors per pair of classes
// follows the idea of Paragon (Delimitrou and Kozyrakis, ASPLOS 2013).
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
	buckets        = 64
	bucketBase     = 1.15
	middleBucket   = buckets / 2
	decayAbove     = 512
	fewObservation = 5
)

// sketch counts ratios in geometric buckets around 1.
type sketch struct {
	counts [buckets]float64
	total  float64
}

func (s *sketch) add(ratio float64) {
	at := middleBucket + int(math.Round(math.Log(ratio)/math.Log(bucketBase)))
	s.counts[min(max(at, 0), buckets-1)]++
	s.total++
	if s.total > decayAbove {
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
	want := q * s.total
	var sum float64
	for i, n := range s.counts {
		sum += n
		if sum >= want && n > 0 {
			return math.Pow(bucketBase, float64(i-middleBucket))
		}
	}
	return 1
}

// Runtimes learns run times per class.
type Runtimes struct {
	classes map[string]*sketch
}

// NewRuntimes returns a Runtimes that has seen nothing.
func NewRuntimes() *Runtimes {
	return &Runtimes{classes: map[string]*sketch{}}
}

// Observe records that a task declared to run for a span took another. Spans
// that are not positive are ignored.
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

// Expect returns the span within which a task of the class ends with
// probability q, given what was declared. With few observations it returns the
// declared span.
func (r *Runtimes) Expect(class string, declared clock.Span, q float64) clock.Span {
	s := r.classes[class]
	if s == nil || s.total < fewObservation {
		return declared
	}
	return clock.Span(float64(declared) * s.quantile(q))
}

// Seen returns how many observations of the class are held.
func (r *Runtimes) Seen(class string) int {
	if s := r.classes[class]; s != nil {
		return int(s.total)
	}
	return 0
}
