package limiter

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"marjoramstack/pkg/clock"
)

const (
	modelSlots  = 8
	maxSlotHold = 600 * clock.Millisecond
	modelStep   = 50 * clock.Millisecond
)

// node is an entry VM of the model: its sharer, the end times of its requests at
// one endpoint, and its view of the platform's table.
type node struct {
	id          string
	sharer      *Sharer
	inUse       []clock.Time
	paused      bool
	partitioned bool
	dead        bool
	rowVersion  int
	lastRead    clock.Time
	observed    map[string]observation
	lastHeard   map[string]clock.Time
}

// observation is the version of another node's row and the time since which it has
// been unchanged.
type observation struct {
	version int
	since   clock.Time
}

// heartbeat is a heartbeat in flight.
type heartbeat struct {
	from, to  string
	view      []string
	sent      clock.Time
	acked     clock.Time
	live      bool
	deliverAt clock.Time
}

// zone is a group of entry VMs that share the slots of one endpoint.
type zone struct {
	now          clock.Time
	nodes        map[string]*node
	ids          []string
	inFlight     []heartbeat
	rows         map[string]int
	markedGone   map[string]bool
	version      int
	platformDown bool
	// skipSafety removes silent members without looking at their rows, which must
	// break the property.
	skipSafety bool
}

func newZone(n int) *zone {
	z := &zone{
		now:        1000,
		nodes:      map[string]*node{},
		rows:       map[string]int{},
		markedGone: map[string]bool{},
	}
	for range n {
		z.join()
	}
	return z
}

func (z *zone) join() {
	id := fmt.Sprintf("n%d", len(z.ids))
	n := &node{
		id:        id,
		sharer:    NewSharer(id),
		observed:  map[string]observation{},
		lastHeard: map[string]clock.Time{},
	}
	z.nodes[id] = n
	z.ids = append(z.ids, id)
	n.sharer.Tick(z.now)
}

// step advances the model by 50 ms.
func (z *zone) step() {
	z.now = z.now.Add(modelStep)
	z.deliverHeartbeats()
	for _, id := range z.ids {
		n := z.nodes[id]
		n.expire(z.now)
		if n.paused || n.dead {
			continue
		}
		n.sharer.Tick(z.now)
		if z.now%500 == 0 {
			z.sendHeartbeats(n)
		}
		if z.now%1000 == 0 && !z.platformDown {
			z.renew(n)
		}
		z.takeSlots(n)
	}
}

// expire removes finished requests. Requests of a dead or paused node finish too,
// because the endpoint runs them.
func (n *node) expire(now clock.Time) {
	kept := n.inUse[:0]
	for _, end := range n.inUse {
		if end.After(now) {
			kept = append(kept, end)
		}
	}
	n.inUse = kept
}

// takeSlots fills every slot that the node may use, as under overload.
func (z *zone) takeSlots(n *node) {
	for len(n.inUse) < n.sharer.Slots(z.now, "e", modelSlots) {
		n.inUse = append(n.inUse, z.now.Add(maxSlotHold))
	}
}

func (z *zone) sendHeartbeats(n *node) {
	view := n.sharer.Announce(func() bool {
		return z.skipSafety || len(n.inUse) <= n.sharer.Slots(z.now, "e", modelSlots)
	})
	for _, to := range z.ids {
		if to != n.id {
			z.inFlight = append(z.inFlight, heartbeat{
				from:      n.id,
				to:        to,
				view:      view,
				sent:      z.now,
				acked:     n.lastHeard[to],
				live:      n.sharer.Live(z.now),
				deliverAt: z.now.Add(20),
			})
		}
	}
}

func (z *zone) deliverHeartbeats() {
	var kept []heartbeat
	for _, hb := range z.inFlight {
		if hb.deliverAt.After(z.now) {
			kept = append(kept, hb)
			continue
		}
		to := z.nodes[hb.to]
		if to.paused {
			hb.deliverAt = z.now.Add(modelStep)
			kept = append(kept, hb) // stays in the socket buffer
			continue
		}
		if to.dead || to.partitioned || z.nodes[hb.from].partitioned {
			continue
		}
		to.lastHeard[hb.from] = max(to.lastHeard[hb.from], hb.sent)
		to.sharer.Heard(z.now, hb.from, hb.sent, hb.view, hb.acked, hb.live)
		if !to.sharer.Joined() {
			to.sharer.JoinViaPeer(hb.view)
		}
	}
	z.inFlight = kept
}

