package conductor

import (
	"context"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
)

// Adviser knows which workers may run a step of a queue with advice.
type Adviser interface {
	// Advise returns the workers of those asked about that may run the step, and
	// for how long that holds.
	Advise(ctx context.Context, advise planner.Advise) ([]planner.Permit, clock.Span, error)
}

const (
	// adviceSize bounds the questions that wait.
	adviceSize   = 512
	adviceWithin = 2 * clock.Second
)

// adviceLoop asks one question after the other: the adviser handles one call of a
// VM at a time.
func (t *tenure) adviceLoop(ctx context.Context) {
	for {
		select {
		case advise := <-t.questions.Out():
			t.put(told{message: t.ask(ctx, advise)})
		case <-ctx.Done():
			return
		}
	}
}

func (t *tenure) ask(ctx context.Context, advise planner.Advise) planner.Advised {
	answer := planner.Advised{
		Step:    advise.Step,
		Workers: advise.Workers,
	}
	if t.c.opts.Adviser == nil {
		t.c.opts.Log.Error("no-adviser", "step", advise.Step.String(), "reason", "the queue has advice and no address is set")
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, adviceWithin.Duration())
	defer cancel()
	good, valid, err := t.c.opts.Adviser.Advise(ctx, advise)
	if err != nil {
		t.c.opts.Log.Warn("advice-failed", "step", advise.Step.String(), "workers", len(advise.Workers), "error", err.Error())
		return answer
	}
	answer.Good = good
	answer.Valid = valid
	answer.Answered = true
	return answer
}
