// Package clock supplies the one representation of time used by the product:
// whole milliseconds on a monotonic scale.
//
// Decision code never reads a clock. It receives a Time with each message and
// returns decisions, so a recorded trace replays to the same decisions. Only
// the goroutines that do I/O hold a Clock.
//
// # Usage
//
//	wall := clock.NewWall()
//	start := wall.Now()
//	deadline := start.Add(300 * clock.Millisecond)
//	if wall.Now().After(deadline) { ... }
//
// Tests use a Manual clock and advance it by hand.
package clock

import (
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Time is a point in time in milliseconds. Points of two processes are not
// comparable; only spans are.
type Time int64

// Span is a length of time in milliseconds.
type Span int64

// Units of Span.
const (
	Millisecond Span = 1
	Second           = 1000 * Millisecond
	Minute           = 60 * Second
	Hour             = 60 * Minute
)

// Add returns the time that lies span after t.
func (t Time) Add(span Span) Time { return t + Time(span) }

// Sub returns the span from earlier to t.
func (t Time) Sub(earlier Time) Span { return Span(t - earlier) }

// After reports whether t lies after other.
func (t Time) After(other Time) bool { return t > other }

// Before reports whether t lies before other.
func (t Time) Before(other Time) bool { return t < other }

// Duration converts the span to the standard library's type, for timers.
func (s Span) Duration() time.Duration { return time.Duration(s) * time.Millisecond }

// FromNow returns the wall time at the end of the span, for the deadlines of
// connections.
func (s Span) FromNow() time.Time { return time.Now().Add(s.Duration()) }

// String formats the span with its unit, for example "250ms".
func (s Span) String() string { return strconv.FormatInt(int64(s), 10) + "ms" }

// FromDuration converts a standard duration, rounding down to milliseconds.
func FromDuration(d time.Duration) Span { return Span(d / time.Millisecond) }

// Clock reads the present time.
type Clock interface {
	// Now returns the present time in milliseconds.
	Now() Time
}

// Wall is a Clock that also counts the time for which the machine was
// suspended, offset so that its readings resemble Unix time in logs.
type Wall struct {
	offset Span
}

// NewWall returns a Wall clock.
func NewWall() *Wall {
	return &Wall{offset: Span(time.Now().UnixMilli()) - bootTime()}
}

// Now returns the present time.
func (w *Wall) Now() Time { return Time(bootTime() + w.offset) }

func bootTime() Span {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the kernel has had this clock since 2.6.39
	}
	return FromDuration(time.Duration(ts.Nano()))
}

// Manual is a Clock that stands still until it is advanced. It is safe for
// concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a Manual clock that reads start.
func NewManual(start Time) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Now returns the time the clock was last set to.
func (m *Manual) Now() Time { return Time(m.now.Load()) }

// Advance moves the clock forward by span.
func (m *Manual) Advance(span Span) { m.now.Add(int64(span)) }