// renew renews the node's row and removes members that have certainly stopped, as
// package registrar does.
func (z *zone) renew(n *node) {
	if n.rowVersion != z.rows[n.id] {
		n.rowVersion = z.rows[n.id] // evicted: take over the new version and rejoin at the next renewal
		n.sharer.Evicted(z.now)
		return
	}
	z.version++
	z.rows[n.id] = z.version
	delete(z.markedGone, n.id)
	if n.rowVersion != 0 {
		n.sharer.Renewed(z.now)
	}
	n.rowVersion = z.version
	if z.now.Sub(n.lastRead) > 2*clock.Second {
		n.observed = map[string]observation{} // nobody could renew while the platform was down
	}
	n.lastRead = z.now
	var members []string
	for id, version := range z.rows {
		if z.markedGone[id] {
			continue
		}
		members = append(members, id)
		if n.observed[id].version != version {
			n.observed[id] = observation{version: version, since: z.now}
		}
	}
	n.sharer.Join(members)
	timeout := DeadAfter + maxSlotHold
	if z.skipSafety {
		timeout = 500
	}
	for _, id := range n.sharer.Silent(z.now, timeout) {
		_, registered := z.rows[id]
		if _, seen := n.observed[id]; !seen && !registered {
			n.observed[id] = observation{since: z.now}
		}
		if !z.markedGone[id] && !z.skipSafety && z.now.Sub(n.observed[id].since) < timeout {
			continue
		}
		if !z.skipSafety && !z.markedGone[id] {
			z.version++
			z.rows[id] = z.version
			z.markedGone[id] = true
		}
		n.sharer.Remove(id)
	}
}

// overuse describes the use of more slots than the endpoint has, or returns "".
func (z *zone) overuse() string {
	used := 0
	for _, id := range z.ids {
		used += len(z.nodes[id].inUse)
	}
	if used > modelSlots {
		text := ""
		for _, id := range z.ids {
			n := z.nodes[id]
			text += fmt.Sprintf(" %s uses %d of view %v", id, len(n.inUse), n.sharer.View())
		}
		return fmt.Sprintf("%d of %d slots in use at %d:%s", used, modelSlots, z.now, text)
	}
	return ""
}

// TestSlotsNeverExceeded checks that entry VMs together never use more slots than
// the endpoint has, while they join, die, pause, resume and are partitioned at
// random and the platform fails and recovers.
func TestSlotsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newZone(rapid.IntRange(1, 3).Draw(t, "nodes"))
		for range 40 {
			node := z.nodes[rapid.SampledFrom(z.ids).Draw(t, "node")]
			switch rapid.IntRange(0, 8).Draw(t, "action") {
			case 0:
				node.paused = !node.paused
			case 1:
				node.dead = node.dead || rapid.IntRange(0, 3).Draw(t, "die") == 0
			case 2:
				z.platformDown = !z.platformDown
			case 3:
				node.partitioned = !node.partitioned
			case 4:
				if len(z.ids) < 6 {
					z.join()
				}
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				z.step()
				assert.Equal(t, z.overuse(), "")
			}
		}
	})
}

// runFor advances the model by span and checks at each step that no more slots are
// in use than the endpoint has.
func (z *zone) runFor(t *testing.T, span clock.Span) {
	t.Helper()
	for end := z.now.Add(span); z.now.Before(end); {
		z.step()
		assert.Equal(t, z.overuse(), "")
	}
}

// TestNewcomerDoesNotVouch guards against a member that was paused and considered
// dead using its slots again because a new member, which has not yet read the
// table, acknowledged its heartbeat.
func TestNewcomerDoesNotVouch(t *testing.T) {
	z := newZone(1)
	z.runFor(t, 4000)
	z.nodes["n0"].paused = true
	z.join()
	z.join()
	z.runFor(t, 10000)
	assert.Equal(t, z.inUse(), modelSlots)
	z.nodes["n1"].partitioned = true
	z.nodes["n2"].partitioned = true
	z.platformDown = true
	z.join()
	z.runFor(t, 100)
	z.nodes["n0"].paused = false
	z.runFor(t, 5000)
	z.nodes["n1"].partitioned = false
	z.nodes["n2"].partitioned = false
	z.runFor(t, 5000)
	assert.Equal(t, z.inUse(), modelSlots)
}

