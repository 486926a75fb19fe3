package placer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/estimator"
	"marjoramstack/pkg/document"
)

func newIndex(workers, perRack int) *Index {
	index := New(estimator.NewSlowdowns())
	for i := range workers {
		size := document.Size{Processors: 8, Memory: 8000}
		index.Set(Host{
			ID:    fmt.Sprintf("w%02d", i),
			Rack:  fmt.Sprintf("r%d", i/perRack),
			Total: size,
			Free:  size,
			Open:  true,
		})
	}
	return index
}

// TestSpread checks that the replicas of a watcher class are placed on different
// racks as long as there are unused ones, and then on different workers.
func TestSpread(t *testing.T) {
	index := newIndex(6, 2)
	ask := Ask{
		Class: "hold",
		Group: "hold",
		Size:  document.Size{Processors: 1, Memory: 100},
	}
	racks, workers := map[string]int{}, map[string]int{}
	for n := range 6 {
		choice, ok := index.Pick(ask)
		assert.Assert(t, ok)
		index.Reserve(choice.Best, ask)
		racks[index.Host(choice.Best).Rack]++
		workers[choice.Best]++
		if n == 2 {
			assert.Equal(t, len(racks), 3)
		}
	}
	assert.Equal(t, len(workers), 6)
}

// reservation is a task and the worker that it was placed on.
type reservation struct {
	id  string
	ask Ask
}

// TestNeverOver places and releases tasks of many sizes. It checks that no worker
// is overcommitted and that releasing all tasks frees all resources.
func TestNeverOver(t *testing.T) {
	index := newIndex(5, 2)
	var reservations []reservation
	for n := range 400 {
		ask := Ask{
			Class: fmt.Sprintf("c%d", n%3),
			Size:  document.Size{Processors: 1 + n%5, Memory: 300 * (1 + n%9)},
		}
		if choice, ok := index.Pick(ask); ok {
			index.Reserve(choice.Best, ask)
			reservations = append(reservations, reservation{id: choice.Best, ask: ask})
		} else {
			index.Release(reservations[0].id, reservations[0].ask)
			reservations = reservations[1:]
		}
		for _, h := range index.hosts {
			assert.Assert(t, h.Free.Processors >= 0 && h.Free.Memory >= 0, h.ID)
		}
	}
	for _, r := range reservations {
		index.Release(r.id, r.ask)
	}
	for _, h := range index.hosts {
		assert.Equal(t, h.Free, h.Total)
		assert.Equal(t, len(h.Counts()), 0)
	}
}
