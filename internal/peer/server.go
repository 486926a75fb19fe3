package peer

import (
	"context"

	"marjoramstack/internal/peer/peerpb"
)

// server answers the calls of other members.
type server struct {
	peerpb.UnimplementedPeerServer
	mesh *Mesh
}

// Beat answers a heartbeat with one.
func (s *server) Beat(_ context.Context, message *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	m := s.mesh
	m.count(message)
	m.take(message, 0)
	m.mu.Lock()
	l := m.links[message.GetFrom().GetId()]
	m.mu.Unlock()
	reply := m.compose(l)
	m.count(reply)
	return reply, nil
}

// Forward runs a request that another member passed on.
func (s *server) Forward(ctx context.Context, request *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	return s.mesh.opts.Handler.Forward(ctx, request), nil
}

// Fetch returns the configuration and the list of VMs.
func (s *server) Fetch(context.Context, *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return s.mesh.opts.Handler.Fetch(), nil
}

// Cell carries out an operation on a cell that this member owns.
func (s *server) Cell(ctx context.Context, request *peerpb.CellRequest) (*peerpb.CellReply, error) {
	return s.mesh.opts.Handler.Cell(ctx, request), nil
}
