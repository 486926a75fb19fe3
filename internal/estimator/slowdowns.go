package estimator

import "math"

const (
	learningRate = 0.15
	minFactor    = 0.05
	fullSpeed    = 1000
)

// Pair is an ordered pair of classes: the class of the task that is slowed down
// and the class of the neighbour.
type Pair struct {
	Class string
	Other string
}

// Slowdowns estimates how much a neighbour of one class slows down a task of
// another class.
type Slowdowns struct {
	logFactors map[Pair]float64
}

// NewSlowdowns returns a Slowdowns in which no class slows down another.
func NewSlowdowns() *Slowdowns {
	return &Slowdowns{logFactors: map[Pair]float64{}}
}

// Observe records the measured speed, in thousandths of full speed, of a task of
// the class. neighbours lists the class of each other task on the worker, with
// repetitions.
func (s *Slowdowns) Observe(class string, neighbours []string, permille int) {
	if len(neighbours) == 0 || permille <= 0 {
		return
	}
	observed := math.Log(max(float64(permille)/fullSpeed, minFactor))
	var expected float64
	for _, other := range neighbours {
		expected += s.logFactors[Pair{Class: class, Other: other}]
	}
	step := learningRate * (observed - expected) / float64(len(neighbours))
	for _, other := range neighbours {
		pair := Pair{
			Class: class,
			Other: other,
		}
		s.logFactors[pair] = min(max(s.logFactors[pair]+step, math.Log(minFactor)), 0)
	}
}

// Factor returns the fraction of full speed, in (0, 1], at which a task of the
// class runs with one neighbour of class other.
func (s *Slowdowns) Factor(class, other string) float64 {
	return math.Exp(s.logFactors[Pair{Class: class, Other: other}])
}

// Cost returns the total speed lost, by the new task and by its neighbours, when a
// task of the class is placed among neighbours counted by class. The unit is the
// full speed of one task; 0 means no loss.
func (s *Slowdowns) Cost(class string, counts map[string]int) float64 {
	var ownLog, neighbourLoss float64
	for other, n := range counts {
		ownLog += s.logFactors[Pair{Class: class, Other: other}] * float64(n)
		neighbourLoss += (1 - math.Exp(s.logFactors[Pair{Class: other, Other: class}])) * float64(n)
	}
	return 1 - math.Exp(ownLog) + neighbourLoss
}

// Harm returns the total speed that neighbours, counted by class, lose because of
// one task of the class, in units of the full speed of one task.
func (s *Slowdowns) Harm(class string, counts map[string]int) float64 {
	var harm float64
	for other, n := range counts {
		harm += (1 - s.Factor(other, class)) * float64(n)
	}
	return harm
}
