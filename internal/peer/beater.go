package peer

import (
	"context"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"marjoramstack/internal/peer/peerpb"
	"marjoramstack/pkg/clock"
)

const (
	loopInterval      = 50 * time.Millisecond
	ownZoneInterval   = 1 * clock.Second
	otherZoneInterval = 2 * clock.Second
	seedInterval      = 1 * clock.Second
	exchangeTimeout   = 1 * clock.Second
	delayWeight       = 0.2 // of a new round-trip time in the moving average
)

// Run exchanges heartbeats with the other members until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	ticker := time.NewTicker(loopInterval)
	defer ticker.Stop()
	var lastSeeds, lastOtherZones clock.Time
	for {
		immediate := false
		select {
		case <-ticker.C:
		case <-m.heartbeatNow:
			immediate = true
		case <-ctx.Done():
			return
		}
		now := m.opts.Clock.Now()
		if now.Sub(lastSeeds) >= seedInterval {
			lastSeeds = now
			m.contactSeeds(ctx)
		}
		m.contactOwnZone(ctx, now, immediate)
		if immediate || now.Sub(lastOtherZones) >= otherZoneInterval {
			lastOtherZones = now
			m.contactOtherZones(ctx, now, immediate)
		}
		m.dropSilent(now)
	}
}

// HeartbeatNow makes Run start an exchange with every known member that has none in
// flight, without waiting for the usual interval. It does not block.
func (m *Mesh) HeartbeatNow() {
	select {
	case m.heartbeatNow <- struct{}{}:
	default:
	}
}

// contactSeeds sends a heartbeat to each seed address that belongs to no known member.
func (m *Mesh) contactSeeds(ctx context.Context) {
	for _, address := range m.opts.Seeds {
		if address == m.opts.Self.Address || m.hasAddress(address) {
			continue
		}
		client := m.seedClient(address)
		if client == nil {
			continue
		}
		go m.exchange(ctx, nil, client)
	}
}

func (m *Mesh) hasAddress(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.member.Address == address {
			return true
		}
	}
	return false
}

func (m *Mesh) seedClient(address string) peerpb.PeerClient {
	m.mu.Lock()
	defer m.mu.Unlock()
	if client := m.seeds[address]; client != nil {
		return client
	}
	conn, client, err := m.dial(address)
	if err != nil {
		return nil
	}
	m.conns = append(m.conns, conn)
	m.seeds[address] = client
	return client
}

// contactOwnZone starts an exchange with each member of this zone for which one is
// due, or with all of them if immediate is set.
func (m *Mesh) contactOwnZone(ctx context.Context, now clock.Time, immediate bool) {
	for _, l := range m.idleLinks(func(l *link) bool {
		return l.member.Zone == m.opts.Self.Zone && (immediate || m.due(now, l))
	}) {
		m.startExchange(ctx, now, l)
	}
}

// due reports whether this end of a link should start an exchange. The end with the
// smaller identifier starts one per interval. The other end starts one only if it has
// received nothing for one and a half intervals.
func (m *Mesh) due(now clock.Time, l *link) bool {
	if m.opts.Self.ID < l.member.ID {
		return now.Sub(l.lastSent) >= ownZoneInterval
	}
	return now.Sub(l.lastReceived) >= ownZoneInterval+ownZoneInterval/2 && now.Sub(l.lastSent) >= ownZoneInterval
}

// contactOtherZones starts an exchange with one member of each other zone, in
// round-robin order, or with all of their members if immediate is set.
func (m *Mesh) contactOtherZones(ctx context.Context, now clock.Time, immediate bool) {
	byZone := map[string][]*link{}
	for _, l := range m.idleLinks(func(l *link) bool { return l.member.Zone != m.opts.Self.Zone }) {
		byZone[l.member.Zone] = append(byZone[l.member.Zone], l)
	}
	m.round++
	for _, links := range byZone {
		if immediate {
			for _, l := range links {
				m.startExchange(ctx, now, l)
			}
			continue
		}
		m.startExchange(ctx, now, links[m.round%len(links)])
	}
}

// idleLinks returns the matching links without an exchange in flight, ordered by
// member identifier.
func (m *Mesh) idleLinks(match func(*link) bool) []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	var chosen []*link
	for _, l := range m.links {
		if !l.inFlight && match(l) {
			chosen = append(chosen, l)
		}
	}
	sort.Slice(chosen, func(i, j int) bool { return chosen[i].member.ID < chosen[j].member.ID })
	return chosen
}

func (m *Mesh) startExchange(ctx context.Context, now clock.Time, l *link) {
	m.mu.Lock()
	busy := l.inFlight
	l.inFlight = true
	l.lastSent = now
	m.mu.Unlock()
	if !busy {
		go m.exchange(ctx, l, l.client)
	}
}

