package ledger

import (
	"context"
	"encoding/json"
	"time"

	"marjoramstack/internal/platform"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

const repairPause = 500 * clock.Millisecond

// unclear is a claim of which it is unknown whether it was recorded.
type unclear struct {
	key string
	row Row
}

// Repair settles claims whose transaction had an unknown outcome and which were
// therefore not dispatched. It runs until ctx ends.
func (l *Ledger) Repair(ctx context.Context) {
	for {
		select {
		case claim := <-l.repairs.Out():
			l.repairUntilDone(ctx, claim)
		case <-ctx.Done():
			return
		}
	}
}

func (l *Ledger) repairUntilDone(ctx context.Context, claim unclear) {
	for !l.repair(ctx, claim) {
		timer := time.NewTimer(repairPause.Duration())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// repair writes not-run over the claim, or in its place if it has not arrived,
// and reports whether nothing is left to do. A later claim of the same key by
// this holder has another nonce and is left alone.
func (l *Ledger) repair(ctx context.Context, claim unclear) bool {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout.Duration())
	defer cancel()
	row, err := l.opts.Platform.Get(ctx, OrderPrefix+claim.key)
	if err != nil {
		return false
	}
	if row.Version != 0 {
		var present Row
		if json.Unmarshal(row.Value, &present) != nil {
			return true
		}
		if present.Holder != claim.row.Holder || present.Nonce != claim.row.Nonce || present.State != StateClaimed {
			return true
		}
	}
	done, err := l.write(ctx, l.settling(claim.key, row.Version, claim.row, StateNotRun, result.LedgerUnavailable))
	return err == nil && done.conflict == nil
}

func (l *Ledger) settling(key string, version platform.Version, row Row, state State, code result.Code) *write {
	row.State = state
	row.Code = code
	row.At = int64(l.opts.Clock.Now())
	return &write{
		key:     key,
		version: version,
		row:     row,
		reply:   make(chan written, 1),
	}
}

// SettleDead settles the orders that dead holders had claimed: whether they ran
// is unknown, and they are not run again. It returns how many it settled. Alive
// reports whether a holder may still live.
func (l *Ledger) SettleDead(ctx context.Context, alive func(holder string) bool) (int, error) {
	rows, err := l.opts.Platform.ReadAll(ctx, ClaimPrefix)
	if err != nil {
		return 0, err
	}
	settled := 0
	for _, row := range rows {
		holder, key, ok := splitClaim(row.Key)
		if !ok || alive(holder) {
			continue
		}
		if err := l.settleDead(ctx, holder, key); err != nil {
			return settled, err
		}
		settled++
	}
	return settled, nil
}

func (l *Ledger) settleDead(ctx context.Context, holder, key string) error {
	row, err := l.opts.Platform.Get(ctx, OrderPrefix+key)
	if err != nil {
		return err
	}
	var present Row
	if json.Unmarshal(row.Value, &present) != nil || present.State != StateClaimed || present.Holder != holder {
		return nil
	}
	l.opts.Log.Info("order-settled", "order", key, "holder", holder, "outcome", string(StateUnknown), "reason", "holder-died")
	_, err = l.write(ctx, l.settling(key, row.Version, present, StateUnknown, result.OrderOutcomeLost))
	return err
}
