package planner

// pair names an image of best-effort tasks and one of tasks that they disturb.
type imagePair struct {
	bestEffort string
	serving    string
}

// effect is what is known of a pair: the margin that a whole worker of the filler
// would take from the served image, and the variance of that estimate.
type effectEstimate struct {
	mean     float64
	variance float64
}

// disturbance learns how much best-effort tasks disturb serving tasks.
//
// A serving task answers as a queue does: its tail grows with the inverse of the
// capacity that its own load and its neighbours leave. So its margin, the target
// over the tail, falls linearly with the share of the worker that best-effort
// tasks use, and for each pair of images at a rate of its own. Figures of played
// days show rates of two kinds, near 0 and near 20.
type interference struct {
	effects map[imagePair]effectEstimate
	// low is, by served image, the margin at the top of its own load.
	peakMargins map[string]float64
	// sensitive holds means that are worked out anew after a correction.
	sensitivities map[string]float64
}

const (
	// Assumed of a pair that has not been seen.
	priorEffect   = 7.0
	priorVariance = 100.0
	maxEffect     = 60.0
	// driftVariance is added with each observation: effects change.
	driftVariance = 0.02
	// priorLow is the margin assumed of an image at the top of its load.
	priorPeakMargin = 1.6
	peakMarginRate  = 0.05
	// servingLoad is the share of its processors that a serving task uses.
	servingUtilization = 0.43
)

func newInterference() *interference {
	return &interference{
		effects:       map[imagePair]effectEstimate{},
		peakMargins:   map[string]float64{},
		sensitivities: map[string]float64{},
	}
}

func (d *interference) estimate(filler, served string) effectEstimate {
	known, ok := d.effects[imagePair{
		bestEffort: filler,
		serving:    served,
	}]
	if !ok {
		return effectEstimate{
			mean:     priorEffect,
			variance: priorVariance,
		}
	}
	return known
}

// unknown reports whether hardly anything has been seen of a pair.
func (d *interference) unknown(filler, served string) bool {
	return d.estimate(filler, served).variance > priorVariance/2
}

// effect returns the margin that a whole worker of the filler takes from the
// served image.
func (d *interference) effect(filler, served string) float64 {
	return d.estimate(filler, served).mean
}

// lowest returns the margin of an image at the top of its own load.
func (d *interference) peakMargin(served string) float64 {
	known, ok := d.peakMargins[served]
	if !ok {
		return priorPeakMargin
	}
	return known
}

// noteLow follows the margin of an image at the top of its load.
func (d *interference) updatePeakMargin(served string, margin float64) {
	d.peakMargins[served] = d.peakMargin(served) + peakMarginRate*(margin-d.peakMargin(served))
}

// sensitivity returns the mean of the effects on an image that are known. The
// higher it is, the fewer tasks can run beside the image, so those that can
// should.
func (d *interference) sensitivity(served string) float64 {
	if known, ok := d.sensitivities[served]; ok {
		return known
	}
	var sum float64
	count := 0
	for key, e := range d.effects {
		if key.serving == served {
			sum += e.mean
			count++
		}
	}
	d.sensitivities[served] = sum / float64(max(count, 1))
	return d.sensitivities[served]
}

// mix is the share of a worker that the best-effort tasks of each image use.
type imageShares map[string]float64

// loss returns the margin that a mix takes from the served image.
func (d *interference) loss(m imageShares, served string) float64 {
	var sum float64
	for filler, share := range m {
		sum += share * d.effect(filler, served)
	}
	return sum
}

// spread returns the variance of the loss.
func (d *interference) lossVariance(m imageShares, served string) float64 {
	var sum float64
	for filler, share := range m {
		sum += share * share * d.estimate(filler, served).variance
	}
	return sum
}

// correct takes that the loss by a mix was greater than expected, by a Kalman
// filter with independent effects. The total variance is that of the whole
// expectation.
func (d *interference) update(m imageShares, served string, excessLoss, totalVariance float64) {
	delete(d.sensitivities, served)
	for filler, share := range m {
		known := d.estimate(filler, served)
		gain := known.variance * share / totalVariance
		d.effects[imagePair{
			bestEffort: filler,
			serving:    served,
		}] = effectEstimate{
			mean:     min(max(known.mean+gain*excessLoss, 0), maxEffect),
			variance: known.variance*(1-gain*share) + driftVariance,
		}
	}
}

// share converts thousandths of processors into a share of the worker.
func (w *worker) share(processors int) float64 {
	return float64(processors) / float64(max(w.info.Capacity.Processors, 1))
}

// mix returns what the best-effort tasks on the worker use by their figures.
func (w *worker) bestEffortUsage() imageShares {
	m := imageShares{}
	for _, r := range w.runs {
		if r.bestEffort() && r.metric > 0 {
			m[r.image()] += w.share(r.metric)
		}
	}
	return m
}

// demanded returns what the best-effort tasks on the worker would use at the
// speed they are allowed.
func (w *worker) bestEffortDemand() imageShares {
	m := imageShares{}
	for _, r := range w.runs {
		if r.bestEffort() && r.phase != runStopping {
			m[r.image()] += w.share(r.task.step.spec.Demand.Processors) * float64(r.speed) / fullSpeed
		}
	}
	return m
}
