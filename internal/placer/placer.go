// Package placer chooses the worker for a task.
//
// The fit over processors, memory and accelerators is hard: a worker whose free
// size does not hold the task is never chosen. Among those that hold it, the
// placer takes none that would lose more speed to interference than it gains,
// unless the work is urgent, and prefers a tight fit on the scarcest resource, few losses to
// interference as learnt by package estimator, and, for watchers, racks that
// hold none of the same group.
//
// Workers are kept in buckets by free processors, so a choice looks at a
// bounded number of candidates however many workers there are.
//
// # Usage
//
//	index := placer.New(slowdowns)
//	index.Set(placer.Host{ID: "w1", Rack: "r1", Total: size, Free: size, Open: true})
//	choice, ok := index.Pick(placer.Ask{Class: "cure-test", Size: size})
package placer

import (
	"slices"

	"marjoramstack/internal/estimator"
	"marjoramstack/pkg/document"
)

const (
	candidateLimit = 24
	lookLimit      = 192

	interferenceWeight = 4.0
	spreadWeight       = 2.0
	acceleratorWeight  = 1.0

	// leastGain is the speed, as a share of one task's full speed, that a
	// placement must add to a worker after what it takes from the neighbours.
	leastGain = 0.1
)

// Host is a worker as the placer sees it.
type Host struct {
	ID    string
	Rack  string
	Total document.Size
	Free  document.Size
	Open  bool

	counts map[string]int
	groups map[string]int
	bucket int
	at     int
}

// Counts returns the number of tasks on the host by class. The caller must not
// change it.
func (h *Host) Counts() map[string]int { return h.counts }

// Ask describes the task to be placed. Group is the watcher class whose
// replicas are spread, or "". Avoid names workers that are not to be chosen.
// Urgent work is placed even where it slows others by more than it gets done.
type Ask struct {
	Urgent bool
	Class  string
	Size   document.Size
	Group  string
	Avoid  []string
}

// Choice is a placement: the best worker, the second best if there is one, and
// the best one's cost. Harmful counts the workers that had room but would have
// lost more speed than they gained.
type Choice struct {
	Harmful  int
	Best     string
	Second   string
	Cost     float64
	Examined int
}

// Index holds the workers of a cell. It is not safe for concurrent use.
type Index struct {
	slowdowns *estimator.Slowdowns
	hosts     map[string]*Host
	buckets   [][]*Host
	racks     map[string]map[string]int
	learn     bool
	order     []string
}

// New returns an empty Index that weighs interference by slowdowns.
func New(slowdowns *estimator.Slowdowns) *Index {
	return &Index{
		slowdowns: slowdowns,
		hosts:     map[string]*Host{},
		racks:     map[string]map[string]int{},
		learn:     true,
	}
}

// SetLearning switches the weighing of interference on or off; off is the
// baseline of experiments.
func (x *Index) SetLearning(on bool) { x.learn = on }

// Set adds a host or updates what the fleet list says of it. The tasks counted
// on it stay.
func (x *Index) Set(host Host) {
	old := x.hosts[host.ID]
	if old == nil {
		h := host
		h.counts = map[string]int{}
		h.groups = map[string]int{}
		x.hosts[h.ID] = &h
		x.order = nil
		x.insert(&h)
		return
	}
	used := old.Total.Minus(old.Free)
	x.extract(old)
	old.Total = host.Total
	old.Free = host.Total.Minus(used)
	old.Rack = host.Rack
	old.Open = host.Open
	x.insert(old)
}

// Remove drops a host.
func (x *Index) Remove(id string) {
	if h := x.hosts[id]; h != nil {
		x.extract(h)
		delete(x.hosts, id)
		x.order = nil
	}
}

// Host returns the host with the identifier, or nil.
func (x *Index) Host(id string) *Host { return x.hosts[id] }

// SetOpen lets a host be chosen or not.
func (x *Index) SetOpen(id string, open bool) {
	if h := x.hosts[id]; h != nil {
		h.Open = open
	}
}

// Reserve books a task onto a host.
func (x *Index) Reserve(id string, ask Ask) { x.book(id, ask, 1) }

// Release returns what a task had booked.
func (x *Index) Release(id string, ask Ask) { x.book(id, ask, -1) }

func (x *Index) book(id string, ask Ask, sign int) {
	h := x.hosts[id]
	if h == nil {
		return
	}
	x.extract(h)
	if sign > 0 {
		h.Free = h.Free.Minus(ask.Size)
	} else {
		h.Free = h.Free.Plus(ask.Size)
	}
	x.insert(h)
	count(h.counts, ask.Class, sign)
	if ask.Group != "" {
		count(h.groups, ask.Group, sign)
		x.countRack(h.Rack, ask.Group, sign)
	}
}

