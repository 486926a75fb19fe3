// Package limiter divides the slots of each endpoint among the entry VMs of an
// availability zone, and limits the retries and hedges that an entry VM adds to
// the load.
//
// # Sharing slots
//
// The entry VMs of one availability zone share each endpoint's slots without
// accessing a store on the request path. A member's view is the set of entry VMs
// that it considers alive. Rendezvous hashing (Thaler and Ravishankar, 1998)
// assigns every slot to one member of a view: a joining member takes slots from
// all others, the slots of a removed member are spread over all others, and no
// other slot moves.
//
// After a membership change, views differ for a while. A member therefore uses a
// slot only if it owns the slot in its own view and in the view last announced
// by every other member of its view. A member that adds another to its view
// stops using the slots it loses before it announces the new view.
//
// A member is removed from a view only when it is certain that it has stopped:
// it said so, or it was silent for DeadAfter and its row in the platform's table,
// unchanged for the same time, was marked as gone by a compare-and-set on the
// row's version. A member that was paused detects a gap between its ticks. It
// then uses no slot until one of two things happens. Either every other member
// has acknowledged a heartbeat sent after the gap, at least one of them while it
// was certain of its own view. Or its own row has been renewed, which proves that
// nobody had replaced the row. Acknowledgments from uncertain members alone are
// not enough: members that were all paused, or that have just started and know
// the others from a peer only, cannot know who has taken over their slots.
//
// A member that is partitioned from the platform and from its peers, and was not
// paused, keeps using its slots.
//
// # Usage
//
//	s := limiter.NewSharer("vm-1")
//	s.Join(members)
//	s.Tick(now) // at least every PauseLimit
//	s.Heard(now, "vm-2", peerSentAt, view, ackedSentAt, peerWasLive)
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

// PauseLimit is the longest gap between two ticks that does not count as a pause
// of this process. DeadAfter is how long a member must be silent before it may be
// considered dead. PauseLimit must stay well below DeadAfter, so that a paused
// member stops using its slots before others can take them over.
const (
	PauseLimit = 1 * clock.Second
	DeadAfter  = 5 * clock.Second
)

// peerView is the state kept for another member. lastSent is by the peer's clock,
// all other times are by this member's.
type peerView struct {
	lastHeard     clock.Time
	lastSent      clock.Time
	lastAcked     clock.Time
	lastAckedLive clock.Time // latest heartbeat acked while the peer was Live
	view          []string
	announced     bool
}

// Sharer computes which slots an entry VM may use. It is not safe for concurrent
// use.
type Sharer struct {
	self   string
	joined bool
	// confirmed reports whether the known members come from the platform's table,
	// or from peers of which at least one was Live.
	confirmed bool
	lastTick  clock.Time
	// uncertainSince is the time of the last pause or eviction, 0 once the view is
	// certain again.
	uncertainSince clock.Time
	peers          map[string]*peerView
	// removed holds members that peers may still list in their views.
	removed map[string]bool
	// unannouncedPeers reports whether peers were added since the last announced
	// view.
	unannouncedPeers bool
	// resumedAt is the time of the last pause or eviction and is never cleared.
	resumedAt clock.Time
	// lastAnnounced is the view sent with the last heartbeat.
	lastAnnounced []string
	slotCache     map[string]ownedSlots
	// views caches the result of bindingViews for viewsGeneration.
	views           [][]string
	viewsComplete   bool
	viewsGeneration uint64
	// generation changes whenever a view does.
	generation uint64
}

// ownedSlots caches the number of slots owned at one endpoint.
type ownedSlots struct {
	generation uint64
	total      int
	owned      int
}

// NewSharer returns a Sharer for a member that has not joined.
func NewSharer(self string) *Sharer {
	return &Sharer{
		self:      self,
		peers:     map[string]*peerView{},
		removed:   map[string]bool{},
		slotCache: map[string]ownedSlots{},
	}
}

// Join adds the members listed in the platform's table. No slot is used before
// the members are known. A member that never sends a heartbeat keeps its slots
// until Remove is called.
func (s *Sharer) Join(members []string) {
	s.confirmed = true
	s.JoinViaPeer(members)
}

// JoinViaPeer adds the members listed by a peer. No slot is used until the table
// has been read, or until the members have acknowledged a heartbeat under the
// same conditions as after a pause.
func (s *Sharer) JoinViaPeer(members []string) {
	s.joined = true
	for _, m := range members {
		delete(s.removed, m)
		s.add(m)
	}
}

// Joined reports whether the other members are known and Quit was not called.
func (s *Sharer) Joined() bool { return s.joined }

func (s *Sharer) add(member string) *peerView {
	p := s.peers[member]
	if p == nil && member != s.self {
		p = &peerView{lastHeard: s.lastTick}
		s.peers[member] = p
		s.unannouncedPeers = true
		s.generation++
	}
	return p
}

// Heard processes a heartbeat of a peer. The time sent is by the peer's clock;
// view is the view that it announced; acked is the time at which this member sent
// the heartbeat that the peer acknowledges, 0 for none; live tells whether the
// peer was Live. A heartbeat that arrives after a later one is ignored, because
// the peer has replaced the view in it.
func (s *Sharer) Heard(now clock.Time, peer string, sent clock.Time, view []string, acked clock.Time, live bool) {
	delete(s.removed, peer)
	p := s.add(peer)
	if p == nil || sent.Before(p.lastSent) {
		return
	}
	p.lastSent = sent
	p.lastHeard = now
	p.lastAcked = max(p.lastAcked, acked)
	if live {
		p.lastAckedLive = max(p.lastAckedLive, acked)
	}
	if !p.announced || !slices.Equal(p.view, view) {
		p.view = slices.Clone(view)
		p.announced = true
		s.generation++
	}
	for _, m := range view {
		if !s.removed[m] {
			s.add(m)
		}
	}
}

