package conductor

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
)

// Adviser knows which workers may run a step of a queue with advice.
type Adviser interface {
	// Advise returns the workers of those asked about that may run the step, and
	// for how long that holds.
	Advise(ctx context.Context, advise planner.Advise) ([]planner.Permit, clock.Span, error)
}

// AdvicePath is where another VM is asked to ask the adviser: the adviser takes one
// call of a VM at a time, so that one VM alone could not ask for all steps.
const AdvicePath = "/advice"

const (
	// adviceSize bounds the questions that wait for a VM.
	adviceSize   = 64
	adviceWithin = 2 * clock.Second
	// answerBytes bounds a question and its answer.
	answerBytes = 64 << 10
)

// opinion is the answer to a question.
type opinion struct {
	Good  []planner.Permit `json:"good"`
	Valid clock.Span       `json:"valid-ms"`
}

// ServeAdvice asks the adviser for another VM, which owns the cell.
func (c *Conductor) ServeAdvice(w http.ResponseWriter, r *http.Request) {
	var advise planner.Advise
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, answerBytes)).Decode(&advise); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	good, valid, err := c.advise(r.Context(), advise)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	answer := opinion{
		Good:  good,
		Valid: valid,
	}
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		c.opts.Log.Info("advice-not-sent", "step", advise.Step.String(), "error", err.Error())
	}
}

func (c *Conductor) advise(ctx context.Context, advise planner.Advise) ([]planner.Permit, clock.Span, error) {
	if c.opts.Adviser == nil {
		return nil, 0, Error.New("no address of an adviser is set")
	}
	return c.opts.Adviser.Advise(ctx, advise)
}

// adviseThrough asks the adviser through the VM at an address.
func (c *Conductor) adviseThrough(ctx context.Context, address string, advise planner.Advise) ([]planner.Permit, clock.Span, error) {
	if address == c.opts.Probe {
		return c.advise(ctx, advise)
	}
	body, err := json.Marshal(advise)
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+AdvicePath, bytes.NewReader(body))
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	resp, err := c.probes.Do(req)
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, 0, Error.New("%s: status %d", address, resp.StatusCode)
	}
	var answer opinion
	err = json.NewDecoder(http.MaxBytesReader(nil, resp.Body, answerBytes)).Decode(&answer)
	return answer.Good, answer.Valid, Error.Wrap(err)
}

// askers keeps a goroutine for each VM that asks the adviser, one call at a time.
type askers struct {
	tenure *tenure
	stops  map[string]context.CancelFunc
}

// keep follows the VMs that are there while a queue has advice.
func (a *askers) keep(ctx context.Context) {
	ticker := time.NewTicker(registerEvery.Duration())
	defer ticker.Stop()
	for {
		if a.tenure.c.advised() {
			a.update(ctx, a.tenure.c.vms(ctx))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *askers) update(ctx context.Context, addresses []string) {
	present := map[string]bool{}
	for _, address := range addresses {
		present[address] = true
		if a.stops[address] != nil {
			continue
		}
		asking, stop := context.WithCancel(ctx)
		a.stops[address] = stop
		a.tenure.group.Go(func() { a.tenure.askThrough(asking, address) })
	}
	for address, stop := range a.stops {
		if !present[address] {
			stop()
			delete(a.stops, address)
		}
	}
	a.tenure.put(told{message: planner.AdviserSlots{Count: len(a.stops)}})
}

// askThrough asks one question after the other through a VM.
func (t *tenure) askThrough(ctx context.Context, address string) {
	for {
		select {
		case advise := <-t.questions.Out():
			t.put(told{message: t.ask(ctx, address, advise)})
		case <-ctx.Done():
			return
		}
	}
}

func (t *tenure) ask(ctx context.Context, address string, advise planner.Advise) planner.Advised {
	answer := planner.Advised{
		Step:    advise.Step,
		Workers: advise.Workers,
	}
	ctx, cancel := context.WithTimeout(ctx, adviceWithin.Duration())
	defer cancel()
	good, valid, err := t.c.adviseThrough(ctx, address, advise)
	if err != nil {
		t.c.opts.Log.Warn("advice-failed", "step", advise.Step.String(), "through", address, "workers", len(advise.Workers), "error", err.Error())
		return answer
	}
	answer.Good = good
	answer.Valid = valid
	answer.Answered = true
	return answer
}
