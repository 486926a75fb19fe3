package planner

import (
	"maps"
	"slices"

	"marjoramstack/pkg/clock"
)

// imagePair is an image of best-effort tasks and one of serving tasks.
type imagePair struct {
	bestEffort imageID
	serving    imageID
}

// colocation is the demand of best-effort tasks by image, and which of their images
// cannot share a worker with which serving image.
type colocation struct {
	updatedAt    clock.Time
	demandShares []float64          // by best-effort image, as a share of the total demand
	imageIndex   map[string]int     // of a best-effort image in demandShares
	blockedBy    map[string]uint64  // by serving image, a bit for each best-effort image
	waiting      bool               // best-effort tasks wait
	colocated    map[imagePair]bool // images that currently share a worker
}

const (
	// colocationInterval is how often the demand is recomputed.
	colocationInterval = 500 * clock.Millisecond
	// maxBestEffortImages bounds the images that are considered: a mask has 64 bits.
	maxBestEffortImages = 64
	// typicalTaskDemand is the demand of a best-effort task, in thousandths of
	// processors, for which a pair of images is evaluated.
	typicalTaskDemand = 7000
)

// updateColocation recomputes the demand of best-effort tasks once per colocationInterval.
func (p *Planner) updateColocation(now clock.Time) {
	if p.colocation.updatedAt != 0 && now.Sub(p.colocation.updatedAt) < colocationInterval {
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
		p.addColocated(c.colocated, w)
	}
	var total float64
	for _, j := range p.activeJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !s.spec.BestEffort || s.unmetDependencies > 0 || s.open == 0 || o.scheduledAt.After(now) {
					continue
				}
				stepDemand := float64(s.open * s.spec.Demand.Processors)
				demand[s.spec.Image] += stepDemand
				total += stepDemand
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
	p.colocation = c
}

// addColocated adds the pairs of images that share the worker.
func (p *Planner) addColocated(colocated map[imagePair]bool, w *worker) {
	if len(w.servingTasks) == 0 || w.bestEffortProcessors == 0 {
		return
	}
	for image := range w.servingTasks {
		serving := p.interferenceModel.id(image)
		for _, r := range w.ordered {
			if !r.bestEffort() {
				continue
			}
			colocated[imagePair{
				bestEffort: p.imageOf(r.task.step),
				serving:    serving,
			}] = true
		}
	}
}

// blocked returns a mask of the best-effort images that cannot run next to a serving image.
func (p *Planner) blocked(serving string) uint64 {
	c := &p.colocation
	if mask, ok := c.blockedBy[serving]; ok {
		return mask
	}
	var mask uint64
	servingID := p.interferenceModel.id(serving)
	for image, i := range c.imageIndex {
		loss := typicalTaskDemand / float64(typicalWorkerCapacity) * p.interferenceModel.effect(p.interferenceModel.id(image), servingID)
		if loss > minLoss && p.interferenceModel.peakMargin(servingID)-loss < placementMargin {
			mask |= 1 << i
		}
	}
	c.blockedBy[serving] = mask
	return mask
}

// typicalWorkerCapacity is the capacity of a worker, in thousandths of processors, for
// which a pair of images is evaluated.
const typicalWorkerCapacity = 64000

// admissibleShare returns the share of best-effort demand that can run next to all
// serving tasks of a worker if a task of image more were added and one of image less
// removed. Either may be empty.
func (p *Planner) admissibleShare(w *worker, more, less string) float64 {
	if w.servingTasks[less] > 1 {
		less = ""
	}
	return p.admissibleShareWithout(w, more, less)
}

// admissibleShareWithout is like admissibleShare, but removes all tasks of image less.
func (p *Planner) admissibleShareWithout(w *worker, more, less string) float64 {
	var mask uint64
	if more != "" {
		mask = p.blocked(more)
	}
	for _, m := range p.servingMasks(w) {
		if m.image != less {
			mask |= m.mask
		}
	}
	var sum float64
	for i, weight := range p.colocation.demandShares {
		if mask&(1<<i) == 0 {
			sum += weight
		}
	}
	return sum
}

// imageMask is a serving image with a mask of the best-effort images that it blocks.
type imageMask struct {
	image string
	mask  uint64
}

// servingMasks returns the masks of the worker's serving images. The result is cached until
// these images or the demand change.
func (p *Planner) servingMasks(w *worker) []imageMask {
	if w.masks != nil && w.masksAt == p.colocation.updatedAt {
		return w.masks
	}
	w.masksAt = p.colocation.updatedAt
	w.masks = make([]imageMask, 0, len(w.servingTasks)) // not nil, even if it is empty
	for image := range w.servingTasks {
		w.masks = append(w.masks, imageMask{
			image: image,
			mask:  p.blocked(image),
		})
	}
	return w.masks
}

// idleForBestEffort returns the processors, in whole ones, that a worker has left for
// best-effort tasks.
func (w *worker) idleForBestEffort() float64 {
	return (float64(w.info.Capacity.Processors) - w.guaranteedUse) / milliScale
}
