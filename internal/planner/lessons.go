package planner

import (
	"cmp"
	"maps"
	"slices"
)

// Lessons is what a planner has learnt and a later owner need not learn again.
type Lessons struct {
	Effects []Effect           `json:"effects,omitempty"`
	Base    map[string]float64 `json:"base,omitempty"`
}

// Effect is how much a whole worker of one image raises the logarithm of the
// tail of another.
type Effect struct {
	Filler string  `json:"filler"`
	Served string  `json:"served"`
	Raise  float64 `json:"raise"`
}

// Lessons returns what has been learnt.
func (p *Planner) Lessons() Lessons {
	lessons := Lessons{Base: maps.Clone(p.images.base)}
	for key, raise := range p.images.effects {
		lessons.Effects = append(lessons.Effects, Effect{
			Filler: key.filler,
			Served: key.served,
			Raise:  raise,
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
		p.images.effects[pair{
			filler: e.Filler,
			served: e.Served,
		}] = e.Raise
	}
	maps.Copy(p.images.base, lessons.Base)
}
