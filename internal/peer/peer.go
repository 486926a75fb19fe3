// Package peer connects the entry VMs with each other over gRPC. They exchange
// heartbeats, forward requests, fetch the configuration and execute operations on
// cells.
//
// A Mesh discovers other entry VMs through its seed addresses, the platform's table
// and the member lists in heartbeats. It exchanges heartbeats with every member of
// its own availability zone, since these share slots with it, and with one member of
// each other zone in round-robin order. Of two members, the one with the smaller
// identifier starts the exchange; the other does so only if it has received nothing
// for some time. Each load report of a cell is sent over a link at most once.
//
// # Usage
//
//	mesh := peer.NewMesh(peer.Options{Self: self, Seeds: seeds, ...})
//	go mesh.Serve(listener)
//	go mesh.Run(ctx)
//	reply, err := mesh.Forward(ctx, id, request)
package peer

import (
	"context"
	"net"
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"marjoramstack/internal/logger"
	"marjoramstack/internal/peer/peerpb"
	"marjoramstack/internal/scheduler"
	"marjoramstack/pkg/clock"
)

// Error is the class of this package's errors.
var Error = errs.Class("peer")

// Member is an entry VM. Its ID is different after each start of the VM's process.
type Member struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// Status is the state that a member reports in its heartbeats. View is the announced
// view of the entry VMs of its zone. Live reports whether the member is sure of that
// view; it is transmitted only with an acknowledgement. Wait is in milliseconds.
type Status struct {
	View    []string
	Live    bool
	Version uint64
	Leaving bool
	Slots   int
	Free    int
	Queued  int
	Wait    clock.Span
	Cells   []scheduler.Load
}

// ReceivedHeartbeat is a heartbeat received from a member. Sent is the time it was
// sent, on the sender's clock. Acked is the time at which the heartbeat that it
// acknowledges was sent, on the receiver's clock.
type ReceivedHeartbeat struct {
	From   Member
	Status Status
	Sent   clock.Time
	Acked  clock.Time
}

// Handler handles the heartbeats and calls of other members.
type Handler interface {
	// Announce returns the status to send in the next heartbeat.
	Announce() Status
	// Heard processes a received heartbeat.
	Heard(beat ReceivedHeartbeat)
	// Forward runs a request that another member forwarded.
	Forward(ctx context.Context, request *peerpb.ForwardRequest) *peerpb.ForwardReply
	// Fetch returns the configuration and the list of VMs.
	Fetch() *peerpb.FetchReply
	// Cell executes an operation on a cell that this member owns.
	Cell(ctx context.Context, request *peerpb.CellRequest) *peerpb.CellReply
}

// Options identify a Mesh's own member and hold the Mesh's dependencies. Seeds are
// addresses of members to contact first.
type Options struct {
	Self    Member
	Seeds   []string
	Clock   clock.Clock
	Log     *logger.Logger
	Handler Handler
}

const (
	maxSilence      = 10 * clock.Second // see dropSilent
	maxMessageBytes = 32 << 20
)

// link is the connection to another member and the last state received from it.
type link struct {
	member       Member
	conn         *grpc.ClientConn
	client       peerpb.PeerClient
	lastReceived clock.Time
	// lastSent is when this end last started an exchange and inFlight whether that
	// exchange is still in progress.
	lastSent clock.Time
	inFlight bool
	// delay is the average round-trip time in milliseconds.
	delay  float64
	status Status
	digest uint64
	// newestSentMs is the send time of the newest heartbeat received, on the sender's
	// clock. It is echoed as the acknowledgement.
	newestSentMs int64
	// peerLoads holds the newest load of each cell that was sent to or received from
	// the other member.
	peerLoads   map[string]scheduler.Load
	loadsSentAt clock.Time
}

// Mesh holds this member's connections to the other members. It is safe for
// concurrent use.
type Mesh struct {
	opts   Options
	server *grpc.Server
	// announceMu makes reading the view and the send time of a heartbeat one atomic
	// step.
	announceMu   sync.Mutex
	mu           sync.Mutex
	links        map[string]*link
	seeds        map[string]peerpb.PeerClient
	conns        []*grpc.ClientConn
	round        int
	bytes        atomic.Int64
	heartbeatNow chan struct{}
}

// NewMesh returns a Mesh that knows no members yet, only the seed addresses.
func NewMesh(opts Options) *Mesh {
	m := &Mesh{
		opts:         opts,
		server:       grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes)),
		links:        map[string]*link{},
		seeds:        map[string]peerpb.PeerClient{},
		heartbeatNow: make(chan struct{}, 1),
	}
	peerpb.RegisterPeerServer(m.server, &server{mesh: m})
	return m
}

