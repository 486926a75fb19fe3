// Package leaser implements the arithmetic of leases: which entry VM may own a
// cell, how long an owner may act after the platform last confirmed a call, and
// when an attempt has certainly stopped.
//
// It does no I/O and reads no clock. Three types of leases build on each other:
//
//   - The cell lease is a row in the platform's table. Observer decides when
//     another entry VM may take over the cell: only after the row has been
//     unchanged for the whole lease on the observer's own clock. Clocks of
//     different machines are never compared.
//   - Authority bounds what an owner may do. It counts from the time when the
//     owner sent the last write or read that the platform confirmed. Starting an
//     attempt requires a commit, so it stops when the platform fails. Renewals
//     continue for the outage allowance.
//   - The attempt lease is sent to a worker as a reading of the worker's own
//     clock. Anchor converts between the two clocks and always errs on the safe
//     side.
//
// # Usage
//
//	authority := leaser.NewAuthority(sentAt)
//	until := authority.RenewUntil(now, leaser.TermsOf(class))
//	bound := leaser.LatestExpiry(sentAt, until.Sub(sentAt))
package leaser

import (
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Lengths of leases and windows. CellLease is the length of a cell lease.
// ForeignGrace is how much longer an entry VM of another zone waits before it
// takes over a cell. An attempt must start within StartWindow after the owner sent
// the commit of its placement.
const (
	CellLease    = 4 * clock.Second
	ForeignGrace = 6 * clock.Second
	StartWindow  = 2 * clock.Second

	driftPermille = 10
	driftMargin   = 50 * clock.Millisecond

	minLease         = 8 * clock.Second
	maxLease         = 30 * clock.Second
	leaseDivisor     = 200
	watcherAllowance = 10 * clock.Second
	minAllowance     = 15 * clock.Second
	maxAllowance     = 10 * clock.Minute
	allowanceDivisor = 20
)

// Drift returns the maximum drift between two clocks over span, plus a margin for
// the rounding of readings.
func Drift(span clock.Span) clock.Span {
	return span*driftPermille/1000 + driftMargin
}

// LatestExpiry returns the time at which a lease of the given length, started at
// sent, has expired even on the slowest clock that Drift allows.
func LatestExpiry(sent clock.Time, length clock.Span) clock.Time {
	return sent.Add(length + Drift(length))
}

// Terms are the lease lengths of a class. They are derived from the target of the
// class and cannot be configured.
type Terms struct {
	// Lease is how long a renewal lets an attempt run.
	Lease clock.Span `json:"lease-ms"`
	// Allowance is how long an owner may continue to renew leases without
	// contact with the platform.
	Allowance clock.Span `json:"allowance-ms"`
}

// TermsOf returns the terms of a class. Watchers get short terms, as they are
// replaced quickly. A batch run has slack, and it is better to spend part of it
// on waiting out an outage than on an eviction.
func TermsOf(class document.Class) Terms {
	if class.Kind != document.KindBatch {
		return Terms{
			Lease:     minLease,
			Allowance: watcherAllowance,
		}
	}
	return Terms{
		Lease:     min(max(class.Target()/leaseDivisor, minLease), maxLease),
		Allowance: min(max(class.Target()/allowanceDivisor, minAllowance), maxAllowance),
	}
}

// Hold returns how long after an owner's last confirmed call its renewals can keep
// an attempt running.
func (t Terms) Hold() clock.Span { return max(t.Lease, t.Allowance) }

// Authority determines what the owner of a cell may do at a given time.
type Authority struct {
	confirmed clock.Time
}

// NewAuthority returns the Authority of an owner whose last confirmed call was
// sent at the given time.
func NewAuthority(sent clock.Time) Authority {
	return Authority{confirmed: sent}
}

// Confirm records that a call sent at the given time confirmed the owner.
func (a *Authority) Confirm(sent clock.Time) { a.confirmed = max(a.confirmed, sent) }

// Confirmed returns when the last confirmed call was sent.
func (a Authority) Confirmed() clock.Time { return a.confirmed }

// Owns reports whether the cell lease certainly has not expired.
func (a Authority) Owns(now clock.Time) bool { return a.OwnsFor(now, CellLease) }

// OwnsFor is like Owns for a cell lease of the given length.
func (a Authority) OwnsFor(now clock.Time, lease clock.Span) bool {
	return now.Before(a.confirmed.Add(lease - Drift(lease)))
}

// RenewUntil returns the time until which a message planned now may renew the
// lease of an attempt with these terms, or 0 if it must not renew it.
func (a Authority) RenewUntil(now clock.Time, terms Terms) clock.Time {
	until := min(now.Add(terms.Lease), a.confirmed.Add(terms.Hold()))
	if !until.After(now) {
		return 0
	}
	return until
}

// InheritedExpiry returns the time at which an attempt that an earlier owner may
// have renewed has certainly stopped. takeover is when the new owner received the
// answer to its takeover.
func InheritedExpiry(takeover clock.Time, terms Terms) clock.Time {
	return LatestExpiry(takeover, terms.Hold())
}

// Anchor relates a worker's clock to the owner's clock. Reading was read from the
// worker's clock at or before the owner's time Received.
type Anchor struct {
	Reading  clock.Time
	Received clock.Time
}

// Until converts an owner's time to a reading that the worker's clock reaches at
// that time or earlier, apart from drift.
func (a Anchor) Until(at clock.Time) clock.Time {
	return a.Reading.Add(at.Sub(a.Received))
}

// OwnerTime converts a reading returned by Until back to the owner's time.
func (a Anchor) OwnerTime(reading clock.Time) clock.Time {
	return a.Received.Add(reading.Sub(a.Reading))
}

// NotAfter converts an owner's time to a reading that the worker's clock has
// certainly reached by that time, drift included.
func (a Anchor) NotAfter(at clock.Time) clock.Time {
	span := at.Sub(a.Received)
	return a.Reading.Add(span - Drift(span))
}

// Bound returns the time at which a lease has expired even on the slowest clock
// that Drift allows, if the lease lasts until Until(at). Both are owner's times.
func (a Anchor) Bound(at clock.Time) clock.Time {
	return LatestExpiry(a.Received, at.Sub(a.Received))
}

// Observer tracks how long a cell's lease row has been unchanged, to decide
// whether the cell may be taken over.
type Observer struct {
	version        uint64
	unchangedSince clock.Time
	seen           bool
}

// Observe records the version of the row as read at the given time.
func (o *Observer) Observe(version uint64, now clock.Time) {
	if o.seen && o.version == version {
		return
	}
	o.version = version
	o.unchangedSince = now
	o.seen = true
}

// MayTake reports whether the row has been unchanged for so long that its owner's
// lease has expired. An entry VM of another availability zone waits longer, so
// that those in the cell's zone take over first.
func (o *Observer) MayTake(now clock.Time, ownZone bool) bool {
	if !o.seen {
		return false
	}
	if o.version == 0 && ownZone {
		return true
	}
	lease := CellLease
	if !ownZone {
		return o.Expired(now, lease, ForeignGrace)
	}
	return o.Expired(now, lease, 0)
}

// UnchangedFor returns how long the row has been observed unchanged.
func (o *Observer) UnchangedFor(now clock.Time) clock.Span {
	if !o.seen {
		return 0
	}
	return now.Sub(o.unchangedSince)
}

// Expired reports whether a lease of the given length, and the grace period after
// it, have passed since the row last changed.
func (o *Observer) Expired(now clock.Time, lease, grace clock.Span) bool {
	return o.seen && now.Sub(o.unchangedSince) >= lease+Drift(lease)+grace
}
