package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"marjoramstack/internal/platform"
	"marjoramstack/pkg/clock"
)

// Run commits queued writes in batches, one transaction at a time, until ctx ends.
// It then commits the remaining ones.
func (l *Ledger) Run(ctx context.Context) {
	for {
		select {
		case w := <-l.queue.Out():
			began := l.opts.Clock.Now()
			l.commitBatch(context.WithoutCancel(ctx), l.collectBatch(w))
			l.waitInterval(ctx, began)
		case <-ctx.Done():
			l.flush(context.WithoutCancel(ctx))
			return
		}
	}
}

func (l *Ledger) flush(ctx context.Context) {
	for {
		select {
		case w := <-l.queue.Out():
			l.commitBatch(ctx, l.collectBatch(w))
		default:
			return
		}
	}
}

func (l *Ledger) waitInterval(ctx context.Context, began clock.Time) {
	remaining := l.opts.Interval() - l.opts.Clock.Now().Sub(began)
	if remaining <= 0 {
		return
	}
	timer := time.NewTimer(remaining.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// collectBatch returns the first write and further queued ones, at most one per key
// and maxRowsPerTxn in total.
func (l *Ledger) collectBatch(first *pendingWrite) []*pendingWrite {
	batch := []*pendingWrite{first}
	keys := map[string]bool{first.key: true}
	for len(batch) < maxRowsPerTxn {
		select {
		case w := <-l.queue.Out():
			if keys[w.key] {
				// Two claims of one key in one batch: the later one conflicts
				// with the earlier, as if that came from another entry VM.
				w.reply <- l.duplicateResult(batch, w)
				continue
			}
			keys[w.key] = true
			batch = append(batch, w)
		default:
			return batch
		}
	}
	return batch
}

// duplicateResult returns the result of a write whose key is already in the batch: a
// conflict with that row.
func (l *Ledger) duplicateResult(batch []*pendingWrite, w *pendingWrite) writeResult {
	for _, other := range batch {
		if other.key == w.key {
			return writeResult{conflict: &platform.Row{
				Key:     OrderPrefix + w.key,
				Version: w.version,
				Value:   mustMarshal(other.row),
			}}
		}
	}
	return writeResult{err: Error.New("the batch has no write for order %s", w.key)}
}

// commitBatch commits the batch. After a conflict it drops the conflicting writes and
// commits the rest again.
func (l *Ledger) commitBatch(ctx context.Context, batch []*pendingWrite) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout.Duration())
	defer cancel()
	for len(batch) > 0 {
		verdict, err := l.opts.Platform.Commit(ctx, l.txn(batch))
		if err != nil {
			replyAll(batch, writeResult{err: err})
			return
		}
		if verdict.Committed {
			replyAll(batch, writeResult{version: verdict.Version})
			return
		}
		remaining := dropConflicts(batch, verdict.Conflicts)
		if len(remaining) == len(batch) {
			replyAll(batch, writeResult{err: Error.New("the platform reported conflicts only for rows outside the batch")})
			return
		}
		batch = remaining
	}
}

func replyAll(batch []*pendingWrite, res writeResult) {
	for _, w := range batch {
		w.reply <- res
	}
}

// dropConflicts reports a conflict to each conflicting write and returns the others.
func dropConflicts(batch []*pendingWrite, conflicts []platform.Row) []*pendingWrite {
	conflicting := make(map[string]platform.Row, len(conflicts))
	for _, row := range conflicts {
		conflicting[row.Key] = row
	}
	var remaining []*pendingWrite
	for _, w := range batch {
		row, ok := conflicting[OrderPrefix+w.key]
		if !ok {
			remaining = append(remaining, w)
			continue
		}
		w.reply <- writeResult{conflict: &row}
	}
	return remaining
}

func (l *Ledger) txn(batch []*pendingWrite) platform.Txn {
	l.seq++
	txn := platform.Txn{ID: fmt.Sprintf("ledger-%s-%d", l.opts.Holder, l.seq)}
	for _, w := range batch {
		row := w.row
		row.Txn = txn.ID
		key := OrderPrefix + w.key
		txn.Checks = append(txn.Checks, platform.Check{
			Key:     key,
			Version: w.version,
		})
		txn.Puts = append(txn.Puts, platform.Row{
			Key:   key,
			Value: mustMarshal(row),
		})
	}
	for _, w := range batch {
		key := claimKey(w.row.Holder, w.key)
		if w.isClaim {
			txn.Puts = append(txn.Puts, platform.Row{
				Key:   key,
				Value: mustMarshal(struct{}{}),
			})
		} else {
			txn.Deletes = append(txn.Deletes, key)
		}
	}
	return txn
}

func mustMarshal(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // only plain structs are passed
	}
	return data
}
