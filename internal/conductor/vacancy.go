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

// vacancy tells why a cell may be taken.
type vacancy int

const (
	occupied vacancy = iota
	vacantNew
	vacantReleased
	vacantRestarted
	vacantLapsed
	vacantSilent
)

var vacancyReasons = [...]string{"", "no owner yet", "given up", "this VM's process was restarted", "the lease ran out", "the owner does not answer or can't write"}

// vacancy returns why the cell may be taken, if it may.
func (c *Conductor) vacancy(row table.Row, head acceptor.Head, watch *leaser.Observer) vacancy {
	now := c.opts.Clock.Now()
	switch {
	case row.Version == 0:
		return vacantNew
	case head.Released:
		return vacantReleased
	case head.VM == c.opts.VM:
		return vacantRestarted
	case watch.Expired(now, cellLease, 0):
		return vacantLapsed
	case !watch.Expired(now, quietLeast, 0):
		c.doubts = 0
	case c.acts(head.Probe):
		c.doubts = 0
	default:
		c.doubts++
		c.opts.Log.Info("owner-doubted", "owner", head.VM, "epoch", head.Epoch, "version", row.Version, "standing-ms", int64(watch.UnchangedFor(now)), "doubts", c.doubts)
	}
	if c.doubts >= doubtsMost && watch.Expired(c.opts.Clock.Now(), quietMost+slowFactor*c.reads.Typical(), 0) {
		return vacantSilent
	}
	return occupied
}

const (
	// shareAtFirst is the share of a core, in thousandths, from which on a VM
	// takes a cell at once that has never had an owner.
	shareAtFirst = 800
	// handicapFirst and handicapLater are how long a VM waits for each
	// thousandth that it has less than that, or than the last owner.
	handicapFirst = 500 * time.Microsecond
	handicapLater = 2 * time.Millisecond
)

// handicap is how long this VM leaves a vacant cell to larger ones.
func (c *Conductor) handicap(head acceptor.Head, why vacancy) clock.Span {
	switch why {
	case vacantNew:
		return clock.FromDuration(time.Duration(max(shareAtFirst-c.opts.Share, 0)) * handicapFirst)
	case vacantRestarted:
		return 0
	}
	return clock.FromDuration(time.Duration(max(head.Share-c.opts.Share, 0)) * handicapLater)
}

// acts reports whether the owner says that its writes are confirmed. An owner
// that can't be asked may still act: whoever takes over counts on that until
// its lease has run out.
func (c *Conductor) acts(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+OwnerPath, nil)
	if err != nil {
		c.opts.Log.Error("probe-malformed", "address", address, "error", err.Error())
		return true
	}
	resp, err := c.probes.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
