// Package experimenter runs experiments that are written as files, and holds
// what they give against the outcomes stated in them.
//
// An experiment drives the real decision code in virtual time (kinds routing and
// batch) or real entry VMs over loopback (kind town). The stated outcomes come
// from the users' targets, not from earlier figures. A policy broken on purpose
// fails.
//
// # Usage
//
//	plan, err := experimenter.Load("bench/routing-80.yaml")
//	report, err := experimenter.Run(ctx, plan, out)
//	ok := report.Held()
//
// A file:
//
//	schema: marjoram-experiment/v1
//	name: routing-80
//	kind: routing
//	seed: 1
//	routing: {entries: 7, endpoints: 50, slots: 8, service-ms: 20, load: 0.8, ...}
//	expect:
//	  - {figure: p99-vs-central, at-most: 1.3}
package experimenter

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"marjoramstack/pkg/result"
)

// Error is the class of this package's errors.
var Error = errs.Class("experimenter")

// Schema is the version of the experiment format that this package reads.
const Schema = "marjoram-experiment/v1"

// Plan is an experiment.
type Plan struct {
	Schema  string       `yaml:"schema"`
	Name    string       `yaml:"name"`
	About   string       `yaml:"about,omitempty"`
	Kind    string       `yaml:"kind"`
	Seed    uint64       `yaml:"seed"`
	Routing *RoutingPlan `yaml:"routing,omitempty"`
	Batch   *BatchPlan   `yaml:"batch,omitempty"`
	Town    *TownPlan    `yaml:"town,omitempty"`
	Expect  []Bound      `yaml:"expect"`
}

// Bound is a stated outcome.
type Bound struct {
	Figure  string   `yaml:"figure"`
	AtMost  *float64 `yaml:"at-most,omitempty"`
	AtLeast *float64 `yaml:"at-least,omitempty"`
}

// Verdict is a stated outcome held against its figure.
type Verdict struct {
	Bound Bound   `json:"bound"`
	Value float64 `json:"value"`
	Held  bool    `json:"held"`
}

// Report is what an experiment gave. Series holds values over time, for plots.
type Report struct {
	Name     string               `json:"name"`
	Seed     uint64               `json:"seed"`
	Figures  map[string]float64   `json:"figures"`
	Verdicts []Verdict            `json:"verdicts"`
	Series   map[string][]float64 `json:"series,omitempty"`
	Steps    []Step               `json:"steps,omitempty"`
}

// Step is a fault or change at a time, in seconds from the start.
type Step struct {
	At   float64 `yaml:"at" json:"at"`
	What string  `yaml:"what" json:"what"`
}

// Held reports whether every stated outcome holds.
func (r *Report) Held() bool {
	for _, v := range r.Verdicts {
		if !v.Held {
			return false
		}
	}
	return true
}

// Load reads and checks the experiment in a file.
func Load(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	plan := &Plan{}
	if err := yaml.UnmarshalWithOptions(text, plan, yaml.Strict()); err != nil {
		return nil, result.New(result.MalformedDocument, "%s: %v", path, err)
	}
	if err := plan.check(); err != nil {
		return nil, result.New(result.MalformedDocument, "%s: %v", path, err)
	}
	return plan, nil
}

func (p *Plan) check() error {
	if p.Schema != Schema {
		return Error.New("schema: got %q, expected %q", p.Schema, Schema)
	}
	if len(p.Expect) == 0 {
		return Error.New("expect: an experiment states at least one outcome")
	}
	for _, b := range p.Expect {
		if b.AtMost == nil && b.AtLeast == nil {
			return Error.New("expect: %s needs at-most or at-least", b.Figure)
		}
	}
	switch {
	case p.Kind == "routing" && p.Routing != nil:
	case p.Kind == "batch" && p.Batch != nil:
	case p.Kind == "town" && p.Town != nil:
	default:
		return Error.New("kind: got %q, expected routing, batch or town with a part of that name", p.Kind)
	}
	return nil
}

// Run runs an experiment and prints its figures and one line for each stated
// outcome.
func Run(ctx context.Context, plan *Plan, out io.Writer) (*Report, error) {
	report := &Report{
		Name:   plan.Name,
		Seed:   plan.Seed,
		Series: map[string][]float64{},
	}
	var err error
	switch plan.Kind {
	case "routing":
		report.Figures, err = runRouting(*plan.Routing, plan.Seed)
	case "batch":
		err = runBatch(*plan.Batch, plan.Seed, report)
	case "town":
		err = runTown(ctx, *plan.Town, plan.Seed, report, out)
	}
	if err != nil {
		return nil, err
	}
	judge(plan, report)
	print(out, report)
	return report, nil
}

func judge(plan *Plan, report *Report) {
	for _, b := range plan.Expect {
		value, known := report.Figures[b.Figure]
		held := known && (b.AtMost == nil || value <= *b.AtMost) && (b.AtLeast == nil || value >= *b.AtLeast)
		report.Verdicts = append(report.Verdicts, Verdict{
			Bound: b,
			Value: value,
			Held:  held,
		})
	}
}

func print(out io.Writer, report *Report) {
	fmt.Fprintf(out, "== %s (seed %d)\n", report.Name, report.Seed)
	names := make([]string, 0, len(report.Figures))
	for name := range report.Figures {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(out, "   %-28s %10.3f\n", name, report.Figures[name])
	}
	for _, v := range report.Verdicts {
		fmt.Fprintln(out, v)
	}
}

// String gives the verdict as one line.
func (v Verdict) String() string {
	word := "HELD  "
	if !v.Held {
		word = "FAILED"
	}
	bound := ""
	if v.Bound.AtMost != nil {
		bound += fmt.Sprintf(" at most %g", *v.Bound.AtMost)
	}
	if v.Bound.AtLeast != nil {
		bound += fmt.Sprintf(" at least %g", *v.Bound.AtLeast)
	}
	return fmt.Sprintf("%s %s = %.3f, stated%s", word, v.Bound.Figure, v.Value, bound)
}
