// Package placer chooses the worker for a task.
//
// Processors, memory and accelerators are hard constraints: a worker is never
// chosen if its free resources do not fit the task. Unless the task is urgent,
// the placer also rules out workers on which interference would cost almost as
// much speed as the task adds, or more. Among the remaining workers it prefers a
// tight fit on the scarcest resource, low interference as estimated by package
// estimator, and, for watchers, workers and racks without replicas of the same
// group.
//
// Workers are kept in buckets by free processors, so that Pick usually examines a
// bounded number of workers, however many there are. Only if none of these is
// suitable does it examine the others.
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
	maxCandidates = 24
	maxExamined   = 192

	interferenceWeight = 4.0
	spreadWeight       = 2.0
	acceleratorWeight  = 1.0

	// minSpeedGain is the least net speed that a placement must add to a worker,
	// as a fraction of one task's full speed. Net speed is the task's speed minus
	// what the other tasks on the worker lose.
	minSpeedGain = 0.1
)

// Host is a worker with its total and free resources. Tasks are placed on it only
// if Open is set.
type Host struct {
	ID    string
	Rack  string
	Total document.Size
	Free  document.Size
	Open  bool

	counts      map[string]int
	groups      map[string]int
	bucket      int
	bucketIndex int
}

// Counts returns the number of tasks on the host by class. The caller must not
// modify the map.
func (h *Host) Counts() map[string]int { return h.counts }

// Ask describes the task to place. Group is the watcher class whose replicas are
// spread, or "". Avoid lists workers that must not be chosen. An urgent task is
// placed even if it slows other tasks by more than its own speed.
type Ask struct {
	Urgent bool
	Class  string
	Size   document.Size
	Group  string
	Avoid  []string
}

// Choice is the result of a search: the best worker, the second best or "", and
// the cost of the best one. Harmful is set if no worker was chosen. It counts the
// workers that the task fits but where it would not gain minSpeedGain. Examined
// counts the workers that the search looked at.
type Choice struct {
	Harmful  int
	Best     string
	Second   string
	Cost     float64
	Examined int
}

// Index holds the workers of a cell, in buckets by free processors. It is not
// safe for concurrent use.
type Index struct {
	slowdowns         *estimator.Slowdowns
	hosts             map[string]*Host
	buckets           [][]*Host
	rackGroups        map[string]map[string]int
	weighInterference bool
	sortedIDs         []string
}

// New returns an empty Index that estimates interference with slowdowns.
func New(slowdowns *estimator.Slowdowns) *Index {
	return &Index{
		slowdowns:         slowdowns,
		hosts:             map[string]*Host{},
		rackGroups:        map[string]map[string]int{},
		weighInterference: true,
	}
}

// SetLearning sets whether placement takes interference into account, as it does
// by default. Experiments turn it off for their baseline.
func (x *Index) SetLearning(on bool) { x.weighInterference = on }

// Set adds a host or updates its total resources, rack and Open. An existing host
// keeps its reservations; host.Free is used for a new host only.
func (x *Index) Set(host Host) {
	old := x.hosts[host.ID]
	if old == nil {
		h := host
		h.counts = map[string]int{}
		h.groups = map[string]int{}
		x.hosts[h.ID] = &h
		x.sortedIDs = nil
		x.addToBucket(&h)
		return
	}
	used := old.Total.Minus(old.Free)
	x.removeFromBucket(old)
	old.Total = host.Total
	old.Free = host.Total.Minus(used)
	old.Rack = host.Rack
	old.Open = host.Open
	x.addToBucket(old)
}

// Remove removes a host from the index.
func (x *Index) Remove(id string) {
	if h := x.hosts[id]; h != nil {
		x.removeFromBucket(h)
		delete(x.hosts, id)
		x.sortedIDs = nil
	}
}

// Host returns the host with the given identifier, or nil.
func (x *Index) Host(id string) *Host { return x.hosts[id] }

// SetOpen sets whether tasks may be placed on a host.
func (x *Index) SetOpen(id string, open bool) {
	if h := x.hosts[id]; h != nil {
		h.Open = open
	}
}

// Reserve reserves the resources of a task on a host.
func (x *Index) Reserve(id string, ask Ask) { x.adjust(id, ask, 1) }

// Release releases the resources that Reserve reserved for a task.
func (x *Index) Release(id string, ask Ask) { x.adjust(id, ask, -1) }

func (x *Index) adjust(id string, ask Ask, sign int) {
	h := x.hosts[id]
	if h == nil {
		return
	}
	x.removeFromBucket(h)
	if sign > 0 {
		h.Free = h.Free.Minus(ask.Size)
	} else {
		h.Free = h.Free.Plus(ask.Size)
	}
	x.addToBucket(h)
	addCount(h.counts, ask.Class, sign)
	if ask.Group != "" {
		addCount(h.groups, ask.Group, sign)
		x.countRack(h.Rack, ask.Group, sign)
	}
}