// TestPausedDoNotVouchForEachOther guards against two members that were paused and
// considered dead using their slots again because they acknowledged each other's
// heartbeats.
func TestPausedDoNotVouchForEachOther(t *testing.T) {
	z := newZone(2)
	z.runFor(t, 4000)
	z.join()
	z.nodes["n0"].paused = true
	z.nodes["n1"].paused = true
	z.runFor(t, 10000)
	assert.Equal(t, z.inUse(), modelSlots)
	z.nodes["n2"].partitioned = true
	z.platformDown = true
	z.nodes["n0"].paused = false
	z.nodes["n1"].paused = false
	z.runFor(t, 5000)
	z.platformDown = false
	z.nodes["n2"].partitioned = false
	z.runFor(t, 10000)
	assert.Equal(t, z.inUse(), modelSlots)
}

// TestNewcomerVouchedFor guards against a member that starts while the platform is
// down never getting slots although all of its peers are Live.
func TestNewcomerVouchedFor(t *testing.T) {
	z := newZone(2)
	z.runFor(t, 4000)
	z.platformDown = true
	z.join()
	z.runFor(t, 5000)
	assert.Equal(t, z.inUse(), modelSlots)
	assert.Assert(t, z.nodes["n2"].sharer.Live(z.now))
}

// TestUnregisteredIsWaitedFor guards against a member that started while the
// platform was down, and is now partitioned from a peer, being considered dead by
// that peer as soon as the platform recovers, before it could register.
func TestUnregisteredIsWaitedFor(t *testing.T) {
	z := newZone(2)
	z.runFor(t, 4300)
	z.platformDown = true
	z.nodes["n0"].paused = true // n0 cannot announce a view with n2 to n1
	z.join()
	z.runFor(t, 700)
	z.nodes["n0"].paused = false
	z.runFor(t, 100)
	z.nodes["n1"].partitioned = true
	z.runFor(t, 7000)
	assert.Assert(t, len(z.nodes["n2"].inUse) > 0)
	z.platformDown = false
	z.runFor(t, 20000)
	z.nodes["n1"].partitioned = false
	z.runFor(t, 5000)
	assert.Equal(t, z.inUse(), modelSlots)
}

// TestSlotsNeedTheRow partitions a member from its peers. If the peers remove it
// from their views without looking at its row, more slots must be in use than
// there are, which shows that the model detects overuse. If they look at its row,
// the limit must hold.
func TestSlotsNeedTheRow(t *testing.T) {
	for _, skipSafety := range []bool{true, false} {
		z := newZone(3)
		for range 100 {
			z.step()
		}
		z.skipSafety = skipSafety
		z.nodes["n1"].partitioned = true
		exceeded := false
		for range 300 {
			z.step()
			exceeded = exceeded || z.overuse() != ""
		}
		assert.Equal(t, exceeded, skipSafety)
	}
}

// TestSlotsAllUsed checks that every slot is in use while membership is stable, and
// that the slots of a dead member are taken over.
func TestSlotsAllUsed(t *testing.T) {
	z := newZone(3)
	for range 100 {
		z.step()
	}
	assert.Equal(t, z.inUse(), modelSlots)
	z.nodes["n1"].dead = true
	for range 400 {
		z.step()
	}
	assert.Equal(t, z.inUse(), modelSlots)
	assert.DeepEqual(t, z.nodes["n0"].sharer.View(), []string{"n0", "n2"})
}

func (z *zone) inUse() int {
	used := 0
	for _, n := range z.nodes {
		used += len(n.inUse)
	}
	return used
}

// TestOwnerMovesLittle checks that removing a member from a view changes the owner
// of that member's slots only.
func TestOwnerMovesLittle(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	remaining := []string{"a", "b", "d"}
	for slot := range 400 {
		before := Owner(all, "e", slot)
		after := Owner(remaining, "e", slot)
		if before != "c" {
			assert.Equal(t, after, before)
		}
	}
}
