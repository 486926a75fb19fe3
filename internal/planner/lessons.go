package planner

import (
	"cmp"
	"maps"
	"slices"
)

// Lessons is the learned state that is handed to the next owner, so that it need not learn
// it again.
type Lessons struct {
	Effects []Effect `json:"effects,omitempty"`
	// PeakMargins is, by serving image, the margin at the image's peak load.
	PeakMargins map[string]float64 `json:"low,omitempty"`
}

// Effect is the estimated loss of margin of a serving image on a worker fully used by a
// best-effort image, and the variance of the estimate.
type Effect struct {
	BestEffort string  `json:"filler"`
	Serving    string  `json:"served"`
	Loss       float64 `json:"loss"`
	Variance   float64 `json:"variance"`
}

// maxLesson is far above each learned variance and margin.
const maxLesson = 1e6

// Check returns an error if no owner can have learned the lessons. Values without bounds
// would become infinite, which can't be recorded.
func (l Lessons) Check() error {
	for _, e := range l.Effects {
		if e.Loss < 0 || e.Loss > maxEffect || e.Variance < 0 || e.Variance > maxLesson {
			return Error.New("the loss %g or variance %g is out of range", e.Loss, e.Variance)
		}
	}
	for _, margin := range l.PeakMargins {
		if margin < -maxLesson || margin > maxLesson {
			return Error.New("the margin %g is out of range", margin)
		}
	}
	return nil
}

// Lessons returns the learned state, with effects sorted by image.
func (p *Planner) Lessons() Lessons {
	lessons := Lessons{PeakMargins: map[string]float64{}}
	for _, image := range p.interferenceModel.images {
		if image.peakMargin != 0 {
			lessons.PeakMargins[image.name] = image.peakMargin
		}
		for id, e := range image.effects {
			if !e.observed {
				continue
			}
			lessons.Effects = append(lessons.Effects, Effect{
				BestEffort: p.interferenceModel.images[id].name,
				Serving:    image.name,
				Loss:       e.mean,
				Variance:   e.variance,
			})
		}
	}
	slices.SortFunc(lessons.Effects, func(a, b Effect) int {
		return cmp.Or(cmp.Compare(a.BestEffort, b.BestEffort), cmp.Compare(a.Serving, b.Serving))
	})
	return lessons
}

// Learn adopts the learned state of an earlier owner.
func (p *Planner) Learn(lessons Lessons) {
	model := p.interferenceModel
	for _, e := range lessons.Effects {
		model.setEffect(model.id(e.BestEffort), model.id(e.Serving), e.Loss, e.Variance)
	}
	for _, image := range slices.Sorted(maps.Keys(lessons.PeakMargins)) {
		model.images[model.id(image)].peakMargin = lessons.PeakMargins[image]
	}
}
