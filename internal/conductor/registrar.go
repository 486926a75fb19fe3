package conductor

import (
	"context"
	"encoding/json"
	"slices"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// registerEvery is how often a VM renews its row while a queue has advice, and
	// how often the owner reads those of all.
	registerEvery = 2 * clock.Second
	// registeredFor is how long a row may stand unchanged.
	registeredFor = 3 * registerEvery
)

// vmRow is a VM through which the adviser can be asked. Serial rises with each
// renewal.
type vmRow struct {
	Address string `json:"address"`
	Serial  uint64 `json:"serial"`
}

// advised reports whether any queue has advice.
func (c *Conductor) advised() bool {
	ops, ok := c.opts.Operations()
	return ok && slices.ContainsFunc(ops.Queues, func(q document.Queue) bool { return q.Advised })
}

// register renews this VM's row now and then, while a queue has advice.
func (c *Conductor) register(ctx context.Context) {
	row := vmRow{Address: c.opts.Probe}
	for ctx.Err() == nil {
		if c.advised() {
			row.Serial++
			c.writeVM(ctx, row)
		}
		sleep(ctx, registerEvery)
	}
}

func (c *Conductor) writeVM(ctx context.Context, row vmRow) {
	ctx, cancel := context.WithTimeout(ctx, callWithin.Duration())
	defer cancel()
	_, err := c.opts.Store.Commit(ctx, table.Txn{
		Part: acceptor.VMsPart,
		Puts: []table.Put{put(acceptor.VMsTable, c.opts.VM, row)},
	})
	if err != nil {
		c.opts.Log.Warn("vm-not-registered", "error", err.Error())
	}
}

// vms returns the addresses of the VMs whose rows change, this one's among them.
func (c *Conductor) vms(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, callWithin.Duration())
	defer cancel()
	page, err := c.opts.Store.List(ctx, table.Query{
		Table: acceptor.VMsTable,
		Part:  acceptor.VMsPart,
		Limit: pageRows,
	})
	if err != nil {
		c.opts.Log.Warn("vms-unread", "error", err.Error())
	}
	now := c.opts.Clock.Now()
	for _, r := range page.Rows {
		if seen := c.registered[r.Key]; seen.version == r.Version {
			continue
		}
		var row vmRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			c.opts.Log.Error("row-unreadable", "table", acceptor.VMsTable, "key", r.Key, "version", r.Version, "error", err.Error())
			continue
		}
		c.registered[r.Key] = registration{
			address: row.Address,
			version: r.Version,
			since:   now,
		}
	}
	addresses := []string{c.opts.Probe}
	for vm, seen := range c.registered {
		if vm != c.opts.VM && now.Sub(seen.since) < registeredFor {
			addresses = append(addresses, seen.address)
		}
	}
	return addresses
}

// registration is what was last seen of a VM's row.
type registration struct {
	address string
	version uint64
	since   clock.Time
}
