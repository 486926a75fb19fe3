package acceptor

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/logger"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestCallerLeaves checks that a request cancelled by its caller while the table is
// slow does not open the circuit breaker: the next request is served immediately.
func TestCallerLeaves(t *testing.T) {
	rows := standin.NewRows()
	log := logger.Discard()
	defer log.Close()
	a := New(Options{Store: rows, Clock: clock.NewWall(), Log: log.Logger})
	job := document.StagedJob{
		ID: "5c0e7a21d94b36f8", Queue: "q",
		Steps: []document.Step{{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}},
	}
	rows.SetSilent(true)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	assert.Assert(t, a.Submit(ctx, job, document.Queue{}, document.Customer{}) != nil)
	rows.SetSilent(false)
	assert.NilError(t, a.Submit(context.Background(), job, document.Queue{}, document.Customer{}))
}
