package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"marjoramstack/internal/platform"
	"marjoramstack/pkg/clock"
)

// Run writes what is queued, one transaction at a time, until ctx ends; then it
// writes what is left.
func (l *Ledger) Run(ctx context.Context) {
	for {
		select {
		case w := <-l.queue.Out():
			began := l.opts.Clock.Now()
			l.writeAll(context.WithoutCancel(ctx), l.gather(w))
			l.rest(ctx, began)
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
			l.writeAll(ctx, l.gather(w))
		default:
			return
		}
	}
}

func (l *Ledger) rest(ctx context.Context, began clock.Time) {
	left := l.opts.Interval() - l.opts.Clock.Now().Sub(began)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// gather takes what else waits, at most one write per key.
func (l *Ledger) gather(first *write) []*write {
	batch := []*write{first}
	keys := map[string]bool{first.key: true}
	for len(batch) < rowsPerTxn {
		select {
		case w := <-l.queue.Out():
			if keys[w.key] {
				// Two claims of one key in one window: the later finds the
				// earlier, as if it had come through another entry VM.
				w.reply <- l.collide(batch, w)
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

func (l *Ledger) collide(batch []*write, w *write) written {
	for _, other := range batch {
		if other.key == w.key {
			return written{conflict: &platform.Row{
				Key:     OrderPrefix + w.key,
				Version: w.version,
				Value:   encode(other.row),
			}}
		}
	}
	return written{err: Error.New("no write of %s in the batch", w.key)}
}

// writeAll commits the batch, leaving out the writes that meet another row, as
// often as that takes.
func (l *Ledger) writeAll(ctx context.Context, batch []*write) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout.Duration())
	defer cancel()
	for len(batch) > 0 {
		verdict, err := l.opts.Platform.Commit(ctx, l.txn(batch))
		if err != nil {
			answerAll(batch, written{err: err})
			return
		}
		if verdict.Committed {
			answerAll(batch, written{version: verdict.Version})
			return
		}
		left := leaveOut(batch, verdict.Conflicts)
		if len(left) == len(batch) {
			answerAll(batch, written{err: Error.New("conflict outside the batch")})
			return
		}
		batch = left
	}
}

func answerAll(batch []*write, done written) {
	for _, w := range batch {
		w.reply <- done
	}
}

func leaveOut(batch []*write, conflicts []platform.Row) []*write {
	met := make(map[string]platform.Row, len(conflicts))
	for _, row := range conflicts {
		met[row.Key] = row
	}
	var left []*write
	for _, w := range batch {
		row, ok := met[OrderPrefix+w.key]
		if !ok {
			left = append(left, w)
			continue
		}
		w.reply <- written{conflict: &row}
	}
	return left
}

func (l *Ledger) txn(batch []*write) platform.Txn {
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
			Value: encode(row),
		})
	}
	for _, w := range batch {
		key := claimKey(w.row.Holder, w.key)
		if w.claim {
			txn.Puts = append(txn.Puts, platform.Row{
				Key:   key,
				Value: encode(struct{}{}),
			})
		} else {
			txn.Deletes = append(txn.Deletes, key)
		}
	}
	return txn
}

func encode(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // only plain structs are passed
	}
	return data
}