func (x *Index) countRack(rack, group string, sign int) {
	if x.rackGroups[rack] == nil {
		x.rackGroups[rack] = map[string]int{}
	}
	addCount(x.rackGroups[rack], group, sign)
}

func addCount(counts map[string]int, key string, sign int) {
	counts[key] += sign
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// Pick chooses a host for the task. It returns false if there is no suitable
// host.
func (x *Index) Pick(ask Ask) (Choice, bool) {
	s := search{
		index: x,
		ask:   ask,
	}
	for p := max(ask.Size.Processors, 0); p < len(x.buckets) && !s.limitReached(); p++ {
		s.scanBucket(x.buckets[p])
	}
	if s.best == nil {
		s.scanAll()
	}
	if s.best == nil {
		return Choice{
			Examined: s.examined,
			Harmful:  s.harmful,
		}, false
	}
	choice := Choice{
		Best:     s.best.ID,
		Cost:     s.bestCost,
		Examined: s.examined,
	}
	if s.second != nil {
		choice.Second = s.second.ID
	}
	return choice, true
}

// search is the state of one call of Pick or FirstFit.
type search struct {
	index      *Index
	ask        Ask
	examined   int
	candidates int
	harmful    int
	best       *Host
	bestCost   float64
	second     *Host
	secondCost float64
}

func (s *search) limitReached() bool {
	return s.candidates >= maxCandidates || s.examined >= maxExamined
}

func (s *search) scanBucket(bucket []*Host) {
	for _, h := range bucket {
		if s.limitReached() {
			return
		}
		s.examined++
		if s.fits(h) {
			s.candidates++
			s.consider(h)
		}
	}
}

// scanAll examines all hosts until it finds a suitable one, starting with those
// that have the most free processors. It covers tasks that fit only a few hosts.
func (s *search) scanAll() {
	for p := len(s.index.buckets) - 1; p >= s.ask.Size.Processors; p-- {
		for _, h := range s.index.buckets[p] {
			s.examined++
			if s.fits(h) {
				s.consider(h)
			}
			if s.best != nil {
				return
			}
		}
	}
}

func (s *search) fits(h *Host) bool {
	return h.Open && s.ask.Size.Fits(h.Free) && !slices.Contains(s.ask.Avoid, h.ID)
}

func (s *search) consider(h *Host) {
	loss := 0.0
	if s.index.weighInterference {
		loss = s.index.slowdowns.Cost(s.ask.Class, h.counts)
	}
	if 1-loss < minSpeedGain && !s.ask.Urgent {
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
	remaining := h.Free.Minus(s.ask.Size)
	cost := min(fraction(remaining.Processors, h.Total.Processors), fraction(remaining.Memory, h.Total.Memory))
	if s.ask.Size.Accelerators == 0 && h.Free.Accelerators > 0 {
		cost += acceleratorWeight
	}
	cost += interferenceWeight * loss
	if s.ask.Group != "" {
		cost += spreadWeight * float64(h.groups[s.ask.Group]+s.index.rackGroups[h.Rack][s.ask.Group])
	}
	return cost
}

func fraction(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (x *Index) addToBucket(h *Host) {
	h.bucket = max(h.Free.Processors, 0)
	for len(x.buckets) <= h.bucket {
		x.buckets = append(x.buckets, nil)
	}
	h.bucketIndex = len(x.buckets[h.bucket])
	x.buckets[h.bucket] = append(x.buckets[h.bucket], h)
}

func (x *Index) removeFromBucket(h *Host) {
	bucket := x.buckets[h.bucket]
	last := len(bucket) - 1
	bucket[h.bucketIndex] = bucket[last]
	bucket[h.bucketIndex].bucketIndex = h.bucketIndex
	x.buckets[h.bucket] = bucket[:last]
}

// FirstFit returns the first host, in the order of identifiers, that the task
// fits. It is the baseline in experiments.
func (x *Index) FirstFit(ask Ask) (Choice, bool) {
	s := search{
		index: x,
		ask:   ask,
	}
	if x.sortedIDs == nil {
		for id := range x.hosts {
			x.sortedIDs = append(x.sortedIDs, id)
		}
		slices.Sort(x.sortedIDs)
	}
	for _, id := range x.sortedIDs {
		s.examined++
		if h := x.hosts[id]; h != nil && s.fits(h) {
			return Choice{
				Best:     id,
				Examined: s.examined,
			}, true
		}
	}
	return Choice{Examined: s.examined}, false
}
