// Package clock defines the time types of the whole system: whole milliseconds
// of a monotonic clock.
//
// Scheduling code never reads a clock. It receives a Time with each message, so
// replaying a recorded trace gives the same decisions. Only the goroutines that
// do I/O use a Clock.
//
// # Usage
//
//	wall := clock.NewWall()
//	start := wall.Now()
//	deadline := start.Add(300 * clock.Millisecond)
//	if wall.Now().After(deadline) { ... }
//
// Tests use a Manual clock and advance it explicitly.
package clock

import (
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Time is a point in time in milliseconds. Times of different processes must
// not be compared; spans can be.
type Time int64

// Span is a duration in milliseconds.
type Span int64

// Units of Span.
const (
	Millisecond Span = 1
	Second           = 1000 * Millisecond
	Minute           = 60 * Second
	Hour             = 60 * Minute
)

// Add returns the time span after t.
func (t Time) Add(span Span) Time { return t + Time(span) }

// Sub returns the span from earlier to t.
func (t Time) Sub(earlier Time) Span { return Span(t - earlier) }

// After reports whether t is later than other.
func (t Time) After(other Time) bool { return t > other }

// Before reports whether t is earlier than other.
func (t Time) Before(other Time) bool { return t < other }

// Duration converts the span to a time.Duration, for example for timers.
func (s Span) Duration() time.Duration { return time.Duration(s) * time.Millisecond }

// FromNow returns the present wall-clock time plus the span, for connection
// deadlines.
func (s Span) FromNow() time.Time { return time.Now().Add(s.Duration()) }

// String formats the span with its unit, for example "250ms".
func (s Span) String() string { return strconv.FormatInt(int64(s), 10) + "ms" }

// FromDuration converts a time.Duration. It truncates to whole milliseconds.
func FromDuration(d time.Duration) Span { return Span(d / time.Millisecond) }

// maxRead is the longest span that FromMilliseconds returns; sums of such spans are no problem.
const maxRead = 24 * Hour

// FromMilliseconds converts milliseconds that another program states. It rounds up and returns
// at least 0 and at most 24 hours.
func FromMilliseconds(ms float64) Span { return Span(min(max(math.Ceil(ms), 0), float64(maxRead))) }

// Clock returns the current time.
type Clock interface {
	// Now returns the current time in milliseconds.
	Now() Time
}

// Wall is a monotonic Clock that also counts time during which the machine is
// suspended. An offset makes its readings close to Unix time, which makes logs
// readable.
type Wall struct {
	offset Span
}

// NewWall returns a Wall clock that is set to the present Unix time.
func NewWall() *Wall {
	return &Wall{offset: Span(time.Now().UnixMilli()) - bootTime()}
}

// Now returns the current time.
func (w *Wall) Now() Time { return Time(bootTime() + w.offset) }

func bootTime() Span {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // cannot happen: Linux has CLOCK_BOOTTIME since 2.6.39
	}
	return FromDuration(time.Duration(ts.Nano()))
}

// Manual is a Clock for tests that changes only when it is advanced. It is safe
// for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a Manual clock that reads start.
func NewManual(start Time) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Now returns the start time plus all advances.
func (m *Manual) Now() Time { return Time(m.now.Load()) }

// Advance moves the clock forward by span.
func (m *Manual) Advance(span Span) { m.now.Add(int64(span)) }