// Renewed records that a renewal of this member's row, sent at the given time,
// found the row unchanged since the previous renewal. If it was sent after the
// last pause, nobody has evicted this member and its view is certain again.
func (s *Sharer) Renewed(sent clock.Time) {
	if s.uncertainSince != 0 && sent.After(s.uncertainSince) {
		s.uncertainSince = 0
	}
}

// Evicted records that this member's row was deleted or marked as gone: the
// others considered it dead and use its slots. It uses no slot until all of them
// have acknowledged a new heartbeat.
func (s *Sharer) Evicted(now clock.Time) {
	s.uncertainSince = now
	s.resumedAt = now
	s.generation++
	for _, p := range s.peers {
		p.announced = false
	}
}

// Tick advances the clock and detects pauses of this process.
func (s *Sharer) Tick(now clock.Time) {
	if s.lastTick != 0 && now.Sub(s.lastTick) > PauseLimit {
		s.uncertainSince = now
		s.resumedAt = now
	}
	s.lastTick = now
	if (s.uncertainSince != 0 || !s.confirmed) && s.ackedByAll() {
		s.uncertainSince = 0
		s.confirmed = true
	}
}

// ackedByAll reports whether every peer has acknowledged a heartbeat that was sent
// after the last pause or eviction, at least one of them while it was Live. The
// view of that peer is complete, so no member is missing from this one.
func (s *Sharer) ackedByAll() bool {
	ackedLive := false
	for _, p := range s.peers {
		if !p.lastAcked.After(s.uncertainSince) {
			return false
		}
		ackedLive = ackedLive || p.lastAckedLive.After(s.uncertainSince)
	}
	return ackedLive
}

// Remove deletes a member from the view once it is certain that it has stopped.
// Peers that still announce it do not add it again; a heartbeat from the member
// does.
func (s *Sharer) Remove(member string) {
	s.removed[member] = true
	if s.peers[member] != nil {
		delete(s.peers, member)
		s.generation++
	}
}

// Silent returns, sorted, the members whose last heartbeat is at least timeout
// old. They are only candidates for removal, which the platform's table decides.
// For one timeout after a pause it returns none, because it was this member that
// did not receive.
func (s *Sharer) Silent(now clock.Time, timeout clock.Span) []string {
	if s.uncertainSince != 0 || (s.resumedAt != 0 && now.Sub(s.resumedAt) < timeout) {
		return nil
	}
	var silent []string
	for id, p := range s.peers {
		if now.Sub(p.lastHeard) >= timeout {
			silent = append(silent, id)
		}
	}
	sort.Strings(silent)
	return silent
}

// View returns, sorted, the members considered alive, including this one.
func (s *Sharer) View() []string {
	view := []string{s.self}
	for id := range s.peers {
		view = append(view, id)
	}
	sort.Strings(view)
	return view
}

// Announce returns the view for the next heartbeat. After members were added, it
// returns the old view until withinSlots reports that this member uses no more of
// any endpoint's slots than the new view allows.
func (s *Sharer) Announce(withinSlots func() bool) []string {
	if s.unannouncedPeers && len(s.lastAnnounced) > 0 && !withinSlots() {
		return s.lastAnnounced
	}
	s.unannouncedPeers = false
	s.lastAnnounced = s.View()
	return s.lastAnnounced
}

// Quit gives up every slot permanently, before this process stops.
func (s *Sharer) Quit() { s.joined = false }

// Live reports whether this member may use its slots now: it has joined, its view
// is certain, and the last Tick is at most PauseLimit ago.
func (s *Sharer) Live(now clock.Time) bool {
	return s.joined && s.uncertainSince == 0 && s.confirmed && now.Sub(s.lastTick) <= PauseLimit
}

// Slots returns how many of an endpoint's slots this member may use now.
func (s *Sharer) Slots(now clock.Time, endpoint string, total int) int {
	if !s.Live(now) {
		return 0
	}
	cached, ok := s.slotCache[endpoint]
	if ok && cached.generation == s.generation && cached.total == total {
		return cached.owned
	}
	owned := s.countOwned(endpoint, total)
	s.slotCache[endpoint] = ownedSlots{
		generation: s.generation,
		total:      total,
		owned:      owned,
	}
	return owned
}

func (s *Sharer) countOwned(endpoint string, total int) int {
	views, complete := s.bindingViews()
	if !complete {
		return 0
	}
	owned := 0
	for slot := range total {
		if s.ownsInAll(views, endpoint, slot) {
			owned++
		}
	}
	return owned
}

// bindingViews returns the distinct views in which this member must own a slot to
// use it: its own and those announced by its peers. It returns false while a peer
// has not announced any.
func (s *Sharer) bindingViews() ([][]string, bool) {
	if s.viewsGeneration == s.generation && s.views != nil {
		return s.views, s.viewsComplete
	}
	s.viewsGeneration = s.generation
	s.views = [][]string{s.View()}
	s.viewsComplete = true
	for _, p := range s.peers {
		s.viewsComplete = s.viewsComplete && p.announced
		sameView := func(view []string) bool { return slices.Equal(view, p.view) }
		if !slices.ContainsFunc(s.views, sameView) {
			s.views = append(s.views, p.view)
		}
	}
	return s.views, s.viewsComplete
}

func (s *Sharer) ownsInAll(views [][]string, endpoint string, slot int) bool {
	for _, view := range views {
		if Owner(view, endpoint, slot) != s.self {
			return false
		}
	}
	return true
}

// Owner returns the member of a view that owns a slot of an endpoint by rendezvous
// hashing, or "" for an empty view.
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
