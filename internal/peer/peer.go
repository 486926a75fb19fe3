// Package peer links the entry VMs with each other over gRPC: heartbeats,
// requests passed on, configuration and cell operations.
//
// A Mesh learns of other entry VMs from its seeds, from the platform's table and
// from the members that heartbeats name. It beats with those of its own
// availability zone, which share slots with it, and with one of each other zone
// in turn. Of two members the one with the lesser identifier begins; the other
// does so only when nothing has come for some time. A load of a cell crosses a
// link once.
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

// Member is an entry VM. ID names one life of it.
type Member struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// Status is what a member tells of itself in its heartbeats. Live is whether it is
// sure of the View; others learn it with an acknowledgement only.
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

// Heartbeat is a heartbeat received from a member. Sent is when it was sent, on the
// sender's clock; Acked is when the heartbeat that it acknowledges was sent, on
// the receiver's.
type Heartbeat struct {
	From   Member
	Status Status
	Sent   clock.Time
	Acked  clock.Time
}

// Handler answers what other members ask.
type Handler interface {
	// Announce returns what the next heartbeat tells.
	Announce() Status
	// Heard takes a heartbeat.
	Heard(beat Heartbeat)
	// Forward runs a request that another member passed on.
	Forward(ctx context.Context, request *peerpb.ForwardRequest) *peerpb.ForwardReply
	// Fetch returns the configuration and the list of VMs.
	Fetch() *peerpb.FetchReply
	// Cell carries out an operation on a cell that this member owns.
	Cell(ctx context.Context, request *peerpb.CellRequest) *peerpb.CellReply
}

// Options say who a Mesh is and with what it works.
type Options struct {
	Self    Member
	Seeds   []string
	Clock   clock.Clock
	Log     *logger.Logger
	Handler Handler
}

const (
	lostAfter = 10 * clock.Second
	maxBytes  = 32 << 20
)

// link is what is known of another member.
type link struct {
	member  Member
	conn    *grpc.ClientConn
	client  peerpb.PeerClient
	heard   clock.Time
	beaten  clock.Time
	beating bool
	delay   float64
	status  Status
	digest  uint64
	echo    int64
	// told is the newest load of each cell that the other has told or was told.
	told   map[string]scheduler.Load
	toldAt clock.Time
}

// Mesh is this member's links to the others. It is safe for concurrent use.
type Mesh struct {
	opts   Options
	server *grpc.Server
	// stamping keeps a heartbeat's view and the time it is sent together.
	stamping sync.Mutex
	mu       sync.Mutex
	links    map[string]*link
	seeds    map[string]peerpb.PeerClient
	conns    []*grpc.ClientConn
	turn     int
	bytes    atomic.Int64
	prompt   chan struct{}
}

// NewMesh returns a Mesh that knows its seeds only.
func NewMesh(opts Options) *Mesh {
	m := &Mesh{
		opts:   opts,
		server: grpc.NewServer(grpc.MaxRecvMsgSize(maxBytes), grpc.MaxSendMsgSize(maxBytes)),
		links:  map[string]*link{},
		seeds:  map[string]peerpb.PeerClient{},
		prompt: make(chan struct{}, 1),
	}
	peerpb.RegisterPeerServer(m.server, &server{mesh: m})
	return m
}

// Serve answers other members on the listener until Stop.
func (m *Mesh) Serve(listener net.Listener) error {
	return Error.Wrap(m.server.Serve(listener))
}

// Stop ends Serve, after the calls in progress if graceful, and closes the
// links.
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
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxBytes), grpc.MaxCallSendMsgSize(maxBytes)))
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	return conn, peerpb.NewPeerClient(conn), nil
}

// Learn adds members that another source named.
func (m *Mesh) Learn(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		m.learn(member)
	}
}

// learn adds a member; its caller holds the lock.
func (m *Mesh) learn(member Member) *link {
	if member.ID == m.opts.Self.ID || member.ID == "" || member.Address == "" {
		return nil
	}
	if l := m.links[member.ID]; l != nil {
		return l
	}
	conn, client, err := m.dial(member.Address)
	if err != nil {
		m.opts.Log.Warn("peer-address-refused", "peer", member.ID, "error", err.Error())
		return nil
	}
	m.conns = append(m.conns, conn)
	l := &link{
		member: member,
		conn:   conn,
		client: client,
		heard:  m.opts.Clock.Now(),
		told:   map[string]scheduler.Load{},
	}
	m.links[member.ID] = l
	m.opts.Log.Info("peer-learnt", "peer", member.ID, "zone", member.Zone, "address", member.Address)
	return l
}

// Forget drops a member that is gone for certain.
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

// Peer is the present state of another member. Heard is when its last heartbeat
// came, Silent how long ago that is.
type Peer struct {
	Member Member
	Status Status
	Delay  clock.Span
	Heard  clock.Time
	Silent clock.Span
}

// Peers returns the other members, by identifier.
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
			Heard:  l.heard,
			Silent: now.Sub(l.heard),
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
		return nil, Error.New("no link to %s", id)
	}
	return l.client, nil
}

// frameBytes is what gRPC adds to a heartbeat on the way, about: frame and
// message headers.
const frameBytes = 40

// Bytes returns how many bytes of heartbeats this member has sent and received.
func (m *Mesh) Bytes() int64 { return m.bytes.Load() }

// Forward passes a request on to a member.
func (m *Mesh) Forward(ctx context.Context, id string, request *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	client, err := m.client(id)
	if err != nil {
		return nil, err
	}
	reply, err := client.Forward(ctx, request)
	return reply, Error.Wrap(err)
}

// Cell passes an operation on to the member that owns the cell.
func (m *Mesh) Cell(ctx context.Context, id string, request *peerpb.CellRequest) (*peerpb.CellReply, error) {
	client, err := m.client(id)
	if err != nil {
		return nil, err
	}
	reply, err := client.Cell(ctx, request)
	return reply, Error.Wrap(err)
}

// Fetch returns the configuration and the list of VMs of a member.
func (m *Mesh) Fetch(ctx context.Context, id string) (*peerpb.FetchReply, error) {
	client, err := m.client(id)
	if err != nil {
		return nil, err
	}
	reply, err := client.Fetch(ctx, &peerpb.FetchRequest{})
	return reply, Error.Wrap(err)
}

// digest identifies the set of members known; its caller holds the lock.
func (m *Mesh) digest() uint64 {
	var sum uint64
	for id := range m.links {
		sum ^= xxhash.Sum64String(id)
	}
	return sum ^ xxhash.Sum64String(m.opts.Self.ID)
}
