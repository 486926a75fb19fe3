package planner

import (
	"container/heap"
	"slices"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// arrivalWindow is for how long a customer that has submitted little may submit more than
	// the agreed rate, and minArrivals how many jobs it may always submit at once.
	arrivalWindow = 2 * clock.Second
	minArrivals   = 2
	// minWeight stands for the weight of a customer without one.
	minWeight = 0.001
)

// arrivalBucket is a token bucket for the jobs of one customer.
type arrivalBucket struct {
	level  int64      // in arrivalUnits
	filled clock.Time // 0 before the first job
}

// arrivalUnit is what a job takes from a bucket, so that a rate in thousandths of jobs a second
// adds as many units in a millisecond.
const arrivalUnit = milliScale * int64(clock.Second)

// take takes a job accepted at a time out of the bucket, and reports whether there was one. The
// rate is in thousandths of jobs a second.
func (b *arrivalBucket) take(at clock.Time, rate int) bool {
	capacity := max(int64(rate)*int64(arrivalWindow), minArrivals*arrivalUnit)
	if b.filled == 0 {
		b.level = capacity
		b.filled = at
	}
	if at.After(b.filled) {
		b.level = min(b.level+int64(at.Sub(b.filled))*int64(rate), capacity)
		b.filled = at
	}
	if b.level < arrivalUnit {
		return false
	}
	b.level -= arrivalUnit
	return true
}

// countArrival notes a job whose arrival is to be compared with the agreed rate.
func (p *Planner) countArrival(j *job) {
	if j.customer != nil && j.customer.terms.Weight > 0 {
		p.unrated = append(p.unrated, j)
	}
}

// rateArrivals marks the jobs that customers submitted above the agreed rates, in the order of
// their acceptance. A new owner receives them in another order.
func (p *Planner) rateArrivals() {
	if len(p.unrated) == 0 {
		return
	}
	slices.SortStableFunc(p.unrated, func(a, b *job) int { return int(a.accepted.Sub(b.accepted)) })
	for _, j := range p.unrated {
		p.noteArrival(j.customer, j.accepted)
		j.aboveRate = !j.customer.arrivals.take(j.accepted, j.customer.terms.Weight)
	}
	p.unrated = nil
}

// shareOut puts steps that are in placement order into the order of weighted shares, if the last
// pass has left some for want of workers: among steps of the same rank, the next is that of the
// customer that has least, by its dominant resource and its weight, of what lasts or of what ends
// by itself, as the rank says. The steps of one customer stay in their order, and so do all while
// there is room. Steps without a customer count as those of one more.
func (p *Planner) shareOut(ranked []rankedStep) {
	if len(p.customers) == 0 || !p.contended {
		return
	}
	capacity := p.totalCapacity()
	for len(ranked) > 0 {
		n := 1
		for n < len(ranked) && ranked[n].sameRank(ranked[0]) {
			n++
		}
		shareOutRank(ranked[:n], capacity)
		ranked = ranked[n:]
	}
}

// shareOutRank orders steps of one rank.
func shareOutRank(ranked []rankedStep, capacity document.Size) {
	var waiting claims
	byCustomer := map[*customer]*claim{}
	for _, r := range ranked {
		c := r.step.occurrence.job.customer
		if byCustomer[c] == nil {
			byCustomer[c] = newClaim(c, r.urgency == urgencyLongRunning, len(waiting), capacity)
			waiting = append(waiting, byCustomer[c])
		}
		byCustomer[c].steps = append(byCustomer[c].steps, r)
	}
	heap.Init(&waiting)
	for i := range ranked {
		next := waiting[0]
		ranked[i] = next.steps[0]
		next.take(capacity)
		if len(next.steps) == 0 {
			heap.Pop(&waiting)
		} else {
			heap.Fix(&waiting, 0)
		}
	}
}

// claim is what a customer has and the steps that it waits for.
type claim struct {
	used   document.Size
	weight float64
	share  float64 // dominant share of used, divided by weight
	order  int     // of the first step
	steps  []rankedStep
}

// newClaim returns the claim of a customer, nil for jobs without one, to steps that last or to
// others.
func newClaim(c *customer, lasting bool, order int, capacity document.Size) *claim {
	next := &claim{
		weight: 1,
		order:  order,
	}
	if c != nil {
		next.used = c.finite
		if lasting {
			next.used = c.used.Minus(c.finite)
		}
		next.weight = max(float64(c.terms.Weight)/milliScale, minWeight)
	}
	next.share = dominantShare(next.used, capacity) / next.weight
	return next
}

// take counts the first step as placed.
func (c *claim) take(capacity document.Size) {
	s := c.steps[0].step
	c.steps = c.steps[1:]
	c.used = c.used.Plus(s.spec.Demand.Times(s.idle))
	c.share = dominantShare(c.used, capacity) / c.weight
}

// claims is a heap with the claim of the least share first.
type claims []*claim

func (c claims) Len() int { return len(c) }
func (c claims) Less(i, j int) bool {
	return c[i].share < c[j].share || c[i].share == c[j].share && c[i].order < c[j].order
}
func (c claims) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push appends a claim. Only package heap calls it.
func (c *claims) Push(x any) { *c = append(*c, x.(*claim)) }

// Pop removes the last claim. Only package heap calls it.
func (c *claims) Pop() any {
	last := len(*c) - 1
	removed := (*c)[last]
	*c = (*c)[:last]
	return removed
}

// totalCapacity returns the capacity of all workers.
func (p *Planner) totalCapacity() document.Size {
	var total document.Size
	for _, w := range p.fleet {
		total = total.Plus(w.info.Capacity)
	}
	return total
}

// dominantShare returns the largest share of any resource.
func dominantShare(used, capacity document.Size) float64 {
	return max(
		share(used.Processors, capacity.Processors),
		share(used.Memory, capacity.Memory),
		share(used.Accelerators, capacity.Accelerators),
	)
}

func share(used, capacity int) float64 {
	if capacity == 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}
