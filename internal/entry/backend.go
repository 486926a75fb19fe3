package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"marjoramstack/internal/configurer"
	"marjoramstack/internal/follower"
	"marjoramstack/internal/ledger"
	"marjoramstack/internal/operator"
	"marjoramstack/internal/owner"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/registrar"
	"marjoramstack/internal/scheduler"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

const (
	changeTimeout = 4 * time.Second
	submitTimeout = 5 * time.Second
	settleEvery   = 3 * time.Second
	cancelTries   = 5
	cancelPerTxn  = 100
)

// Change makes a change of the configuration durable and waits until it is in
// force in every availability zone, for a bounded time.
func (e *Entry) Change(ctx context.Context, request configurer.Request) (operator.Change, error) {
	began := e.clock.Now()
	request.KnownVM = func(id string) bool {
		_, ok := e.fleet.vm(id)
		return ok
	}
	write, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	state, err := e.configurer.Change(write, request)
	if err != nil {
		return operator.Change{}, err
	}
	e.offer(state, "operator")
	lacking := e.awaitInForce(ctx, state.Version)
	change := operator.Change{
		Version: state.Version,
		State:   "accepted",
		Change:  state.Change,
		Lacking: lacking,
		TookMs:  int64(e.clock.Now().Sub(began)),
	}
	if len(lacking) > 0 {
		change.State = "pending"
	}
	e.log.Info("change", "version", state.Version, "state", change.State, "author", request.Author,
		"change", state.Change, "took-ms", change.TookMs)
	return change, nil
}

// History returns the newest versions of the configuration.
func (e *Entry) History(ctx context.Context, most int) ([]follower.State, error) {
	return e.configurer.History(ctx, most)
}

// Config returns the configuration in force here.
func (e *Entry) Config() (follower.State, bool) {
	snap := e.follower.Current()
	if snap == nil {
		return follower.State{}, false
	}
	return snap.State(), true
}

// Zones returns the state of each availability zone.
func (e *Entry) Zones() []operator.Zone {
	snap := e.follower.Current()
	if snap == nil {
		return []operator.Zone{}
	}
	var zones []operator.Zone
	for _, name := range snap.Document().Zones {
		zone := operator.Zone{
			Name:     name,
			Leaving:  snap.ZoneLeaving(name),
			Versions: map[string]uint64{},
			InForce:  e.zoneLacks(name, snap.Version()) == "",
		}
		if name == e.set.Zone {
			zone.Versions[e.id] = snap.Version()
		}
		for _, p := range e.mesh.Peers() {
			if p.Member.Zone == name && p.Silent <= heardWithin {
				zone.Versions[p.Member.ID] = p.Status.Version
			}
		}
		for _, l := range e.cells.loads() {
			if l.Zone == name {
				zone.Cells = append(zone.Cells, l)
			}
		}
		zones = append(zones, zone)
	}
	return zones
}

// VMs returns the state of each VM of the platform's list.
func (e *Entry) VMs() []operator.VM {
	fleet, _ := e.fleet.current()
	snap := e.follower.Current()
	vms := make([]operator.VM, 0, len(fleet.VMs))
	for _, vm := range fleet.VMs {
		state := operator.VM{VM: vm}
		switch {
		case snap != nil && snap.VMLeaving(vm.ID):
			state.Why = "marked-by-operators"
		case vm.Leaving:
			state.Why = "platform-list"
		case snap != nil && snap.ZoneLeaving(vm.Zone):
			state.Why = "zone-leaving"
		}
		state.Leaving = state.Why != ""
		vms = append(vms, state)
	}
	return vms
}

