// Package leaser holds the arithmetic of leases: who may own a cell, how long
// an owner may act after it last heard from the platform, and when an attempt
// has stopped for certain.
//
// It does no I/O and reads no clock. Three leases build on each other:
//
//   - The cell lease is a row in the platform's table. Observer decides when
//     another entry VM may take it: not before the row has stood unchanged for
//     the whole lease on the observer's own clock. No clocks are compared.
//   - Authority is what an owner may do, from the time at which it sent the
//     last write or read that the platform confirmed. Starts need a commit, so
//     they end with the platform; renewals go on for the outage allowance.
//   - The attempt lease is given to a worker in readings of the worker's own
//     clock. Anchor converts, always to the safe side.
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

// Lengths of leases and windows.
const (
	CellLease    = 4 * clock.Second
	ForeignGrace = 6 * clock.Second
	StartWindow  = 2 * clock.Second

	driftPermille = 10
	driftMargin   = 50 * clock.Millisecond

	shortestLease     = 8 * clock.Second
	longestLease      = 30 * clock.Second
	leaseShare        = 200
	watcherAllowance  = 10 * clock.Second
	shortestAllowance = 15 * clock.Second
	longestAllowance  = 10 * clock.Minute
	allowanceShare    = 20
)

// Drift returns how far two clocks can part over span, with a margin for the
// rounding of readings.
func Drift(span clock.Span) clock.Span {
	return span*driftPermille/1000 + driftMargin
}

// LatestExpiry returns the time by which a lease of the given length, started
// at sent, has run out on the slowest admissible clock.
func LatestExpiry(sent clock.Time, length clock.Span) clock.Time {
	return sent.Add(length + Drift(length))
}

// Terms are the lengths that follow from a class's target. Nobody sets them.
type Terms struct {
	// Lease is how long a renewal keeps an attempt running.
	Lease clock.Span `json:"lease-ms"`
	// Allowance is how long an owner that is cut off from the platform may go
	// on renewing.
	Allowance clock.Span `json:"allowance-ms"`
}

// TermsOf works out the terms of a class. A watcher is soon replaced; a run has
// slack, of which a part may be spent on waiting rather than on an eviction.
func TermsOf(class document.Class) Terms {
	if class.Kind != document.KindBatch {
		return Terms{
			Lease:     shortestLease,
			Allowance: watcherAllowance,
		}
	}
	return Terms{
		Lease:     min(max(class.Target()/leaseShare, shortestLease), longestLease),
		Allowance: min(max(class.Target()/allowanceShare, shortestAllowance), longestAllowance),
	}
}

// Hold returns the longest time after its last confirmed call for which an
// owner's renewals can keep an attempt running.
func (t Terms) Hold() clock.Span { return max(t.Lease, t.Allowance) }

// Authority is what the owner of a cell may do at a time.
type Authority struct {
	confirmed clock.Time
}

// NewAuthority returns the authority of an owner whose last confirmed call was
// sent at the time.
func NewAuthority(sent clock.Time) Authority {
	return Authority{confirmed: sent}
}

// Confirm records that a call sent at the time found the owner still in place.
func (a *Authority) Confirm(sent clock.Time) { a.confirmed = max(a.confirmed, sent) }

// Confirmed returns when the last confirmed call was sent.
func (a Authority) Confirmed() clock.Time { return a.confirmed }

// Owns reports whether the cell lease surely still holds.
func (a Authority) Owns(now clock.Time) bool { return a.OwnsFor(now, CellLease) }

// OwnsFor is Owns for a cell lease of another length.
func (a Authority) OwnsFor(now clock.Time, lease clock.Span) bool {
	return now.Before(a.confirmed.Add(lease - Drift(lease)))
}

// RenewUntil returns the time until which an attempt on these terms may be
// leased by a message planned now, or 0 if it may not be renewed.
func (a Authority) RenewUntil(now clock.Time, terms Terms) clock.Time {
	until := min(now.Add(terms.Lease), a.confirmed.Add(terms.Hold()))
	if !until.After(now) {
		return 0
	}
	return until
}

// InheritedExpiry returns when an attempt that an earlier owner may have renewed has
// stopped for certain, given when the new owner's takeover was answered.
func InheritedExpiry(takeover clock.Time, terms Terms) clock.Time {
	return LatestExpiry(takeover, terms.Hold())
}

// Anchor relates a reading of a worker's clock to the owner's clock. The
// reading was taken at or before Received.
type Anchor struct {
	Reading  clock.Time
	Received clock.Time
}

// Until converts a time of the owner into a reading that the worker's clock
// reaches at that time or earlier, but for drift.
func (a Anchor) Until(at clock.Time) clock.Time {
	return a.Reading.Add(at.Sub(a.Received))
}

// OwnerTime converts a reading made by Until back into the owner's time.
func (a Anchor) OwnerTime(reading clock.Time) clock.Time {
	return a.Received.Add(reading.Sub(a.Reading))
}

// NotAfter converts a time of the owner into a reading that the worker's clock
// has surely reached by that time.
func (a Anchor) NotAfter(at clock.Time) clock.Time {
	span := at.Sub(a.Received)
	return a.Reading.Add(span - Drift(span))
}

// Bound returns the owner's time by which a lease until the owner's time at,
// converted by Until, has run out on the slowest admissible clock.
func (a Anchor) Bound(at clock.Time) clock.Time {
	return LatestExpiry(a.Received, at.Sub(a.Received))
}

// Observer watches a cell's lease row for the right to take it over.
type Observer struct {
	version uint64
	since   clock.Time
	seen    bool
}

// Observe records the version of the row read at the time.
func (t *Observer) Observe(version uint64, now clock.Time) {
	if t.seen && t.version == version {
		return
	}
	t.version = version
	t.since = now
	t.seen = true
}

// MayTake reports whether the row has stood unchanged for so long that its
// holder's lease has run out. An entry VM of another availability zone waits
// longer, so that the cell's own are first.
func (t *Observer) MayTake(now clock.Time, ownZone bool) bool {
	if !t.seen {
		return false
	}
	if t.version == 0 && ownZone {
		return true
	}
	wait := CellLease
	if !ownZone {
		return t.Expired(now, wait, ForeignGrace)
	}
	return t.Expired(now, wait, 0)
}

// UnchangedFor returns for how long the row has been seen unchanged.
func (t *Observer) UnchangedFor(now clock.Time) clock.Span {
	if !t.seen {
		return 0
	}
	return now.Sub(t.since)
}

// Expired reports whether a lease of the given length has run out, and a grace
// after it.
func (t *Observer) Expired(now clock.Time, lease, grace clock.Span) bool {
	return t.seen && now.Sub(t.since) >= lease+Drift(lease)+grace
}
