package planner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// submitQuick submits a job of a customer whose tasks take a second on a tenth of a worker.
func (c *customerCell) submitQuick(customer string, number, tasks int, queue string) string {
	id := fmt.Sprintf("%s-%03d", customer, number)
	c.submit(document.StagedJob{
		ID:       id,
		Queue:    queue,
		Customer: customer,
		Steps: []document.Step{{
			Tasks:    tasks,
			Estimate: clock.Second,
			Demand:   document.Size{Processors: 10, Memory: 1},
		}},
	})
	return id
}

// runCalm runs customers that submit two jobs a second each, as agreed, for 20 s. If hot is set,
// another one submits eight times what was agreed with it. It returns how long each job of the
// calm customers took, 0 if it was not completed.
func runCalm(hot bool, queue string) map[string]clock.Span {
	c := newCustomerCell(4)
	c.endAfter = clock.Second
	for _, name := range []string{"calm-1", "calm-2", "hot"} {
		c.ops.Customers[name] = document.Customer{Name: name, Weight: 2000}
	}
	c.configure()
	submitted := map[string]clock.Time{}
	for i := range 40 {
		for _, name := range []string{"calm-1", "calm-2"} {
			submitted[c.submitQuick(name, i, 4, "last")] = c.now
		}
		for n := 0; hot && n < 8; n++ {
			c.submitQuick("hot", i*8+n, 4, queue)
		}
		c.run(500)
	}
	c.run(5000)
	took := map[string]clock.Span{}
	for id, at := range submitted {
		if done, ok := c.completed[id]; ok {
			took[id] = done.Sub(at)
		}
	}
	return took
}

// TestBurstWaitsBehindOthers plays the load of a customer that submits eight times what was
// agreed, to a queue of their priority or a higher one, in a pool of which the agreed rates fill six
// tenths. No job of theirs may take longer than without it by more than a task.
func TestBurstWaitsBehindOthers(t *testing.T) {
	before := runCalm(false, "last")
	for _, queue := range []string{"last", "first"} {
		during := runCalm(true, queue)
		for id, span := range before {
			took, ok := during[id]
			assert.Assert(t, ok, "%s was not completed", id)
			assert.Assert(t, took <= span+clock.Second+200, "%s took %v, without the burst %v", id, took, span)
		}
	}
}

// TestSharesConverge plays the load of customers who all have more work than fits. What each gets
// follows the weights, and everybody gets some.
func TestSharesConverge(t *testing.T) {
	c := newCustomerCell(4)
	c.endAfter = clock.Second
	weights := map[string]int{"one": 1000, "two": 2000, "five": 5000}
	for name, weight := range weights {
		c.ops.Customers[name] = document.Customer{Name: name, Weight: weight}
	}
	c.configure()
	for i := range 200 {
		for _, name := range []string{"five", "two", "one"} {
			c.submitQuick(name, i, 5, "first")
		}
	}
	c.run(15 * clock.Second)
	total := c.used["one"] + c.used["two"] + c.used["five"]
	for name, weight := range weights {
		got := float64(c.used[name]) / float64(total)
		want := float64(weight) / 8000
		assert.Assert(t, got > want*0.6 && got < want*1.5, "%s has %.3f of the processors, its share is %.3f", name, got, want)
	}
}

// TestAgreedWorkFindsRoom plays the load of a customer that submits far more than was agreed while
// another one submits a job a second: those start at once, also under a new owner, which learns of
// the jobs that have ended too.
func TestAgreedWorkFindsRoom(t *testing.T) {
	c := newCustomerCell(4)
	c.endAfter = 3 * clock.Second
	c.ops.Customers["calm"] = document.Customer{Name: "calm", Weight: 2000}
	c.ops.Customers["hot"] = document.Customer{Name: "hot", Weight: 1000}
	c.configure()
	c.submitQuick("calm", 0, 1, "first")
	for i := range 100 {
		c.submitQuick("hot", i, 4, "first")
	}
	for i := range 10 {
		c.run(clock.Second)
		id := c.submitQuick("calm", i+1, 4, "first")
		c.run(100)
		assert.Equal(t, c.count(id), 4, "%s", id)
	}
}

