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
	"marjoramstack/internal/scheduler"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

const (
	changeTimeout    = 4 * time.Second
	submitTimeout    = 5 * time.Second
	cancelAttempts   = 5
	maxCancelsPerTxn = 100
)

// Change commits a change of the configuration and waits for a bounded time until it
// is in force in every availability zone.
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
	e.applyConfig(state, "operator")
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

// History returns up to the given number of newest versions of the configuration.
func (e *Entry) History(ctx context.Context, most int) ([]follower.State, error) {
	return e.configurer.History(ctx, most)
}

// Config returns the configuration in force on this entry VM, and false if there is
// none.
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
			InForce:  e.whyOutdated(name, snap.Version()) == "",
		}
		if name == e.settings.Zone {
			zone.Versions[e.id] = snap.Version()
		}
		for _, p := range e.mesh.Peers() {
			if p.Member.Zone == name && p.Silent <= maxHeartbeatAge {
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

// VMs returns the state of each VM in the platform's list.
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
		Zone:      e.settings.Zone,
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
	if e.clock.Now().Sub(e.lastConfirmed()) <= 2*nonLeaderReadInterval {
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

// Submit submits a job to the cell that chooseCell selects.
func (e *Entry) Submit(ctx context.Context, job document.Job) error {
	snap := e.follower.Current()
	if snap == nil {
		return result.New(result.NotReady, "no configuration yet")
	}
	if err := job.Check(snap.Document(), e.clock.Now()); err != nil {
		return err
	}
	if err := e.checkFits(job); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	cell, ok := e.chooseCell(snap, job)
	if !ok {
		return result.New(result.NoOwner, "no cell in service has an owner at present")
	}
	err := e.cells.call(ctx, cell, opSubmit, job, nil)
	e.log.Info("submit", "job", job.ID, "cell", cell, "result", result.CodeOf(err).String())
	return err
}

// checkFits returns an error if one task of the job does not fit on any worker, even an
// empty one.
func (e *Entry) checkFits(job document.Job) error {
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

// chooseCell returns the cell with the most free processors after subtracting the
// processors wanted by waiting tasks. It skips cells of zones that are leaving, cells
// without workers and cells whose total capacity is too small for one task.
func (e *Entry) chooseCell(snap *follower.Snapshot, job document.Job) (string, bool) {
	best := ""
	var bestFree int
	for _, l := range e.cells.loads() {
		if snap.ZoneLeaving(l.Zone) || l.Workers == 0 || !job.Size.Fits(l.Total) {
			continue
		}
		free := l.Free.Processors - l.Wanted.Processors
		if best == "" || free > bestFree {
			best, bestFree = l.Cell, free
		}
	}
	return best, best != ""
}

// Cancel cancels jobs durably, in their rows, and notifies the owners of all cells.
func (e *Entry) Cancel(ctx context.Context, ids []string) error {
	ids = slices.Compact(slices.Sorted(slices.Values(ids)))
	for chunk := range slices.Chunk(ids, maxCancelsPerTxn) {
		if err := e.cancelChunk(ctx, chunk); err != nil {
			return err
		}
	}
	for _, l := range e.cells.loads() {
		if err := e.cells.call(ctx, l.Cell, opCancel, ids, nil); err != nil {
			// The owner will find the cancellation in the table.
			e.log.Debug("cancel-not-sent", "cell", l.Cell, "error", err.Error())
		}
	}
	return nil
}

// cancelChunk commits the cancellation of jobs. It retries if their rows change
// concurrently.
func (e *Entry) cancelChunk(ctx context.Context, ids []string) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for range cancelAttempts {
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

// cancelTxn returns a transaction that marks the jobs as cancelled and records the
// cancellation in a row of its own.
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

// Jobs returns every job of every cell whose owner is reachable.
func (e *Entry) Jobs(ctx context.Context) ([]operator.Job, error) {
	return e.queryJobs(ctx, opViews, "")
}

// Job returns one job, including its notes.
func (e *Entry) Job(ctx context.Context, id string) (operator.Job, error) {
	jobs, err := e.queryJobs(ctx, opView, id)
	if err != nil {
		return operator.Job{}, err
	}
	if len(jobs) == 0 {
		return operator.Job{}, result.New(result.JobNotFound, "job %q was not found in any reachable cell", id)
	}
	return jobs[0], nil
}

// queryJobs queries the owners of all cells in parallel and merges the parts of each
// job. An empty id selects all jobs.
func (e *Entry) queryJobs(ctx context.Context, operation, id string) ([]operator.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	parts := map[string][]scheduler.JobView{}
	var unreachable []string
	for _, l := range e.cells.loads() {
		group.Go(func() {
			var views []scheduler.JobView
			err := e.cells.call(ctx, l.Cell, operation, id, &views)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, l.Cell)
			}
			for _, v := range views {
				parts[v.Spec.ID] = append(parts[v.Spec.ID], v)
			}
		})
	}
	group.Wait()
	sort.Strings(unreachable)
	jobs := make([]operator.Job, 0, len(parts))
	for _, id := range slices.Sorted(maps.Keys(parts)) {
		jobs = append(jobs, operator.NewJob(id, parts[id], unreachable))
	}
	return jobs, nil
}

// Order returns the ledger row of an order, and false if there is none.
func (e *Entry) Order(ctx context.Context, key string) (ledger.Row, bool, error) {
	return e.ledger.Lookup(ctx, key)
}

// Orders counts the orders by outcome, from the ledger's rows.
func (e *Entry) Orders(ctx context.Context) (ledger.Counts, error) {
	return e.ledger.Counts(ctx)
}
