package planner

import (
	"fmt"
	"testing"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// simCustomers are the customers of a simulation, whose limits change with versions of the
// configuration. A nil one stands for none.
type simCustomers struct {
	current map[string]document.Customer
	// former are the limits of earlier versions, with the time up to which they may be in force.
	former []formerLimit
	byJob  map[string]string
}

type formerLimit struct {
	customer string
	limit    document.Size
	until    clock.Time
}

// simApplyTime is the time within which a version must be in force. Starts that were sent before
// then may be carried out later.
const simApplyTime = 500 * clock.Millisecond

func (c *simCustomers) inForce() map[string]document.Customer {
	if c == nil {
		return nil
	}
	copied := map[string]document.Customer{}
	for name, terms := range c.current {
		copied[name] = terms
	}
	return copied
}

// checkStart checks that the customer of a task that has started has no more running than the
// highest limit that may be in force, or just that task.
func (c *simCustomers) checkStart(sim *simulation, task TaskID) {
	if c == nil || c.byJob[task.Job] == "" {
		return
	}
	name := c.byJob[task.Job]
	used := document.Size{}
	runs := 0
	for _, worker := range sim.workers {
		for key := range worker.running {
			if c.byJob[key.task.Job] == name {
				used = used.Plus(sim.spec(key.task).Demand)
				runs++
			}
		}
	}
	if runs == 1 || c.current[name].Allows(used) {
		return
	}
	for _, f := range c.former {
		if f.customer == name && f.until.After(sim.now) && (document.Customer{Cap: f.limit}).Allows(used) {
			return
		}
	}
	sim.violate("%v starts while its customer %s uses %+v, limit %+v", task, name, used, c.current[name].Cap)
}

// changeLimit writes a version with another limit of a customer. Owners learn of it later.
func (c *simCustomers) changeLimit(sim *simulation, name string) {
	c.former = append(c.former, formerLimit{
		customer: name,
		limit:    c.current[name].Cap,
		until:    sim.now.Add(simApplyTime + startWindow),
	})
	c.current[name] = document.Customer{
		Name:   name,
		Weight: 1000,
		Cap:    document.Size{Processors: 3500 + sim.random.IntN(6000), Memory: 6000},
	}
	for number := range sim.owner + 1 {
		sim.after(clock.Span(sim.random.IntN(int(simApplyTime))), func() { sim.tellOwner(number, sim.configuration()) })
	}
}

// TestModelOfQuotas runs the model with customers whose limits change, under faults and while
// owners overlap. It checks that no start exceeds a limit, that the planner's counts agree with
// its runs, and that all jobs finish.
func TestModelOfQuotas(t *testing.T) {
	for name, f := range map[string]faults{
		"faults":    frequentFaults,
		"takeovers": frequentTakeovers,
		"series":    ownersInSeries,
	} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) { runQuotaModel(t, seed, f) })
		}
	}
}

func runQuotaModel(t *testing.T, seed uint64, f faults) {
	t.Helper()
	sim := newSimulation(seed, 6, f)
	c := &simCustomers{
		current: map[string]document.Customer{
			"small": {Name: "small", Weight: 1000, Cap: document.Size{Processors: 3500}},
			"large": {Name: "large", Weight: 1000, Cap: document.Size{Processors: 9000, Memory: 6000}},
		},
		byJob: map[string]string{},
	}
	sim.customers = c
	sim.tell(sim.configuration())
	names := []string{"small", "large", ""}
	for i := range 14 {
		job := sim.randomJob(i)
		job.Customer = names[i%len(names)]
		c.byJob[job.ID] = job.Customer
		for n := range job.Steps {
			if job.Steps[n].LongRunning {
				job.Steps[n].Demand.Processors = 100 // so that limits leave room for others
				job.Steps[n].Demand.Memory = 100
			}
		}
		sim.after(clock.Span(sim.random.IntN(20000)), func() { sim.submit(job) })
	}
	for range 6 {
		sim.after(clock.Span(sim.random.IntN(40000)), func() { c.changeLimit(sim, names[sim.random.IntN(2)]) })
	}
	sim.runFor(60 * clock.Second)
	sim.faults = faults{}
	for _, name := range names[:2] {
		c.current[name] = document.Customer{Name: name, Cap: document.Size{Processors: 9500}}
	}
	sim.tellAll(sim.configuration())
	sim.runFor(90 * clock.Second)
	sim.checkFinished()
	if len(sim.violations) > 0 {
		t.Fatalf("seed %d: %v", seed, sim.violations)
	}
}
