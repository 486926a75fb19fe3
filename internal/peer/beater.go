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
	lookEvery   = 50 * time.Millisecond
	ownEvery    = 1 * clock.Second
	otherEvery  = 2 * clock.Second
	seedEvery   = 1 * clock.Second
	beatTimeout = 1 * clock.Second
	delayWeight = 0.2
)

// Run beats until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	var seeded, other clock.Time
	for {
		hurry := false
		select {
		case <-ticker.C:
		case <-m.prompt:
			hurry = true
		case <-ctx.Done():
			return
		}
		now := m.opts.Clock.Now()
		if now.Sub(seeded) >= seedEvery {
			seeded = now
			m.beatSeeds(ctx)
		}
		m.beatOwn(ctx, now, hurry)
		if hurry || now.Sub(other) >= otherEvery {
			other = now
			m.beatOthers(ctx, now, hurry)
		}
		m.dropLost(now)
	}
}

// HeartbeatNow has the members told at once what has changed.
func (m *Mesh) HeartbeatNow() {
	select {
	case m.prompt <- struct{}{}:
	default:
	}
}

// beatSeeds reaches out to the seeds that no known member has as its address.
func (m *Mesh) beatSeeds(ctx context.Context) {
	for _, address := range m.opts.Seeds {
		if address == m.opts.Self.Address || m.knows(address) {
			continue
		}
		client := m.seed(address)
		if client == nil {
			continue
		}
		go m.beat(ctx, nil, client)
	}
}

func (m *Mesh) knows(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.member.Address == address {
			return true
		}
	}
	return false
}

func (m *Mesh) seed(address string) peerpb.PeerClient {
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

func (m *Mesh) beatOwn(ctx context.Context, now clock.Time, hurry bool) {
	for _, l := range m.choose(func(l *link) bool {
		return l.member.Zone == m.opts.Self.Zone && (hurry || m.due(now, l))
	}) {
		m.start(ctx, now, l)
	}
}

// due reports whether this end of a link is to begin a beat: the lesser of the
// two at the usual step, the other when nothing has come for half as long again.
func (m *Mesh) due(now clock.Time, l *link) bool {
	if m.opts.Self.ID < l.member.ID {
		return now.Sub(l.beaten) >= ownEvery
	}
	return now.Sub(l.heard) >= ownEvery+ownEvery/2 && now.Sub(l.beaten) >= ownEvery
}

// beatOthers beats with one member of each other zone, in turn; with all of
// them when something has changed.
func (m *Mesh) beatOthers(ctx context.Context, now clock.Time, hurry bool) {
	byZone := map[string][]*link{}
	for _, l := range m.choose(func(l *link) bool { return l.member.Zone != m.opts.Self.Zone }) {
		byZone[l.member.Zone] = append(byZone[l.member.Zone], l)
	}
	m.turn++
	for _, links := range byZone {
		if hurry {
			for _, l := range links {
				m.start(ctx, now, l)
			}
			continue
		}
		m.start(ctx, now, links[m.turn%len(links)])
	}
}

func (m *Mesh) choose(which func(*link) bool) []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	var chosen []*link
	for _, l := range m.links {
		if !l.beating && which(l) {
			chosen = append(chosen, l)
		}
	}
	sort.Slice(chosen, func(i, j int) bool { return chosen[i].member.ID < chosen[j].member.ID })
	return chosen
}

func (m *Mesh) start(ctx context.Context, now clock.Time, l *link) {
	m.mu.Lock()
	busy := l.beating
	l.beating = true
	l.beaten = now
	m.mu.Unlock()
	if !busy {
		go m.beat(ctx, l, l.client)
	}
}

// beat exchanges one heartbeat. The link is nil for a seed whose member is not
// known yet.
func (m *Mesh) beat(ctx context.Context, l *link, client peerpb.PeerClient) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout.Duration())
	defer cancel()
	if l != nil {
		defer m.rest(l)
	}
	message := m.compose(l)
	sent := m.opts.Clock.Now()
	m.count(message)
	reply, err := client.Beat(ctx, message)
	if err != nil {
		return
	}
	m.count(reply)
	took := m.opts.Clock.Now().Sub(sent)
	m.take(reply, took)
}

func (m *Mesh) count(message *peerpb.Heartbeat) {
	m.bytes.Add(int64(proto.Size(message) + frameBytes))
}

func (m *Mesh) rest(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.beating = false
}

// compose makes a heartbeat for a link. It names the members that this one
// knows if the other's digest differs.
func (m *Mesh) compose(l *link) *peerpb.Heartbeat {
	m.stamping.Lock()
	defer m.stamping.Unlock()
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
		message.EchoMs = l.echo
		if !status.Live {
			message.EchoMs = -l.echo
		}
		message.Cells = l.newLoads(m.opts.Clock.Now(), status.Cells)
	}
	if l == nil || l.digest != message.MembersDigest {
		for _, other := range m.links {
			message.Members = append(message.Members, toMember(other.member))
		}
	}
	return message
}

// take records a heartbeat and passes it to the handler. Took is the time of
// the exchange, 0 if it is not known.
func (m *Mesh) take(message *peerpb.Heartbeat, took clock.Span) {
	beat := Heartbeat{
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

func (m *Mesh) update(l *link, message *peerpb.Heartbeat, beat Heartbeat, took clock.Span) {
	l.heard = m.opts.Clock.Now()
	if message.GetSentMs() < l.echo {
		return // overtaken by a later one
	}
	l.status = beat.Status
	l.takeLoads(beat.Status.Cells)
	l.digest = message.GetMembersDigest()
	l.echo = max(l.echo, message.GetSentMs())
	if took > 0 || l.delay == 0 {
		l.delay += delayWeight * (float64(took) - l.delay)
	}
}

// dropLost drops members of other zones that have not been heard for long.
// Those of the own zone go only when they are gone for certain.
func (m *Mesh) dropLost(now clock.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, l := range m.links {
		if l.member.Zone != m.opts.Self.Zone && now.Sub(l.heard) > 6*lostAfter {
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
