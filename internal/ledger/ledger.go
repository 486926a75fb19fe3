// Package ledger records every order in the platform's table: a claim before it
// is dispatched, and one final outcome.
//
// An order is a request that must not run twice. Its row is named by its key,
// so whichever entry VM claims the key first runs it and the others find the
// claim. Claims and outcomes of a short window share one transaction.
//
// A claim whose transaction has an unknown outcome is not dispatched; a row
// with outcome not-run is then written over it, which also fences the claim if
// it is still on its way. A claim whose holder died is settled as unknown by
// whoever finds it; the holder, should it wake, finds that and reports the
// same.
//
// Counts are made from the rows, so they cannot part from them.
//
// # Usage
//
//	l := ledger.New(ledger.Options{Platform: client, Holder: "vm-1.7", ...})
//	go l.Run(ctx)
//	claim, err := l.Claim(ctx, ledger.Order{Key: key, Digest: digest})
//	if claim.Won { ...dispatch...; final, err := l.Settle(ctx, claim, outcome) }
package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/zeebo/errs"

	"marjoramstack/internal/logger"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/ring"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

// Error is the class of this package's errors.
var Error = errs.Class("ledger")

// Prefixes of the rows that orders keep in the platform's table. A row below
// ClaimPrefix exists while an order is claimed, named by holder and key.
const (
	OrderPrefix = "order/"
	ClaimPrefix = "claim/"
)

// MaxStoredBody bounds the answer's body that is kept for callers who repeat a
// key.
const MaxStoredBody = 8 << 10

// State is where an order stands.
type State string

// States of orders. All but StateClaimed are final, but an order that was not
// run may be claimed again by its caller's next try.
const (
	StateClaimed State = "claimed"
	StateRan     State = "ran"
	StateNotRun  State = "not-run"
	StateUnknown State = "unknown"
)

// Row is an order as the table holds it.
type Row struct {
	Txn      string              `json:"txn"`
	State    State               `json:"state"`
	Class    string              `json:"class"`
	Holder   string              `json:"holder"`
	Nonce    uint64              `json:"nonce,omitempty"`
	Digest   string              `json:"digest"`
	Code     result.Code         `json:"code,omitempty"`
	Endpoint string              `json:"endpoint,omitempty"`
	Status   int                 `json:"status,omitempty"`
	Header   map[string][]string `json:"header,omitempty"`
	Body     []byte              `json:"body,omitempty"`
	// Truncated says that the body was too large to keep.
	Truncated bool  `json:"truncated,omitempty"`
	Tries     int   `json:"tries,omitempty"`
	At        int64 `json:"at"`
}

// Order is what a caller asks to be run once.
type Order struct {
	Key    string
	Digest string
	Class  string
}

// Claim is the answer to an attempt to claim an order. Row is the row as it
// stands; if Won it is this holder's claim.
type Claim struct {
	Won     bool
	Key     string
	Row     Row
	version platform.Version
}

// Options say with what a Ledger works.
type Options struct {
	Platform *platform.Client
	Holder   string
	Clock    clock.Clock
	Log      *logger.Logger
	// Interval is the least span between two transactions.
	Interval func() clock.Span
}

const (
	queueSize     = 8192
	rowsPerTxn    = 128
	commitTimeout = 2 * clock.Second
	repairTimeout = 10 * clock.Second
)

// Ledger records the orders of one entry VM. It is safe for concurrent use.
type Ledger struct {
	opts    Options
	queue   *ring.Ring[*write]
	repairs *ring.Ring[unclear]
	seq     uint64
	nonce   atomic.Uint64
}

// write is one row to be written if it still has a version.
type write struct {
	key     string
	version platform.Version
	row     Row
	claim   bool
	reply   chan written
}

// written is the outcome of a write: it held at a version, or met another row,
// or its outcome is unknown.
type written struct {
	version  platform.Version
	conflict *platform.Row
	err      error
}

// New returns a Ledger whose Run has still to be started.
func New(opts Options) *Ledger {
	return &Ledger{
		opts:    opts,
		queue:   ring.New[*write](queueSize),
		repairs: ring.New[unclear](queueSize),
	}
}

// Claim makes the order this holder's, unless its key is taken. An error means
// that the order must not be dispatched; it is then certain not to run under
// this claim.
func (l *Ledger) Claim(ctx context.Context, order Order) (Claim, error) {
	return l.claimOver(ctx, order, 0, 0)
}

