package planner

import (
	"fmt"
	"testing"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// BenchmarkPass measures a pass over a backlog that fits on no worker, which is what an
// owner does continuously under overload.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{48, 50}, {48, 400}, {480, 2000}} {
		b.Run(fmt.Sprintf("%d workers, %d jobs", size.workers, size.jobs), func(b *testing.B) {
			p := fullPlanner(size.workers, size.jobs)
			now := clock.Time(2_000_000)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100)
				p.Handle(now, Ticked{})
				p.Decide(now)
				p.TakeOrders()
				p.TakeLog()
			}
		})
	}
}

// BenchmarkIdle measures what an owner does after a message that changes nothing.
func BenchmarkIdle(b *testing.B) {
	p, now := idlePlanner(b, 480, 600)
	b.ReportAllocs()
	for b.Loop() {
		p.Decide(now)
		p.Dirty()
	}
}

// fullPlanner returns a planner whose workers are full of serving and best-effort tasks,
// and whose remaining jobs wait.
func fullPlanner(workers, jobs int) *Planner { return fullPlannerOf(workers, jobs, 0) }

// fullPlannerOf returns the same with the jobs of a number of customers.
func fullPlannerOf(workers, jobs, customers int) *Planner {
	terms := map[string]document.Customer{}
	for i := range customers {
		name := fmt.Sprint("c", i)
		terms[name] = document.Customer{
			Name:   name,
			Weight: 1000,
			Cap:    document.Size{Processors: 1 << 40},
		}
	}
	now := clock.Time(1_000_000)
	p := New(Options{Epoch: 1, Takeover: now, LeaseMax: 6000})
	p.Handle(now, Configured{Operations: document.Operations{
		Revision: 1,
		Queues: []document.Queue{
			{Name: "serve", Pool: "pool", MaxAttempts: 4, Stretch: 1500, Slack: 250},
			{Name: "fill", Pool: "pool", Priority: 2, MaxAttempts: 4, Stretch: 2000, Slack: 1000},
		},
		Customers: terms,
	}})
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		p.Handle(now, WorkerListed{Worker: Worker{
			ID: id, Pool: "pool", Zone: "z", Rack: "r",
			Capacity: document.Size{Processors: 64000, Memory: 256000},
		}})
		w := p.workers[id]
		w.synced = true
		w.record = recordInexact
		w.renewInFlight = true
		w.renewSentAt = 10_000_000
	}
	for i := range jobs {
		job := document.StagedJob{ID: fmt.Sprintf("%016x", i), Queue: "fill", Steps: []document.Step{{
			Tasks: 8, Demand: document.Size{Processors: 7000, Memory: 13000}, Estimate: 2700,
			BestEffort: true, Checkpoints: true, Image: fmt.Sprint("f", i%9),
		}}}
		if i%8 == 0 {
			job.Queue = "serve"
			job.Steps[0] = document.Step{
				Tasks: 6, Demand: document.Size{Processors: 13000, Memory: 26000},
				LongRunning: true, Image: fmt.Sprint("s", i%5), TailTarget: 18,
			}
		}
		if customers > 0 {
			job.Customer = fmt.Sprint("c", i%customers)
		}
		p.Handle(now, Submitted{Job: job, Accepted: now})
	}
	startAll(p, startAll(p, now))
	return p
}

// acceptStarts answers the starts that the planner has ordered.
func (p *Planner) acceptStarts(now clock.Time) {
	for _, o := range p.TakeOrders() {
		if s, ok := o.(Start); ok {
			p.Handle(now, StartEnded{Worker: s.Worker, Task: s.Task, Attempt: s.Attempt, Outcome: OutcomeTaken})
		}
	}
}

// BenchmarkPlaceStep measures the placement of a best-effort step on workers that run
// serving tasks of several images.
func BenchmarkPlaceStep(b *testing.B) {
	for _, tasks := range []int{1, 80} {
		b.Run(fmt.Sprintf("490 workers, %d tasks", tasks), func(b *testing.B) {
			p := fullPlanner(490, 0)
			now := clock.Time(2_000_000)
			for i := range 40 {
				p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{
					ID: fmt.Sprint("s", i), Queue: "serve", Steps: []document.Step{{
						Tasks: 30, Demand: document.Size{Processors: 13000, Memory: 6000},
						LongRunning: true, Image: fmt.Sprint("s", i%5), TailTarget: 18,
					}},
				}})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(100)
				id := fmt.Sprint("f", i)
				p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{
					ID: id, Queue: "fill", Steps: []document.Step{{
						Tasks: tasks, Demand: document.Size{Processors: 3000, Memory: 6000},
						Estimate: 2700, BestEffort: true, Image: fmt.Sprint("f", i%9),
					}},
				}})
				p.Handle(now, Ticked{})
				p.Decide(now)
				for _, o := range p.TakeOrders() {
					s, ok := o.(Start)
					if !ok {
						continue
					}
					outcome := OutcomeTaken
					if s.Task.Job == id {
						outcome = OutcomeNotSent
					}
					p.Handle(now, StartEnded{Worker: s.Worker, Task: s.Task, Attempt: s.Attempt, Outcome: outcome})
				}
				p.Handle(now, Cancelled{Job: id})
				p.TakeLog()
			}
		})
	}
}

