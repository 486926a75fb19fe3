package table

import (
	"context"
	"errors"
	"sync"
	"time"

	"marjoramstack/pkg/clock"
)

// Hedge makes an idempotent call, and makes it again beside the first when that has
// failed or has not answered after a span: its connection may have gone silent. The
// first answer counts. Both calls end after most, whose error is ErrUnknown if
// either of them may have been carried out.
func Hedge[T any](ctx context.Context, after, most clock.Span, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, most.Duration())
	defer cancel()
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 2)
	begin := func() {
		value, err := call(ctx)
		results <- result{
			value: value,
			err:   err,
		}
	}
	go begin()
	timer := time.NewTimer(after.Duration())
	defer timer.Stop()
	begun, ended := 1, 0
	var last result
	for {
		select {
		case r := <-results:
			ended++
			if r.err == nil {
				return r.value, nil
			}
			if ended == 1 || !errors.Is(last.err, ErrUnknown) {
				last = r
			}
			if ended == 2 || ctx.Err() != nil && ended == begun {
				return last.value, last.err
			}
			if begun == 1 {
				begun++
				go begin()
			}
		case <-timer.C:
			if begun == 1 {
				begun++
				go begin()
			}
		}
	}
}

// HedgeAdaptive makes a hedged call, the second time later the longer calls have taken of
// late, at the earliest after least.
func HedgeAdaptive[T any](ctx context.Context, pace *LatencyEstimate, wall clock.Clock, least, most clock.Span, call func(context.Context) (T, error)) (T, error) {
	return Hedge(ctx, pace.HedgeDelay(least), most, func(ctx context.Context) (T, error) {
		sent := wall.Now()
		value, err := call(ctx)
		if err == nil {
			pace.Observe(wall.Now().Sub(sent))
		}
		return value, err
	})
}

// LatencyEstimate follows how long calls take that are answered. It is safe for concurrent
// use.
type LatencyEstimate struct {
	mu      sync.Mutex
	typical clock.Span
}

const (
	// paceShare is the part of a new duration that counts.
	paceShare = 4
	// patience is how many times longer than usual a call takes that is made again.
	patience = 3
	// hedgeMost bounds how long the first call is waited for.
	hedgeMost = 1200 * clock.Millisecond
)

// Observe takes how long a call took that was answered.
func (p *LatencyEstimate) Observe(took clock.Span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.typical += (took - p.typical) / paceShare
}

// Typical returns how long calls take.
func (p *LatencyEstimate) Typical() clock.Span {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.typical
}

// HedgeDelay returns after which span a call should be made again, at least the
// span given. Calls to a store that is slow are not made twice, which would make it
// slower.
func (p *LatencyEstimate) HedgeDelay(least clock.Span) clock.Span {
	return min(max(least, patience*p.Typical()), hedgeMost)
}
