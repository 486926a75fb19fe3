package planner

import (
	"cmp"
	"maps"
	"slices"
)

// Lessons is what a planner has learnt and a later owner need not learn again.
type Lessons struct {
	Effects []Effect `json:"effects,omitempty"`
	// PeakMargins is the margin of served images at the top of their load.
	PeakMargins map[string]float64 `json:"low,omitempty"`
}

// Effect is the margin that a whole worker of one image takes from another.
type Effect struct {
	BestEffort string  `json:"filler"`
	Serving    string  `json:"served"`
	Loss       float64 `json:"loss"`
	Variance   float64 `json:"variance"`
}

// Lessons returns what has been learnt.
func (p *Planner) Lessons() Lessons {
	lessons := Lessons{PeakMargins: maps.Clone(p.interference.peakMargins)}
	for key, known := range p.interference.effects {
		lessons.Effects = append(lessons.Effects, Effect{
			BestEffort: key.bestEffort,
			Serving:    key.serving,
			Loss:       known.mean,
			Variance:   known.variance,
		})
	}
	slices.SortFunc(lessons.Effects, func(a, b Effect) int {
		return cmp.Or(cmp.Compare(a.BestEffort, b.BestEffort), cmp.Compare(a.Serving, b.Serving))
	})
	return lessons
}

// Learn takes over what an earlier owner has learnt.
func (p *Planner) Learn(lessons Lessons) {
	for _, e := range lessons.Effects {
		p.interference.effects[imagePair{
			bestEffort: e.BestEffort,
			serving:    e.Serving,
		}] = effectEstimate{
			mean:     e.Loss,
			variance: e.Variance,
		}
	}
	maps.Copy(p.interference.peakMargins, lessons.PeakMargins)
}
