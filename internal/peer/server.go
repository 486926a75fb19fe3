package peer

import (
	"context"

	"marjoramstack/internal/peer/peerpb"
)

// server implements the gRPC service that other members call.
type server struct {
	peerpb.UnimplementedPeerServer
	mesh *Mesh
}

// Beat processes a heartbeat and replies with the heartbeat of this member.
func (s *server) Beat(_ context.Context, message *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	m := s.mesh
	m.countBytes(message)
	m.receive(message, 0)
	m.mu.Lock()
	l := m.links[message.GetFrom().GetId()]
	m.mu.Unlock()
	reply := m.newHeartbeat(l)
	m.countBytes(reply)
	return reply, nil
}

// Forward runs a request that another member forwarded.
func (s *server) Forward(ctx context.Context, request *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	return s.mesh.opts.Handler.Forward(ctx, request), nil
}

// Fetch returns the configuration and the list of VMs of this member.
func (s *server) Fetch(context.Context, *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return s.mesh.opts.Handler.Fetch(), nil
}

// Cell executes an operation on a cell that this member owns.
func (s *server) Cell(ctx context.Context, request *peerpb.CellRequest) (*peerpb.CellReply, error) {
	return s.mesh.opts.Handler.Cell(ctx, request), nil
}
