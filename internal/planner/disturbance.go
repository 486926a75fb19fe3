package planner

import "marjoramstack/pkg/clock"

// pair names an image of best-effort tasks and one of tasks that they disturb.
type pair struct {
	filler string
	served string
}

// disturbance learns by how much of the target one best-effort task of an image
// raises the tail of a serving task of another image.
type disturbance struct {
	effects map[pair]float64
	counts  map[pair]int
	base    map[string]float64
}

const (
	// priorEffect is assumed of a pair of images that has not been seen.
	priorEffect = 0.05
	priorBase   = 0.4
	effectRate  = 0.3
	baseRate    = 0.1
	errorMost   = 1.5
	// servingLoad is the share of its processors that a serving task uses.
	servingLoad = 0.5
	// settled is how old a run must be for the figures to show its effect.
	settled = 600 * clock.Millisecond
)

func newDisturbance() *disturbance {
	return &disturbance{
		effects: map[pair]float64{},
		counts:  map[pair]int{},
		base:    map[string]float64{},
	}
}

// load returns the share of its processors that a serving task of the image
// uses.
func (d *disturbance) load(string) float64 { return servingLoad }

// effect returns by which share of its target the tail of the served image
// rises with one task of the filler.
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

func (d *disturbance) basis(served string) float64 {
	known, ok := d.base[served]
	if !ok {
		return priorBase
	}
	return known
}

// neighbour is a best-effort task beside a serving one, at a share of its speed.
type neighbour struct {
	image string
	share float64
}

// observe learns from the tail of a serving task, as a share of its target.
func (d *disturbance) observe(served string, ratio float64, beside []neighbour) {
	expected := d.basis(served)
	weight := 0.0
	for _, n := range beside {
		expected += n.share * d.effect(n.image, served)
		weight += n.share * n.share
	}
	off := min(max(ratio-expected, -errorMost), errorMost)
	if weight == 0 {
		d.base[served] = d.basis(served) + baseRate*off
		return
	}
	for _, n := range beside {
		key := pair{
			filler: n.image,
			served: served,
		}
		d.effects[key] = max(d.effect(n.image, served)+effectRate*off*n.share/(weight+1), 0)
		d.counts[key]++
	}
}

// observe takes the figures that a worker has just listed.
func (p *Planner) observe(now clock.Time, w *worker) {
	var beside []neighbour
	fresh := false
	for _, r := range w.runs {
		if !r.bestEffort() || r.phase != runListed {
			continue
		}
		if now.Sub(r.began) < settled || now.Sub(r.throttled) < settled {
			fresh = true
			continue
		}
		beside = append(beside, neighbour{
			image: r.image(),
			share: float64(r.speed) / fullSpeed,
		})
	}
	for _, r := range w.runs {
		if r.target() == 0 || r.phase != runListed || r.figure == 0 {
			continue
		}
		ratio := float64(r.figure) / float64(r.target())
		r.noteTail(now, ratio)
		if !fresh && now.Sub(r.began) >= settled {
			p.images.observe(r.image(), ratio, beside)
		}
	}
}

// noteTail keeps since when the tail has been over its target, or well under it.
func (r *run) noteTail(now clock.Time, ratio float64) {
	if ratio <= 1 {
		r.overSince = 0
	} else if r.overSince == 0 {
		r.overSince = now
	}
	if ratio > calmTail {
		r.calmSince = 0
	} else if r.calmSince == 0 {
		r.calmSince = now
	}
}
