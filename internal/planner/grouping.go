package planner

import (
	"maps"
	"slices"

	"marjoramstack/pkg/clock"
)

// grouping is what the best-effort tasks of a pool ask for, by image, and which of
// them can't work beside which serving image.
type grouping struct {
	at      clock.Time
	weights []float64         // by filler, of all that they ask for
	index   map[string]int    // of a filler
	blocks  map[string]uint64 // by served image, a bit for each filler
	waiting bool              // best-effort tasks wait
	beside  map[pair]bool     // images that share a worker now
}

const (
	// groupEvery is how often the demand is summed up.
	groupEvery = 500 * clock.Millisecond
	// fillersMost bounds the images that count.
	fillersMost = 64
	// typicalFiller is the demand, in thousandths of processors, for which a pair
	// of images is judged.
	typicalFiller = 7000
)

// group sums the demand of best-effort tasks up, now and then.
func (p *Planner) group(now clock.Time) {
	if p.grouping.at != 0 && now.Sub(p.grouping.at) < groupEvery {
		return
	}
	demand := map[string]float64{}
	g := grouping{
		at:     now,
		index:  map[string]int{},
		blocks: map[string]uint64{},
		beside: map[pair]bool{},
	}
	for _, w := range p.fleet {
		w.noteBeside(g.beside)
	}
	var total float64
	for _, j := range p.active {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !s.spec.BestEffort || s.blocked > 0 || s.open == 0 || o.due.After(now) {
					continue
				}
				asked := float64(s.open * s.spec.Demand.Processors)
				demand[s.spec.Image] += asked
				total += asked
				g.waiting = g.waiting || s.anyWaiting(now)
			}
		}
	}
	for _, image := range slices.Sorted(maps.Keys(demand)) {
		if len(g.weights) < fillersMost {
			g.index[image] = len(g.weights)
			g.weights = append(g.weights, demand[image]/total)
		}
	}
	p.grouping = g
}

// noteBeside adds the pairs of images that share the worker.
func (w *worker) noteBeside(beside map[pair]bool) {
	if len(w.serving) == 0 || w.filling == 0 {
		return
	}
	for _, r := range w.runs {
		if !r.bestEffort() {
			continue
		}
		for image := range w.serving {
			beside[pair{
				filler: r.image(),
				served: image,
			}] = true
		}
	}
}

// blocked returns which fillers can't work beside a served image.
func (p *Planner) blocked(served string) uint64 {
	g := &p.grouping
	if mask, ok := g.blocks[served]; ok {
		return mask
	}
	var mask uint64
	for image, i := range g.index {
		loss := typicalFiller / float64(typicalCapacity) * p.images.effect(image, served)
		if loss > leastHarm && p.images.lowest(served)-loss < bearableMargin {
			mask |= 1 << i
		}
	}
	g.blocks[served] = mask
	return mask
}

// typicalCapacity is the worker, in thousandths of processors, for which a pair is
// judged.
const typicalCapacity = 64000

// admissible returns the share of the demand that can work beside all that serves on
// a worker, with one image more and one task less. Either may be empty.
func (p *Planner) admissible(w *worker, more, less string) float64 {
	if w.serving[less] > 1 {
		less = ""
	}
	return p.admissibleWithout(w, more, less)
}

// admissibleWithout is the same without any task of an image.
func (p *Planner) admissibleWithout(w *worker, more, less string) float64 {
	var mask uint64
	if more != "" {
		mask = p.blocked(more)
	}
	for image := range w.serving {
		if image != less {
			mask |= p.blocked(image)
		}
	}
	var sum float64
	for i, weight := range p.grouping.weights {
		if mask&(1<<i) == 0 {
			sum += weight
		}
	}
	return sum
}

// fillable returns the processors, in whole ones, that serving tasks leave on a
// worker.
func (w *worker) fillable() float64 {
	return (float64(w.info.Capacity.Processors) - w.used) / thousandth
}
