package planner

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestQuota runs the scripts of testdata/quota: jobs of customers on a few workers that start
// what they are told. "run" lets the planner decide for a while and prints what runs.
func TestQuota(t *testing.T) {
	datadriven.Walk(t, "testdata/quota", func(t *testing.T, path string) {
		c := newCustomerCell(2)
		datadriven.RunTest(t, path, c.play)
	})
}

// customerCell is a planner with workers that start and stop at once what they are told, and
// whose tasks end when the test says so.
type customerCell struct {
	planner *Planner
	now     clock.Time
	workers []string
	running map[string][]Running
	numbers map[string]uint64
	ended   map[string][]Ended
	ops     document.Operations
	jobs    []string
	waits   []string // reasons in the log
	// endAfter is how long tasks that do not last run, 0 if only the test ends them.
	endAfter clock.Span
	endsAt   map[TaskID]clock.Time
	// completed is when jobs were completed, used the processor time of each customer's tasks.
	completed map[string]clock.Time
	used      map[string]clock.Span
}

func newCustomerCell(workers int) *customerCell {
	c := &customerCell{
		now:       1_000_000,
		running:   map[string][]Running{},
		numbers:   map[string]uint64{},
		ended:     map[string][]Ended{},
		endsAt:    map[TaskID]clock.Time{},
		completed: map[string]clock.Time{},
		used:      map[string]clock.Span{},
		ops: document.Operations{
			Queues: []document.Queue{
				{Name: "first", Pool: "pool", MaxAttempts: 2, Stretch: 2000, Slack: 5000},
				{Name: "last", Pool: "pool", Priority: 2, MaxAttempts: 2, Stretch: 2000, Slack: 5000},
			},
			Customers: map[string]document.Customer{},
		},
	}
	c.planner = New(Options{
		Epoch:     1,
		Takeover:  c.now,
		LeaseMax:  6000,
		StopGrace: 200,
	})
	c.configure()
	for i := range workers {
		id := fmt.Sprint("w", i)
		c.workers = append(c.workers, id)
		c.planner.Handle(c.now, WorkerListed{Worker: Worker{
			ID:       id,
			Pool:     "pool",
			Zone:     "z",
			Capacity: document.Size{Processors: 100, Memory: 100},
		}})
	}
	return c
}

func (c *customerCell) configure() {
	c.ops.Revision++
	copied := c.ops
	c.planner.Handle(c.now, Configured{Operations: copied})
}

func (c *customerCell) play(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "customer":
		terms := document.Customer{}
		d.ScanArgs(t, "name", &terms.Name)
		d.MaybeScanArgs(t, "processors", &terms.Cap.Processors)
		d.MaybeScanArgs(t, "memory", &terms.Cap.Memory)
		d.MaybeScanArgs(t, "weight", &terms.Weight)
		c.ops.Customers[terms.Name] = terms
		c.configure()
	case "remove":
		var name string
		d.ScanArgs(t, "name", &name)
		delete(c.ops.Customers, name)
		c.configure()
	case "submit":
		c.submit(c.scanJob(t, d))
	case "run":
		var ms int
		d.ScanArgs(t, "ms", &ms)
		c.run(clock.Span(ms))
		return c.describe()
	case "end":
		var job string
		count, how := 1, "done"
		d.ScanArgs(t, "job", &job)
		d.MaybeScanArgs(t, "count", &count)
		d.MaybeScanArgs(t, "how", &how)
		c.end(job, count, End(slices.Index(endNames[:], how)))
		c.run(50)
		return c.describe()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return "ok"
}

func (c *customerCell) scanJob(t *testing.T, d *datadriven.TestData) document.StagedJob {
	job := document.StagedJob{Queue: "first"}
	step := document.Step{
		Tasks:    1,
		Estimate: 1000,
		Demand:   document.Size{Processors: 10, Memory: 1},
	}
	d.ScanArgs(t, "id", &job.ID)
	d.MaybeScanArgs(t, "customer", &job.Customer)
	d.MaybeScanArgs(t, "queue", &job.Queue)
	d.MaybeScanArgs(t, "tasks", &step.Tasks)
	d.MaybeScanArgs(t, "processors", &step.Demand.Processors)
	d.MaybeScanArgs(t, "memory", &step.Demand.Memory)
	step.LongRunning = d.HasArg("lasts")
	step.Gang = d.HasArg("gang")
	step.Speculative = d.HasArg("speculative")
	job.Steps = []document.Step{step}
	return job
}

