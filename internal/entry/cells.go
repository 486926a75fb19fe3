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
	cellLook   = 500 * time.Millisecond
	loadKept   = 20 * clock.Second
	askTimeout = 2 * time.Second
	pressEvery = 1 * time.Second
)

// Operations on cells between entry VMs.
const (
	opSubmit = "submit"
	opView   = "view"
	opViews  = "views"
	opCancel = "cancel"
	opPress  = "press"
	opYield  = "yield"
)

// heardLoad is the load of a cell and when it was last told anew.
type heardLoad struct {
	load scheduler.Load
	at   clock.Time
}

// cellKeeper runs an owner for each cell and knows the load of all.
type cellKeeper struct {
	entry   *Entry
	workers *worker.Client
	mu      sync.Mutex
	owners  map[string]*owner.Owner
	heard   map[string]heardLoad
}

func newCellKeeper(e *Entry, workers *worker.Client) *cellKeeper {
	return &cellKeeper{
		entry:   e,
		workers: workers,
		owners:  map[string]*owner.Owner{},
		heard:   map[string]heardLoad{},
	}
}

// CellOf names the cell of an availability zone.
func CellOf(zone string) string { return zone + "-0" }

// run starts an owner for each cell that the configuration asks for and asks
// the owned ones for their load, until ctx ends.
func (k *cellKeeper) run(ctx context.Context) {
	var group sync.WaitGroup
	every(ctx, cellLook, func() {
		snap := k.entry.follower.Current()
		if snap == nil {
			return
		}
		for _, zone := range zonesOf(snap) {
			k.watch(ctx, &group, zone)
		}
		k.askLoads(ctx)
	})
	group.Wait()
}

func (k *cellKeeper) watch(ctx context.Context, group *sync.WaitGroup, zone string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	cell := CellOf(zone)
	if k.owners[cell] != nil {
		return
	}
	e := k.entry
	o := owner.New(owner.Options{
		Cell:       cell,
		Zone:       zone,
		OwnZone:    zone == e.set.Zone,
		VM:         e.id,
		Platform:   e.platform,
		Workers:    k.workers,
		Clock:      e.clock,
		Log:        e.log,
		Follower:   e.follower,
		Fleet:      func() (platform.Fleet, bool) { return e.fleet.current() },
		Neighbours: k.loads,
		Leaving:    e.markedLeaving,
		Reclaim:    func(holder string) { k.reclaim(ctx, cell, holder) },
	})
	k.owners[cell] = o
	group.Add(1)
	go func() {
		defer group.Done()
		o.Run(ctx)
	}()
}

// reclaim asks an owner of another zone for a cell of the own one.
func (k *cellKeeper) reclaim(ctx context.Context, cell, holder string) {
	e := k.entry
	for _, p := range e.mesh.Peers() {
		if p.Member.ID != holder || p.Member.Zone == e.set.Zone {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		if _, err := k.callPeer(ctx, holder, cell, opYield, nil); err != nil {
			e.log.Debug("cell-not-reclaimed", "cell", cell, "owner", holder, "error", err.Error())
		}
		return
	}
}

func (k *cellKeeper) owned() []*owner.Owner {
	k.mu.Lock()
	defer k.mu.Unlock()
	var owned []*owner.Owner
	for _, o := range k.owners {
		if o.Owns() {
			owned = append(owned, o)
		}
	}
	return owned
}

func (k *cellKeeper) askLoads(ctx context.Context) {
	for _, o := range k.owned() {
		var load scheduler.Load
		if k.ask(ctx, o, func(c *scheduler.Cell) { load = c.Load() }) {
			k.learn([]scheduler.Load{load})
		}
	}
}

func (k *cellKeeper) ask(ctx context.Context, o *owner.Owner, fn func(*scheduler.Cell)) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return o.Query(ctx, fn)
}

