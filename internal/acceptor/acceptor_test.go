package acceptor

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/logger"
	"marjoramstack/internal/planner"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestCallerLeft guards against callers who are refused since another one left while
// the platform was asked, which says nothing of the platform.
func TestCallerLeft(t *testing.T) {
	log := logger.Discard()
	defer log.Close()
	rows := standin.NewRows()
	a := New(Options{Store: rows, Clock: clock.NewWall(), Log: log.Logger})
	job := document.StagedJob{ID: "5c0e7a21d94b36f8", Queue: "q", Steps: []document.Step{{Tasks: 1}}}
	assert.NilError(t, a.Submit(t.Context(), job, document.Queue{Name: "q", Pool: "pool"}))

	rows.SetSilent(true)
	leaves, leave := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer leave()
	_, err := a.State(leaves, job.ID)
	assert.Assert(t, err != nil)
	rows.SetSilent(false)

	state, err := a.State(t.Context(), job.ID)
	assert.NilError(t, err)
	assert.Equal(t, state, planner.StatePending)
}
