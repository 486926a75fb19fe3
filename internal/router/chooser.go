package router

import (
	"sort"

	"marjoramstack/pkg/clock"
)

// peerState is a peer and the number of requests forwarded to it since its last
// heartbeat.
type peerState struct {
	Peer
	forwarded int
}

// capacity estimates how many more requests the peer can take now. It assumes that
// the slots that were free at the last heartbeat become free again once every
// meanMs milliseconds, the mean response time.
func (p *peerState) capacity(now clock.Time, meanMs float64) float64 {
	since := float64(max(now.Sub(p.Heard), 0))
	return float64(p.Free)*(1+since/max(meanMs, 1)) - float64(p.forwarded)
}

// SetPeers sets the other entry VMs that requests can be forwarded to.
func (r *Router) SetPeers(peers []Peer) {
	previous := make(map[string]peerState, len(r.peers))
	for _, state := range r.peers {
		previous[state.ID] = state
	}
	r.peers = r.peers[:0]
	for _, p := range peers {
		state := peerState{Peer: p}
		if known, ok := previous[p.ID]; ok && known.Heard == p.Heard {
			state.forwarded = known.forwarded
		}
		r.peers = append(r.peers, state)
	}
	sort.Slice(r.peers, func(i, j int) bool { return r.peers[i].ID < r.peers[j].ID })
}

// bestPeer returns the peer with spare capacity and the shortest predicted
// response time, if that time is at least minForwardGain shorter than localTime.
// It counts the request as forwarded to that peer.
func (r *Router) bestPeer(now clock.Time, req Request, stats *classStats, localTime clock.Span) (string, clock.Span, bool) {
	if req.Forwarded {
		return "", 0, false
	}
	best := -1
	var bestTime clock.Span
	var bestCapacity float64
	for i := range r.peers {
		p := &r.peers[i]
		capacity := p.capacity(now, stats.meanMs)
		if capacity < 1 {
			continue
		}
		predicted := p.Delay + p.Wait + stats.mean()
		if best < 0 || predicted < bestTime || (predicted == bestTime && capacity > bestCapacity) {
			best, bestTime, bestCapacity = i, predicted, capacity
		}
	}
	if best < 0 || bestTime+minForwardGain > localTime {
		return "", 0, false
	}
	r.peers[best].forwarded++
	return r.peers[best].ID, bestTime, true
}

// predictWait returns the predicted wait for a slot behind n queued requests.
func (r *Router) predictWait(n int) clock.Span {
	if r.slots == 0 {
		return 0
	}
	return clock.Span(float64(n+1) * r.overallMeanMs() / float64(r.slots))
}

func (r *Router) dispatch(now clock.Time, req Request, exclude, reason string) (Dispatch, bool) {
	best, second := r.choose(now, exclude)
	if best == nil {
		return Dispatch{}, false
	}
	best.used++
	r.used++
	r.updateFree(best)
	d := Dispatch{
		Request:   req,
		Endpoint:  best.id,
		Predicted: r.predict(now, best, req.Class),
		Reason:    reason,
	}
	if second != nil {
		d.Second = second.id
	}
	return d, true
}

// choose returns the less slow of two random endpoints with free slots, and the
// second best. It samples up to maxExtraSamples more if the best one is slow or a
// sample is unusable.
func (r *Router) choose(now clock.Time, exclude string) (best, second *endpointState) {
	n := len(r.free)
	samples := min(sampleSize, n)
	for i := 0; i < samples; i++ {
		s := r.free[r.random.IntN(n)]
		if s.id == exclude || s == best || now.Before(s.ejectedUntil) {
			if samples < sampleSize+maxExtraSamples && samples < 2*n {
				samples++
			}
			continue
		}
		if best == nil || s.slowdownAt(now) < best.slowdownAt(now) {
			best, second = s, best
		} else if second == nil || s.slowdownAt(now) < second.slowdownAt(now) {
			second = s
		}
		if i == samples-1 && best.slowdownAt(now) > slowThreshold && samples < sampleSize+maxExtraSamples {
			samples++
		}
	}
	if best == nil {
		best = r.firstFree(now, exclude)
	}
	return best, second
}

// firstFree returns the first usable endpoint with a free slot. It covers the rare
// case that random sampling found only excluded or ejected endpoints.
func (r *Router) firstFree(now clock.Time, exclude string) *endpointState {
	for _, s := range r.free {
		if s.id != exclude && !now.Before(s.ejectedUntil) {
			return s
		}
	}
	return nil
}
