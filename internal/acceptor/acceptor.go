// Package acceptor takes jobs from callers and tells what became of them.
//
// Every entry VM has an Acceptor, and all are alike: a job is accepted when its
// row is durable, whoever owns the cell and whether or not it is alive. The row
// may only be written if there is none, so the same job through several entry
// VMs is one job. A state is read from the table each time, so that it is never
// older than the request, and final states are remembered.
//
// # Usage
//
//	a := acceptor.New(acceptor.Options{Store: store, Clock: wall, Log: log})
//	err := a.Submit(ctx, job, queue) // nil: durable
//	state, err := a.State(ctx, id)
//	err = a.Cancel(ctx, id)
//
// Errors are *result.Fault. Code WriteUnknown means that the job may have been
// accepted; PlatformDown that it certainly has not.
package acceptor

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"

	"marjoramstack/internal/planner"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

const (
	// firstTry is how long a first call to the platform may take before another
	// connection is tried beside it.
	firstTry = 400 * clock.Millisecond
	// answerWithin is how long the platform is waited for, slowFactor times its
	// usual answer longer, at most answerMost: while it is slow, an answer that
	// comes is worth more to a caller than a refusal.
	answerWithin = 1500 * clock.Millisecond
	answerMost   = 2500 * clock.Millisecond
	slowFactor   = 4
	// keptStates bounds the final states that are remembered.
	keptStates = 20000
)

// Options adjust an Acceptor.
type Options struct {
	Store table.Store
	Clock clock.Clock
	Log   *slog.Logger
	// Waiting returns the jobs that wait, by queue; ok is false if the counts
	// are too old to be told.
	Waiting func() (counts map[string]int, ok bool)
}

// Acceptor serves callers of one entry VM. It is safe for concurrent use.
type Acceptor struct {
	opts Options

	breaker breaker
	pace    table.LatencyEstimate

	mu    sync.Mutex
	final map[string]planner.State
}

// New returns an Acceptor.
func New(opts Options) *Acceptor {
	return &Acceptor{
		opts:  opts,
		final: map[string]planner.State{},
	}
}

// try calls the platform, a second time if the first got no answer. The call
// must be idempotent. While the platform does not answer, only a few calls are
// let through, and the others fail at once.
func try[T any](ctx context.Context, a *Acceptor, call func(context.Context) (T, error)) (T, error) {
	var none T
	if f := result.Cause(ctx); f != nil {
		return none, f
	}
	if !a.breaker.allow(a.opts.Clock.Now()) {
		return none, errAway
	}
	most := min(answerWithin+slowFactor*a.pace.Typical(), answerMost)
	value, err := table.HedgeAdaptive(ctx, &a.pace, a.opts.Clock, firstTry, most, call)
	if err == nil || ctx.Err() == nil { // a caller who left tells nothing of the platform
		a.breaker.note(a.opts.Clock.Now(), err == nil)
	}
	return value, err
}

// Submit makes a job of a queue durable. The same job again is accepted again;
// another one with the same identifier is refused.
func (a *Acceptor) Submit(ctx context.Context, job document.StagedJob, queue document.Queue) error {
	if err := job.Check(); err != nil {
		return err
	}
	terms := queue.Terms()
	value, err := json.Marshal(JobRow{
		Job:      job,
		Accepted: a.opts.Clock.Now(),
		Terms:    &terms,
	})
	if err != nil {
		return result.New(result.MalformedJob, "job cannot be encoded: %v", err)
	}
	verdict, err := try(ctx, a, func(ctx context.Context) (table.Verdict, error) {
		return a.opts.Store.Commit(ctx, table.Txn{
			Part: Part(job.ID),
			Checks: []table.Check{{
				Table: JobsTable,
				Key:   job.ID,
			}},
			Puts: []table.Put{{
				Table: JobsTable,
				Key:   job.ID,
				Value: value,
			}},
		})
	})
	if err != nil {
		return fault(err, "job "+job.ID)
	}
	if verdict.Committed {
		return nil
	}
	return sameJob(verdict, job)
}

// sameJob accepts a job that is there already if it is the same one.
func sameJob(verdict table.Verdict, job document.StagedJob) error {
	for _, row := range verdict.Conflicts {
		if row.Key != job.ID || row.Version == 0 {
			continue
		}
		known, err := DecodeJob(row.Value)
		if err != nil {
			return result.New(result.JobExists, "job %s exists and cannot be read", job.ID)
		}
		if equal(known.Job, job) {
			return nil
		}
		return result.New(result.JobExists, "job %s exists with another body", job.ID)
	}
	return result.New(result.WriteUnknown, "job %s: the platform named no conflict", job.ID)
}

