package soaker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/document"
)

const (
	// Submitting or cancelling a job is retried for retryFor, with callTimeout for each
	// attempt and retryDelay between two.
	retryFor    = 8 * time.Second
	callTimeout = 3 * time.Second
	retryDelay  = 120 * time.Millisecond
	// One in cancelOneIn jobs is cancelled, at most maxCancelDelay after it was accepted.
	cancelOneIn    = 10
	maxCancelDelay = 2500 * time.Millisecond
)

// load submits the long-running jobs that fill the workers, then short jobs until ctx
// ends.
func (s *soak) load(ctx context.Context, rng *rand.Rand) {
	generator := &jobGenerator{
		rng:           rng,
		seed:          s.opts.Seed,
		capacity:      s.checker.capacity,
		filledPercent: s.opts.Filled,
	}
	for i, job := range generator.longTaskJobs(len(s.workers)) {
		job.Customer = s.customers.name(i)
		s.startSubmission(job, rng)
	}
	for ctx.Err() == nil {
		job := generator.shortJob()
		job.Customer = s.customers.next()
		s.startSubmission(job, rng)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * s.opts.JobGap))))
	}
	s.calls.Wait()
}

// startSubmission submits a job in the background and may cancel it later.
func (s *soak) startSubmission(job document.StagedJob, rng *rand.Rand) {
	sub := s.submissions.add(job)
	s.checker.addJob(job)
	first := rng.IntN(len(s.vms))
	willCancel := rng.IntN(cancelOneIn) == 0
	cancelDelay := time.Duration(rng.Int64N(int64(maxCancelDelay)))
	s.calls.Go(func() {
		s.submitWithRetries(sub, first)
		if willCancel && sub.accepted.Load() != 0 {
			time.Sleep(cancelDelay)
			s.cancelWithRetries(sub, first)
		}
	})
}

// submitWithRetries tries one VM after another until the job is accepted. The job counts
// as refused if every attempt was definitely rejected.
func (s *soak) submitWithRetries(sub *submission, first int) {
	allRejected := true
	deadline := time.Now().Add(retryFor)
	for attempt := first; time.Now().Before(deadline); attempt++ {
		status, err := s.callVM(attempt, func(ctx context.Context, address string) (int, error) {
			return s.caller.Submit(ctx, address, sub.job)
		})
		if err == nil && status == http.StatusOK {
			sub.accepted.Store(int64(s.clock.Now()))
			return
		}
		s.checkKnown(sub, status, err)
		allRejected = allRejected && err == nil && definitelyRejected(status)
		time.Sleep(retryDelay)
	}
	if allRejected {
		s.checker.jobRefused(sub.job)
	}
}

func (s *soak) cancelWithRetries(sub *submission, first int) {
	sub.cancelSent.Store(true)
	s.checker.cancelRequested(sub.job)
	deadline := time.Now().Add(retryFor)
	for attempt := first; time.Now().Before(deadline); attempt++ {
		status, err := s.callVM(attempt, func(ctx context.Context, address string) (int, error) {
			return s.caller.Cancel(ctx, address, sub.job)
		})
		if err == nil && status == http.StatusOK {
			sub.cancelled.Store(true)
			s.checker.cancelAcked(sub.job)
			return
		}
		time.Sleep(retryDelay)
	}
}

func (s *soak) callVM(attempt int, call func(context.Context, string) (int, error)) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return call(ctx, s.vms[attempt%len(s.vms)].callerAddress)
}

// queryState asks one VM after another for the state of a job, and returns the state
// and the HTTP status.
func (s *soak) queryState(sub *submission) (planner.State, int) {
	status := 0
	for i := range s.vms {
		var text string
		code, err := s.callVM(i, func(ctx context.Context, address string) (int, error) {
			var code int
			var err error
			text, code, err = s.caller.State(ctx, address, sub.job)
			return code, err
		})
		if err == nil && (code == http.StatusOK || code == http.StatusGone) {
			return planner.State(text), code
		}
		status = code
	}
	return "", status
}

// definitelyRejected reports whether an HTTP status guarantees that the job was not
// accepted.
func definitelyRejected(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
