package table

import (
	"context"
	"errors"
	"sync"
	"time"

	"marjoramstack/pkg/clock"
)

// Hedge makes an idempotent call, and makes it a second time if the first attempt fails
// or has not returned after delay, for example because its connection is dead. The
// first attempt stays in flight, and the first success is returned. Both attempts are
// cancelled after timeout. If both fail, the error is ErrUnknown if either of them may
// have been carried out.
func Hedge[T any](ctx context.Context, delay, timeout clock.Span, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 2)
	attempt := func() {
		value, err := call(ctx)
		results <- result{
			value: value,
			err:   err,
		}
	}
	go attempt()
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	started, finished := 1, 0
	var last result
	for {
		select {
		case r := <-results:
			finished++
			if r.err == nil {
				return r.value, nil
			}
			if finished == 1 || !errors.Is(last.err, ErrUnknown) {
				last = r
			}
			if finished == 2 || ctx.Err() != nil && finished == started {
				return last.value, last.err
			}
			if started == 1 {
				started++
				go attempt()
			}
		case <-timer.C:
			if started == 1 {
				started++
				go attempt()
			}
		}
	}
}

// HedgeAdaptive is Hedge with a delay that grows with the latency of recent calls and is
// at least minDelay, see LatencyEstimate.HedgeDelay. It adds the latency of successful
// attempts to the estimate.
func HedgeAdaptive[T any](ctx context.Context, latency *LatencyEstimate, wall clock.Clock, minDelay, timeout clock.Span, call func(context.Context) (T, error)) (T, error) {
	return Hedge(ctx, latency.HedgeDelay(minDelay), timeout, func(ctx context.Context) (T, error) {
		sent := wall.Now()
		value, err := call(ctx)
		if err == nil {
			latency.Observe(wall.Now().Sub(sent))
		}
		return value, err
	})
}

// LatencyEstimate is an exponential moving average of the latency of successful calls.
// It is safe for concurrent use.
type LatencyEstimate struct {
	mu      sync.Mutex
	average clock.Span
}

const (
	// emaDivisor sets the weight of a new observation to 1/emaDivisor.
	emaDivisor = 4
	// hedgeFactor times the average latency is the hedge delay, between its bounds.
	hedgeFactor = 3
	// maxHedgeDelay is the upper bound of the hedge delay.
	maxHedgeDelay = 1200 * clock.Millisecond
)

// Observe adds the latency of a successful call.
func (e *LatencyEstimate) Observe(took clock.Span) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.average += (took - e.average) / emaDivisor
}

// Typical returns the average latency, or 0 before the first observation.
func (e *LatencyEstimate) Typical() clock.Span {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.average
}

// HedgeDelay returns the delay after which an unanswered call should be hedged: a
// multiple of the average latency, but at least minDelay. It grows with the latency, so
// that calls to a slow store are not doubled, which would make it slower.
func (e *LatencyEstimate) HedgeDelay(minDelay clock.Span) clock.Span {
	return min(max(minDelay, hedgeFactor*e.Typical()), maxHedgeDelay)
}
