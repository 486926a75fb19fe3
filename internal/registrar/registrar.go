// Package registrar keeps the membership row of an entry VM in the platform's table
// and evicts members that have stopped.
//
// A member renews its row every few seconds by a compare-and-set on the row's
// version. A member is a candidate for eviction if its peers have received no
// heartbeat from it for a long time and its row has not changed for as long on the
// observer's own clock. It is evicted by a compare-and-set on that version that marks
// the row as gone: if the member had renewed the row meanwhile, this would fail.
// Once it succeeds, the member certainly counts as stopped. A member without a row
// is marked in the same way, with version 0, once it has had no row for as long,
// since it may have started while the platform was down. A member that was paused
// and finds its row changed has been evicted and rejoins.
//
// # Usage
//
//	r := registrar.New(registrar.Options{Platform: client, Self: self, ...})
//	go r.Run(ctx)
package registrar

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"marjoramstack/internal/logger"
	"marjoramstack/internal/peer"
	"marjoramstack/internal/platform"
	"marjoramstack/pkg/clock"
)

// Error is the class of this package's errors.
var Error = errs.Class("registrar")

// Prefix is the table prefix of the members' rows. It is followed by the
// availability zone, a slash and the member's identifier.
const Prefix = "entry/"

// A row is renewed every renewInterval. A mark that a member is gone is deleted after
// goneMarkRetention.
const (
	renewInterval     = 3 * clock.Second
	callTimeout       = 2 * clock.Second
	goneMarkRetention = 1 * clock.Minute
)

// absentVersion is the version of a row that does not exist.
const absentVersion platform.Version = 0

// Row is the stored membership row of an entry VM. Beats counts its renewals; Gone
// marks a member that was evicted.
type Row struct {
	Txn    string      `json:"txn"`
	Member peer.Member `json:"member"`
	Beats  uint64      `json:"beats"`
	Gone   bool        `json:"gone,omitempty"`
}

// Options are the dependencies and callbacks of a Registrar. Self is the member that
// it registers.
type Options struct {
	Platform *platform.Client
	Self     peer.Member
	Clock    clock.Clock
	Log      *logger.Logger
	// Evicted is called when the row of Self has been changed or deleted by others.
	Evicted func()
	// Renewed is called with the send time of each renewal that found the row
	// unchanged since the previous renewal.
	Renewed func(sent clock.Time)
	// Seen is called with the members of the local zone that have rows.
	Seen func(members []peer.Member)
	// Silent returns the members that have sent no heartbeat for the span.
	Silent func(span clock.Span) []string
	// Gone is called with a member that has certainly stopped.
	Gone func(id string)
	// DeadAfter returns how long a member must be silent, and its row unchanged,
	// before it is evicted.
	DeadAfter func() clock.Span
}

// Registrar registers one entry VM. Only Run may access its fields.
type Registrar struct {
	opts     Options
	version  platform.Version
	beats    uint64
	lastRead clock.Time
	observed map[string]observation
	// faults are the faults of members' rows, by key.
	faults logger.Faults
}

// observation is the version of another member's row and the time since which it has
// been unchanged.
type observation struct {
	version platform.Version
	since   clock.Time
}

// New returns a Registrar, which does nothing until Run is called.
func New(opts Options) *Registrar {
	return &Registrar{
		opts:     opts,
		observed: map[string]observation{},
		faults:   logger.Faults{},
	}
}

func (r *Registrar) key() string {
	return Prefix + r.opts.Self.Zone + "/" + r.opts.Self.ID
}

// Run renews the row of Self and evicts members that have stopped, until ctx ends.
// It then deletes the row of Self.
func (r *Registrar) Run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval.Duration())
	defer ticker.Stop()
	for {
		r.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			r.deregister()
			return
		}
	}
}

func (r *Registrar) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout.Duration())
	defer cancel()
	if err := r.renew(ctx); err != nil {
		r.opts.Log.Debug("row-not-renewed", "error", err.Error())
		return
	}
	if err := r.refreshMembers(ctx); err != nil {
		r.opts.Log.Debug("members-not-read", "error", err.Error())
	}
}

func (r *Registrar) renew(ctx context.Context) error {
	r.beats++
	row := Row{
		Txn:    fmt.Sprintf("%s-%d", r.opts.Self.ID, r.beats),
		Member: r.opts.Self,
		Beats:  r.beats,
	}
	value, err := json.Marshal(row)
	if err != nil {
		return Error.Wrap(err)
	}
	sent := r.opts.Clock.Now()
	verdict, err := r.opts.Platform.Commit(ctx, platform.Txn{
		ID: row.Txn,
		Checks: []platform.Check{{
			Key:     r.key(),
			Version: r.version,
		}},
		Puts: []platform.Row{{
			Key:   r.key(),
			Value: value,
		}},
	})
	if err != nil {
		return err
	}
	if !verdict.Committed {
		return r.rejoin(verdict)
	}
	renewed := r.version != 0
	r.version = verdict.Version
	if renewed {
		r.opts.Renewed(sent)
	}
	return nil
}

