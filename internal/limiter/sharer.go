// Package limiter bounds what an entry VM may do: how many of each endpoint's
// slots it may use beside its peers, and how many retries and hedges it may
// add to the load.
//
// # Sharing slots
//
// The entry VMs of one availability zone share each endpoint's slots without a
// store on the path of a request. Every slot belongs to one member of a view,
// the set of entry VMs that a member takes to be alive, by rendezvous hashing
// (Thaler and Ravishankar, 1998): a member that joins takes slots from all, one
// that goes leaves them to all, and nothing else moves.
//
// Views differ for a while after a change. A member therefore uses a slot only
// if it owns the slot in its own view and in the view last announced by every
// other member of its view. A member that takes someone into its view stops
// using the slots it loses before it announces the new view.
//
// A member is taken out of the view only when it is gone for certain: it has
// said so, or it was silent for DeadAfter and its row in the platform's table,
// unchanged for as long, has been deleted under its version. A member that was
// paused finds a gap between its ticks. It then uses no slot until every other
// member has acknowledged a heartbeat sent after the gap, one of them being sure
// of its own view, or its own row, which nobody can have deleted then, has been
// renewed. Members that were all paused, or that have just started and know the
// others from a peer only, cannot tell each other who has taken their slots.
//
// A member that is cut off from the platform and from its peers, and was not
// paused, goes on using the slots that it has.
//
// # Usage
//
//	s := limiter.NewSharer("vm-1")
//	s.Join(members)
//	s.Tick(now) // at least every PauseLimit
//	s.Heard(now, "vm-2", itsSentAt, view, ackedSentAt, itWasLive)
//	s.Renewed(sentAt)
//	n := s.Slots(now, "endpoint-3", 8)
package limiter

import (
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"marjoramstack/pkg/clock"
)

// Lengths that membership rests on. PauseLimit is the longest gap between two
// ticks that is not taken for a pause; it must stay well below DeadAfter.
const (
	PauseLimit = 1 * clock.Second
	DeadAfter  = 5 * clock.Second
)

// peerView is what is known of another member.
type peerView struct {
	heard     clock.Time
	sent      clock.Time
	acked     clock.Time
	vouched   clock.Time // acked while the peer was sure of its view
	view      []string
	announced bool
}

// Sharer works out an entry VM's slots. It is not safe for concurrent use.
type Sharer struct {
	self   string
	joined bool
	// settled is whether the members that this one knows come from the
	// platform's table, or from peers of which one was sure.
	settled bool
	ticked  clock.Time
	doubt   clock.Time
	peers   map[string]*peerView
	gone    map[string]bool
	pending bool
	woken   clock.Time
	// announced is the view that the others were last told.
	announced []string
	shares    map[string]share
	// views are the different views that bind this member at viewsStamp.
	views      [][]string
	viewsKnown bool
	viewsStamp uint64
	stamp      uint64
}

// share caches the slots owned at one endpoint under the views of one stamp.
type share struct {
	stamp uint64
	total int
	owned int
}

// NewSharer returns a Sharer for a member that has not joined.
func NewSharer(self string) *Sharer {
	return &Sharer{
		self:   self,
		peers:  map[string]*peerView{},
		gone:   map[string]bool{},
		shares: map[string]share{},
	}
}

// Join tells the members that the platform's table named. Until then no slot is
// used. Members that are never heard keep their slots until they are Removed.
func (s *Sharer) Join(members []string) {
	s.settled = true
	s.JoinViaPeer(members)
}

// JoinViaPeer tells the members that a peer named. Slots are used when the table
// has been read or they have acknowledged a heartbeat as after a pause.
func (s *Sharer) JoinViaPeer(members []string) {
	s.joined = true
	for _, m := range members {
		delete(s.gone, m)
		s.add(m)
	}
}

// Joined reports whether the other members are known.
func (s *Sharer) Joined() bool { return s.joined }

func (s *Sharer) add(member string) *peerView {
	p := s.peers[member]
	if p == nil && member != s.self {
		p = &peerView{heard: s.ticked}
		s.peers[member] = p
		s.pending = true
		s.stamp++
	}
	return p
}

// Heard tells of a message that a peer sent, by its own clock, at the time sent,
// with the view that it announced then, and that acknowledged a heartbeat that
// this member sent at the time acked, 0 for none. Sure is whether the peer was
// Live then. A message that was overtaken by a later one is ignored: its view no
// longer binds the peer.
func (s *Sharer) Heard(now clock.Time, peer string, sent clock.Time, view []string, acked clock.Time, sure bool) {
	delete(s.gone, peer)
	p := s.add(peer)
	if p == nil || sent.Before(p.sent) {
		return
	}
	p.sent = sent
	p.heard = now
	p.acked = max(p.acked, acked)
	if sure {
		p.vouched = max(p.vouched, acked)
	}
	if !p.announced || !slices.Equal(p.view, view) {
		p.view = slices.Clone(view)
		p.announced = true
		s.stamp++
	}
	for _, m := range view {
		if !s.gone[m] {
			s.add(m)
		}
	}
}

