package experimenter

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"marjoramstack/internal/demonstrator"
	"marjoramstack/internal/ledger"
	"marjoramstack/internal/loader"
	"marjoramstack/internal/operator"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/standin"
	"marjoramstack/internal/tracer"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

// TownPlan describes an experiment with real entry VMs and stand-ins over
// loopback TCP.
type TownPlan struct {
	Zones            []string `yaml:"zones"`
	EntriesPerZone   int      `yaml:"entries-per-zone"`
	WorkersPerZone   int      `yaml:"workers-per-zone"`
	EndpointsPerZone int      `yaml:"endpoints-per-zone"`
	ServiceMs        int      `yaml:"service-ms"`
	Rate             float64  `yaml:"rate"`
	OrderShare       float64  `yaml:"order-share"`
	Seconds          int      `yaml:"seconds"`
	JobTasks         int      `yaml:"job-tasks,omitempty"`
	JobWork          string   `yaml:"job-work,omitempty"`
	Document         string   `yaml:"document"`
	Steps            []Step   `yaml:"steps,omitempty"`
}

const (
	townJob        = "experiment"
	townJobWithin  = 90 * time.Second
	settledWithin  = 20 * time.Second
	townProcessors = 64
	townMemory     = 250_000
	slotsEach      = 8
	perRack        = 8
)

// townRun is an experiment under way.
type townRun struct {
	plan   TownPlan
	town   *demonstrator.Town
	out    io.Writer
	killed bool
}

func runTown(ctx context.Context, plan TownPlan, seed uint64, report *Report, out io.Writer) error {
	town, err := demonstrator.NewTown(standin.Layout{
		Zones:            plan.Zones,
		WorkersPerZone:   plan.WorkersPerZone,
		EndpointsPerZone: plan.EndpointsPerZone,
		WorkersPerRack:   perRack,
		Worker:           document.Size{Processors: townProcessors, Memory: townMemory},
		Slots:            slotsEach,
		Service:          clock.Span(plan.ServiceMs),
		Random:           true,
		Lag:              2 * clock.Second,
		Seed:             seed,
	}, io.Discard)
	if err != nil {
		return err
	}
	defer town.Close()
	run := &townRun{
		plan: plan,
		town: town,
		out:  out,
	}
	if err := run.start(ctx); err != nil {
		return err
	}
	tally := run.load(ctx, seed)
	report.Steps = plan.Steps
	return run.figures(ctx, tally, report)
}

func (r *townRun) start(ctx context.Context) error {
	for _, zone := range r.plan.Zones {
		for range r.plan.EntriesPerZone {
			if _, err := r.town.Start(zone); err != nil {
				return err
			}
		}
	}
	if _, err := r.town.Apply(ctx, r.plan.Document); err != nil {
		return err
	}
	if err := r.town.AwaitReady(ctx); err != nil {
		return err
	}
	if r.plan.JobTasks == 0 {
		return nil
	}
	doc, err := document.Parse([]byte(r.plan.Document))
	if err != nil {
		return err
	}
	for _, c := range doc.Classes {
		if c.Kind == document.KindBatch {
			_, err := r.town.Entries[0].Client().Post(ctx, "/v1/jobs", document.Job{
				ID:      townJob,
				Class:   c.Name,
				Team:    doc.Teams[0].Name,
				Tasks:   r.plan.JobTasks,
				Size:    document.Size{Processors: 2, Memory: 1000},
				RunTime: r.plan.JobWork,
			}, nil)
			return err
		}
	}
	return Error.New("document: a job needs a batch class")
}

// load replays the trace with the plan's steps at their times.
func (r *townRun) load(ctx context.Context, seed uint64) *loader.Tally {
	trace := loader.Generate(loader.Plan{
		Class:      "quote",
		Rate:       r.plan.Rate,
		Span:       time.Duration(r.plan.Seconds) * time.Second,
		OrderShare: r.plan.OrderShare,
		Seed:       seed,
		Prefix:     "x",
	})
	for _, step := range r.plan.Steps {
		trace.Events = append(trace.Events, tracer.Event{
			AtMs: int64(step.At * 1000),
			Kind: tracer.KindStep,
			What: step.What,
		})
	}
	sort.SliceStable(trace.Events, func(i, j int) bool { return trace.Events[i].AtMs < trace.Events[j].AtMs })
	return loader.New(loader.Options{
		Callers: r.town.Callers(),
		Trace:   trace,
		Body:    []byte("order"),
		Step: func(what string) {
			if err := r.step(ctx, what); err != nil {
				fmt.Fprintf(r.out, "   step %q: %v\n", what, err)
			}
		},
	}).Run(ctx)
}

