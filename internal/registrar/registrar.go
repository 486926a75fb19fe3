// Package registrar keeps the entry VM's row among the members in the platform's
// table and removes the rows of members that are gone.
//
// A member's row is renewed under its version every few seconds. A member that
// its peers have not heard for long, and whose row has stood unchanged for as
// long on the observer's own clock, is gone for certain once its row has been
// marked so under that version: had it renewed meanwhile, the mark would fail. A
// member that has no row is marked in the same way, under version 0, once it has
// had none for as long: it may have started while the platform was down. One
// that wakes up and finds its row changed has been evicted and joins anew.
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

// Prefix is the table prefix of the members' rows; the availability zone and
// the member's identifier follow.
const Prefix = "entry/"

const (
	renewEvery  = 3 * clock.Second
	callTimeout = 2 * clock.Second
	markKept    = 1 * clock.Minute
)

// absent is the version of a row that is not there.
const absent platform.Version = 0

// Row is a member's row.
type Row struct {
	Txn    string      `json:"txn"`
	Member peer.Member `json:"member"`
	Beats  uint64      `json:"beats"`
	Gone   bool        `json:"gone,omitempty"`
}

// Options say who registers and whom it tells.
type Options struct {
	Platform *platform.Client
	Self     peer.Member
	Clock    clock.Clock
	Log      *logger.Logger
	// Evicted is called when the own row turns out to have been deleted.
	Evicted func()
	// Renewed is called after a renewal that was sent at the time has found the
	// row as the last one had left it.
	Renewed func(sent clock.Time)
	// Seen is called with the members of the own zone that have rows.
	Seen func(members []peer.Member)
	// Silent returns the members not heard for the span.
	Silent func(span clock.Span) []string
	// Gone is called with a member that is gone for certain.
	Gone func(id string)
	// DeadAfter is how long silence must last before a row is deleted.
	DeadAfter func() clock.Span
}

// Registrar registers one entry VM. Its fields belong to Run.
type Registrar struct {
	opts    Options
	version platform.Version
	beats   uint64
	looked  clock.Time
	watched map[string]watch
}

// watch is a row of another member and since when it has stood unchanged.
type watch struct {
	version platform.Version
	since   clock.Time
}

// New returns a Registrar.
func New(opts Options) *Registrar {
	return &Registrar{
		opts:    opts,
		watched: map[string]watch{},
	}
}

func (r *Registrar) key() string {
	return Prefix + r.opts.Self.Zone + "/" + r.opts.Self.ID
}

// Run renews and watches until ctx ends, and then deletes the own row.
func (r *Registrar) Run(ctx context.Context) {
	ticker := time.NewTicker(renewEvery.Duration())
	defer ticker.Stop()
	for {
		r.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			r.leave()
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
	if err := r.look(ctx); err != nil {
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
	kept := r.version != 0
	r.version = verdict.Version
	if kept {
		r.opts.Renewed(sent)
	}
	return nil
}

// rejoin takes up the row as it is: others took this member for dead.
func (r *Registrar) rejoin(verdict platform.Verdict) error {
	for _, row := range verdict.Conflicts {
		if row.Key == r.key() {
			r.opts.Log.Warn("evicted", "member", r.opts.Self.ID)
			r.version = row.Version
			r.opts.Evicted()
		}
	}
	return Error.New("the row had changed")
}

// look reads the rows of the own zone, tells who is there and deletes the rows
// of the dead.
func (r *Registrar) look(ctx context.Context) error {
	rows, err := r.opts.Platform.ReadAll(ctx, Prefix+r.opts.Self.Zone+"/")
	if err != nil {
		return err
	}
	now := r.opts.Clock.Now()
	if now.Sub(r.looked) > 2*renewEvery {
		// While the platform was away nobody could renew, so what was seen
		// before tells nothing.
		r.watched = map[string]watch{}
	}
	r.looked = now
	present := map[string]found{}
	var members []peer.Member
	for _, row := range rows {
		var m Row
		if json.Unmarshal(row.Value, &m) != nil {
			continue
		}
		present[m.Member.ID] = found{
			row:  row,
			gone: m.Gone,
		}
		r.observe(m.Member.ID, row.Version, now)
		if m.Gone {
			r.clear(ctx, now, m.Member.ID, row)
			continue
		}
		members = append(members, m.Member)
	}
	for id := range r.watched {
		if _, registered := present[id]; !registered {
			r.observe(id, absent, now)
		}
	}
	r.opts.Seen(members)
	r.buryDead(ctx, now, present)
	return nil
}

func (r *Registrar) observe(id string, version platform.Version, now clock.Time) {
	if w, ok := r.watched[id]; ok && w.version == version {
		return
	}
	r.watched[id] = watch{
		version: version,
		since:   now,
	}
}

// found is the row of a member as it was read.
type found struct {
	row  platform.Row
	gone bool
}

func (r *Registrar) buryDead(ctx context.Context, now clock.Time, present map[string]found) {
	span := r.opts.DeadAfter()
	for _, id := range r.opts.Silent(span) {
		f, registered := present[id]
		if !registered {
			r.observe(id, absent, now)
		}
		if !f.gone {
			if now.Sub(r.watched[id].since) < span {
				continue
			}
			if !r.mark(ctx, id, f.row.Version) {
				continue
			}
		}
		r.opts.Log.Warn("member-gone", "member", id, "reason", "silent-and-not-renewed")
		r.opts.Gone(id)
	}
}

// mark marks a member's row as gone under its version, 0 if there is none.
func (r *Registrar) mark(ctx context.Context, id string, version platform.Version) bool {
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

// clear deletes a mark that has stood for long. The member, should it still
// wake, finds its row changed all the same.
func (r *Registrar) clear(ctx context.Context, now clock.Time, id string, row platform.Row) {
	if now.Sub(r.watched[id].since) >= markKept {
		r.delete(ctx, row)
	}
}

// delete removes a row under its version. That another has removed it already
// is as good.
func (r *Registrar) delete(ctx context.Context, row platform.Row) {
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

// leave deletes the own row at a planned stop.
func (r *Registrar) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout.Duration())
	defer cancel()
	r.delete(ctx, platform.Row{
		Key:     r.key(),
		Version: r.version,
	})
}