// claimOver claims a key whose row has the version: 0 for a new key, or that of
// an earlier try that was not run.
func (l *Ledger) claimOver(ctx context.Context, order Order, version platform.Version, tries int) (Claim, error) {
	w := &write{
		key:     order.Key,
		version: version,
		claim:   true,
		row: Row{
			State:  StateClaimed,
			Class:  order.Class,
			Holder: l.opts.Holder,
			Nonce:  l.nonce.Add(1),
			Digest: order.Digest,
			Tries:  tries + 1,
			At:     int64(l.opts.Clock.Now()),
		},
		reply: make(chan written, 1),
	}
	done, err := l.write(ctx, w)
	if err != nil {
		l.repairs.Offer(unclear{
			key: order.Key,
			row: w.row,
		})
		return Claim{}, result.New(result.LedgerUnavailable, "order %s could not be recorded: %v", order.Key, err)
	}
	if done.conflict == nil {
		return Claim{
			Won:     true,
			Key:     order.Key,
			Row:     w.row,
			version: done.version,
		}, nil
	}
	return l.found(ctx, order, *done.conflict, version != 0)
}

// found decides about a key that has a row.
func (l *Ledger) found(ctx context.Context, order Order, row platform.Row, again bool) (Claim, error) {
	var present Row
	if err := json.Unmarshal(row.Value, &present); err != nil {
		return Claim{}, result.New(result.Internal, "order %s: %v", order.Key, err)
	}
	if present.Digest != order.Digest {
		return Claim{}, result.New(result.KeyReused, "key %q names an order with another body", order.Key)
	}
	if present.State == StateNotRun && !again {
		return l.claimOver(ctx, order, row.Version, present.Tries)
	}
	return Claim{
		Key:     order.Key,
		Row:     present,
		version: row.Version,
	}, nil
}

// Settle records the final outcome of a claimed order. If the claim was settled
// by another, because this holder was taken for dead, it returns that row.
func (l *Ledger) Settle(ctx context.Context, claim Claim, final Row) (Row, error) {
	final.Class = claim.Row.Class
	final.Holder = claim.Row.Holder
	final.Nonce = claim.Row.Nonce
	final.Digest = claim.Row.Digest
	final.Tries = claim.Row.Tries
	final.At = int64(l.opts.Clock.Now())
	if len(final.Body) > MaxStoredBody {
		final.Body = nil
		final.Truncated = true
	}
	w := &write{
		key:     claim.Key,
		version: claim.version,
		row:     final,
		reply:   make(chan written, 1),
	}
	done, err := l.write(ctx, w)
	if err != nil {
		return Row{}, err
	}
	if done.conflict == nil {
		return final, nil
	}
	var present Row
	if err := json.Unmarshal(done.conflict.Value, &present); err != nil {
		return Row{}, Error.Wrap(err)
	}
	return present, nil
}

func (l *Ledger) write(ctx context.Context, w *write) (written, error) {
	if err := l.queue.Put(ctx, w); err != nil {
		return written{}, err
	}
	select {
	case done := <-w.reply:
		return done, done.err
	case <-ctx.Done():
		return written{}, ctx.Err()
	}
}

// Lookup returns the row of an order; ok is false if there is none.
func (l *Ledger) Lookup(ctx context.Context, key string) (Row, bool, error) {
	row, err := l.opts.Platform.Get(ctx, OrderPrefix+key)
	if err != nil || row.Version == 0 {
		return Row{}, false, err
	}
	var present Row
	if err := json.Unmarshal(row.Value, &present); err != nil {
		return Row{}, false, Error.Wrap(err)
	}
	return present, true, nil
}

// Counts tells how many orders stand where.
type Counts struct {
	Claimed int `json:"claimed"`
	Ran     int `json:"ran"`
	NotRun  int `json:"not-run"`
	Unknown int `json:"unknown"`
}

// Counts rebuilds the counts from the rows.
func (l *Ledger) Counts(ctx context.Context) (Counts, error) {
	rows, err := l.opts.Platform.ReadAll(ctx, OrderPrefix)
	if err != nil {
		return Counts{}, err
	}
	var c Counts
	for _, row := range rows {
		var order Row
		if err := json.Unmarshal(row.Value, &order); err != nil {
			return Counts{}, Error.Wrap(err)
		}
		c.add(order.State)
	}
	return c, nil
}

func (c *Counts) add(state State) {
	switch state {
	case StateClaimed:
		c.Claimed++
	case StateRan:
		c.Ran++
	case StateNotRun:
		c.NotRun++
	case StateUnknown:
		c.Unknown++
	}
}

func claimKey(holder, key string) string { return fmt.Sprintf("%s%s/%s", ClaimPrefix, holder, key) }

// splitClaim reads holder and key from a row's key below ClaimPrefix.
func splitClaim(rowKey string) (holder, key string, ok bool) {
	rest, ok := strings.CutPrefix(rowKey, ClaimPrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}
