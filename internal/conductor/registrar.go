package conductor

import (
	"context"
	"encoding/json"
	"slices"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/address"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	// registerInterval is how often a VM renews its row while advice is wanted, and how
	// often the owner reads the rows of all VMs.
	registerInterval = 2 * clock.Second
	// registrationTTL is how long a VM counts as registered after its row last changed.
	registrationTTL = 3 * registerInterval
)

// vmRow is the stored row of a VM through which the adviser can be queried. Each
// renewal increments Serial.
type vmRow struct {
	Address string `json:"address"`
	Serial  uint64 `json:"serial"`
}

// anyQueueAdvised reports whether any queue has advice.
func (c *Conductor) anyQueueAdvised() bool {
	ops, ok := c.opts.Operations()
	return ok && slices.ContainsFunc(ops.Queues, func(q document.Queue) bool { return q.Advised })
}

// adviceWanted reports whether a queue has advice, or a job of the cell needs it according to
// its owner.
func (c *Conductor) adviceWanted() bool {
	c.mu.Lock()
	advised := c.lastSeen.head.Advised
	c.mu.Unlock()
	return advised || c.anyQueueAdvised()
}

// register renews this VM's row periodically while advice is wanted.
func (c *Conductor) register(ctx context.Context) {
	row := vmRow{Address: c.opts.Probe}
	for ctx.Err() == nil {
		if c.adviceWanted() {
			row.Serial++
			c.writeVM(ctx, row)
		}
		sleep(ctx, registerInterval)
	}
}

func (c *Conductor) writeVM(ctx context.Context, row vmRow) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	_, err := c.opts.Store.Commit(ctx, table.Txn{
		Part: acceptor.VMsPart,
		Puts: []table.Put{newPut(acceptor.VMsTable, c.opts.VM, row)},
	})
	if err != nil {
		c.opts.Log.Warn("vm-not-registered", "error", err.Error())
	}
}

// liveVMs returns the addresses of this VM and of the VMs whose rows have changed
// within registrationTTL.
func (c *Conductor) liveVMs(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
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
		row, err := decodeVM(r.Value)
		if fault, isNew := c.vmFaults.Record(r.Key, err); isNew {
			c.opts.Log.Error("row-unreadable", "table", acceptor.VMsTable, "key", r.Key, "version", r.Version, "error", fault)
		}
		c.registered[r.Key] = registration{
			address:   row.Address,
			version:   r.Version,
			changedAt: now,
		}
	}
	addresses := []string{c.opts.Probe}
	for vm, seen := range c.registered {
		if vm != c.opts.VM && seen.address != "" && now.Sub(seen.changedAt) < registrationTTL {
			addresses = append(addresses, seen.address)
		}
	}
	return addresses
}

// decodeVM decodes a vmRow. Its address is empty after an error.
func decodeVM(value []byte) (vmRow, error) {
	var row vmRow
	if err := json.Unmarshal(value, &row); err != nil {
		return vmRow{}, Error.Wrap(err)
	}
	if err := address.CheckHost(row.Address); err != nil {
		return vmRow{}, Error.Wrap(err)
	}
	return row, nil
}

// registration is the last observed state of a VM's row. changedAt is when this process
// first saw the row at that version. The address is empty if the row can't be read.
type registration struct {
	address   string
	version   uint64
	changedAt clock.Time
}