// rejoin handles a failed renewal. If the row has changed, others considered this
// member dead: it adopts the new version, so that the next renewal replaces the row.
func (r *Registrar) rejoin(verdict platform.Verdict) error {
	for _, row := range verdict.Conflicts {
		if row.Key == r.key() {
			r.opts.Log.Warn("evicted", "member", r.opts.Self.ID)
			r.version = row.Version
			r.opts.Evicted()
		}
	}
	return Error.New("the member row has changed since the last renewal")
}

// refreshMembers reads the rows of the local zone, reports the members that have rows
// and evicts those that have stopped.
func (r *Registrar) refreshMembers(ctx context.Context) error {
	rows, err := r.opts.Platform.ReadAll(ctx, Prefix+r.opts.Self.Zone+"/")
	if err != nil {
		return err
	}
	now := r.opts.Clock.Now()
	if now.Sub(r.lastRead) > 2*renewInterval {
		// While the platform was unreachable nobody could renew, so earlier
		// observations are no evidence that a member has stopped.
		r.observed = map[string]observation{}
	}
	r.lastRead = now
	byID := map[string]memberRow{}
	var members []peer.Member
	for _, row := range rows {
		m, err := DecodeRow(row)
		if fault, isNew := r.faults.Record(row.Key, err); isNew {
			r.opts.Log.Warn("member-row-ignored", "key", row.Key, "version", row.Version, "error", fault)
		}
		if err != nil {
			continue
		}
		byID[m.Member.ID] = memberRow{
			row:  row,
			gone: m.Gone,
		}
		r.observe(m.Member.ID, row.Version, now)
		if m.Gone {
			r.expireGoneMark(ctx, now, m.Member.ID, row)
			continue
		}
		members = append(members, m.Member)
	}
	for id := range r.observed {
		if _, registered := byID[id]; !registered {
			r.observe(id, absentVersion, now)
		}
	}
	r.opts.Seen(members)
	r.markSilentGone(ctx, now, byID)
	return nil
}

func (r *Registrar) observe(id string, version platform.Version, now clock.Time) {
	if last, ok := r.observed[id]; ok && last.version == version {
		return
	}
	r.observed[id] = observation{
		version: version,
		since:   now,
	}
}

type memberRow struct {
	row  platform.Row
	gone bool
}

// markSilentGone evicts the silent members whose rows have been unchanged, or absent,
// for DeadAfter. A member that another observer has already marked is reported at
// once.
func (r *Registrar) markSilentGone(ctx context.Context, now clock.Time, byID map[string]memberRow) {
	timeout := r.opts.DeadAfter()
	for _, id := range r.opts.Silent(timeout) {
		current, registered := byID[id]
		if !registered {
			r.observe(id, absentVersion, now)
		}
		if !current.gone {
			if now.Sub(r.observed[id].since) < timeout {
				continue
			}
			if !r.markGone(ctx, id, current.row.Version) {
				continue
			}
		}
		r.opts.Log.Warn("member-gone", "member", id, "reason", "silent-and-not-renewed")
		r.opts.Gone(id)
	}
}

// markGone marks a member as gone if its row still has the given version, 0 if it has
// none. It reports whether the mark was written.
func (r *Registrar) markGone(ctx context.Context, id string, version platform.Version) bool {
	row := Row{
		Txn: fmt.Sprintf("gone-%s-%d-%s", id, version, r.opts.Self.ID),
		Member: peer.Member{
			ID:   id,
			Zone: r.opts.Self.Zone,
		},
		Gone: true,
	}
	value, err := json.Marshal(row)
	if err != nil {
		return false
	}
	key := Prefix + r.opts.Self.Zone + "/" + id
	verdict, err := r.opts.Platform.Commit(ctx, platform.Txn{
		ID: row.Txn,
		Checks: []platform.Check{{
			Key:     key,
			Version: version,
		}},
		Puts: []platform.Row{{
			Key:   key,
			Value: value,
		}},
	})
	return err == nil && verdict.Committed
}

// expireGoneMark deletes a mark that is older than goneMarkRetention. If the member
// resumes after that, its next renewal still fails because its row has changed.
func (r *Registrar) expireGoneMark(ctx context.Context, now clock.Time, id string, row platform.Row) {
	if now.Sub(r.observed[id].since) >= goneMarkRetention {
		r.deleteRow(ctx, row)
	}
}

// deleteRow deletes a row if it still has its version. A conflict is ignored, because
// then another member has already deleted or replaced the row.
func (r *Registrar) deleteRow(ctx context.Context, row platform.Row) {
	_, err := r.opts.Platform.Commit(ctx, platform.Txn{
		ID: fmt.Sprintf("delete-%s-%d", row.Key, row.Version),
		Checks: []platform.Check{{
			Key:     row.Key,
			Version: row.Version,
		}},
		Deletes: []string{row.Key},
	})
	if err != nil {
		r.opts.Log.Debug("row-not-deleted", "key", row.Key, "error", err.Error())
	}
}

// deregister deletes the row of Self at a planned stop.
func (r *Registrar) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
	defer cancel()
	r.deleteRow(ctx, platform.Row{
		Key:     r.key(),
		Version: r.version,
	})
}