func (x *Index) countRack(rack, group string, sign int) {
	if x.racks[rack] == nil {
		x.racks[rack] = map[string]int{}
	}
	count(x.racks[rack], group, sign)
}

func count(counts map[string]int, key string, sign int) {
	counts[key] += sign
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// Pick chooses a host for the task. It reports false if none holds it.
func (x *Index) Pick(ask Ask) (Choice, bool) {
	s := search{
		index: x,
		ask:   ask,
	}
	for p := max(ask.Size.Processors, 0); p < len(x.buckets) && !s.full(); p++ {
		s.scan(x.buckets[p])
	}
	if s.best == nil {
		s.sweep()
	}
	if s.best == nil {
		return Choice{
			Examined: s.looked,
			Harmful:  s.harmful,
		}, false
	}
	choice := Choice{
		Best:     s.best.ID,
		Cost:     s.bestCost,
		Examined: s.looked,
	}
	if s.second != nil {
		choice.Second = s.second.ID
	}
	return choice, true
}

// search is one run of Pick.
type search struct {
	index      *Index
	ask        Ask
	looked     int
	candidates int
	harmful    int
	best       *Host
	bestCost   float64
	second     *Host
	secondCost float64
}

func (s *search) full() bool { return s.candidates >= candidateLimit || s.looked >= lookLimit }

func (s *search) scan(bucket []*Host) {
	for _, h := range bucket {
		if s.full() {
			return
		}
		s.looked++
		if s.holds(h) {
			s.candidates++
			s.consider(h)
		}
	}
}

// sweep looks at every host until one holds the task, for shapes that few do.
func (s *search) sweep() {
	for p := len(s.index.buckets) - 1; p >= s.ask.Size.Processors; p-- {
		for _, h := range s.index.buckets[p] {
			s.looked++
			if s.holds(h) {
				s.consider(h)
			}
			if s.best != nil {
				return
			}
		}
	}
}

func (s *search) holds(h *Host) bool {
	return h.Open && s.ask.Size.Fits(h.Free) && !slices.Contains(s.ask.Avoid, h.ID)
}

func (s *search) consider(h *Host) {
	loss := 0.0
	if s.index.learn {
		loss = s.index.slowdowns.Cost(s.ask.Class, h.counts)
	}
	if 1-loss < leastGain && !s.ask.Urgent {
		s.harmful++
		return
	}
	cost := s.cost(h, loss)
	switch {
	case s.best == nil || cost < s.bestCost:
		s.second, s.secondCost = s.best, s.bestCost
		s.best, s.bestCost = h, cost
	case s.second == nil || cost < s.secondCost:
		s.second, s.secondCost = h, cost
	}
}

func (s *search) cost(h *Host, loss float64) float64 {
	left := h.Free.Minus(s.ask.Size)
	cost := min(share(left.Processors, h.Total.Processors), share(left.Memory, h.Total.Memory))
	if s.ask.Size.Accelerators == 0 && h.Free.Accelerators > 0 {
		cost += acceleratorWeight
	}
	cost += interferenceWeight * loss
	if s.ask.Group != "" {
		cost += spreadWeight * float64(h.groups[s.ask.Group]+s.index.racks[h.Rack][s.ask.Group])
	}
	return cost
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (x *Index) insert(h *Host) {
	h.bucket = max(h.Free.Processors, 0)
	for len(x.buckets) <= h.bucket {
		x.buckets = append(x.buckets, nil)
	}
	h.at = len(x.buckets[h.bucket])
	x.buckets[h.bucket] = append(x.buckets[h.bucket], h)
}

func (x *Index) extract(h *Host) {
	bucket := x.buckets[h.bucket]
	last := len(bucket) - 1
	bucket[h.at] = bucket[last]
	bucket[h.at].at = h.at
	x.buckets[h.bucket] = bucket[:last]
}

// FirstFit returns the first host, in the order of identifiers, that holds the
// task. It is the baseline of experiments.
func (x *Index) FirstFit(ask Ask) (Choice, bool) {
	s := search{
		index: x,
		ask:   ask,
	}
	if x.order == nil {
		for id := range x.hosts {
			x.order = append(x.order, id)
		}
		slices.Sort(x.order)
	}
	for _, id := range x.order {
		s.looked++
		if h := x.hosts[id]; h != nil && s.holds(h) {
			return Choice{
				Best:     id,
				Examined: s.looked,
			}, true
		}
	}
	return Choice{Examined: s.looked}, false
}
