package experimenter

import (
	"container/heap"
	"math/rand/v2"
)

// station is an endpoint with a queue of its own, as under the baselines.
type queueStation struct {
	busy    int
	waiting []func()
}

type picker func(entry int, inFlight [][]int, stations []*queueStation) int

func pickRoundRobin(plan RoutingPlan) picker {
	next := make([]int, plan.Entries)
	for i := range next {
		next[i] = i * plan.Endpoints / plan.Entries
	}
	return func(entry int, _ [][]int, stations []*queueStation) int {
		next[entry]++
		return next[entry] % len(stations)
	}
}

// pickLeast takes the endpoint with the fewest of the entry VM's own requests.
func pickLeast(entry int, inFlight [][]int, _ []*queueStation) int {
	best := 0
	for e, n := range inFlight[entry] {
		if n < inFlight[entry][best] {
			best = e
		}
	}
	return best
}

func simulateQueues(plan RoutingPlan, factors []float64, trace []arrival, pick picker) policyOutcome {
	w := &world{}
	var outcome policyOutcome
	stations := make([]*queueStation, plan.Endpoints)
	for i := range stations {
		stations[i] = &queueStation{}
	}
	inFlight := make([][]int, plan.Entries)
	for i := range inFlight {
		inFlight[i] = make([]int, plan.Endpoints)
	}
	for _, a := range trace {
		heap.Push(&w.agenda, happening{at: a.at, fn: func() {
			e := pick(a.entry, inFlight, stations)
			s := stations[e]
			inFlight[a.entry][e]++
			begin := func() {
				s.busy++
				w.after(a.service*factors[e], func() {
					s.busy--
					inFlight[a.entry][e]--
					outcome.latencies = append(outcome.latencies, w.now-a.at)
					if len(s.waiting) > 0 {
						next := s.waiting[0]
						s.waiting = s.waiting[1:]
						next()
					}
				})
			}
			if s.busy < plan.Slots {
				begin()
			} else {
				s.waiting = append(s.waiting, begin)
			}
		}})
	}
	w.run()
	return outcome
}

// simulateCentral has one queue for all and gives a free slot at random.
func simulateCentral(plan RoutingPlan, factors []float64, trace []arrival, random *rand.Rand) policyOutcome {
	w := &world{}
	var outcome policyOutcome
	var free []int
	for e := range factors {
		for range plan.Slots {
			free = append(free, e)
		}
	}
	var waiting []arrival
	var begin func(a arrival)
	begin = func(a arrival) {
		at := random.IntN(len(free))
		e := free[at]
		free[at] = free[len(free)-1]
		free = free[:len(free)-1]
		w.after(a.service*factors[e], func() {
			outcome.latencies = append(outcome.latencies, w.now-a.at)
			free = append(free, e)
			if len(waiting) > 0 {
				next := waiting[0]
				waiting = waiting[1:]
				begin(next)
			}
		})
	}
	for _, a := range trace {
		heap.Push(&w.agenda, happening{at: a.at, fn: func() {
			if len(free) > 0 {
				begin(a)
			} else {
				waiting = append(waiting, a)
			}
		}})
	}
	w.run()
	return outcome
}
