package conductor

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

// Adviser decides which workers may run a step of a queue with advice.
type Adviser interface {
	// Advise returns permits for those of the given workers that may run the step, and
	// how long the permits are valid.
	Advise(ctx context.Context, advise planner.Advise) ([]planner.Permit, clock.Span, error)
}

// AdvicePath is the HTTP path at which a VM queries the adviser for the owner of the
// cell. The adviser accepts one call of a VM at a time, so one VM alone could not query
// it for all steps.
const AdvicePath = "/advice"

const (
	// adviceQueueSize is the capacity of the queue of advice requests.
	adviceQueueSize = 64
	// adviceTimeout is how long an answer may take beyond the time that the adviser takes for
	// the call.
	adviceTimeout = 2 * clock.Second
	// maxAdviceBytes is the maximum size of an advice request and of its reply.
	maxAdviceBytes = 64 << 10
)

// adviceReply is the body of the reply to an advice request.
type adviceReply struct {
	Permits  []planner.Permit `json:"good"`
	ValidFor clock.Span       `json:"valid-ms"`
}

// ServeAdvice queries the adviser for another VM, which owns the cell.
func (c *Conductor) ServeAdvice(w http.ResponseWriter, r *http.Request) {
	body, err := c.opts.Bodies.Read(w, r, maxAdviceBytes)
	if err != nil {
		http.Error(w, err.Error(), result.CodeOf(err).Status())
		return
	}
	defer body.Close()
	var advise planner.Advise
	if err := body.Decode(&advise); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	permits, validFor, err := c.advise(r.Context(), advise)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	answer := adviceReply{
		Permits:  permits,
		ValidFor: validFor,
	}
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		c.opts.Log.Info("advice-not-sent", "step", advise.Step.String(), "error", err.Error())
	}
}

func (c *Conductor) advise(ctx context.Context, advise planner.Advise) ([]planner.Permit, clock.Span, error) {
	if c.opts.Adviser == nil {
		return nil, 0, Error.New("no adviser address is configured")
	}
	return c.opts.Adviser.Advise(ctx, advise)
}

// adviseVia queries the adviser through the VM at the given address, or directly if the
// address is that of this process.
func (c *Conductor) adviseVia(ctx context.Context, address string, advise planner.Advise) ([]planner.Permit, clock.Span, error) {
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
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, 0, Error.New("advice request to %s failed with HTTP status %d", address, resp.StatusCode)
	}
	var answer adviceReply
	err = json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxAdviceBytes)).Decode(&answer)
	return answer.Permits, answer.ValidFor, Error.Wrap(err)
}

// adviceSenders runs a goroutine for each VM through which the adviser can be queried.
// Each goroutine makes one call at a time.
type adviceSenders struct {
	tenure *tenure
	stops  map[string]context.CancelFunc
}

// run updates the set of goroutines periodically while advice is wanted, until ctx ends.
func (a *adviceSenders) run(ctx context.Context) {
	ticker := time.NewTicker(registerInterval.Duration())
	defer ticker.Stop()
	for {
		if a.tenure.c.adviceWanted() || a.tenure.needsAdvice.Load() {
			a.reconcile(ctx, a.tenure.c.liveVMs(ctx))
		}
		select {
		case <-ticker.C:
		case <-a.tenure.adviceNeeded:
		case <-ctx.Done():
			return
		}
	}
}

// reconcile starts and stops goroutines so that there is one for each address.
func (a *adviceSenders) reconcile(ctx context.Context, addresses []string) {
	present := map[string]bool{}
	for _, address := range addresses {
		present[address] = true
		if a.stops[address] != nil {
			continue
		}
		senderCtx, stop := context.WithCancel(ctx)
		a.stops[address] = stop
		a.tenure.group.Go(func() { a.tenure.adviseLoop(senderCtx, address) })
	}
	for address, stop := range a.stops {
		if !present[address] {
			stop()
			delete(a.stops, address)
		}
	}
	a.tenure.post(plannerMessage{message: planner.AdviserSlots{Count: len(a.stops)}})
}

// adviseLoop sends the queued advice requests through a VM, one at a time.
func (t *tenure) adviseLoop(ctx context.Context, address string) {
	for {
		select {
		case advise := <-t.adviceQueue.Out():
			t.post(plannerMessage{message: t.requestAdvice(ctx, address, advise)})
		case <-ctx.Done():
			return
		}
	}
}

func (t *tenure) requestAdvice(ctx context.Context, address string, advise planner.Advise) planner.Advised {
	answer := planner.Advised{
		Step:    advise.Step,
		Workers: advise.Workers,
	}
	ctx, cancel := context.WithTimeout(ctx, (advise.Handling + adviceTimeout).Duration())
	defer cancel()
	permits, validFor, err := t.c.adviseVia(ctx, address, advise)
	if err != nil {
		t.c.opts.Log.Warn("advice-failed", "step", advise.Step.String(), "through", address, "workers", len(advise.Workers), "error", err.Error())
		return answer
	}
	answer.Good = permits
	answer.Valid = validFor
	answer.Answered = true
	return answer
}
