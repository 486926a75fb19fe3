package planner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestAdvice checks that a task of a queue with advice starts only on a worker that the
// adviser allows and with its ticket, and that the adviser is asked again after a call
// without an answer or when the ticket is no longer valid.
func TestAdvice(t *testing.T) {
	now := clock.Time(1_000_000)
	p := New(Options{Epoch: 1, Takeover: now, LeaseMax: 6000, StopGrace: 200})
	p.Handle(now, Configured{Operations: document.Operations{
		Revision: 1,
		Queues:   []document.Queue{{Name: "q", Pool: "pool", MaxAttempts: 2, Stretch: 1500, Advised: true}},
	}})
	for _, id := range []string{"w1", "w2"} {
		p.Handle(now, WorkerListed{Worker: Worker{ID: id, Pool: "pool", Zone: "z", Capacity: document.Size{Processors: 8, Memory: 8}}})
		answerRenewal(p, now, id, Report{})
	}
	decideAndCommit(p, now)
	p.Handle(now, AdviserSlots{Count: 1})
	p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{ID: loneJob, Queue: "q", Steps: []document.Step{
		{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}},
	}}})
	now = now.Add(100)
	asked := adviseOrders(decideAndCommit(p, now))
	assert.Equal(t, len(asked), 1)
	assert.Equal(t, len(asked[0].Workers), 2)
	assert.Equal(t, len(p.findTask(TaskID{Job: loneJob}).runs), 0, "nothing starts without a ticket")

	p.Handle(now, Advised{Step: asked[0].Step, Workers: asked[0].Workers})
	assert.Equal(t, len(adviseOrders(decideAndCommit(p, now.Add(100)))), 0, "the planner waits after a call without an answer")
	now = now.Add(adviceRetryDelay + 200)
	asked = adviseOrders(decideAndCommit(p, now))
	assert.Equal(t, len(asked), 1)

	p.Handle(now, Advised{Step: asked[0].Step, Workers: asked[0].Workers, Good: []Permit{{Worker: "w2", Ticket: "abc"}}, Valid: 3000, Answered: true})
	var start Start
	for _, order := range decideAndCommit(p, now.Add(100)) {
		if s, ok := order.(Start); ok {
			start = s
		}
	}
	assert.Equal(t, start.Worker, "w2")
	assert.Equal(t, start.Ticket, "abc")

	p.Handle(now.Add(200), StartEnded{Worker: "w2", Task: TaskID{Job: loneJob}, Attempt: start.Attempt, Outcome: OutcomeTicket})
	asked = adviseOrders(decideAndCommit(p, now.Add(300)))
	assert.Equal(t, len(asked), 1)
	assert.DeepEqual(t, asked[0].Workers, []string{"w2"}) // the refused worker is not asked about again
}

func adviseOrders(orders []Order) []Advise {
	var found []Advise
	for _, order := range orders {
		if a, ok := order.(Advise); ok {
			found = append(found, a)
		}
	}
	return found
}

// TestSlowAdviser guards against a queue that is never served because calls to the adviser take
// longer than their answers are waited for or are valid: a call names fewer workers if
// each takes long, and a ticket can be used when the answer arrives.
func TestSlowAdviser(t *testing.T) {
	const workers = 120
	for _, c := range []struct {
		name            string
		base, perWorker clock.Span
		asked           int
	}{
		{"unknown", 0, 0, 100},
		{"fast", 200, 5, 100},
		{"slow for each worker", 200, 20, 40},
		{"slow for a call", 4000, 50, 80},
		{"very slow for each worker", 100, 5000, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := clock.Time(1_000_000)
			p := newWithQueue(now, Options{Epoch: 1, Takeover: now, LeaseMax: 6000, StopGrace: 200}, document.Queue{
				Name:                "q",
				Pool:                "pool",
				MaxAttempts:         2,
				Stretch:             1500,
				Advised:             true,
				AdviceTime:          c.base,
				AdviceTimePerWorker: c.perWorker,
			})
			for n := range workers {
				id := fmt.Sprint("w", n)
				p.Handle(now, WorkerListed{Worker: Worker{ID: id, Pool: "pool", Zone: "z", Capacity: document.Size{Processors: 8, Memory: 8}}})
				answerRenewal(p, now, id, Report{})
			}
			for range workers {
				decideAndCommit(p, now) // records are written a few at a time
			}
			p.Handle(now, AdviserSlots{Count: 1})
			p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{ID: loneJob, Queue: "q", Steps: []document.Step{
				{Tasks: 24, Demand: document.Size{Processors: 8, Memory: 8}},
			}}})
			asked := adviseOrders(decideAndCommit(p, now))
			assert.Equal(t, len(asked), 1)
			assert.Equal(t, len(asked[0].Workers), c.asked)
			assert.Equal(t, asked[0].Handling, c.base+c.perWorker*clock.Span(c.asked))

			answered := now.Add(asked[0].Handling + 50)
			for n := range workers {
				answerRenewal(p, answered, fmt.Sprint("w", n), Report{})
			}
			p.Handle(answered, Advised{Step: asked[0].Step, Workers: asked[0].Workers, Good: []Permit{{Worker: asked[0].Workers[0], Ticket: "abc"}}, Valid: 3000, Answered: true})
			assert.Equal(t, countStarts(decideAndCommit(p, answered)), 1)
		})
	}
}
