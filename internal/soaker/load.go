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
	tryFor    = 8 * time.Second
	tryWithin = 3 * time.Second
	tryAgain  = 120 * time.Millisecond
	// oneInCancelled jobs are cancelled after a while.
	oneInCancelled = 10
	cancelAfter    = 2500 * time.Millisecond
)

// load hands in jobs that fill workers, then short ones until ctx ends.
func (s *soak) load(ctx context.Context, random *rand.Rand) {
	jobs := &maker{
		random:   random,
		seed:     s.opts.Seed,
		capacity: s.judge.capacity,
		filled:   s.opts.Filled,
	}
	for _, job := range jobs.filling(len(s.workers)) {
		s.submit(job, random)
	}
	for ctx.Err() == nil {
		s.submit(jobs.short(), random)
		time.Sleep(time.Duration(random.Int64N(int64(2 * s.opts.JobGap))))
	}
	s.calls.Wait()
}

// submit hands a job in and may cancel it, beside what else goes on.
func (s *soak) submit(job document.StagedJob, random *rand.Rand) {
	h := s.roster.add(job)
	s.judge.expect(job)
	first := random.IntN(len(s.vms))
	cancels := random.IntN(oneInCancelled) == 0
	wait := time.Duration(random.Int64N(int64(cancelAfter)))
	s.calls.Go(func() {
		s.handIn(h, first)
		if cancels && h.accepted.Load() != 0 {
			time.Sleep(wait)
			s.cancel(h, first)
		}
	})
}

// handIn tries one VM after the other until a job is accepted. It counts as
// refused if every try was refused for certain.
func (s *soak) handIn(h *handedIn, first int) {
	certain := true
	until := time.Now().Add(tryFor)
	for try := first; time.Now().Before(until); try++ {
		status, err := s.tryOnce(try, func(ctx context.Context, address string) (int, error) {
			return s.caller.Submit(ctx, address, h.job)
		})
		if err == nil && status == http.StatusOK {
			h.accepted.Store(int64(s.clock.Now()))
			return
		}
		certain = certain && err == nil && definite(status)
		time.Sleep(tryAgain)
	}
	if certain {
		s.judge.refuse(h.job)
	}
}

func (s *soak) cancel(h *handedIn, first int) {
	h.cancelSent.Store(true)
	s.judge.cancel(h.job)
	until := time.Now().Add(tryFor)
	for try := first; time.Now().Before(until); try++ {
		status, err := s.tryOnce(try, func(ctx context.Context, address string) (int, error) {
			return s.caller.Cancel(ctx, address, h.job)
		})
		if err == nil && status == http.StatusOK {
			h.cancelled.Store(true)
			s.judge.cancelNoted(h.job)
			return
		}
		time.Sleep(tryAgain)
	}
}

func (s *soak) tryOnce(try int, call func(context.Context, string) (int, error)) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), tryWithin)
	defer cancel()
	return call(ctx, s.vms[try%len(s.vms)].caller)
}

// state asks one VM after the other.
func (s *soak) state(h *handedIn) (planner.State, int) {
	status := 0
	for try := range s.vms {
		var text string
		code, err := s.tryOnce(try, func(ctx context.Context, address string) (int, error) {
			var code int
			var err error
			text, code, err = s.caller.State(ctx, address, h.job)
			return code, err
		})
		if err == nil && (code == http.StatusOK || code == http.StatusGone) {
			return planner.State(text), code
		}
		status = code
	}
	return "", status
}

// definite reports whether a status says for certain that a job was not accepted.
func definite(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
