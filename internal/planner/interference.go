package planner

import "slices"

// imageID identifies an image within one Planner. IDs are small and are assigned in the
// order in which jobs and lessons name the images. 0 stands for no image.
type imageID int

// effectEstimate is the estimated effect of a pair of images: the margin that the
// serving image would lose on a worker fully used by the best-effort image, and the
// variance of the estimate.
type effectEstimate struct {
	mean     float64
	variance float64
	observed bool // false if the estimate is the prior
}

// interference learns how much best-effort tasks slow down serving tasks.
//
// A serving task is modelled as a queue: its tail latency is proportional to the inverse
// of the capacity that its own load and its neighbours leave. Its margin, which is the
// target divided by the tail latency, therefore falls linearly with the share of the
// worker that best-effort tasks use, at a rate that depends on the pair of images. In
// simulated days the rates fall into two groups, near 0 and near 20.
type interference struct {
	ids    map[string]imageID
	images []imageEstimates // by imageID
}

// imageEstimates holds what is known about an image. All but its name concern it as an
// image of serving tasks.
type imageEstimates struct {
	name string
	// effects are, by best-effort image, the effects on the image. A pair beyond the end
	// has not been observed.
	effects []effectEstimate
	// peakMargin is the margin at the image's peak load, 0 if none is known.
	peakMargin float64
	// sensitivity caches the result of the method sensitivity until the next update.
	sensitivity      float64
	sensitivityValid bool
}

const (
	// Prior of a pair that has not been observed.
	priorEffect   = 7.0
	priorVariance = 100.0
	maxEffect     = 60.0
	// driftVariance is added to the variance with each observation, since effects change
	// over time.
	driftVariance = 0.02
	// priorPeakMargin is the assumed margin of an image at peak load.
	priorPeakMargin = 1.6
	peakMarginRate  = 0.05
	// servingUtilization is the share of its processors that a serving task uses.
	servingUtilization = 0.43
)

// prior is the estimate for a pair that has not been observed.
var prior = effectEstimate{
	mean:     priorEffect,
	variance: priorVariance,
}

func newInterference() *interference {
	return &interference{
		ids:    map[string]imageID{},
		images: make([]imageEstimates, 1),
	}
}

// id returns the identifier of an image, and assigns one if there is none.
func (i *interference) id(image string) imageID {
	id, ok := i.ids[image]
	if !ok {
		id = imageID(len(i.images))
		i.ids[image] = id
		i.images = append(i.images, imageEstimates{name: image})
	}
	return id
}

// imageOf returns the identifier of a step's image.
func (p *Planner) imageOf(s *step) imageID {
	if s.image == 0 {
		s.image = p.interferenceModel.id(s.spec.Image)
	}
	return s.image
}

func (i *interference) estimate(bestEffort, serving imageID) effectEstimate {
	if effects := i.images[serving].effects; int(bestEffort) < len(effects) {
		return effects[bestEffort]
	}
	return prior
}

// setEffect records an observed effect.
func (i *interference) setEffect(bestEffort, serving imageID, mean, variance float64) {
	image := &i.images[serving]
	for len(image.effects) <= int(bestEffort) {
		image.effects = append(image.effects, prior)
	}
	image.effects[bestEffort] = effectEstimate{
		mean:     mean,
		variance: variance,
		observed: true,
	}
}

// unknown reports whether a pair has hardly been observed.
func (i *interference) unknown(bestEffort, serving imageID) bool {
	return i.estimate(bestEffort, serving).variance > priorVariance/2
}

// effect returns the margin that the serving image loses on a worker fully used by the
// best-effort image.
func (i *interference) effect(bestEffort, serving imageID) float64 {
	return i.estimate(bestEffort, serving).mean
}

// peakMargin returns the margin of an image at peak load.
func (i *interference) peakMargin(serving imageID) float64 {
	if known := i.images[serving].peakMargin; known != 0 {
		return known
	}
	return priorPeakMargin
}

// updatePeakMargin follows the margin of an image at peak load by an exponential moving
// average.
func (i *interference) updatePeakMargin(serving imageID, margin float64) {
	i.images[serving].peakMargin = i.peakMargin(serving) + peakMarginRate*(margin-i.peakMargin(serving))
}

// sensitivity returns the mean of the observed effects on an image. The higher it is, the
// fewer best-effort tasks can run next to the image, so those that can are preferred
// there.
func (i *interference) sensitivity(serving imageID) float64 {
	image := &i.images[serving]
	if image.sensitivityValid {
		return image.sensitivity
	}
	var sum float64
	count := 0
	for _, e := range image.effects {
		if e.observed {
			sum += e.mean
			count++
		}
	}
	image.sensitivity = sum / float64(max(count, 1))
	image.sensitivityValid = true
	return image.sensitivity
}

// imageShares is the share of a worker that the best-effort tasks of each image use,
// sorted by image.
type imageShares []imageShare

type imageShare struct {
	image imageID
	share float64
}

// add adds to the share of an image.
func (s *imageShares) add(image imageID, share float64) {
	at, ok := slices.BinarySearchFunc(*s, image, func(e imageShare, image imageID) int { return int(e.image - image) })
	if ok {
		(*s)[at].share += share
		return
	}
	*s = slices.Insert(*s, at, imageShare{
		image: image,
		share: share,
	})
}

// loss returns the margin that the serving image loses to best-effort tasks.
func (i *interference) loss(shares imageShares, serving imageID) float64 {
	var sum float64
	for _, s := range shares {
		sum += s.share * i.effect(s.image, serving)
	}
	return sum
}

// lossVariance returns the variance of the loss.
func (i *interference) lossVariance(shares imageShares, serving imageID) float64 {
	var sum float64
	for _, s := range shares {
		sum += s.share * s.share * i.estimate(s.image, serving).variance
	}
	return sum
}

// update corrects the effects on the serving image after its loss was excessLoss greater
// than expected. It is the update step of a Kalman filter with independent effects.
// totalVariance is the variance of the innovation.
func (i *interference) update(shares imageShares, serving imageID, excessLoss, totalVariance float64) {
	i.images[serving].sensitivityValid = false
	for _, s := range shares {
		known := i.estimate(s.image, serving)
		gain := known.variance * s.share / totalVariance
		mean := min(max(known.mean+gain*excessLoss, 0), maxEffect)
		variance := known.variance*(1-gain*s.share) + driftVariance
		i.setEffect(s.image, serving, mean, variance)
	}
}

// share converts thousandths of processors into a share of the worker's capacity.
func (w *worker) share(processors int) float64 {
	return float64(processors) / float64(max(w.info.Capacity.Processors, 1))
}

// bestEffortUsage returns the shares that best-effort tasks use by their latest report.
func (p *Planner) bestEffortUsage(w *worker) imageShares {
	var shares imageShares
	for _, r := range w.ordered {
		if r.bestEffort() && r.metric > 0 {
			shares.add(p.imageOf(r.task.step), w.share(r.metric))
		}
	}
	return shares
}

// bestEffortDemand returns the shares that the best-effort tasks on the worker use at
// their current speed limits if processors are available.
func (p *Planner) bestEffortDemand(w *worker) imageShares {
	var shares imageShares
	for _, r := range w.ordered {
		if r.bestEffort() && r.phase != runStopping {
			share := w.share(r.task.step.spec.Demand.Processors) * float64(r.speed) / fullSpeed
			shares.add(p.imageOf(r.task.step), share)
		}
	}
	return shares
}