// TestRateCountsEndedJobs checks that a new owner takes jobs above the agreed rate for such,
// although those that were submitted before them have ended.
func TestRateCountsEndedJobs(t *testing.T) {
	c := newCustomerCell(1)
	c.ops.Customers["a"] = document.Customer{Name: "a", Weight: 1000}
	c.configure()
	for i := range 6 {
		m := Submitted{
			Accepted: c.now.Add(-100),
			Job: document.StagedJob{
				ID:       fmt.Sprint("a-", i),
				Queue:    "first",
				Customer: "a",
				Steps:    []document.Step{{Tasks: 1}},
			},
		}
		if i < minArrivals {
			m.Progress = &Progress{State: StateCompleted}
		}
		c.planner.Handle(c.now, m)
	}
	c.planner.rateArrivals()
	for i := range 6 {
		assert.Equal(t, c.planner.jobs[fmt.Sprint("a-", i)].aboveRate, i >= minArrivals)
	}
}

// TestRoomIsLent checks that a customer with work of its own alone gets the whole pool, whatever
// it submits, within its limits.
func TestRoomIsLent(t *testing.T) {
	c := newCustomerCell(2)
	c.endAfter = clock.Second
	c.ops.Customers["one"] = document.Customer{Name: "one", Weight: 1000}
	c.ops.Customers["two"] = document.Customer{Name: "two", Weight: 9000}
	c.configure()
	for i := range 100 {
		c.submitQuick("one", i, 4, "first")
	}
	c.run(500)
	running := 0
	for _, id := range c.jobs {
		running += c.count(id)
	}
	assert.Equal(t, running, 20)
}

// TestArrivalBucket checks the agreed rate against series of arrivals.
func TestArrivalBucket(t *testing.T) {
	for _, c := range []struct {
		rate  int // thousandths of jobs a second
		gap   clock.Span
		count int
		taken int
	}{
		{rate: 2000, gap: 500, count: 100, taken: 100},
		{rate: 2000, gap: 0, count: 10, taken: 4},
		{rate: 2000, gap: 250, count: 100, taken: 53},
		{rate: 500, gap: 0, count: 10, taken: 2},
		{rate: 500, gap: 2000, count: 50, taken: 50},
		{rate: 500, gap: 7, count: 1000, taken: 5},
	} {
		var bucket arrivalBucket
		taken := 0
		for i := range c.count {
			if bucket.take(clock.Time(1_000_000).Add(c.gap*clock.Span(i)), c.rate) {
				taken++
			}
		}
		assert.Equal(t, taken, c.taken, "%+v", c)
	}
}

// TestSomeRoomIsAlwaysLent checks that work above the agreed rates goes on in a pool that lasting
// tasks nearly fill, while another customer submits all the time.
func TestSomeRoomIsAlwaysLent(t *testing.T) {
	c := newCustomerCell(4)
	c.endAfter = clock.Second
	for _, name := range []string{"a", "b"} {
		c.ops.Customers[name] = document.Customer{Name: name, Weight: 1000}
	}
	c.configure()
	c.submit(document.StagedJob{ID: "watch", Queue: "first", Customer: "a", Steps: []document.Step{
		{Tasks: 8, LongRunning: true, Demand: document.Size{Processors: 43, Memory: 1}},
	}})
	c.run(clock.Second)
	for i := range 20 {
		c.submitQuick("a", i, 1, "first")
	}
	for i := range 30 {
		c.submitQuick("b", i, 1, "first")
		c.run(clock.Second)
	}
	for _, id := range c.jobs[1:] {
		assert.Assert(t, c.completed[id] != 0 || id == "b-029", "%s was not completed", id)
	}
}

// TestPoolsLendApart checks that work above the agreed rate goes on in one pool while another one
// is full.
func TestPoolsLendApart(t *testing.T) {
	c := newCustomerCell(2)
	c.endAfter = clock.Second
	c.ops.Queues = append(c.ops.Queues, document.Queue{Name: "elsewhere", Pool: "other", MaxAttempts: 2, Stretch: 2000, Slack: 5000})
	for _, name := range []string{"a", "b"} {
		c.ops.Customers[name] = document.Customer{Name: name, Weight: 1000}
	}
	c.configure()
	c.workers = append(c.workers, "other")
	c.planner.Handle(c.now, WorkerListed{Worker: Worker{
		ID:       "other",
		Pool:     "other",
		Zone:     "z",
		Capacity: document.Size{Processors: 100, Memory: 100},
	}})
	c.submit(document.StagedJob{ID: "watch", Queue: "first", Customer: "b", Steps: []document.Step{
		{Tasks: 20, LongRunning: true, Demand: document.Size{Processors: 10, Memory: 1}},
	}})
	for i := range 6 {
		c.submitQuick("a", i, 1, "first")
		c.submitQuick("a", 10+i, 1, "elsewhere")
	}
	c.run(3 * clock.Second)
	for i := range 6 {
		id := fmt.Sprintf("a-%03d", 10+i)
		assert.Assert(t, c.completed[id] != 0, "%s was not completed", id)
	}
}