// exchange sends one heartbeat and processes the one received in reply. The link is
// nil for a seed whose member is not known yet.
func (m *Mesh) exchange(ctx context.Context, l *link, client peerpb.PeerClient) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	if l != nil {
		defer m.finishExchange(l)
	}
	message := m.newHeartbeat(l)
	sentAt := m.opts.Clock.Now()
	m.countBytes(message)
	reply, err := client.Beat(ctx, message)
	if err != nil {
		return
	}
	m.countBytes(reply)
	took := m.opts.Clock.Now().Sub(sentAt)
	m.receive(reply, took)
}

func (m *Mesh) countBytes(message *peerpb.Heartbeat) {
	m.bytes.Add(int64(proto.Size(message) + frameBytes))
}

func (m *Mesh) finishExchange(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.inFlight = false
}

// newHeartbeat returns a heartbeat to send over a link. It includes the list of known
// members only if the digest last received over the link differs or there is none.
func (m *Mesh) newHeartbeat(l *link) *peerpb.Heartbeat {
	m.announceMu.Lock()
	defer m.announceMu.Unlock()
	status := m.opts.Handler.Announce()
	m.mu.Lock()
	defer m.mu.Unlock()
	message := &peerpb.Heartbeat{
		From:          toMember(m.opts.Self),
		SentMs:        int64(m.opts.Clock.Now()),
		View:          status.View,
		ConfigVersion: status.Version,
		Leaving:       status.Leaving,
		Slots:         int32(status.Slots),
		Free:          int32(status.Free),
		Queued:        int32(status.Queued),
		WaitMs:        int64(status.Wait),
		MembersDigest: m.digest(),
	}
	if l != nil {
		message.EchoMs = l.newestSentMs
		if !status.Live {
			message.EchoMs = -l.newestSentMs
		}
		message.Cells = l.loadsToSend(m.opts.Clock.Now(), status.Cells)
	}
	if l == nil || l.digest != message.MembersDigest {
		for _, other := range m.links {
			message.Members = append(message.Members, toMember(other.member))
		}
	}
	return message
}

// receive records a heartbeat and passes it to the handler. took is the round-trip
// time of the exchange, or 0 if it is not known.
func (m *Mesh) receive(message *peerpb.Heartbeat, took clock.Span) {
	beat := ReceivedHeartbeat{
		From:   fromMember(message.GetFrom()),
		Status: statusOf(message),
		Sent:   clock.Time(message.GetSentMs()),
		Acked:  clock.Time(max(message.GetEchoMs(), -message.GetEchoMs())),
	}
	m.mu.Lock()
	l := m.learn(beat.From)
	if l != nil {
		m.update(l, message, beat, took)
	}
	for _, other := range message.GetMembers() {
		m.learn(fromMember(other))
	}
	m.mu.Unlock()
	if l != nil {
		m.opts.Handler.Heard(beat)
	}
}

func (m *Mesh) update(l *link, message *peerpb.Heartbeat, beat ReceivedHeartbeat, took clock.Span) {
	l.lastReceived = m.opts.Clock.Now()
	if message.GetSentMs() < l.newestSentMs {
		return // a later heartbeat was received first
	}
	l.status = beat.Status
	l.recordLoads(beat.Status.Cells)
	l.digest = message.GetMembersDigest()
	l.newestSentMs = max(l.newestSentMs, message.GetSentMs())
	if took > 0 || l.delay == 0 {
		l.delay += delayWeight * (float64(took) - l.delay)
	}
}

// dropSilent drops members of other zones that have sent no heartbeat for six times
// maxSilence. A member of this zone is dropped only by Forget, once it has certainly
// stopped.
func (m *Mesh) dropSilent(now clock.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, l := range m.links {
		if l.member.Zone != m.opts.Self.Zone && now.Sub(l.lastReceived) > 6*maxSilence {
			m.drop(id)
		}
	}
}

func toMember(m Member) *peerpb.Member {
	return &peerpb.Member{
		Id:      m.ID,
		Zone:    m.Zone,
		Address: m.Address,
	}
}

func fromMember(m *peerpb.Member) Member {
	return Member{
		ID:      m.GetId(),
		Zone:    m.GetZone(),
		Address: m.GetAddress(),
	}
}

func statusOf(message *peerpb.Heartbeat) Status {
	return Status{
		View:    message.GetView(),
		Live:    message.GetEchoMs() > 0,
		Version: message.GetConfigVersion(),
		Leaving: message.GetLeaving(),
		Slots:   int(message.GetSlots()),
		Free:    int(message.GetFree()),
		Queued:  int(message.GetQueued()),
		Wait:    clock.Span(message.GetWaitMs()),
		Cells:   fromLoads(message.GetCells()),
	}
}
