// Package ledger records every order in the platform's table: a claim before the
// order is dispatched, and one final outcome.
//
// An order is a request that must not run twice. Its row is stored under its
// idempotency key, so the entry VM that claims the key first runs the order and the
// others find the claim. Claims and outcomes of a short window share one
// transaction.
//
// If the outcome of a claim's transaction is unknown, the order is not dispatched.
// A row with outcome not-run is then written over the claim, which also fences the
// claim if its transaction is still in flight. If the holder of a claim died, any
// entry VM that finds the claim settles it as unknown. If the holder was only
// paused, it finds that row and reports the same outcome.
//
// Counts are computed from the rows, so the two always agree.
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

// Prefixes of the rows of orders in the platform's table. OrderPrefix is followed by
// the order's key. A row under ClaimPrefix, followed by holder and key, exists while
// an order is claimed.
const (
	OrderPrefix = "order/"
	ClaimPrefix = "claim/"
)

// MaxStoredBody is the size in bytes of the largest response body that is stored for
// callers who repeat a key.
const MaxStoredBody = 8 << 10

// State is the state of an order in the ledger.
type State string

// States of orders. All but StateClaimed are final, except that an order that was
// not run is claimed again when its caller retries it.
const (
	StateClaimed State = "claimed"
	StateRan     State = "ran"
	StateNotRun  State = "not-run"
	StateUnknown State = "unknown"
)

// Row is the stored form of an order.
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
	// Truncated reports that the body exceeded MaxStoredBody and was not stored.
	Truncated bool  `json:"truncated,omitempty"`
	Tries     int   `json:"tries,omitempty"`
	At        int64 `json:"at"`
}

// Order identifies a request that must run at most once. Digest is a hash of its
// content, by which the reuse of a key for another request is detected.
type Order struct {
	Key    string
	Digest string
	Class  string
}

// Claim is the result of an attempt to claim an order. Row is the row in the table;
// if Won is set, it is the new claim of this holder.
type Claim struct {
	Won     bool
	Key     string
	Row     Row
	version platform.Version
}

// Options are the dependencies and settings of a Ledger. Holder names this process
// in its claims.
type Options struct {
	Platform *platform.Client
	Holder   string
	Clock    clock.Clock
	Log      *logger.Logger
	// Interval returns the least span between the starts of two transactions.
	Interval func() clock.Span
}

const (
	queueSize     = 8192
	maxRowsPerTxn = 128
	commitTimeout = 2 * clock.Second
	repairTimeout = 10 * clock.Second
)

// Ledger records the orders of one entry VM. It is safe for concurrent use.
type Ledger struct {
	opts    Options
	queue   *ring.Ring[*pendingWrite]
	repairs *ring.Ring[uncertainClaim]
	seq     uint64
	nonce   atomic.Uint64
}

// pendingWrite is a queued write of one row, conditional on the row's version. If
// isClaim is set, it also creates the claim row, otherwise it deletes it.
type pendingWrite struct {
	key     string
	version platform.Version
	row     Row
	isClaim bool
	reply   chan writeResult
}

// writeResult is the outcome of a write: the new version, or the row that conflicted
// with it, or an error if the outcome is unknown.
type writeResult struct {
	version  platform.Version
	conflict *platform.Row
	err      error
}

// New returns a Ledger. Its writes wait until Run is started.
func New(opts Options) *Ledger {
	return &Ledger{
		opts:    opts,
		queue:   ring.New[*pendingWrite](queueSize),
		repairs: ring.New[uncertainClaim](queueSize),
	}
}

// Claim claims the order for this holder unless its key is already claimed or
// settled. After an error the order must not be dispatched, so it is certain not to
// run under this claim.
func (l *Ledger) Claim(ctx context.Context, order Order) (Claim, error) {
	return l.claimAtVersion(ctx, order, 0, 0)
}

