package soaker

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/document"
	wirestandin "marjoramstack/platform/standin"
)

const (
	// keyApplyTime is the time after which all VMs must act on a change of keys, and
	// keyPause the time between two changes.
	keyApplyTime = 3 * time.Second
	keyPause     = 1 * time.Second
	// withdrawnKeyPause is the time between two requests with a withdrawn key.
	withdrawnKeyPause = 150 * time.Millisecond
	// limitPercent is the limit of each second customer, of the capacity of all workers.
	limitPercent   = 70
	customerWeight = 2000
	// hotJobs is how many jobs in a row the same customer submits.
	hotJobs = 12
)

// customers are the customers of a run and their keys. Nil stands for none.
type customers struct {
	mu        sync.Mutex
	list      []wirestandin.Customer
	submitted int
	serial    int
	// withdrawn are the keys that no VM may take any more, by customer.
	withdrawn map[string]string
}

// newCustomers returns the customers of a run, nil if there are none.
func newCustomers(opts Options, capacity document.Size) *customers {
	if opts.Customers == 0 {
		return nil
	}
	c := &customers{withdrawn: map[string]string{}}
	for i := range opts.Customers {
		terms := document.Customer{
			Name:   fmt.Sprintf("customer-%d", i),
			Weight: customerWeight,
		}
		if i%2 == 0 {
			terms.Cap = document.Size{Processors: capacity.Processors * opts.Workers * limitPercent / 100}
		}
		c.list = append(c.list, wirestandin.Customer{Customer: terms})
	}
	return c
}

// current returns the customers with the keys that they have now.
func (c *customers) current() []wirestandin.Customer {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]wirestandin.Customer(nil), c.list...)
}

// name returns the name of a customer by its number, "" if there are none.
func (c *customers) name(number int) string {
	if c == nil {
		return ""
	}
	return c.list[number%len(c.list)].Name
}

// next returns the customer of the next short job: each submits several in a row.
func (c *customers) next() string {
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submitted++
	return c.list[c.submitted/hotJobs%len(c.list)].Name
}

// addKey gives a customer one more key and returns it.
func (c *customers) addKey(number int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	key := fmt.Sprintf("key-%d-%d", number, c.serial)
	customer := &c.list[number]
	customer.Keys = append(append([]string(nil), customer.Keys...), key)
	return key
}

// withdrawOldest takes a customer's oldest key away and returns it, "" if it has only one.
func (c *customers) withdrawOldest(number int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	customer := &c.list[number]
	if len(customer.Keys) < 2 {
		return ""
	}
	old := customer.Keys[0]
	customer.Keys = customer.Keys[1:]
	return old
}

// useFirstKeys gives each customer its first key, before the first configuration is written.
func (s *soak) useFirstKeys() {
	for i := range s.opts.Customers {
		s.caller.UseKey(s.customers.name(i), s.customers.addKey(i))
	}
}

// rotateKeys adds a key for one customer after the other, makes callers use it once all VMs must
// know it, and withdraws the one before.
func (s *soak) rotateKeys(ctx context.Context) {
	for i := 0; s.customers != nil && ctx.Err() == nil; i++ {
		number := i % s.opts.Customers
		key := s.customers.addKey(number)
		if !s.writeKeys(ctx) {
			return
		}
		s.caller.UseKey(s.customers.name(number), key)
		old := s.customers.withdrawOldest(number)
		// Requests with the old key may be on their way.
		if !waitFor(ctx, callTimeout) || !s.writeKeys(ctx) {
			return
		}
		s.customers.mu.Lock()
		s.customers.withdrawn[s.customers.name(number)] = old
		s.customers.mu.Unlock()
		if !waitFor(ctx, keyPause) {
			return
		}
	}
}

// writeKeys writes a configuration with the current keys and waits until it must be in force. It
// returns false if the run ends.
func (s *soak) writeKeys(ctx context.Context) bool {
	if err := s.configure(defaultSlack); err != nil {
		s.addEvent("change of keys failed: " + err.Error())
	}
	return waitFor(ctx, keyApplyTime)
}

// waitFor waits for a span, and returns false if ctx ends first.
func waitFor(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}

// tryWithdrawnKeys asks one VM after the other for a job with a withdrawn key of its customer.
func (s *soak) tryWithdrawnKeys(ctx context.Context) {
	if s.customers == nil {
		return
	}
	thief := wirestandin.NewCaller(&http.Client{})
	for i := 0; waitFor(ctx, withdrawnKeyPause); i++ {
		name := s.customers.name(i / len(s.vms))
		s.customers.mu.Lock()
		key := s.customers.withdrawn[name]
		s.customers.mu.Unlock()
		sub := s.acceptedOf(name)
		if key == "" || sub == nil {
			continue
		}
		thief.UseKey(name, key)
		vm := s.vms[i%len(s.vms)]
		call, cancel := context.WithTimeout(ctx, callTimeout)
		state, status, err := thief.State(call, vm.callerAddress, sub.job)
		cancel()
		if err == nil && status == http.StatusOK {
			s.checker.reportBreach("ROUTE: %s tells state %s of %s for a key that was withdrawn", vm.name, state, sub.job.ID)
		}
	}
}

// acceptedOf returns an accepted job of a customer, nil if there is none.
func (s *soak) acceptedOf(customer string) *submission {
	for _, sub := range s.submissions.all() {
		if sub.job.Customer == customer && sub.accepted.Load() != 0 {
			return sub
		}
	}
	return nil
}

// checkKnown reports a breach if a VM does not know a key that it must know.
func (s *soak) checkKnown(sub *submission, status int, err error) {
	if err == nil && status == http.StatusUnauthorized {
		s.checker.reportBreach("CONFIG: the key of %s is refused for %s", sub.job.Customer, sub.job.ID)
	}
}

// checkLimit checks that the customer of a task that starts has no more running than its limit
// and one task.
func (c *checker) checkLimit(worker string, task planner.TaskID, job document.StagedJob) {
	if c.limits == nil {
		return
	}
	for _, customer := range c.limits.list {
		if customer.Name != job.Customer || !customer.Limited() {
			continue
		}
		used := document.Size{}
		for other := range c.running {
			if o := c.jobs[other.Job]; o.Customer == job.Customer && len(c.running[other]) > 0 {
				used = used.Plus(o.Steps[other.Step].Demand)
			}
		}
		if !customer.Allows(used) {
			c.addBreach("QUOTA: %s starts on %s while %s uses %+v, limit %+v", task, worker, job.Customer, used, customer.Cap)
		}
	}
}
