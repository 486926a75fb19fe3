package planner

import (
	"math"

	"marjoramstack/pkg/clock"
)

// pair names an image of best-effort tasks and one of tasks that they disturb.
type pair struct {
	filler string
	served string
}

// disturbance learns how much best-effort tasks raise the tails of serving
// tasks. The tail is taken to grow exponentially: its logarithm, as a share of
// the target, is a basis that follows the task's own load, plus an effect for
// each pair of images times the share of the worker that the best-effort tasks
// use.
type disturbance struct {
	effects map[pair]float64
	base    map[string]float64
	// sensitive holds means that are worked out anew after a correction.
	sensitive map[string]float64
}

const (
	// priorEffect is assumed of a pair of images that has not been seen: a
	// tenth of a worker raises the tail by a third.
	priorEffect = 3.0
	priorBase   = -0.8
	mostEffect  = 40.0
	// Rates of learning, from changes of the mix and from its level.
	changeRate = 0.5
	levelRate  = 0.04
	baseRate   = 0.3
	imageRate  = 0.05
	// mixFloor keeps small shares of a worker from giving large corrections.
	mixFloor = 0.002
	// tailRange bounds logarithms of tails.
	tailRange = 2.5
	// servingLoad is the share of its processors that a serving task uses.
	servingLoad = 0.5
	// settled is how long a change on a worker takes to show in its figures.
	settled = 600 * clock.Millisecond
)

func newDisturbance() *disturbance {
	return &disturbance{
		effects: map[pair]float64{},
		base:    map[string]float64{},

		sensitive: map[string]float64{},
	}
}

// effect returns by how much the logarithm of the tail of the served image
// rises with a whole worker of the filler.
func (d *disturbance) effect(filler, served string) float64 {
	known, ok := d.effects[pair{
		filler: filler,
		served: served,
	}]
	if !ok {
		return priorEffect
	}
	return known
}

// basis returns the usual logarithm of the tail of an image that nothing
// disturbs.
func (d *disturbance) basis(served string) float64 {
	known, ok := d.base[served]
	if !ok {
		return priorBase
	}
	return known
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
	for key, raise := range d.effects {
		if key.served == served {
			sum += raise
			count++
		}
	}
	d.sensitive[served] = sum / float64(max(count, 1))
	return d.sensitive[served]
}

// mix is the share of a worker that the best-effort tasks of each image use.
type mix map[string]float64

// sum returns what a mix adds to the logarithm of the served image's tail.
func (d *disturbance) sum(m mix, served string) float64 {
	var sum float64
	for filler, share := range m {
		sum += share * d.effect(filler, served)
	}
	return sum
}

// adjust corrects the effects of a mix for an error in the logarithm.
func (d *disturbance) adjust(m mix, served string, off, rate float64) {
	delete(d.sensitive, served)
	weight := mixFloor
	for _, share := range m {
		weight += share * share
	}
	for filler, share := range m {
		key := pair{
			filler: filler,
			served: served,
		}
		corrected := d.effect(filler, served) + rate*off*share/weight
		d.effects[key] = min(max(corrected, 0), mostEffect)
	}
}

// served is what a worker knows of one image that serves there.
type served struct {
	tail     float64 // logarithm of the mean tail last listed, as a share of the target
	hottest  *run    // the run with the highest tail
	base     float64 // tail without disturbance
	known    bool
	settled  bool // tail and mix below belong together
	lastTail float64
	lastMix  mix
}

// observe takes the figures that a worker has just listed.
func (p *Planner) observe(now clock.Time, w *worker) {
	p.takeTails(now, w)
	if len(w.served) == 0 || now.Sub(w.mixChanged) < settled {
		return
	}
	present := w.mix()
	for image, s := range w.served {
		if s.hottest == nil {
			continue
		}
		p.learn(image, s, present)
	}
}

// takeTails sums up the listed tails by image.
func (p *Planner) takeTails(now clock.Time, w *worker) {
	counts := map[string]int{}
	sums := map[string]float64{}
	for _, s := range w.served {
		s.hottest = nil
	}
	for _, r := range w.runs {
		if r.target() == 0 || r.phase != runListed || r.figure == 0 || now.Sub(r.began) < settled {
			continue
		}
		tail := min(max(math.Log(float64(r.figure)/float64(r.target())), -tailRange), tailRange)
		r.noteTail(now, tail)
		s := w.served[r.image()]
		if s == nil {
			s = &served{}
			w.served[r.image()] = s
		}
		if s.hottest == nil || r.figure*int(s.hottest.target()) > s.hottest.figure*int(r.target()) {
			s.hottest = r
		}
		counts[r.image()]++
		sums[r.image()] += tail
	}
	for image, s := range w.served {
		if counts[image] == 0 {
			delete(w.served, image)
			continue
		}
		s.tail = sums[image] / float64(counts[image])
	}
}

// learn corrects the effects on an image, mostly by what a change of the mix
// has done, and follows the image's basis on this worker.
func (p *Planner) learn(image string, s *served, present mix) {
	if s.settled {
		change := difference(present, s.lastMix)
		if len(change) > 0 {
			off := (s.tail - s.lastTail) - p.images.sum(change, image)
			p.images.adjust(change, image, off, changeRate)
		}
	}
	s.settled = true
	s.lastTail = s.tail
	s.lastMix = present
	if !s.known {
		s.known = true
		s.base = p.images.basis(image)
	}
	off := s.tail - s.base - p.images.sum(present, image)
	p.images.adjust(present, image, off, levelRate)
	s.base += baseRate * off
	p.images.base[image] = p.images.basis(image) + imageRate*(s.base-p.images.basis(image))
}

// leastChange is the least share of a worker that counts as a change of the mix.
const leastChange = 0.01

func difference(present, before mix) mix {
	change := mix{}
	for image, share := range present {
		if d := share - before[image]; math.Abs(d) > leastChange {
			change[image] = d
		}
	}
	for image, share := range before {
		if _, ok := present[image]; !ok && share > leastChange {
			change[image] = -share
		}
	}
	return change
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

// share converts thousandths of processors into a share of the worker.
func (w *worker) share(processors int) float64 {
	return float64(processors) / float64(max(w.info.Capacity.Processors, 1))
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

// noteTail keeps since when the tail has been over its target.
func (r *run) noteTail(now clock.Time, tail float64) {
	if tail <= 0 {
		r.overSince = 0
	} else if r.overSince == 0 {
		r.overSince = now
	}
}

// expected returns the logarithm of the tail that an image on the worker would
// have beside the demanded mix, with a margin for swings of its load.
func (p *Planner) expected(w *worker, image string, demanded mix) float64 {
	usual := p.images.basis(image) + swingMargin
	if s := w.served[image]; s != nil && s.known {
		usual = max(usual, s.base+trendMargin)
	}
	return usual + p.images.sum(demanded, image)
}
