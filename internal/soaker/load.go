package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/platform/standin"
)

// handedIn is a job that a caller has handed in, and what became of it.
type handedIn struct {
	job       document.StagedJob
	accepted  bool
	cancelled bool
}

const (
	maxAttempts = 4
	tryFor      = 8 * time.Second
	tryWithin   = 3 * time.Second
	tryAgain    = 120 * time.Millisecond
	// oneInLasting jobs last until they are cancelled, oneInCancelled others are
	// cancelled after a while.
	oneInLasting   = 12
	oneInCancelled = 10
)

func (s *soak) randomJob(random *rand.Rand, n int) document.StagedJob {
	job := document.StagedJob{
		ID:    fmt.Sprintf("%08x%08x", uint32(s.opts.Seed), n),
		Queue: "quick",
	}
	var script standin.Script
	lasts := random.IntN(oneInLasting) == 0
	for i := range 1 + random.IntN(3) {
		step := document.Step{
			Tasks:    1 + random.IntN(5),
			Demand:   document.Size{Processors: 500 + random.IntN(3500), Memory: 100 + random.IntN(900)},
			Estimate: clock.Span(50 + random.IntN(700)),
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		work := standin.ScriptStep{
			Span:   step.Estimate,
			Demand: step.Demand,
		}
		if random.IntN(8) == 0 {
			work.Fails = 1
		}
		if lasts {
			step.LongRunning = true
			step.After = nil
			work.Lasts = true
			work.Fails = 0
		}
		job.Steps = append(job.Steps, step)
		script.Steps = append(script.Steps, work)
		if lasts {
			break
		}
	}
	job.Payload = script.Encode()
	return job
}

// load hands jobs in until the span is over.
func (s *soak) load(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		h := &handedIn{job: s.randomJob(random, n)}
		s.jobs = append(s.jobs, h)
		s.judge.expect(h.job)
		cancelAfter := time.Duration(0)
		if random.IntN(oneInCancelled) == 0 {
			cancelAfter = time.Duration(random.IntN(2500)) * time.Millisecond
		}
		first := random.IntN(len(s.vms))
		s.calls.Go(func() { s.handIn(h, first, cancelAfter) })
		time.Sleep(time.Duration(random.Int64N(int64(2 * s.opts.JobGap))))
	}
	s.calls.Wait()
}

// handIn tries one VM after the other until a job is accepted. It counts as
// refused if every try was refused for certain.
func (s *soak) handIn(h *handedIn, first int, cancelAfter time.Duration) {
	certain := true
	until := time.Now().Add(tryFor)
	for try := first; time.Now().Before(until); try++ {
		status, err := s.tryOnce(try, func(ctx context.Context, address string) (int, error) {
			return s.caller.Submit(ctx, address, h.job)
		})
		if err == nil && status == http.StatusOK {
			h.accepted = true
			break
		}
		certain = certain && err == nil && definite(status)
		time.Sleep(tryAgain)
	}
	if !h.accepted && certain {
		s.judge.refuse(h.job)
	}
	if !h.accepted || cancelAfter == 0 {
		return
	}
	time.Sleep(cancelAfter)
	s.cancel(h, first)
}

func (s *soak) cancel(h *handedIn, first int) {
	until := time.Now().Add(tryFor)
	for try := first; time.Now().Before(until); try++ {
		status, err := s.tryOnce(try, func(ctx context.Context, address string) (int, error) {
			return s.caller.Cancel(ctx, address, h.job)
		})
		if err == nil && status == http.StatusOK {
			h.cancelled = true
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