// Renewed tells that a renewal of this member's row, sent at the time, found the
// row as the last renewal had left it.
func (s *Sharer) Renewed(sent clock.Time) {
	if s.doubt != 0 && sent.After(s.doubt) {
		s.doubt = 0
	}
}

// Evicted tells that this member's row was deleted: the others have taken it for
// dead and share its slots. It uses none until all have acknowledged it anew.
func (s *Sharer) Evicted(now clock.Time) {
	s.doubt = now
	s.woken = now
	s.stamp++
	for _, p := range s.peers {
		p.announced = false
	}
}

// Tick lets time pass and finds pauses.
func (s *Sharer) Tick(now clock.Time) {
	if s.ticked != 0 && now.Sub(s.ticked) > PauseLimit {
		s.doubt = now
		s.woken = now
	}
	s.ticked = now
	if (s.doubt != 0 || !s.settled) && s.ackedByAll() {
		s.doubt = 0
		s.settled = true
	}
}

// ackedByAll reports whether every peer has heard this member since the doubt,
// and one that was sure of its view, by which nobody is missing here.
func (s *Sharer) ackedByAll() bool {
	vouched := false
	for _, p := range s.peers {
		if !p.acked.After(s.doubt) {
			return false
		}
		vouched = vouched || p.vouched.After(s.doubt)
	}
	return vouched
}

// Remove takes a member out of the view that is gone for certain. What slower
// peers still announce does not bring it back; its own word does.
func (s *Sharer) Remove(member string) {
	s.gone[member] = true
	if s.peers[member] != nil {
		delete(s.peers, member)
		s.stamp++
	}
}

// Silent returns the members not heard for the span. They are candidates for
// removal through the platform's table, not more. Right after a pause nobody
// counts as silent: it was this member that did not listen.
func (s *Sharer) Silent(now clock.Time, span clock.Span) []string {
	if s.doubt != 0 || (s.woken != 0 && now.Sub(s.woken) < span) {
		return nil
	}
	var silent []string
	for id, p := range s.peers {
		if now.Sub(p.heard) >= span {
			silent = append(silent, id)
		}
	}
	sort.Strings(silent)
	return silent
}

// View returns the members that this one takes to be alive, itself included.
func (s *Sharer) View() []string {
	view := []string{s.self}
	for id := range s.peers {
		view = append(view, id)
	}
	sort.Strings(view)
	return view
}

// Announce returns the view for the next heartbeat. After someone was taken in,
// it stays the old one until within reports that no endpoint is used beyond the
// new share.
func (s *Sharer) Announce(within func() bool) []string {
	if s.pending && len(s.announced) > 0 && !within() {
		return s.announced
	}
	s.pending = false
	s.announced = s.View()
	return s.announced
}

// Quit gives up every slot for good: this member is about to end.
func (s *Sharer) Quit() { s.joined = false }

// Live reports whether this member may use its slots now: it is sure of its view.
func (s *Sharer) Live(now clock.Time) bool {
	return s.joined && s.doubt == 0 && s.settled && now.Sub(s.ticked) <= PauseLimit
}

// Slots returns how many of an endpoint's slots this member may use now.
func (s *Sharer) Slots(now clock.Time, endpoint string, total int) int {
	if !s.Live(now) {
		return 0
	}
	cached, ok := s.shares[endpoint]
	if ok && cached.stamp == s.stamp && cached.total == total {
		return cached.owned
	}
	owned := s.count(endpoint, total)
	s.shares[endpoint] = share{
		stamp: s.stamp,
		total: total,
		owned: owned,
	}
	return owned
}

func (s *Sharer) count(endpoint string, total int) int {
	views, known := s.bindingViews()
	if !known {
		return 0
	}
	owned := 0
	for slot := range total {
		if s.ownsIn(views, endpoint, slot) {
			owned++
		}
	}
	return owned
}

// bindingViews returns the different views that bind this member: its own and
// those that the others have announced. It reports false while one has not
// announced any.
func (s *Sharer) bindingViews() ([][]string, bool) {
	if s.viewsStamp == s.stamp && s.views != nil {
		return s.views, s.viewsKnown
	}
	s.viewsStamp = s.stamp
	s.views = [][]string{s.View()}
	s.viewsKnown = true
	for _, p := range s.peers {
		s.viewsKnown = s.viewsKnown && p.announced
		known := func(view []string) bool { return slices.Equal(view, p.view) }
		if !slices.ContainsFunc(s.views, known) {
			s.views = append(s.views, p.view)
		}
	}
	return s.views, s.viewsKnown
}

func (s *Sharer) ownsIn(views [][]string, endpoint string, slot int) bool {
	for _, view := range views {
		if Owner(view, endpoint, slot) != s.self {
			return false
		}
	}
	return true
}

// Owner returns the member of a view to which a slot of an endpoint belongs, or
// "" for an empty view.
func Owner(view []string, endpoint string, slot int) string {
	best := ""
	var bestScore uint64
	for _, member := range view {
		score := xxhash.Sum64String(member + "\x00" + endpoint + "\x00" + strconv.Itoa(slot))
		if best == "" || score > bestScore || (score == bestScore && member > best) {
			best, bestScore = member, score
		}
	}
	return best
}
