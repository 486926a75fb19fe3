package planner

import (
	"maps"
	"slices"

	"marjoramstack/pkg/clock"
)

// grouping is what the best-effort tasks of a pool ask for, by image, and which of
// them can't work beside which serving image.
type colocation struct {
	updatedAt    clock.Time
	demandShares []float64          // by filler, of all that they ask for
	imageIndex   map[string]int     // of a filler
	blockedBy    map[string]uint64  // by served image, a bit for each filler
	waiting      bool               // best-effort tasks wait
	colocated    map[imagePair]bool // images that share a worker now
}

const (
	// groupEvery is how often the demand is summed up.
	colocationInterval = 500 * clock.Millisecond
	// fillersMost bounds the images that count.
	maxBestEffortImages = 64
	// typicalFiller is the demand, in thousandths of processors, for which a pair
	// of images is judged.
	typicalTaskDemand = 7000
)

// group sums the demand of best-effort tasks up, now and then.
func (p *Planner) updateColocation(now clock.Time) {
	if p.grouping.updatedAt != 0 && now.Sub(p.grouping.updatedAt) < colocationInterval {
		return
	}
	demand := map[string]float64{}
	c := colocation{
		updatedAt:  now,
		imageIndex: map[string]int{},
		blockedBy:  map[string]uint64{},
		colocated:  map[imagePair]bool{},
	}
	for _, w := range p.fleet {
		w.addColocated(c.colocated)
	}
	var total float64
	for _, j := range p.active {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !s.spec.BestEffort || s.unmetDependencies > 0 || s.open == 0 || o.scheduledAt.After(now) {
					continue
				}
				asked := float64(s.open * s.spec.Demand.Processors)
				demand[s.spec.Image] += asked
				total += asked
				c.waiting = c.waiting || s.hasWaiting(now)
			}
		}
	}
	for _, image := range slices.Sorted(maps.Keys(demand)) {
		if len(c.demandShares) < maxBestEffortImages {
			c.imageIndex[image] = len(c.demandShares)
			c.demandShares = append(c.demandShares, demand[image]/total)
		}
	}
	p.grouping = c
}

// noteBeside adds the pairs of images that share the worker.
func (w *worker) addColocated(colocated map[imagePair]bool) {
	if len(w.servingTasks) == 0 || w.bestEffortProcessors == 0 {
		return
	}
	for _, r := range w.runs {
		if !r.bestEffort() {
			continue
		}
		for image := range w.servingTasks {
			colocated[imagePair{
				bestEffort: r.image(),
				serving:    image,
			}] = true
		}
	}
}

// blocked returns which fillers can't work beside a served image.
func (p *Planner) blocked(served string) uint64 {
	c := &p.grouping
	if mask, ok := c.blockedBy[served]; ok {
		return mask
	}
	var mask uint64
	for image, i := range c.imageIndex {
		loss := typicalTaskDemand / float64(typicalWorkerCapacity) * p.images.effect(image, served)
		if loss > minLoss && p.images.peakMargin(served)-loss < placementMargin {
			mask |= 1 << i
		}
	}
	c.blockedBy[served] = mask
	return mask
}

// typicalCapacity is the worker, in thousandths of processors, for which a pair is
// judged.
const typicalWorkerCapacity = 64000

// admissible returns the share of the demand that can work beside all that serves on
// a worker, with one image more and one task less. Either may be empty.
func (p *Planner) admissibleShare(w *worker, more, less string) float64 {
	if w.servingTasks[less] > 1 {
		less = ""
	}
	return p.admissibleShareWithout(w, more, less)
}

// admissibleWithout is the same without any task of an image.
func (p *Planner) admissibleShareWithout(w *worker, more, less string) float64 {
	var mask uint64
	if more != "" {
		mask = p.blocked(more)
	}
	for image := range w.servingTasks {
		if image != less {
			mask |= p.blocked(image)
		}
	}
	var sum float64
	for i, weight := range p.grouping.demandShares {
		if mask&(1<<i) == 0 {
			sum += weight
		}
	}
	return sum
}

// fillable returns the processors, in whole ones, that serving tasks leave on a
// worker.
func (w *worker) idleForBestEffort() float64 {
	return (float64(w.info.Capacity.Processors) - w.guaranteedUse) / milliScale
}
