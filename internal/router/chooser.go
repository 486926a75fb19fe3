package router

import (
	"sort"

	"marjoramstack/pkg/clock"
)

// neighbour is a peer and how many requests have gone to it since it was heard.
type neighbour struct {
	Peer
	sent int
}

// room is how many more requests the peer can take now. Slots that it had free
// on average when it was heard become free again at the rate at which requests
// end.
func (n *neighbour) room(now clock.Time, meanMs float64) float64 {
	since := float64(max(now.Sub(n.Heard), 0))
	return float64(n.Free)*(1+since/max(meanMs, 1)) - float64(n.sent)
}

// SetPeers tells the other entry VMs that requests can be passed to.
func (r *Router) SetPeers(peers []Peer) {
	sent := make(map[string]neighbour, len(r.peers))
	for _, n := range r.peers {
		sent[n.ID] = n
	}
	r.peers = r.peers[:0]
	for _, p := range peers {
		n := neighbour{Peer: p}
		if known, ok := sent[p.ID]; ok && known.Heard == p.Heard {
			n.sent = known.sent
		}
		r.peers = append(r.peers, n)
	}
	sort.Slice(r.peers, func(i, j int) bool { return r.peers[i].ID < r.peers[j].ID })
}

// bestPeer returns the peer predicted to have the answer earlier than own by a
// margin, among those that have room.
func (r *Router) bestPeer(now clock.Time, req Request, stats *classStats, own clock.Span) (string, clock.Span, bool) {
	if req.Forwarded {
		return "", 0, false
	}
	best := -1
	var bestSpan clock.Span
	var bestRoom float64
	for i := range r.peers {
		p := &r.peers[i]
		room := p.room(now, stats.ms)
		if room < 1 {
			continue
		}
		span := p.Delay + p.Wait + stats.mean()
		if best < 0 || span < bestSpan || (span == bestSpan && room > bestRoom) {
			best, bestSpan, bestRoom = i, span, room
		}
	}
	if best < 0 || bestSpan+forwardGain > own {
		return "", 0, false
	}
	r.peers[best].sent++
	return r.peers[best].ID, bestSpan, true
}

// waitBehind predicts the wait for a slot behind n queued requests.
func (r *Router) waitBehind(n int) clock.Span {
	if r.slots == 0 {
		return 0
	}
	return clock.Span(float64(n+1) * r.meanOfAll() / float64(r.slots))
}

func (r *Router) dispatch(now clock.Time, req Request, exclude, reason string) (Dispatch, bool) {
	best, second := r.choose(now, exclude)
	if best == nil {
		return Dispatch{}, false
	}
	best.used++
	r.used++
	r.relist(best)
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

// choose takes the better of two random stations with free slots, and looks at
// some more if that one is slow.
func (r *Router) choose(now clock.Time, exclude string) (best, second *station) {
	n := len(r.free)
	looks := min(choices, n)
	for i := 0; i < looks; i++ {
		s := r.free[r.random.IntN(n)]
		if s.id == exclude || s == best || now.Before(s.aside) {
			if looks < choices+moreChoices && looks < 2*n {
				looks++
			}
			continue
		}
		if best == nil || s.at(now) < best.at(now) {
			best, second = s, best
		} else if second == nil || s.at(now) < second.at(now) {
			second = s
		}
		if i == looks-1 && best.at(now) > slowFactor && looks < choices+moreChoices {
			looks++
		}
	}
	if best == nil {
		best = r.anyFree(now, exclude)
	}
	return best, second
}

// anyFree is for the rare case that the random looks met only excluded
// stations.
func (r *Router) anyFree(now clock.Time, exclude string) *station {
	for _, s := range r.free {
		if s.id != exclude && !now.Before(s.aside) {
			return s
		}
	}
	return nil
}
