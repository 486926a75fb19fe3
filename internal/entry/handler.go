package entry

import (
	"context"
	"encoding/json"

	"marjoramstack/internal/limiter"
	"marjoramstack/internal/peer"
	"marjoramstack/internal/peer/peerpb"
	"marjoramstack/internal/router"
	"marjoramstack/pkg/result"
)

var _ peer.Handler = (*Entry)(nil)

// Announce returns the status to send in the next heartbeat.
func (e *Entry) Announce() peer.Status {
	view, live, load := e.dispatcher.Announce()
	return peer.Status{
		View:    view,
		Live:    live,
		Version: e.follower.Version(),
		Leaving: e.markedLeaving(),
		Slots:   load.Slots,
		Free:    load.Free,
		Queued:  load.Queued,
		Wait:    load.Wait,
		Cells:   e.cells.loads(),
	}
}

// Heard processes a heartbeat received from another entry VM.
func (e *Entry) Heard(beat peer.ReceivedHeartbeat) {
	if beat.From.Zone == e.settings.Zone {
		now := e.clock.Now()
		e.dispatcher.WithSharer(func(s *limiter.Sharer) {
			s.Heard(now, beat.From.ID, beat.Sent, beat.Status.View, beat.Acked, beat.Status.Live)
			if !s.Joined() && len(beat.Status.View) > 0 {
				s.JoinViaPeer(beat.Status.View)
			}
		})
	}
	e.cells.recordLoads(beat.Status.Cells)
	_, known := e.fleet.current()
	if beat.Status.Version > e.follower.Version() || (!known && beat.Status.Version > 0) {
		e.fetchFrom(beat.From.ID)
	}
}

// Forward runs a request that another entry VM forwarded.
func (e *Entry) Forward(ctx context.Context, request *peerpb.ForwardRequest) *peerpb.ForwardReply {
	if _, ok, _ := e.lookupClass(request.GetClass()); !ok {
		return &peerpb.ForwardReply{
			Code:   int32(result.NotReady),
			Detail: "the class is not in force here",
		}
	}
	return e.dispatcher.Serve(ctx, request)
}

// Fetch returns the configuration and the list of VMs.
func (e *Entry) Fetch() *peerpb.FetchReply {
	reply := &peerpb.FetchReply{}
	if snap := e.follower.Current(); snap != nil {
		reply.Config = encode(snap.State())
	}
	if fleet, ok := e.fleet.current(); ok {
		reply.Fleet = encode(fleet)
	}
	return reply
}

// Cell executes an operation on a cell that this entry VM owns.
func (e *Entry) Cell(ctx context.Context, request *peerpb.CellRequest) *peerpb.CellReply {
	body, err := e.cells.execute(ctx, request.GetCell(), request.GetOperation(), request.GetBody())
	if err != nil {
		return &peerpb.CellReply{
			Code:   int32(result.CodeOf(err)),
			Detail: err.Error(),
		}
	}
	return &peerpb.CellReply{Body: body}
}

// routerPeers returns the entry VMs to which requests can be forwarded.
func (e *Entry) routerPeers() []router.Peer {
	snap := e.follower.Current()
	peers := []router.Peer{}
	for _, p := range e.mesh.Peers() {
		if p.Status.Leaving || p.Silent > maxHeartbeatAge || (snap != nil && snap.ZoneLeaving(p.Member.Zone)) {
			continue
		}
		peers = append(peers, router.Peer{
			ID:      p.Member.ID,
			Zone:    p.Member.Zone,
			Delay:   p.Delay,
			Free:    p.Status.Free,
			Wait:    p.Status.Wait,
			Heard:   p.Heard,
			OwnZone: p.Member.Zone == e.settings.Zone,
		})
	}
	return peers
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // all callers pass values that can be marshalled
	}
	return data
}
