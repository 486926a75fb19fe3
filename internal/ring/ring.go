// Package ring joins goroutines by bounded queues.
//
// Each duty of a process runs in a goroutine of its own. Work passes between
// duties through a Ring, which never grows: a producer that must not wait
// offers and counts what was lost, a producer that may wait puts.
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

// Ring is a bounded first-in first-out queue. It is safe for concurrent use.
type Ring[T any] struct {
	items chan T
	lost  atomic.Uint64
}

// New returns a Ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds an item unless the ring is full, in which case the item is
// dropped and counted. It never waits.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.lost.Add(1)
		return false
	}
}

// Put adds an item, waiting for room until ctx ends. It returns the error of
// ctx if the item was not added.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Out returns the channel that items are taken from.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int { return len(r.items) }

// Lost returns the number of items dropped by Offer.
func (r *Ring[T]) Lost() uint64 { return r.lost.Load() }
