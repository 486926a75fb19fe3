package entry

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"marjoramstack/internal/owner"
	"marjoramstack/internal/peer/peerpb"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/scheduler"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

const (
	cellLoopInterval = 500 * time.Millisecond
	maxLoadAge       = 20 * clock.Second
	callTimeout      = 2 * time.Second
	pressureInterval = 1 * time.Second
)

// Operations on cells, as sent between entry VMs.
const (
	opSubmit   = "submit"
	opView     = "view"
	opViews    = "views"
	opCancel   = "cancel"
	opPressure = "press"
	opYield    = "yield"
)

// receivedLoad is the newest known load of a cell and the time it was received.
type receivedLoad struct {
	load       scheduler.Load
	receivedAt clock.Time
}

// cellManager runs an Owner for each cell and keeps the newest known load of every
// cell.
type cellManager struct {
	entry    *Entry
	workers  *worker.Client
	mu       sync.Mutex
	owners   map[string]*owner.Owner
	received map[string]receivedLoad
}

func newCellManager(e *Entry, workers *worker.Client) *cellManager {
	return &cellManager{
		entry:    e,
		workers:  workers,
		owners:   map[string]*owner.Owner{},
		received: map[string]receivedLoad{},
	}
}

// CellOf returns the name of the cell of an availability zone.
func CellOf(zone string) string { return zone + "-0" }

// run starts an Owner for the cell of each configured zone and refreshes the loads of
// the owned cells, until ctx ends.
func (m *cellManager) run(ctx context.Context) {
	var group sync.WaitGroup
	every(ctx, cellLoopInterval, func() {
		snap := m.entry.follower.Current()
		if snap == nil {
			return
		}
		for _, zone := range sortedZones(snap) {
			m.startOwner(ctx, &group, zone)
		}
		m.refreshLoads(ctx)
	})
	group.Wait()
}

func (m *cellManager) startOwner(ctx context.Context, group *sync.WaitGroup, zone string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	cell := CellOf(zone)
	if m.owners[cell] != nil {
		return
	}
	e := m.entry
	o := owner.New(owner.Options{
		Cell:       cell,
		Zone:       zone,
		OwnZone:    zone == e.settings.Zone,
		VM:         e.id,
		Platform:   e.platform,
		Workers:    m.workers,
		Clock:      e.clock,
		Log:        e.log,
		Follower:   e.follower,
		Fleet:      func() (platform.Fleet, bool) { return e.fleet.current() },
		Neighbours: m.loads,
		Leaving:    e.markedLeaving,
		Reclaim:    func(holder string) { m.reclaim(ctx, cell, holder) },
	})
	m.owners[cell] = o
	group.Add(1)
	go func() {
		defer group.Done()
		o.Run(ctx)
	}()
}

// reclaim asks the owner of a cell to yield it, if that owner is in another zone.
func (m *cellManager) reclaim(ctx context.Context, cell, holder string) {
	e := m.entry
	for _, p := range e.mesh.Peers() {
		if p.Member.ID != holder || p.Member.Zone == e.settings.Zone {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if _, err := m.callPeer(ctx, holder, cell, opYield, nil); err != nil {
			e.log.Debug("cell-not-reclaimed", "cell", cell, "owner", holder, "error", err.Error())
		}
		return
	}
}

func (m *cellManager) owned() []*owner.Owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	var owned []*owner.Owner
	for _, o := range m.owners {
		if o.Owns() {
			owned = append(owned, o)
		}
	}
	return owned
}

func (m *cellManager) refreshLoads(ctx context.Context) {
	for _, o := range m.owned() {
		var load scheduler.Load
		if m.query(ctx, o, func(c *scheduler.Cell) { load = c.Load() }) {
			m.recordLoads([]scheduler.Load{load})
		}
	}
}

// query calls fn with the state of an owned cell and reports whether it was called in
// time.
func (m *cellManager) query(ctx context.Context, o *owner.Owner, fn func(*scheduler.Cell)) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return o.Query(ctx, fn)
}

// recordLoads stores the loads that are newer than the known ones and drops those
// that have not been renewed for maxLoadAge.
func (m *cellManager) recordLoads(loads []scheduler.Load) {
	now := m.entry.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range loads {
		if known, ok := m.received[l.Cell]; !ok || l.Newer(known.load) {
			m.received[l.Cell] = receivedLoad{
				load:       l,
				receivedAt: now,
			}
		}
	}
	for cell, r := range m.received {
		if now.Sub(r.receivedAt) > maxLoadAge {
			delete(m.received, cell)
		}
	}
}

