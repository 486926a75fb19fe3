// Package ring provides the bounded queues that connect the goroutines of a
// process.
//
// Each activity of a process runs in a separate goroutine. Goroutines pass work
// through a Ring, whose capacity is fixed. A producer that must not block calls Offer,
// which drops and counts items when the Ring is full. A producer that may block
// calls Put.
//
// # Usage
//
//	lines := ring.New[[]byte](4096)
//	if !lines.Offer(line) { /* counted in lines.Lost() */ }
//	for line := range lines.Out() { ... }
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded FIFO queue. It is safe for concurrent use.
type Ring[T any] struct {
	items chan T
	lost  atomic.Uint64
}

// New returns an empty Ring with a capacity of size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds an item and returns true. If the ring is full, it drops and counts the
// item and returns false. It never blocks.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.lost.Add(1)
		return false
	}
}

// Put adds an item. It blocks while the ring is full, and returns the error of ctx
// if ctx is done first.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Out returns the channel from which consumers receive items.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.items) }

// Lost returns the number of items dropped by Offer.
func (r *Ring[T]) Lost() uint64 { return r.lost.Load() }