func equal(a, b document.StagedJob) bool {
	left, errLeft := json.Marshal(a)
	right, errRight := json.Marshal(b)
	return errLeft == nil && errRight == nil && bytes.Equal(left, right)
}

// fault tells a caller what is known after a failed call to the platform.
func fault(err error, what string) error {
	if errors.Is(err, table.ErrUnknown) {
		return result.New(result.WriteUnknown, "%s: not confirmed; ask again", what)
	}
	var f *result.Fault
	if errors.As(err, &f) {
		return f
	}
	return result.New(result.PlatformDown, "%s: the platform's table refused the call: %v", what, err)
}

// Cancel makes a job's cancellation durable.
func (a *Acceptor) Cancel(ctx context.Context, id string) error {
	if !document.ValidStagedID(id) {
		return result.New(result.JobNotFound, "job %.40q", id)
	}
	for {
		row, err := a.read(ctx, JobsTable, Part(id), id)
		if err != nil {
			return fault(err, "job "+id)
		}
		if row.Version == 0 {
			return result.New(result.JobNotFound, "job %s", id)
		}
		done, err := a.writeCancel(ctx, id, row.Version)
		if done || err != nil {
			return err
		}
	}
}

// writeCancel reports false if the job's row has changed in between.
func (a *Acceptor) writeCancel(ctx context.Context, id string, version uint64) (bool, error) {
	value, err := json.Marshal(CancelRow{At: a.opts.Clock.Now()})
	if err != nil {
		return false, Error.Wrap(err)
	}
	verdict, err := try(ctx, a, func(ctx context.Context) (table.Verdict, error) {
		return a.opts.Store.Commit(ctx, table.Txn{
			Part: Part(id),
			Checks: []table.Check{{
				Table:   JobsTable,
				Key:     id,
				Version: version,
			}},
			Puts: []table.Put{{
				Table: JobsTable,
				Key:   CancelKey(id),
				Value: value,
			}},
		})
	})
	if err != nil {
		return false, fault(err, "job "+id)
	}
	return verdict.Committed, nil
}

// State returns what is known of a job.
func (a *Acceptor) State(ctx context.Context, id string) (planner.State, error) {
	if !document.ValidStagedID(id) {
		return "", result.New(result.JobNotFound, "job %.40q", id)
	}
	if state, ok := a.remembered(id); ok {
		return state, nil
	}
	row, err := a.read(ctx, ProgressTable, CellPart, id)
	if err != nil {
		return "", fault(err, "job "+id)
	}
	if row.Version != 0 {
		progress, err := DecodeProgress(row.Value)
		if err != nil {
			return "", fault(err, "job "+id)
		}
		a.remember(id, progress.State)
		return progress.State, nil
	}
	row, err = a.read(ctx, JobsTable, Part(id), id)
	if err != nil {
		return "", fault(err, "job "+id)
	}
	if row.Version == 0 {
		return "", result.New(result.JobNotFound, "job %s", id)
	}
	return planner.StatePending, nil
}

func (a *Acceptor) read(ctx context.Context, name, part, key string) (table.Row, error) {
	row, err := try(ctx, a, func(ctx context.Context) (table.Row, error) {
		return table.Get(ctx, a.opts.Store, name, part, key)
	})
	if f := result.Cause(ctx); err != nil && f != nil {
		return table.Row{}, f // a read that is not waited for changes nothing
	}
	return row, err
}

func (a *Acceptor) remembered(id string) (planner.State, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, ok := a.final[id]
	return state, ok
}

func (a *Acceptor) remember(id string, state planner.State) {
	if !state.Final() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.final) >= keptStates {
		clear(a.final)
	}
	a.final[id] = state
}

// Waiting returns how many jobs of a queue wait for their first task.
func (a *Acceptor) Waiting(queue string) (int, error) {
	counts, ok := a.opts.Waiting()
	if !ok {
		return 0, result.New(result.NoOwner, "queue %s: the cell's owner has not counted of late", queue)
	}
	return counts[queue], nil
}

// retrySoon is when a caller should come back after a passing fault, in seconds.
const retrySoon = 1

// RetryAfter returns when a refused caller should come back, in seconds, 0 if
// coming back does not help.
func (a *Acceptor) RetryAfter(err error) int {
	switch result.CodeOf(err) {
	case result.PlatformDown, result.NotReady, result.Overloaded, result.NoOwner, result.ShuttingDown:
		return retrySoon
	}
	return 0
}
