// Package acceptor accepts and cancels jobs for callers and returns their states.
//
// Every entry VM runs an Acceptor, and all of them are equivalent: a job is
// accepted once its row is durable, regardless of which VM owns the cell and
// whether that VM is alive. The row is inserted only if it does not exist yet, so
// a job submitted through several entry VMs is stored once. State reads the table
// on each call, so that its answer is never older than the request; only final
// states are cached.
//
// # Usage
//
//	a := acceptor.New(acceptor.Options{Store: store, Clock: wall, Log: log})
//	err := a.Submit(ctx, job, queue, customer) // nil: durable
//	state, err := a.State(ctx, id, caller)
//	err = a.Cancel(ctx, id, caller)
//
// Errors are of type *result.Fault. Code WriteUnknown means that the job may or may
// not have been accepted; PlatformDown means that it has not been accepted.
package acceptor

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"

	"marjoramstack/internal/authenticator"
	"marjoramstack/internal/planner"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

const (
	// minHedgeDelay is the minimum time after which an unanswered call to the
	// platform is hedged over another connection.
	minHedgeDelay = 400 * clock.Millisecond
	// The timeout of a call is baseTimeout plus latencyFactor times the platform's
	// average latency, at most maxTimeout. It grows while the platform is slow,
	// because a late answer is worth more to a caller than a refusal.
	baseTimeout   = 1500 * clock.Millisecond
	maxTimeout    = 2500 * clock.Millisecond
	latencyFactor = 4
	// maxFinalStates bounds the cache of final states.
	maxFinalStates = 20000
)

// Options configure an Acceptor.
type Options struct {
	Store table.Store
	Clock clock.Clock
	Log   *slog.Logger
	// Waiting returns the number of waiting jobs by queue; ok is false if the
	// counts are unavailable or stale.
	Waiting func() (counts map[string]int, ok bool)
}

// Acceptor serves the callers of one entry VM. It is safe for concurrent use.
type Acceptor struct {
	opts Options

	breaker breaker
	latency table.LatencyEstimate

	mu    sync.Mutex
	final map[string]jobState
}

// jobState is the state of a job, and what says who may ask for it.
type jobState struct {
	state    planner.State
	customer string
	queue    string
}

// New returns an Acceptor with an empty cache and a closed circuit breaker.
func New(opts Options) *Acceptor {
	return &Acceptor{
		opts:  opts,
		final: map[string]jobState{},
	}
}

// callStore calls the platform's table, and hedges the call if the first attempt
// fails or is slow. The call must be idempotent. While the circuit breaker is open,
// only occasional probes go through and all other calls fail immediately.
func callStore[T any](ctx context.Context, a *Acceptor, call func(context.Context) (T, error)) (T, error) {
	var zero T
	if f := result.Cause(ctx); f != nil {
		return zero, f
	}
	if !a.breaker.allow(a.opts.Clock.Now()) {
		return zero, errBreakerOpen
	}
	timeout := min(baseTimeout+latencyFactor*a.latency.Typical(), maxTimeout)
	value, err := table.HedgeAdaptive(ctx, &a.latency, a.opts.Clock, minHedgeDelay, timeout, call)
	if err == nil || ctx.Err() == nil { // a call that the caller cancelled says nothing about the platform
		a.breaker.record(a.opts.Clock.Now(), err == nil)
	}
	return value, err
}