// Status returns the state of the system as this entry VM sees it.
func (e *Entry) Status() operator.Status {
	announced := e.Announce()
	status := operator.Status{
		VM:        e.id,
		Zone:      e.set.Zone,
		Ready:     e.Ready() == nil,
		Leaving:   announced.Leaving,
		Version:   announced.Version,
		Platform:  "down",
		PeerBytes: e.mesh.Bytes(),
		Slots:     announced.Slots,
		Free:      announced.Free,
		Queued:    announced.Queued,
		View:      announced.View,
		Cells:     announced.Cells,
	}
	if e.clock.Now().Sub(e.lastConfirmed()) <= 2*restEvery {
		status.Platform = "up"
	}
	if snap := e.follower.Current(); snap != nil {
		status.Service = snap.Document().Service
	}
	for _, p := range e.mesh.Peers() {
		status.Peers = append(status.Peers, operator.Peer{
			ID:       p.Member.ID,
			Zone:     p.Member.Zone,
			SilentMs: int64(p.Silent),
			DelayMs:  int64(p.Delay),
			Version:  p.Status.Version,
			Leaving:  p.Status.Leaving,
		})
	}
	return status
}

// Submit has a job admitted by the cell with the most room for it.
func (e *Entry) Submit(ctx context.Context, job document.Job) error {
	snap := e.follower.Current()
	if snap == nil {
		return result.New(result.NotReady, "no configuration yet")
	}
	if err := job.Check(snap.Document(), e.clock.Now()); err != nil {
		return err
	}
	if err := e.everFits(job); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	cell, ok := e.homeFor(snap, job)
	if !ok {
		return result.New(result.NoOwner, "no cell in service has an owner at present")
	}
	err := e.cells.call(ctx, cell, opSubmit, job, nil)
	e.log.Info("submit", "job", job.ID, "cell", cell, "result", result.CodeOf(err).String())
	return err
}

// everFits refuses a job of which no worker could hold one task when empty.
func (e *Entry) everFits(job document.Job) error {
	fleet, ok := e.fleet.current()
	if !ok {
		return result.New(result.NotReady, "no list of VMs yet")
	}
	for _, vm := range fleet.VMs {
		size := document.Size{
			Processors:   vm.Processors,
			Memory:       vm.Memory,
			Accelerators: vm.Accelerators,
		}
		if vm.Kind == platform.KindWorker && job.Size.Fits(size) {
			return nil
		}
	}
	return result.New(result.NeverFits, "size: no worker is large enough for one task")
}

// homeFor chooses the cell with the most free processors, less what waits
// there, among those in service; a cell that could never hold a task is left
// out.
func (e *Entry) homeFor(snap *follower.Snapshot, job document.Job) (string, bool) {
	best := ""
	var room int
	for _, l := range e.cells.loads() {
		if snap.ZoneLeaving(l.Zone) || l.Workers == 0 || !job.Size.Fits(l.Total) {
			continue
		}
		left := l.Free.Processors - l.Wanted.Processors
		if best == "" || left > room {
			best, room = l.Cell, left
		}
	}
	return best, best != ""
}

// Cancel cancels jobs durably, in their rows, and tells the owners of all
// cells.
func (e *Entry) Cancel(ctx context.Context, ids []string) error {
	ids = slices.Compact(slices.Sorted(slices.Values(ids)))
	for chunk := range slices.Chunk(ids, cancelPerTxn) {
		if err := e.cancelSome(ctx, chunk); err != nil {
			return err
		}
	}
	for _, l := range e.cells.loads() {
		if err := e.cells.call(ctx, l.Cell, opCancel, ids, nil); err != nil {
			// The owner finds the cancellation in the table.
			e.log.Debug("cancel-not-told", "cell", l.Cell, "error", err.Error())
		}
	}
	return nil
}

func (e *Entry) cancelSome(ctx context.Context, ids []string) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for range cancelTries {
		txn, err := e.cancelTxn(ctx, ids)
		if err != nil {
			return err
		}
		verdict, err := e.platform.Commit(ctx, txn)
		if err != nil {
			return err
		}
		if verdict.Committed {
			return nil
		}
	}
	return result.New(result.Raced, "the jobs kept changing; nothing was cancelled")
}

