package planner

// pair names an image of best-effort tasks and one of tasks that they disturb.
type pair struct {
	filler string
	served string
}

// effect is what is known of a pair: the margin that a whole worker of the filler
// would take from the served image, and the variance of that estimate.
type effect struct {
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
type disturbance struct {
	effects map[pair]effect
	// low is, by served image, the margin at the top of its own load.
	low map[string]float64
	// sensitive holds means that are worked out anew after a correction.
	sensitive map[string]float64
}

const (
	// Assumed of a pair that has not been seen.
	priorEffect   = 7.0
	priorVariance = 100.0
	mostEffect    = 60.0
	// driftVariance is added with each observation: effects change.
	driftVariance = 0.02
	// priorLow is the margin assumed of an image at the top of its load.
	priorLow = 1.6
	lowRate  = 0.05
	// servingLoad is the share of its processors that a serving task uses.
	servingLoad = 0.43
)

func newDisturbance() *disturbance {
	return &disturbance{
		effects:   map[pair]effect{},
		low:       map[string]float64{},
		sensitive: map[string]float64{},
	}
}

func (d *disturbance) get(filler, served string) effect {
	known, ok := d.effects[pair{
		filler: filler,
		served: served,
	}]
	if !ok {
		return effect{
			mean:     priorEffect,
			variance: priorVariance,
		}
	}
	return known
}

// unknown reports whether hardly anything has been seen of a pair.
func (d *disturbance) unknown(filler, served string) bool {
	return d.get(filler, served).variance > priorVariance/2
}

// effect returns the margin that a whole worker of the filler takes from the
// served image.
func (d *disturbance) effect(filler, served string) float64 {
	return d.get(filler, served).mean
}

// lowest returns the margin of an image at the top of its own load.
func (d *disturbance) lowest(served string) float64 {
	known, ok := d.low[served]
	if !ok {
		return priorLow
	}
	return known
}

// noteLow follows the margin of an image at the top of its load.
func (d *disturbance) noteLow(served string, low float64) {
	d.low[served] = d.lowest(served) + lowRate*(low-d.lowest(served))
}

// sensitivity returns the mean of the effects on an image that are known. The
// higher it is, the fewer tasks can run beside the image, so those that can
// should.
func (d *disturbance) sensitivity(served string) float64 {
	if known, ok := d.sensitive[served]; ok {
		return known
	}
	var sum float64
	count := 0
	for key, e := range d.effects {
		if key.served == served {
			sum += e.mean
			count++
		}
	}
	d.sensitive[served] = sum / float64(max(count, 1))
	return d.sensitive[served]
}

// mix is the share of a worker that the best-effort tasks of each image use.
type mix map[string]float64

// loss returns the margin that a mix takes from the served image.
func (d *disturbance) loss(m mix, served string) float64 {
	var sum float64
	for filler, share := range m {
		sum += share * d.effect(filler, served)
	}
	return sum
}

// spread returns the variance of the loss.
func (d *disturbance) spread(m mix, served string) float64 {
	var sum float64
	for filler, share := range m {
		sum += share * share * d.get(filler, served).variance
	}
	return sum
}

// correct takes that the loss by a mix was greater than expected, by a Kalman
// filter with independent effects. The total variance is that of the whole
// expectation.
func (d *disturbance) correct(m mix, served string, more, total float64) {
	delete(d.sensitive, served)
	for filler, share := range m {
		known := d.get(filler, served)
		gain := known.variance * share / total
		d.effects[pair{
			filler: filler,
			served: served,
		}] = effect{
			mean:     min(max(known.mean+gain*more, 0), mostEffect),
			variance: known.variance*(1-gain*share) + driftVariance,
		}
	}
}

// share converts thousandths of processors into a share of the worker.
func (w *worker) share(processors int) float64 {
	return float64(processors) / float64(max(w.info.Capacity.Processors, 1))
}

// mix returns what the best-effort tasks on the worker use by their figures.
func (w *worker) mix() mix {
	m := mix{}
	for _, r := range w.runs {
		if r.bestEffort() && r.figure > 0 {
			m[r.image()] += w.share(r.figure)
		}
	}
	return m
}

// demanded returns what the best-effort tasks on the worker would use at the
// speed they are allowed.
func (w *worker) demanded() mix {
	m := mix{}
	for _, r := range w.runs {
		if r.bestEffort() && r.phase != runStopping {
			m[r.image()] += w.share(r.task.step.spec.Demand.Processors) * float64(r.speed) / fullSpeed
		}
	}
	return m
}