// Submit stores a job of a queue durably. Submitting an identical job again
// succeeds; a different job with the same identifier is refused with JobExists. A job that the
// customer's limits can never hold is refused with NeverFits.
func (a *Acceptor) Submit(ctx context.Context, job document.StagedJob, queue document.Queue, customer document.Customer) error {
	if err := job.Check(); err != nil {
		return err
	}
	if step, ok := customer.CanHold(job); !ok {
		return result.New(result.NeverFits, "step %d exceeds what customer %s may use at a time", step, customer.Name)
	}
	value, err := json.Marshal(newJobRow(job, a.opts.Clock.Now(), queue, customer))
	if err != nil {
		return result.New(result.MalformedJob, "job cannot be encoded: %v", err)
	}
	verdict, err := callStore(ctx, a, func(ctx context.Context) (table.Verdict, error) {
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
		return callerError(err, "job "+job.ID)
	}
	if verdict.Committed {
		return nil
	}
	return checkDuplicate(verdict, job)
}

func newJobRow(job document.StagedJob, now clock.Time, queue document.Queue, customer document.Customer) JobRow {
	terms := queue.Terms()
	row := JobRow{
		Job:      job,
		Accepted: now,
		Terms:    &terms,
	}
	if job.Customer != "" {
		agreed := customer.Terms()
		row.Customer = &agreed
	}
	return row
}

// checkDuplicate returns nil if the row that caused the conflict holds the same job.
func checkDuplicate(verdict table.Verdict, job document.StagedJob) error {
	for _, row := range verdict.Conflicts {
		if row.Key != job.ID || row.Version == 0 {
			continue
		}
		existing, err := DecodeJob(row.Key, row.Value)
		if err != nil {
			return result.New(result.JobExists, "job %s exists, but its row cannot be decoded", job.ID)
		}
		if equal(existing.Job, job) {
			return nil
		}
		return result.New(result.JobExists, "job %s exists with a different body", job.ID)
	}
	return result.New(result.WriteUnknown, "job %s: the platform rejected the write without naming a conflicting row", job.ID)
}

// equal reports whether two jobs are the same. Who submitted them is left out, since a key may
// have been given to another customer between two attempts of a caller.
func equal(a, b document.StagedJob) bool {
	a.Customer = ""
	b.Customer = ""
	left, errLeft := json.Marshal(a)
	right, errRight := json.Marshal(b)
	return errLeft == nil && errRight == nil && bytes.Equal(left, right)
}

// callerError converts the error of a failed platform call into a *result.Fault.
func callerError(err error, what string) error {
	if errors.Is(err, table.ErrUnknown) {
		return result.New(result.WriteUnknown, "%s: the platform did not confirm the call; retry the request", what)
	}
	var f *result.Fault
	if errors.As(err, &f) {
		return f
	}
	return result.New(result.PlatformDown, "%s: the platform's table refused the call: %v", what, err)
}

// Cancel stores a job's cancellation durably.
func (a *Acceptor) Cancel(ctx context.Context, id string, caller authenticator.Caller) error {
	if !document.ValidStagedID(id) {
		return result.New(result.JobNotFound, "job %.40q", id)
	}
	for {
		row, err := a.read(ctx, JobsTable, Part(id), id)
		if err != nil {
			return callerError(err, "job "+id)
		}
		if row.Version == 0 {
			return result.New(result.JobNotFound, "job %s", id)
		}
		if err := checkReach(row, caller); err != nil {
			return err
		}
		done, err := a.writeCancel(ctx, id, row.Version)
		if done || err != nil {
			return err
		}
	}
}

// writeCancel stores the cancellation if the job's row still has the given version.
// It returns false if the row has changed.
func (a *Acceptor) writeCancel(ctx context.Context, id string, version uint64) (bool, error) {
	value, err := json.Marshal(CancelRow{At: a.opts.Clock.Now()})
	if err != nil {
		return false, Error.Wrap(err)
	}
	verdict, err := callStore(ctx, a, func(ctx context.Context) (table.Verdict, error) {
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
		return false, callerError(err, "job "+id)
	}
	return verdict.Committed, nil
}

// checkReach returns JobNotFound if the caller may not reach the job of a row. It does not say
// that the job exists.
func checkReach(row table.Row, caller authenticator.Caller) error {
	accepted, err := DecodeJob(row.Key, row.Value)
	if err != nil {
		return callerError(err, "job "+row.Key)
	}
	if !caller.MayReach(accepted.Job.Customer, accepted.Job.Queue) {
		return result.New(result.JobNotFound, "job %s", row.Key)
	}
	return nil
}

// State returns a job's state as recorded by the cell's owner, or StatePending if the
// job is accepted and the owner has not recorded any progress yet. A job that the caller may not
// reach is not found.
func (a *Acceptor) State(ctx context.Context, id string, caller authenticator.Caller) (planner.State, error) {
	if !document.ValidStagedID(id) {
		return "", result.New(result.JobNotFound, "job %.40q", id)
	}
	if s, ok := a.cachedState(id); ok {
		return s.stateFor(id, caller)
	}
	row, err := a.read(ctx, ProgressTable, CellPart, id)
	if err != nil {
		return "", callerError(err, "job "+id)
	}
	if row.Version != 0 {
		progress, err := DecodeProgress(row.Value)
		if err != nil {
			return "", callerError(err, "job "+id)
		}
		s := jobState{
			state:    progress.State,
			customer: progress.Customer,
			queue:    progress.Queue,
		}
		a.cacheState(id, s)
		return s.stateFor(id, caller)
	}
	row, err = a.read(ctx, JobsTable, Part(id), id)
	if err != nil {
		return "", callerError(err, "job "+id)
	}
	if row.Version == 0 {
		return "", result.New(result.JobNotFound, "job %s", id)
	}
	if err := checkReach(row, caller); err != nil {
		return "", err
	}
	return planner.StatePending, nil
}

// stateFor returns the state if the caller may ask for it.
func (s jobState) stateFor(id string, caller authenticator.Caller) (planner.State, error) {
	if !caller.MayReach(s.customer, s.queue) {
		return "", result.New(result.JobNotFound, "job %s", id)
	}
	return s.state, nil
}

func (a *Acceptor) read(ctx context.Context, name, part, key string) (table.Row, error) {
	row, err := callStore(ctx, a, func(ctx context.Context) (table.Row, error) {
		return table.Get(ctx, a.opts.Store, name, part, key)
	})
	if f := result.Cause(ctx); err != nil && f != nil {
		return table.Row{}, f // a cancelled read has no side effect
	}
	return row, err
}

func (a *Acceptor) cachedState(id string) (jobState, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.final[id]
	return s, ok
}

func (a *Acceptor) cacheState(id string, s jobState) {
	if !s.state.Final() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.final) >= maxFinalStates {
		clear(a.final)
	}
	a.final[id] = s
}

// Waiting returns how many jobs of a queue are waiting for their first task to start.
func (a *Acceptor) Waiting(queue string) (int, error) {
	counts, ok := a.opts.Waiting()
	if !ok {
		return 0, result.New(result.NoOwner, "queue %s: the cell's owner has no recent count of waiting jobs", queue)
	}
	return counts[queue], nil
}

// retryDelay is the time in seconds after which a caller should retry a request that
// failed with a transient error.
const retryDelay = 1

// RetryAfter returns after how many seconds a caller should retry a request that
// failed with err, or 0 if a retry would not help.
func (a *Acceptor) RetryAfter(err error) int {
	switch result.CodeOf(err) {
	case result.PlatformDown, result.NotReady, result.Overloaded, result.NoOwner, result.ShuttingDown, result.Busy:
		return retryDelay
	}
	return 0
}
