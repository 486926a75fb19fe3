package conductor

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/logger"
	"marjoramstack/internal/planner"
	"marjoramstack/internal/rationer"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// fakeAdviser permits the first worker of each request.
type fakeAdviser struct{}

func (fakeAdviser) Advise(_ context.Context, advise planner.Advise) ([]planner.Permit, clock.Span, error) {
	return []planner.Permit{{Worker: advise.Workers[0], Ticket: "t"}}, 3000, nil
}

// TestAdviceThroughAnother checks that the adviser is queried through the VMs whose
// rows change, and no longer through a VM whose row has stopped changing.
func TestAdviceThroughAnother(t *testing.T) {
	rows := standin.NewRows()
	log := logger.Discard()
	defer log.Close()
	wall := clock.NewManual(1_000_000)
	vm := func(name, probe string, adviser Adviser) *Conductor {
		return New(Options{VM: name, Probe: probe, Store: rows, Clock: wall, Log: log.Logger, Adviser: adviser, Bodies: rationer.NewBudget(1 << 20)})
	}
	other := vm("b", "", fakeAdviser{})
	server := httptest.NewServer(http.HandlerFunc(other.ServeAdvice))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")

	owner := vm("a", "self", nil)
	other.writeVM(context.Background(), vmRow{Address: address, Serial: 1})
	assert.DeepEqual(t, owner.liveVMs(context.Background()), []string{"self", address})

	question := planner.Advise{Step: planner.StepID{Job: jobID}, Workers: []string{"w1", "w2"}}
	permits, validFor, err := owner.adviseVia(context.Background(), address, question)
	assert.NilError(t, err)
	assert.DeepEqual(t, permits, []planner.Permit{{Worker: "w1", Ticket: "t"}})
	assert.Equal(t, validFor, clock.Span(3000))
	_, _, err = owner.adviseVia(context.Background(), "self", question)
	assert.Assert(t, err != nil, "the owner itself has no adviser")

	wall.Advance(registrationTTL)
	assert.DeepEqual(t, owner.liveVMs(context.Background()), []string{"self"})
}

// slowAdviser takes as long for each call as its queue says.
type slowAdviser struct{ handling clock.Span }

func (a slowAdviser) Advise(ctx context.Context, advise planner.Advise) ([]planner.Permit, clock.Span, error) {
	select {
	case <-time.After(a.handling.Duration()):
		return fakeAdviser{}.Advise(ctx, advise)
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// TestSlowAdviceIsAwaited guards against a queue that is never served because its adviser takes
// longer for a call than answers are waited for.
func TestSlowAdviceIsAwaited(t *testing.T) {
	advised := testQueue
	advised.Advised = true
	advised.AdviceTime = adviceTimeout + 500
	s := newTestCell(t)
	s.adviser = slowAdviser{handling: advised.AdviceTime}
	s.queues = []document.Queue{advised}
	s.submitTo(advised)
	s.startVM("a", "127.0.0.1:1")
	s.link.awaitStarts(t, 1)
}