// loads returns the load of every known cell, ordered by cell name.
func (m *cellManager) loads() []scheduler.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	loads := make([]scheduler.Load, 0, len(m.received))
	for _, r := range m.received {
		loads = append(loads, r.load)
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].Cell < loads[j].Cell })
	return loads
}

// call executes an operation on a cell, locally if this entry VM owns it and otherwise
// by a call to its owner. It decodes the reply into out unless out is nil.
func (m *cellManager) call(ctx context.Context, cell, operation string, in, out any) error {
	body := encode(in)
	m.mu.Lock()
	o := m.owners[cell]
	r, known := m.received[cell]
	m.mu.Unlock()
	var answer []byte
	switch {
	case o != nil && o.Owns():
		data, err := m.execute(ctx, cell, operation, body)
		if err != nil {
			return err
		}
		answer = data
	case known:
		data, err := m.callPeer(ctx, r.load.Owner, cell, operation, body)
		if err != nil {
			return err
		}
		answer = data
	default:
		return result.New(result.NoOwner, "no owner of cell %s is known", cell)
	}
	if out == nil {
		return nil
	}
	return Error.Wrap(json.Unmarshal(answer, out))
}

func (m *cellManager) callPeer(ctx context.Context, id, cell, operation string, body []byte) ([]byte, error) {
	reply, err := m.entry.mesh.Cell(ctx, id, &peerpb.CellRequest{
		Cell:      cell,
		Operation: operation,
		Body:      body,
	})
	if err != nil {
		return nil, result.New(result.NoOwner, "owner %s of cell %s is unreachable: %v", id, cell, err)
	}
	if code := result.Code(reply.GetCode()); code != result.OK {
		return nil, result.New(code, "%s", reply.GetDetail())
	}
	return reply.GetBody(), nil
}

// execute runs an operation on a cell that this entry VM owns.
func (m *cellManager) execute(ctx context.Context, cell, operation string, body []byte) ([]byte, error) {
	m.mu.Lock()
	o := m.owners[cell]
	m.mu.Unlock()
	if o == nil || !o.Owns() {
		return nil, result.New(result.NoOwner, "cell %s is not owned by this entry VM", cell)
	}
	switch operation {
	case opSubmit:
		var job document.Job
		if err := json.Unmarshal(body, &job); err != nil {
			return nil, Error.Wrap(err)
		}
		return []byte("{}"), o.Submit(ctx, job)
	case opCancel:
		var ids []string
		if err := json.Unmarshal(body, &ids); err != nil {
			return nil, Error.Wrap(err)
		}
		o.TrySend(scheduler.Cancelled{Jobs: ids})
		return []byte("{}"), nil
	case opPressure:
		return m.reportPressure(o, body)
	case opYield:
		o.Yield()
		return []byte("{}"), nil
	case opView, opViews:
		return m.view(ctx, o, body)
	}
	return nil, result.New(result.Internal, "unknown operation %q", operation)
}

func (m *cellManager) reportPressure(o *owner.Owner, body []byte) ([]byte, error) {
	var list []scheduler.EndpointLatency
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, Error.Wrap(err)
	}
	for _, p := range list {
		o.TrySend(p)
	}
	return []byte("{}"), nil
}

// view returns the cell's part of the job with the identifier in the body, or of all
// jobs if the identifier is empty.
func (m *cellManager) view(ctx context.Context, o *owner.Owner, body []byte) ([]byte, error) {
	var id string
	if err := json.Unmarshal(body, &id); err != nil {
		return nil, Error.Wrap(err)
	}
	views := []scheduler.JobView{}
	asked := m.query(ctx, o, func(c *scheduler.Cell) {
		if id == "" {
			views = c.Views()
		} else if v, ok := c.View(id, true); ok {
			views = append(views, v)
		}
	})
	if !asked {
		return nil, result.New(result.NoOwner, "cell %s is busy", o.Cell())
	}
	return encode(views), nil
}

// pressureLoop reports to the owner of this zone's cell how the latency of the
// endpoints on its workers compares with their targets.
func (e *Entry) pressureLoop(ctx context.Context) {
	every(ctx, pressureInterval, func() {
		var list []scheduler.EndpointLatency
		for _, p := range e.dispatcher.TakePressure() {
			list = append(list, scheduler.EndpointLatency{
				Worker:   p.Worker,
				Permille: p.Permille,
			})
		}
		if len(list) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := e.cells.call(ctx, CellOf(e.settings.Zone), opPressure, list, nil); err != nil {
			e.log.Debug("pressure-not-sent", "error", err.Error())
		}
	})
}