// claimAtVersion claims a key if its row has the given version: 0 for a new key, or
// the version of an earlier try that was not run.
func (l *Ledger) claimAtVersion(ctx context.Context, order Order, version platform.Version, tries int) (Claim, error) {
	w := &pendingWrite{
		key:     order.Key,
		version: version,
		isClaim: true,
		row: Row{
			State:  StateClaimed,
			Class:  order.Class,
			Holder: l.opts.Holder,
			Nonce:  l.nonce.Add(1),
			Digest: order.Digest,
			Tries:  tries + 1,
			At:     int64(l.opts.Clock.Now()),
		},
		reply: make(chan writeResult, 1),
	}
	res, err := l.write(ctx, w)
	if err != nil {
		l.repairs.Offer(uncertainClaim{
			key: order.Key,
			row: w.row,
		})
		return Claim{}, result.New(result.LedgerUnavailable, "order %s could not be recorded: %v", order.Key, err)
	}
	if res.conflict == nil {
		return Claim{
			Won:     true,
			Key:     order.Key,
			Row:     w.row,
			version: res.version,
		}, nil
	}
	return l.resolveExisting(ctx, order, *res.conflict, version != 0)
}

// resolveExisting handles a claim whose key already has a row. It claims the key
// again if the order was not run, unless this was already such a reclaim.
func (l *Ledger) resolveExisting(ctx context.Context, order Order, row platform.Row, reclaim bool) (Claim, error) {
	var existing Row
	if err := json.Unmarshal(row.Value, &existing); err != nil {
		return Claim{}, result.New(result.Internal, "order %s: %v", order.Key, err)
	}
	if existing.Digest != order.Digest {
		return Claim{}, result.New(result.KeyReused, "key %q names an order with another body", order.Key)
	}
	if existing.State == StateNotRun && !reclaim {
		return l.claimAtVersion(ctx, order, row.Version, existing.Tries)
	}
	return Claim{
		Key:     order.Key,
		Row:     existing,
		version: row.Version,
	}, nil
}

// Settle records the final outcome of a claimed order and returns the stored row. If
// another entry VM settled the claim because it considered this holder dead, that
// row is returned.
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
	w := &pendingWrite{
		key:     claim.Key,
		version: claim.version,
		row:     final,
		reply:   make(chan writeResult, 1),
	}
	res, err := l.write(ctx, w)
	if err != nil {
		return Row{}, err
	}
	if res.conflict == nil {
		return final, nil
	}
	var existing Row
	if err := json.Unmarshal(res.conflict.Value, &existing); err != nil {
		return Row{}, Error.Wrap(err)
	}
	return existing, nil
}

func (l *Ledger) write(ctx context.Context, w *pendingWrite) (writeResult, error) {
	if err := l.queue.Put(ctx, w); err != nil {
		return writeResult{}, err
	}
	select {
	case res := <-w.reply:
		return res, res.err
	case <-ctx.Done():
		return writeResult{}, ctx.Err()
	}
}

// Lookup returns the row of an order, and false if there is none.
func (l *Ledger) Lookup(ctx context.Context, key string) (Row, bool, error) {
	row, err := l.opts.Platform.Get(ctx, OrderPrefix+key)
	if err != nil || row.Version == 0 {
		return Row{}, false, err
	}
	var existing Row
	if err := json.Unmarshal(row.Value, &existing); err != nil {
		return Row{}, false, Error.Wrap(err)
	}
	return existing, true, nil
}

// Counts is the number of orders in each state.
type Counts struct {
	Claimed int `json:"claimed"`
	Ran     int `json:"ran"`
	NotRun  int `json:"not-run"`
	Unknown int `json:"unknown"`
}

// Counts counts the orders in each state by reading all rows.
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

// parseClaimKey splits the table key of a claim row into holder and order key.
func parseClaimKey(rowKey string) (holder, key string, ok bool) {
	rest, ok := strings.CutPrefix(rowKey, ClaimPrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}
