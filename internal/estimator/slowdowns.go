package estimator

import "math"

const (
	learningRate = 0.15
	lowestFactor = 0.05
	fullSpeed    = 1000
)

// Pair names the class that is slowed and the class of the neighbour.
type Pair struct {
	Class string
	Other string
}

// Slowdowns learns how much a neighbour of one class slows a task of another.
type Slowdowns struct {
	logs map[Pair]float64
}

// NewSlowdowns returns a Slowdowns for which no class slows another.
func NewSlowdowns() *Slowdowns {
	return &Slowdowns{logs: map[Pair]float64{}}
}

// Observe records a measured speed, in thousandths of full speed, of a task of
// the class among neighbours of the given classes, repeated as often as they
// occur.
func (s *Slowdowns) Observe(class string, neighbours []string, permille int) {
	if len(neighbours) == 0 || permille <= 0 {
		return
	}
	observed := math.Log(max(float64(permille)/fullSpeed, lowestFactor))
	var expected float64
	for _, other := range neighbours {
		expected += s.logs[Pair{Class: class, Other: other}]
	}
	step := learningRate * (observed - expected) / float64(len(neighbours))
	for _, other := range neighbours {
		pair := Pair{
			Class: class,
			Other: other,
		}
		s.logs[pair] = min(max(s.logs[pair]+step, math.Log(lowestFactor)), 0)
	}
}

// Factor returns the share of full speed, in (0, 1], that one neighbour of
// class other leaves to a task of the class.
func (s *Slowdowns) Factor(class, other string) float64 {
	return math.Exp(s.logs[Pair{Class: class, Other: other}])
}

// Cost returns the speed lost, by the newcomer and by those present, when a
// task of the class joins neighbours counted by class. 0 is none.
func (s *Slowdowns) Cost(class string, counts map[string]int) float64 {
	var own, theirs float64
	for other, n := range counts {
		own += s.logs[Pair{Class: class, Other: other}] * float64(n)
		theirs += (1 - math.Exp(s.logs[Pair{Class: other, Other: class}])) * float64(n)
	}
	return 1 - math.Exp(own) + theirs
}

// Harm returns the speed that tasks counted by class lose to one task of the
// class.
func (s *Slowdowns) Harm(class string, counts map[string]int) float64 {
	var harm float64
	for other, n := range counts {
		harm += (1 - s.Factor(other, class)) * float64(n)
	}
	return harm
}
