package entry

import (
	"context"
	"time"

	"marjoramstack/internal/platform"
	"marjoramstack/internal/registrar"
)

const settleInterval = 3 * time.Second

// settleLoop settles the orders held by entry VMs that have stopped. Only the leader of
// each zone does this.
func (e *Entry) settleLoop(ctx context.Context) {
	every(ctx, settleInterval, func() {
		if !e.isZoneLeader() {
			return
		}
		rows, err := e.platform.ReadAll(ctx, registrar.Prefix)
		if err != nil {
			return
		}
		alive := liveHolders(e.id, rows)
		if _, err := e.ledger.SettleDead(ctx, func(holder string) bool { return alive[holder] }); err != nil {
			e.log.Debug("orders-not-settled", "error", err.Error())
		}
	})
}

// liveHolders returns the members that may run orders: this one and each with a row, also
// one that can't be read, unless the row marks the member as gone.
func liveHolders(self string, rows []platform.Row) map[string]bool {
	alive := map[string]bool{self: true}
	for _, row := range rows {
		if r, err := registrar.DecodeRow(row); err != nil || !r.Gone {
			alive[registrar.MemberOf(row.Key)] = true
		}
	}
	return alive
}
