package planner

// imagePair is an image of best-effort tasks and one of serving tasks.
type imagePair struct {
	bestEffort string
	serving    string
}

// effectEstimate is the estimated effect of a pair: the margin that the serving image
// would lose on a worker fully used by the best-effort image, and the variance of the
// estimate.
type effectEstimate struct {
	mean     float64
	variance float64
}

// interference learns how much best-effort tasks slow down serving tasks.
//
// A serving task is modelled as a queue: its tail latency is proportional to the inverse
// of the capacity that its own load and its neighbours leave. Its margin, which is the
// target divided by the tail latency, therefore falls linearly with the share of the
// worker that best-effort tasks use, at a rate that depends on the pair of images. In
// simulated days the rates fall into two groups, near 0 and near 20.
type interference struct {
	effects map[imagePair]effectEstimate
	// peakMargins is, by serving image, the margin at the image's peak load.
	peakMargins map[string]float64
	// sensitivities caches the results of sensitivity until the next update.
	sensitivities map[string]float64
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

func newInterference() *interference {
	return &interference{
		effects:       map[imagePair]effectEstimate{},
		peakMargins:   map[string]float64{},
		sensitivities: map[string]float64{},
	}
}

func (i *interference) estimate(bestEffort, serving string) effectEstimate {
	known, ok := i.effects[imagePair{
		bestEffort: bestEffort,
		serving:    serving,
	}]
	if !ok {
		return effectEstimate{
			mean:     priorEffect,
			variance: priorVariance,
		}
	}
	return known
}

// unknown reports whether a pair has hardly been observed.
func (i *interference) unknown(bestEffort, serving string) bool {
	return i.estimate(bestEffort, serving).variance > priorVariance/2
}

// effect returns the margin that the serving image loses on a worker fully used by the
// best-effort image.
func (i *interference) effect(bestEffort, serving string) float64 {
	return i.estimate(bestEffort, serving).mean
}

// peakMargin returns the margin of an image at peak load.
func (i *interference) peakMargin(serving string) float64 {
	known, ok := i.peakMargins[serving]
	if !ok {
		return priorPeakMargin
	}
	return known
}

// updatePeakMargin follows the margin of an image at peak load by an exponential moving
// average.
func (i *interference) updatePeakMargin(serving string, margin float64) {
	i.peakMargins[serving] = i.peakMargin(serving) + peakMarginRate*(margin-i.peakMargin(serving))
}

// sensitivity returns the mean of the observed effects on an image. The higher it is, the
// fewer best-effort tasks can run next to the image, so those that can are preferred
// there.
func (i *interference) sensitivity(serving string) float64 {
	if known, ok := i.sensitivities[serving]; ok {
		return known
	}
	var sum float64
	count := 0
	for key, e := range i.effects {
		if key.serving == serving {
			sum += e.mean
			count++
		}
	}
	i.sensitivities[serving] = sum / float64(max(count, 1))
	return i.sensitivities[serving]
}

// imageShares is the share of a worker that the best-effort tasks of each image use.
type imageShares map[string]float64

// loss returns the margin that the serving image loses to best-effort tasks.
func (i *interference) loss(shares imageShares, serving string) float64 {
	var sum float64
	for image, share := range shares {
		sum += share * i.effect(image, serving)
	}
	return sum
}

// lossVariance returns the variance of the loss.
func (i *interference) lossVariance(shares imageShares, serving string) float64 {
	var sum float64
	for image, share := range shares {
		sum += share * share * i.estimate(image, serving).variance
	}
	return sum
}

// update corrects the effects on the serving image after its loss was excessLoss greater
// than expected. It is the update step of a Kalman filter with independent effects.
// totalVariance is the variance of the innovation.
func (i *interference) update(shares imageShares, serving string, excessLoss, totalVariance float64) {
	delete(i.sensitivities, serving)
	for image, share := range shares {
		known := i.estimate(image, serving)
		gain := known.variance * share / totalVariance
		i.effects[imagePair{
			bestEffort: image,
			serving:    serving,
		}] = effectEstimate{
			mean:     min(max(known.mean+gain*excessLoss, 0), maxEffect),
			variance: known.variance*(1-gain*share) + driftVariance,
		}
	}
}

// share converts thousandths of processors into a share of the worker's capacity.
func (w *worker) share(processors int) float64 {
	return float64(processors) / float64(max(w.info.Capacity.Processors, 1))
}

// bestEffortUsage returns the shares that best-effort tasks use by their latest report.
func (w *worker) bestEffortUsage() imageShares {
	shares := imageShares{}
	for _, r := range w.ordered {
		if r.bestEffort() && r.metric > 0 {
			shares[r.image()] += w.share(r.metric)
		}
	}
	return shares
}

// bestEffortDemand returns the shares that the best-effort tasks on the worker use at
// their current speed limits if processors are available.
func (w *worker) bestEffortDemand() imageShares {
	shares := imageShares{}
	for _, r := range w.ordered {
		if r.bestEffort() && r.phase != runStopping {
			shares[r.image()] += w.share(r.task.step.spec.Demand.Processors) * float64(r.speed) / fullSpeed
		}
	}
	return shares
}