func (c *customerCell) submit(job document.StagedJob) {
	c.jobs = append(c.jobs, job.ID)
	c.planner.Handle(c.now, Submitted{
		Job:      job,
		Accepted: c.now,
	})
}

// run lets the planner decide every 20 ms, while workers carry out its orders and report.
func (c *customerCell) run(span clock.Span) {
	for until := c.now.Add(span); c.now.Before(until); {
		c.now = c.now.Add(cellStep)
		c.endDue()
		c.planner.Handle(c.now, Ticked{})
		c.decide()
		for _, id := range c.workers {
			c.report(id)
		}
	}
}

// cellStep is the time between two decisions.
const cellStep = 20 * clock.Millisecond

// endDue adds up what runs and ends what has run long enough.
func (c *customerCell) endDue() {
	for _, id := range c.workers {
		for _, r := range slices.Clone(c.running[id]) {
			j := c.planner.jobs[r.Task.Job]
			c.used[j.spec.Customer] += cellStep * clock.Span(j.spec.Steps[r.Task.Step].Demand.Processors)
			if c.endAfter > 0 && !j.spec.Lasts() && !c.endsAt[r.Task].After(c.now) {
				c.finish(id, r.Task, EndDone)
			}
		}
	}
}

func (c *customerCell) decide() {
	c.planner.Decide(c.now)
	for _, entry := range c.planner.TakeLog() {
		switch entry.Event {
		case "task-waits":
			c.waits = append(c.waits, entry.Reason)
		case "job-completed":
			c.completed[entry.Job] = c.now
		}
	}
	for _, order := range slices.Clone(c.planner.TakeOrders()) {
		switch o := order.(type) {
		case Start:
			c.running[o.Worker] = append(c.running[o.Worker], Running{
				Task:    o.Task,
				Attempt: o.Attempt,
			})
			c.endsAt[o.Task] = c.now.Add(c.endAfter)
			c.planner.Handle(c.now, StartEnded{
				Worker:     o.Worker,
				Task:       o.Task,
				Attempt:    o.Attempt,
				Outcome:    OutcomeTaken,
				WorkerTime: c.now,
			})
		case Stop:
			c.finish(o.Worker, o.Task, EndStopped)
			c.planner.Handle(c.now, StopEnded{
				Worker:     o.Worker,
				Task:       o.Task,
				Attempt:    o.Attempt,
				Outcome:    OutcomeTaken,
				WorkerTime: c.now,
			})
		}
	}
	if batch, ok := c.planner.TakeChanges(60); ok {
		c.planner.Handle(c.now, Committed{Number: batch.Number})
	}
}

func (c *customerCell) report(worker string) {
	c.planner.Handle(c.now, Renewed{
		Worker: worker,
		Report: Report{
			Incarnation: 1,
			WorkerTime:  c.now,
			Running:     slices.Clone(c.running[worker]),
			Ended:       slices.Clone(c.ended[worker]),
		},
		Ordered:  c.now,
		Received: c.now,
	})
}

// end ends the first tasks of a job that run.
func (c *customerCell) end(job string, count int, how End) {
	for _, id := range c.workers {
		for _, r := range slices.Clone(c.running[id]) {
			if r.Task.Job == job && count > 0 {
				count--
				c.finish(id, r.Task, how)
			}
		}
		c.report(id)
	}
}

func (c *customerCell) finish(worker string, task TaskID, how End) {
	at := slices.IndexFunc(c.running[worker], func(r Running) bool { return r.Task == task })
	if at < 0 {
		return
	}
	c.numbers[worker]++
	c.ended[worker] = append(c.ended[worker], Ended{
		Number:  c.numbers[worker],
		Task:    task,
		Attempt: c.running[worker][at].Attempt,
		How:     how,
	})
	c.running[worker] = slices.Delete(c.running[worker], at, at+1)
}