// learn takes the loads that are newer than those known.
func (k *cellKeeper) learn(loads []scheduler.Load) {
	now := k.entry.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range loads {
		if known, ok := k.heard[l.Cell]; !ok || l.Newer(known.load) {
			k.heard[l.Cell] = heardLoad{
				load: l,
				at:   now,
			}
		}
	}
	for cell, h := range k.heard {
		if now.Sub(h.at) > loadKept {
			delete(k.heard, cell)
		}
	}
}

// loads returns the load of every cell known, by identifier.
func (k *cellKeeper) loads() []scheduler.Load {
	k.mu.Lock()
	defer k.mu.Unlock()
	loads := make([]scheduler.Load, 0, len(k.heard))
	for _, h := range k.heard {
		loads = append(loads, h.load)
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].Cell < loads[j].Cell })
	return loads
}

// call carries out an operation on a cell wherever its owner is.
func (k *cellKeeper) call(ctx context.Context, cell, operation string, in, out any) error {
	body := encode(in)
	k.mu.Lock()
	o := k.owners[cell]
	h, known := k.heard[cell]
	k.mu.Unlock()
	var answer []byte
	switch {
	case o != nil && o.Owns():
		data, err := k.operate(ctx, cell, operation, body)
		if err != nil {
			return err
		}
		answer = data
	case known:
		data, err := k.callPeer(ctx, h.load.Owner, cell, operation, body)
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

func (k *cellKeeper) callPeer(ctx context.Context, id, cell, operation string, body []byte) ([]byte, error) {
	reply, err := k.entry.mesh.Cell(ctx, id, &peerpb.CellRequest{
		Cell:      cell,
		Operation: operation,
		Body:      body,
	})
	if err != nil {
		return nil, result.New(result.NoOwner, "owner %s of cell %s does not answer: %v", id, cell, err)
	}
	if code := result.Code(reply.GetCode()); code != result.OK {
		return nil, result.New(code, "%s", reply.GetDetail())
	}
	return reply.GetBody(), nil
}

// operate carries out an operation on a cell that is owned here.
func (k *cellKeeper) operate(ctx context.Context, cell, operation string, body []byte) ([]byte, error) {
	k.mu.Lock()
	o := k.owners[cell]
	k.mu.Unlock()
	if o == nil || !o.Owns() {
		return nil, result.New(result.NoOwner, "cell %s is not owned here", cell)
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
	case opPress:
		return k.press(o, body)
	case opYield:
		o.Yield()
		return []byte("{}"), nil
	case opView, opViews:
		return k.view(ctx, o, body)
	}
	return nil, result.New(result.Internal, "unknown operation %q", operation)
}

func (k *cellKeeper) press(o *owner.Owner, body []byte) ([]byte, error) {
	var list []scheduler.Pressed
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, Error.Wrap(err)
	}
	for _, p := range list {
		o.TrySend(p)
	}
	return []byte("{}"), nil
}

// view returns the cell's part of the job named in the body, or of all jobs if
// none is.
func (k *cellKeeper) view(ctx context.Context, o *owner.Owner, body []byte) ([]byte, error) {
	var id string
	if err := json.Unmarshal(body, &id); err != nil {
		return nil, Error.Wrap(err)
	}
	views := []scheduler.JobView{}
	asked := k.ask(ctx, o, func(c *scheduler.Cell) {
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

// pressLoop tells the owner of the own zone's cell how the endpoints on its
// workers do against their targets.
func (e *Entry) pressLoop(ctx context.Context) {
	every(ctx, pressEvery, func() {
		var list []scheduler.Pressed
		for _, p := range e.dispatcher.TakePressure() {
			list = append(list, scheduler.Pressed{
				Worker:   p.Worker,
				Permille: p.Permille,
			})
		}
		if len(list) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		if err := e.cells.call(ctx, CellOf(e.set.Zone), opPress, list, nil); err != nil {
			e.log.Debug("pressure-not-told", "error", err.Error())
		}
	})
}
