package planner

import (
	"cmp"
	"maps"
	"slices"
)

// Lessons is what a planner has learnt and a later owner need not learn again.
type Lessons struct {
	Effects []Effect `json:"effects,omitempty"`
	// Low is the margin of served images at the top of their load.
	Low map[string]float64 `json:"low,omitempty"`
}

// Effect is the margin that a whole worker of one image takes from another.
type Effect struct {
	Filler   string  `json:"filler"`
	Served   string  `json:"served"`
	Loss     float64 `json:"loss"`
	Variance float64 `json:"variance"`
}

// Lessons returns what has been learnt.
func (p *Planner) Lessons() Lessons {
	lessons := Lessons{Low: maps.Clone(p.images.peakMargins)}
	for key, known := range p.images.effects {
		lessons.Effects = append(lessons.Effects, Effect{
			Filler:   key.bestEffort,
			Served:   key.serving,
			Loss:     known.mean,
			Variance: known.variance,
		})
	}
	slices.SortFunc(lessons.Effects, func(a, b Effect) int {
		return cmp.Or(cmp.Compare(a.Filler, b.Filler), cmp.Compare(a.Served, b.Served))
	})
	return lessons
}

// Learn takes over what an earlier owner has learnt.
func (p *Planner) Learn(lessons Lessons) {
	for _, e := range lessons.Effects {
		p.images.effects[imagePair{
			bestEffort: e.Filler,
			serving:    e.Served,
		}] = effectEstimate{
			mean:     e.Loss,
			variance: e.Variance,
		}
	}
	maps.Copy(p.images.peakMargins, lessons.Low)
}