// count returns how many tasks of a job run.
func (c *customerCell) count(job string) int {
	n := 0
	for _, id := range c.workers {
		for _, r := range c.running[id] {
			if r.Task.Job == job {
				n++
			}
		}
	}
	return n
}

// describe states how many tasks of each job run, and the last reason for which one waits.
func (c *customerCell) describe() string {
	var out strings.Builder
	for _, job := range c.jobs {
		fmt.Fprintf(&out, "%s: %d\n", job, c.count(job))
	}
	if len(c.waits) > 0 {
		reason, _, _ := strings.Cut(c.waits[len(c.waits)-1], ";")
		fmt.Fprintln(&out, "waits:", reason)
		c.waits = nil
	}
	return out.String()
}

// TestLostTaskKeepsItsQuota checks that nothing new takes the quota of a task that lasts and has
// failed, before it runs again.
func TestLostTaskKeepsItsQuota(t *testing.T) {
	c := newCustomerCell(2)
	c.ops.Customers["a"] = document.Customer{Name: "a", Cap: document.Size{Processors: 30}}
	c.configure()
	lasting := document.Step{Tasks: 2, LongRunning: true, Demand: document.Size{Processors: 15, Memory: 1}}
	c.submit(document.StagedJob{ID: "watch", Queue: "first", Customer: "a", Steps: []document.Step{lasting}})
	c.run(200)
	assert.Equal(t, c.count("watch"), 2)
	c.end("watch", 1, EndFailed)
	short := document.Step{Tasks: 5, Estimate: 500, Demand: document.Size{Processors: 10, Memory: 1}}
	c.submit(document.StagedJob{ID: "quick", Queue: "first", Customer: "a", Steps: []document.Step{short}})
	c.decide() // no pass is due yet, but short tasks that have just come are placed
	assert.Equal(t, c.count("quick"), 0)
	c.run(3000)
	assert.Equal(t, c.count("watch"), 2)
	assert.Equal(t, c.count("quick"), 0)
}

// TestGangStartsWithinQuota checks that a gang starts only once its customer's quota holds all of
// its members.
func TestGangStartsWithinQuota(t *testing.T) {
	c := newCustomerCell(2)
	c.ops.Customers["a"] = document.Customer{Name: "a", Cap: document.Size{Processors: 40}}
	c.configure()
	c.submit(document.StagedJob{ID: "quick", Queue: "first", Customer: "a", Steps: []document.Step{
		{Tasks: 1, Estimate: 500, Demand: document.Size{Processors: 10, Memory: 1}},
	}})
	c.run(100)
	c.submit(document.StagedJob{ID: "gang", Queue: "first", Customer: "a", Steps: []document.Step{
		{Tasks: 4, Gang: true, Estimate: 500, Demand: document.Size{Processors: 10, Memory: 1}},
	}})
	c.run(500)
	assert.Equal(t, c.count("gang"), 0)
	c.end("quick", 1, EndDone)
	c.run(200)
	assert.Equal(t, c.count("gang"), 4)
}

// TestCopyStaysWithinQuota checks that a straggler is copied only within its customer's quota.
func TestCopyStaysWithinQuota(t *testing.T) {
	for limit, want := range map[int]int{40: 1, 50: 2} {
		c := newCustomerCell(2)
		c.ops.Customers["a"] = document.Customer{Name: "a", Cap: document.Size{Processors: limit}}
		c.configure()
		c.submit(document.StagedJob{ID: "copied", Queue: "first", Customer: "a", Steps: []document.Step{
			{Tasks: 4, Speculative: true, Estimate: 500, Demand: document.Size{Processors: 10, Memory: 1}},
		}})
		c.submit(document.StagedJob{ID: "other", Queue: "last", Customer: "a", Steps: []document.Step{
			{Tasks: 3, LongRunning: true, Demand: document.Size{Processors: 10, Memory: 1}},
		}})
		c.run(500)
		c.end("copied", 3, EndDone)
		c.run(6000)
		assert.Equal(t, c.count("copied"), want, "limit %d", limit)
	}
}
