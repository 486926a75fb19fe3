package conductor

import (
	"context"
	"net/http"
	"time"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/leaser"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
)

// vacancy is the reason why a cell may be taken.
type vacancy int

const (
	occupied vacancy = iota
	vacantNew
	vacantReleased
	vacantRestarted
	vacantLapsed
	vacantUnresponsive
)

var vacancyReasons = [...]string{"", "no owner yet", "given up", "this VM's process was restarted", "the lease ran out", "the owner does not answer or can't write"}

// vacancy returns why the cell may be taken, or occupied if it may not be.
func (c *Conductor) vacancy(row table.Row, head acceptor.Head, observer *leaser.Observer) vacancy {
	now := c.opts.Clock.Now()
	switch {
	case row.Version == 0:
		return vacantNew
	case head.Released:
		return vacantReleased
	case head.VM == c.opts.VM:
		return vacantRestarted
	case observer.Expired(now, cellLease, 0):
		return vacantLapsed
	case !observer.Expired(now, probeAfter, 0):
		c.failedProbes = 0
	case c.probeOwner(head.Probe):
		c.failedProbes = 0
	default:
		c.failedProbes++
		c.opts.Log.Info("owner-doubted", "owner", head.VM, "epoch", head.Epoch, "version", row.Version, "unchanged-ms", int64(observer.UnchangedFor(now)), "failed-probes", c.failedProbes)
	}
	if c.failedProbes >= minFailedProbes && observer.Expired(c.opts.Clock.Now(), takeoverAfter+latencyFactor*c.readLatency.Typical(), 0) {
		return vacantUnresponsive
	}
	return occupied
}

const (
	// A VM whose share of a core, in thousandths, is at least fullShare does not wait
	// before it takes a cell that has never had an owner.
	fullShare = 800
	// firstDelayPerShare and laterDelayPerShare are the delays for each thousandth that
	// a VM has less than fullShare, or less than the last owner.
	firstDelayPerShare = 500 * time.Microsecond
	laterDelayPerShare = 2 * time.Millisecond
)

// takeoverDelay returns how long this VM waits so that VMs with a larger share can take
// the cell first.
func (c *Conductor) takeoverDelay(head acceptor.Head, reason vacancy) clock.Span {
	switch reason {
	case vacantNew:
		return clock.FromDuration(time.Duration(max(fullShare-c.opts.Share, 0)) * firstDelayPerShare)
	case vacantRestarted:
		return 0
	}
	return clock.FromDuration(time.Duration(max(head.Share-c.opts.Share, 0)) * laterDelayPerShare)
}

// probeOwner reports whether the owner confirms that its writes succeed. An owner that
// cannot be reached may still act; its successor allows for that until the owner's
// lease has expired.
func (c *Conductor) probeOwner(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+OwnerPath, nil)
	if err != nil {
		c.opts.Log.Error("probe-malformed", "address", address, "error", err.Error())
		return true
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