// Serve handles calls of other members on the listener until Stop is called.
func (m *Mesh) Serve(listener net.Listener) error {
	return Error.Wrap(m.server.Serve(listener))
}

// Stop makes Serve return and closes all connections. If graceful is set, it first
// waits for the calls in progress.
func (m *Mesh) Stop(graceful bool) {
	if graceful {
		m.server.GracefulStop()
	} else {
		m.server.Stop()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		c.Close()
	}
}

func (m *Mesh) dial(address string) (*grpc.ClientConn, peerpb.PeerClient, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	return conn, peerpb.NewPeerClient(conn), nil
}

// Learn adds members that were discovered through another source.
func (m *Mesh) Learn(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		m.learn(member)
	}
}

// learn adds a member if it is new and returns its link. It returns nil for this
// member, for an incomplete one and for an invalid address. The caller must hold the
// lock.
func (m *Mesh) learn(member Member) *link {
	if member.ID == m.opts.Self.ID || member.ID == "" || member.Address == "" {
		return nil
	}
	if l := m.links[member.ID]; l != nil {
		return l
	}
	conn, client, err := m.dial(member.Address)
	if err != nil {
		m.opts.Log.Warn("peer-address-invalid", "peer", member.ID, "error", err.Error())
		return nil
	}
	m.conns = append(m.conns, conn)
	l := &link{
		member:       member,
		conn:         conn,
		client:       client,
		lastReceived: m.opts.Clock.Now(),
		peerLoads:    map[string]scheduler.Load{},
	}
	m.links[member.ID] = l
	m.opts.Log.Info("peer-discovered", "peer", member.ID, "zone", member.Zone, "address", member.Address)
	return l
}

// Forget drops a member that has certainly stopped.
func (m *Mesh) Forget(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(id)
}

func (m *Mesh) drop(id string) {
	l := m.links[id]
	if l == nil {
		return
	}
	l.conn.Close()
	m.conns = slices.DeleteFunc(m.conns, func(c *grpc.ClientConn) bool { return c == l.conn })
	delete(m.links, id)
}

// Peer is the last known state of another member. Delay is the exponential moving
// average of the heartbeat round-trip time. Heard is the time its last heartbeat was
// received and Silent is the time since then.
type Peer struct {
	Member Member
	Status Status
	Delay  clock.Span
	Heard  clock.Time
	Silent clock.Span
}

// Peers returns the other members, ordered by identifier.
func (m *Mesh) Peers() []Peer {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]Peer, 0, len(m.links))
	for _, l := range m.links {
		peers = append(peers, Peer{
			Member: l.member,
			Status: l.status,
			Delay:  clock.Span(l.delay),
			Heard:  l.lastReceived,
			Silent: now.Sub(l.lastReceived),
		})
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Member.ID < peers[j].Member.ID })
	return peers
}

func (m *Mesh) client(id string) (peerpb.PeerClient, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[id]
	if l == nil {
		return nil, Error.New("member %s is not known", id)
	}
	return l.client, nil
}

// frameBytes is the approximate overhead in bytes that gRPC adds to a heartbeat:
// frame and message headers.
const frameBytes = 40

// Bytes returns the total number of heartbeat bytes that this member has sent and
// received.
func (m *Mesh) Bytes() int64 { return m.bytes.Load() }

// Forward sends a request to a member, which runs it.
func (m *Mesh) Forward(ctx context.Context, id string, request *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	client, err := m.client(id)
	if err != nil {
		return nil, err
	}
	reply, err := client.Forward(ctx, request)
	return reply, Error.Wrap(err)
}

// Cell sends an operation on a cell to the member that owns it.
func (m *Mesh) Cell(ctx context.Context, id string, request *peerpb.CellRequest) (*peerpb.CellReply, error) {
	client, err := m.client(id)
	if err != nil {
		return nil, err
	}
	reply, err := client.Cell(ctx, request)
	return reply, Error.Wrap(err)
}

// Fetch gets the configuration and the list of VMs from a member.
func (m *Mesh) Fetch(ctx context.Context, id string) (*peerpb.FetchReply, error) {
	client, err := m.client(id)
	if err != nil {
		return nil, err
	}
	reply, err := client.Fetch(ctx, &peerpb.FetchRequest{})
	return reply, Error.Wrap(err)
}

// digest returns a hash of the identifiers of all known members and this one. The
// caller must hold the lock.
func (m *Mesh) digest() uint64 {
	var sum uint64
	for id := range m.links {
		sum ^= xxhash.Sum64String(id)
	}
	return sum ^ xxhash.Sum64String(m.opts.Self.ID)
}
