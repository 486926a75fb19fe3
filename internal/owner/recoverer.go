package owner

import (
	"context"
	"encoding/json"
	"fmt"

	"marjoramstack/internal/follower"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/scheduler"
	"marjoramstack/pkg/clock"
)

const (
	takeTimeout    = 5 * clock.Second
	recoverTimeout = 30 * clock.Second
	keysPerRead    = 500
)

// takeOver acquires the lease under the next epoch, which fences the previous
// owner, and only then reads the state that the previous owner left.
func (o *Owner) takeOver(ctx context.Context, row platform.Row) (*tenure, error) {
	start := o.opts.Clock.Now()
	head, err := nextHead(row, o.opts)
	if err != nil {
		return nil, err
	}
	takeCtx, cancel := context.WithTimeout(ctx, takeTimeout.Duration())
	defer cancel()
	key := HeadPrefix + o.opts.Cell
	verdict, err := o.opts.Platform.Commit(takeCtx, platform.Txn{
		ID: head.Txn,
		Checks: []platform.Check{{
			Key:     key,
			Version: row.Version,
		}},
		Puts: []platform.Row{rowOf(key, head)},
	})
	if err != nil {
		return nil, err
	}
	if !verdict.Committed {
		return nil, Error.New("cell %s was taken over by another entry VM", o.opts.Cell)
	}
	t := newTenure(o, head, verdict.Version, o.opts.Clock.Now())
	if err := t.recover(ctx); err != nil {
		return nil, err
	}
	o.opts.Log.Info("cell-taken",
		"cell", o.opts.Cell,
		"epoch", uint64(head.Epoch),
		"batches", len(head.Batches),
		"took-ms", int64(o.opts.Clock.Now().Sub(start)))
	return t, nil
}

func nextHead(row platform.Row, opts Options) (Head, error) {
	var head Head
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &head); err != nil {
			return Head{}, Error.Wrap(err)
		}
	}
	head.Epoch++
	head.Owner = opts.VM
	head.Txn = fmt.Sprintf("take-%s-%d-%s", opts.Cell, head.Epoch, opts.VM)
	return head, nil
}

// recover rebuilds the cell from the snapshot and the batches after it, and then
// applies the current configuration and the cancellations.
func (t *tenure) recover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout.Duration())
	defer cancel()
	if t.head.Snapshot != "" {
		data, err := t.fetchObject(ctx, t.head.Snapshot)
		if err != nil {
			return err
		}
		if err := t.cell.Restore(data); err != nil {
			return err
		}
	}
	for _, name := range t.head.Batches {
		if err := t.replayBatch(ctx, name); err != nil {
			return err
		}
	}
	t.cell.Inherit()
	t.refresh()
	return t.recoverCancels(ctx)
}

func (t *tenure) fetchObject(ctx context.Context, name string) ([]byte, error) {
	for {
		data, err := t.owner.opts.Platform.GetObject(ctx, name)
		if err == nil {
			return data, nil
		}
		sleep(ctx, retryDelay)
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

func (t *tenure) replayBatch(ctx context.Context, name string) error {
	data, err := t.fetchObject(ctx, name)
	if err != nil {
		return err
	}
	var events []scheduler.Stamped
	if err := json.Unmarshal(data, &events); err != nil {
		return Error.New("cannot decode batch %s: %v", name, err)
	}
	t.cell.Replay(events)
	return nil
}

// recoverCancels applies cancellations that were recorded while the cell had no
// owner.
func (t *tenure) recoverCancels(ctx context.Context) error {
	open := t.cell.Open()
	var cancelled []string
	for len(open) > 0 {
		n := min(len(open), keysPerRead)
		keys := make([]string, 0, n)
		for _, id := range open[:n] {
			keys = append(keys, JobPrefix+id)
		}
		open = open[n:]
		rows, err := t.owner.opts.Platform.Read(ctx, platform.Query{Keys: keys})
		if err != nil {
			return err
		}
		cancelled = append(cancelled, cancelledIn(rows)...)
	}
	if len(cancelled) > 0 {
		t.cell.Handle(t.now(), scheduler.Cancelled{Jobs: cancelled})
	}
	return nil
}

func cancelledIn(rows []platform.Row) []string {
	var ids []string
	for _, row := range rows {
		var job JobRow
		if json.Unmarshal(row.Value, &job) == nil && job.Cancelled {
			ids = append(ids, row.Key[len(JobPrefix):])
		}
	}
	return ids
}

// refresh passes the configuration, if it has changed, the list of VMs and the
// loads of the other cells to the cell.
func (t *tenure) refresh() {
	now := t.now()
	opts := t.owner.opts
	if snap := opts.Follower.Current(); snap != nil && snap != t.config {
		t.applyConfig(now, snap)
	}
	if fleet, ok := opts.Fleet(); ok {
		t.cell.Handle(now, scheduler.Listed{VMs: fleet.VMs})
	}
	t.cell.Handle(now, scheduler.Neighbours{Cells: opts.Neighbours()})
}

func (t *tenure) applyConfig(now clock.Time, snap *follower.Snapshot) {
	t.config = snap
	t.cell.Handle(now, scheduler.Configured{
		Version:     snap.Version(),
		Document:    snap.Document(),
		ZoneLeaving: snap.ZonesLeaving(),
		VMLeaving:   snap.VMsLeaving(),
	})
}