// step takes one step: "zone-leave Z", "zone-return Z", "kill-entry N",
// "restart-worker W", "slow-endpoint E", "platform-down", "platform-up".
func (r *townRun) step(ctx context.Context, what string) error {
	fmt.Fprintf(r.out, "   step %s\n", what)
	words := strings.Fields(what)
	arg := ""
	if len(words) > 1 {
		arg = words[1]
	}
	switch words[0] {
	case "zone-leave", "zone-return":
		path := "/v1/zones/" + arg + "/" + strings.TrimPrefix(words[0], "zone-")
		_, err := r.town.Entries[0].Client().Post(ctx, path, struct{}{}, nil)
		return err
	case "kill-entry":
		r.killed = true
		var n int
		if _, err := fmt.Sscan(arg, &n); err != nil || n < 2 || n > len(r.town.Entries) {
			return Error.New("entry VM %q: expected 2 to %d", arg, len(r.town.Entries))
		}
		r.town.Entries[n-1].Kill()
		return nil
	case "restart-worker":
		w := r.town.Site.Workers[arg]
		if w == nil {
			return Error.New("no worker %q", arg)
		}
		w.Restart()
		return nil
	case "slow-endpoint":
		e := r.town.Site.Endpoints[arg]
		if e == nil {
			return Error.New("no endpoint %q", arg)
		}
		e.SetFaults(standin.EndpointFaults{Slowdown: 10_000})
		return nil
	case "platform-down", "platform-up":
		r.town.Site.Platform.SetFaults(platform.Faults{Down: words[0] == "platform-down"})
		return nil
	}
	return Error.New("unknown step %q", what)
}

func (r *townRun) figures(ctx context.Context, tally *loader.Tally, report *Report) error {
	var counts ledger.Counts
	settled := demonstrator.Await(ctx, settledWithin, "orders settled", func() bool {
		return r.town.Entries[0].Client().Get(ctx, "/v1/orders", &counts) == nil && counts.Claimed == 0
	})
	faults := tally.Verify(r.town.Site.RunsPerKey())
	faults = append(faults, r.town.Site.Violations()...)
	if settled != nil {
		faults = append(faults, settled.Error())
	}
	faults = append(faults, r.miscounted(tally, counts)...)
	for _, f := range faults {
		fmt.Fprintln(r.out, "   FAULT:", f)
	}
	over := 0
	for _, e := range r.town.Site.Endpoints {
		if rec := e.Record(); rec.Most > rec.Slots {
			over++
		}
	}
	sent := float64(max(tally.Sent, 1))
	report.Figures = map[string]float64{
		"sent":              float64(tally.Sent),
		"ran-share":         float64(tally.Outcomes[string(result.OutcomeRan)]) / sent,
		"not-run-share":     float64(tally.Outcomes[string(result.OutcomeNotRun)]) / sent,
		"unknown-share":     float64(tally.Outcomes[string(result.OutcomeUnknown)]) / sent,
		"quote-p50-ms":      loader.Quantile(tally.Quotes, 50),
		"quote-p99-ms":      loader.Quantile(tally.Quotes, 99),
		"order-p99-ms":      loader.Quantile(tally.Ordered, 99),
		"faults":            float64(len(faults)),
		"endpoints-over":    float64(over),
		"orders-in-ledger":  float64(counts.Ran + counts.NotRun + counts.Unknown + counts.Claimed),
		"job-tasks-missing": 0,
	}
	if r.plan.JobTasks > 0 {
		report.Figures["job-tasks-missing"] = r.unfinished(ctx)
	}
	return nil
}

// miscounted holds the ledger's counts against what callers were told. An entry
// VM that was killed may have left callers without an answer.
func (r *townRun) miscounted(tally *loader.Tally, counts ledger.Counts) []string {
	ran := 0
	for _, outcome := range tally.Orders {
		if outcome == result.OutcomeRan {
			ran++
		}
	}
	if counts.Ran < ran || (!r.killed && counts.Ran != ran) {
		return []string{fmt.Sprintf("callers were told ran %d times, the ledger has %d", ran, counts.Ran)}
	}
	return nil
}

// unfinished waits for the job and returns how many of its tasks are missing.
func (r *townRun) unfinished(ctx context.Context) float64 {
	var job operator.Job
	if demonstrator.Await(ctx, townJobWithin, "job finished", func() bool {
		return r.town.Entries[0].Client().Get(ctx, "/v1/jobs/"+townJob, &job) == nil && job.State == "finished"
	}) != nil {
		return float64(r.plan.JobTasks)
	}
	finished := 0
	for _, p := range job.Parts {
		finished += p.Finished
	}
	return float64(r.plan.JobTasks - finished)
}