// BenchmarkChooseNone measures the search for a worker for a best-effort task that would
// make a serving task of every worker miss its target, or might do so where its effect is
// unknown and being observed elsewhere.
func BenchmarkChooseNone(b *testing.B) {
	b.Run("known effects", func(b *testing.B) {
		lessons := Lessons{}
		for i := range 5 {
			lessons.Effects = append(lessons.Effects, Effect{BestEffort: "f", Serving: fmt.Sprint("s", i), Loss: 30, Variance: 1})
		}
		benchmarkChooseNone(b, lessons)
	})
	b.Run("unknown effects", func(b *testing.B) { benchmarkChooseNone(b, Lessons{}) })
}

func benchmarkChooseNone(b *testing.B, lessons Lessons) {
	p := fullPlanner(490, 0)
	now := clock.Time(2_000_000)
	p.Learn(lessons)
	for i := range 5 {
		image := fmt.Sprint("s", i)
		p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{
			ID: image, Queue: "serve", Steps: []document.Step{{
				Tasks: 490, MaxPerWorker: 1, Demand: document.Size{Processors: 8000, Memory: 6000},
				LongRunning: true, Image: image, TailTarget: 18,
			}},
		}})
	}
	now = startAll(p, now)
	const tasks = 8
	p.Handle(now, Submitted{Accepted: now, Job: document.StagedJob{
		ID: "f", Queue: "fill", Steps: []document.Step{{
			Tasks: tasks, Demand: document.Size{Processors: 4000, Memory: 6000},
			Estimate: 2700, BestEffort: true, Image: "f",
		}},
	}})
	now = startAll(p, now)
	task := p.findTask(TaskID{Job: "f", Index: tasks - 1})
	b.ReportAllocs()
	for b.Loop() {
		if w := p.choose(now, task, ""); w != nil {
			b.Fatalf("worker %s was chosen", w.id)
		}
	}
}

// startAll makes passes over the backlog and answers all starts.
func startAll(p *Planner, now clock.Time) clock.Time {
	for range 100 {
		now = now.Add(100)
		p.Handle(now, Ticked{})
		p.Decide(now)
		p.TakeLog()
		p.acceptStarts(now)
	}
	return now
}

// BenchmarkLoad measures an owner's decisions in pools of several sizes, whose load grows
// with them. It reports the processor time for each start, with the start's end and the
// renewals of leases.
func BenchmarkLoad(b *testing.B) {
	for _, workers := range []int{110, 1100} {
		usual := largePool(workers)
		benchmarkLoad(b, fmt.Sprint(workers, " workers"), usual)
		overload := usual
		overload.bestEffort = overload.bestEffort * 14 / 10
		overload.latency = 25 * clock.Millisecond
		benchmarkLoad(b, fmt.Sprint(workers, " workers, overload"), overload)
	}
}

func benchmarkLoad(b *testing.B, name string, rates loadRates) {
	b.Run(name, func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			s := newLoadSim(1, rates)
			s.runFor(2 * clock.Second)
			s.deciding = 0
			first := s.starts
			b.StartTimer()
			s.runFor(6 * clock.Second)
			starts := float64(s.starts - first)
			b.ReportMetric(starts/6, "starts/s")
			b.ReportMetric(float64(s.deciding.Microseconds())/starts, "us/start")
			sum := s.planner.Summary(s.now)
			b.ReportMetric(float64(sum.Waiting), "waiting")
			b.ReportMetric(float64(sum.Throttled), "paused")
			b.ReportMetric(float64(sum.OverTarget), "over-target")
			b.ReportMetric(float64(sum.Idle), "idle")
		}
	})
}

// BenchmarkCustomers measures a pass over a backlog that fits on no worker, as BenchmarkPass, with
// jobs of many customers.
func BenchmarkCustomers(b *testing.B) {
	for _, customers := range []int{0, 20, 2000} {
		b.Run(fmt.Sprint(customers, " customers"), func(b *testing.B) {
			p := fullPlannerOf(480, 2000, customers)
			now := clock.Time(2_000_000)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100)
				p.contended = true // as after a pass in a full pool
				p.Handle(now, Ticked{})
				p.Decide(now)
				p.TakeOrders()
				p.TakeLog()
			}
		})
	}
}