func (e *Entry) cancelTxn(ctx context.Context, ids []string) (platform.Txn, error) {
	keys := make([]string, 0, len(ids))
	for _, id := range ids {
		keys = append(keys, owner.JobPrefix+id)
	}
	rows, err := e.platform.Read(ctx, platform.Query{Keys: keys})
	if err != nil {
		return platform.Txn{}, err
	}
	if len(rows) < len(ids) {
		return platform.Txn{}, result.New(result.JobNotFound, "%d of %d jobs are not recorded; nothing was cancelled", len(ids)-len(rows), len(ids))
	}
	now := e.clock.Now()
	txn := platform.Txn{ID: fmt.Sprintf("cancel-%s-%d", e.id, now)}
	guard := fmt.Sprintf("%s%015d-%s", owner.CancelPrefix, now, e.id)
	txn.Checks = []platform.Check{{Key: guard}}
	txn.Puts = []platform.Row{{
		Key: guard,
		Value: encode(owner.CancelRow{
			Txn: txn.ID,
			IDs: ids,
			At:  int64(now),
		}),
	}}
	for _, row := range rows {
		var job owner.JobRow
		if err := json.Unmarshal(row.Value, &job); err != nil {
			return platform.Txn{}, Error.Wrap(err)
		}
		job.Cancelled = true
		txn.Checks = append(txn.Checks, platform.Check{
			Key:     row.Key,
			Version: row.Version,
		})
		txn.Puts = append(txn.Puts, platform.Row{
			Key:   row.Key,
			Value: encode(job),
		})
	}
	return txn, nil
}

// Jobs returns every job of every cell whose owner can be asked.
func (e *Entry) Jobs(ctx context.Context) ([]operator.Job, error) {
	return e.gather(ctx, opViews, "")
}

// Job returns one job, with its notes.
func (e *Entry) Job(ctx context.Context, id string) (operator.Job, error) {
	jobs, err := e.gather(ctx, opView, id)
	if err != nil {
		return operator.Job{}, err
	}
	if len(jobs) == 0 {
		return operator.Job{}, result.New(result.JobNotFound, "no job %q in the cells that could be asked", id)
	}
	return jobs[0], nil
}

// gather asks the owners of all cells and joins the parts of each job.
func (e *Entry) gather(ctx context.Context, operation, id string) ([]operator.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	parts := map[string][]scheduler.JobView{}
	var unasked []string
	for _, l := range e.cells.loads() {
		group.Go(func() {
			var views []scheduler.JobView
			err := e.cells.call(ctx, l.Cell, operation, id, &views)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unasked = append(unasked, l.Cell)
			}
			for _, v := range views {
				parts[v.Spec.ID] = append(parts[v.Spec.ID], v)
			}
		})
	}
	group.Wait()
	sort.Strings(unasked)
	jobs := make([]operator.Job, 0, len(parts))
	for _, id := range slices.Sorted(maps.Keys(parts)) {
		jobs = append(jobs, operator.NewJob(id, parts[id], unasked))
	}
	return jobs, nil
}

// Order returns the row of an order.
func (e *Entry) Order(ctx context.Context, key string) (ledger.Row, bool, error) {
	return e.ledger.Lookup(ctx, key)
}

// Orders counts the orders by outcome, from the ledger's rows.
func (e *Entry) Orders(ctx context.Context) (ledger.Counts, error) {
	return e.ledger.Counts(ctx)
}

// settleLoop settles the orders of dead entry VMs, in one entry VM of each
// zone.
func (e *Entry) settleLoop(ctx context.Context) {
	every(ctx, settleEvery, func() {
		if !e.leads() {
			return
		}
		rows, err := e.platform.ReadAll(ctx, registrar.Prefix)
		if err != nil {
			return
		}
		alive := map[string]bool{e.id: true}
		for _, row := range rows {
			var r registrar.Row
			if json.Unmarshal(row.Value, &r) == nil && !r.Gone {
				alive[r.Member.ID] = true
			}
		}
		if _, err := e.ledger.SettleDead(ctx, func(holder string) bool { return alive[holder] }); err != nil {
			e.log.Debug("dead-not-settled", "error", err.Error())
		}
	})
}
