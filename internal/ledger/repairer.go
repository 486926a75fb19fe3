package ledger

import (
	"context"
	"encoding/json"
	"time"

	"marjoramstack/internal/platform"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

const repairRetryInterval = 500 * clock.Millisecond

// uncertainClaim is a claim that may or may not have been recorded.
type uncertainClaim struct {
	key string
	row Row
}

// Repair settles claims whose transaction had an unknown outcome and whose orders
// were therefore not dispatched. It runs until ctx ends.
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

func (l *Ledger) repairUntilDone(ctx context.Context, claim uncertainClaim) {
	for !l.repair(ctx, claim) {
		timer := time.NewTimer(repairRetryInterval.Duration())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// repair writes a not-run row over the claim, or in its place if the claim has not
// been stored, and reports whether the repair is complete. A later claim of the same
// key by this holder has another nonce and is not changed.
func (l *Ledger) repair(ctx context.Context, claim uncertainClaim) bool {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout.Duration())
	defer cancel()
	row, err := l.opts.Platform.Get(ctx, OrderPrefix+claim.key)
	if err != nil {
		return false
	}
	if row.Version != 0 {
		var existing Row
		if json.Unmarshal(row.Value, &existing) != nil {
			return true
		}
		if existing.Holder != claim.row.Holder || existing.Nonce != claim.row.Nonce || existing.State != StateClaimed {
			return true
		}
	}
	res, err := l.write(ctx, l.settlement(claim.key, row.Version, claim.row, StateNotRun, result.LedgerUnavailable))
	return err == nil && res.conflict == nil
}

// settlement returns the write that replaces a claim by a final state.
func (l *Ledger) settlement(key string, version platform.Version, row Row, state State, code result.Code) *pendingWrite {
	row.State = state
	row.Code = code
	row.At = int64(l.opts.Clock.Now())
	return &pendingWrite{
		key:     key,
		version: version,
		row:     row,
		reply:   make(chan writeResult, 1),
	}
}

// SettleDead settles the orders claimed by dead holders as unknown: they may have
// run, and are not run again. It returns the number of claims handled. The function
// alive reports whether a holder may still be alive.
func (l *Ledger) SettleDead(ctx context.Context, alive func(holder string) bool) (int, error) {
	rows, err := l.opts.Platform.ReadAll(ctx, ClaimPrefix)
	if err != nil {
		return 0, err
	}
	settled := 0
	for _, row := range rows {
		holder, key, ok := parseClaimKey(row.Key)
		if !ok || alive(holder) {
			continue
		}
		if err := l.settleDeadClaim(ctx, holder, key); err != nil {
			return settled, err
		}
		settled++
	}
	return settled, nil
}

func (l *Ledger) settleDeadClaim(ctx context.Context, holder, key string) error {
	row, err := l.opts.Platform.Get(ctx, OrderPrefix+key)
	if err != nil {
		return err
	}
	var existing Row
	if json.Unmarshal(row.Value, &existing) != nil || existing.State != StateClaimed || existing.Holder != holder {
		return nil
	}
	l.opts.Log.Info("order-settled", "order", key, "holder", holder, "outcome", string(StateUnknown), "reason", "holder-died")
	_, err = l.write(ctx, l.settlement(key, row.Version, existing, StateUnknown, result.OrderOutcomeLost))
	return err
}
