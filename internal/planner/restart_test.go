package planner

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
)

// restartScenario is a workload with faults, read from testdata/restart. Sizes are in
// whole processors.
type restartScenario struct {
	Workers int `yaml:"workers"`
	// OwnerZone is true if the workers are in the owner's zone, where a record must name a
	// task before it is started.
	OwnerZone  bool            `yaml:"owner-zone"`
	Processors int             `yaml:"processors"`
	Serving    []scenarioJob   `yaml:"serving"`
	Short      []scenarioJob   `yaml:"short"`
	Faults     []scenarioFault `yaml:"faults"`
	// Labelled are the workers with the label that some tasks require.
	Labelled []string `yaml:"labelled"`
	// WithoutRoom are the serving jobs for which the capacity does not suffice; how long
	// their tasks are down is not checked.
	WithoutRoom []int      `yaml:"without-room"`
	AnswerMs    clock.Span `yaml:"answer-ms"`
	RunMs       clock.Span `yaml:"run-ms"`
	// RestartMs is how long a long-running task may be down.
	RestartMs clock.Span `yaml:"restart-within-ms"`
	// ShortDone is the share of the short tasks that must complete.
	ShortDone float64 `yaml:"short-done"`
}

// scenarioJob is a job that is submitted at AtMs, or every EveryMs from then on.
type scenarioJob struct {
	AtMs       clock.Span `yaml:"at-ms"`
	EveryMs    clock.Span `yaml:"every-ms"`
	Tasks      int        `yaml:"tasks"`
	Processors int        `yaml:"processors"`
	SpanMs     clock.Span `yaml:"span-ms"`
	Label      string     `yaml:"label"`
}

// scenarioFault is one of: a task of a serving job fails or is moved to a worker, the job
// is cancelled, a worker's process crashes and restarts, a worker leaves, or another owner
// takes over while the worker Silent does not answer for ForMs. The worker of a task that
// fails refuses starts as too busy for RefusesMs, or loses them for LosesMs. The table
// accepts no writes for ForMs.
type scenarioFault struct {
	AtMs      clock.Span `yaml:"at-ms"`
	Serving   int        `yaml:"serving"`
	Task      int        `yaml:"task"`
	MovesTo   string     `yaml:"moves-to"`
	Cancel    bool       `yaml:"cancel"`
	Crash     string     `yaml:"crash"`
	Leaves    string     `yaml:"leaves"`
	TakesOver bool       `yaml:"takes-over"`
	Silent    string     `yaml:"silent"`
	ForMs     clock.Span `yaml:"for-ms"`
	RefusesMs clock.Span `yaml:"refuses-ms"`
	LosesMs   clock.Span `yaml:"loses-ms"`
	NoWrites  bool       `yaml:"no-writes"`
}

// TestServingTaskRestartsInTime guards against serving tasks that fail in a full pool and
// stay down because smaller tasks take all capacity that becomes free.
func TestServingTaskRestartsInTime(t *testing.T) {
	files, err := filepath.Glob("testdata/restart/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { runScenario(t, file) })
	}
}

func runScenario(t *testing.T, file string) {
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	var scenario restartScenario
	assert.NilError(t, yaml.UnmarshalWithOptions(text, &scenario, yaml.Strict()))
	sim := newRestartSim(scenario)
	for now := sim.start; now.Sub(sim.start) < scenario.RunMs; now = now.Add(simStep) {
		sim.step(now)
	}
	for _, d := range sim.longestDowntimes(4) {
		t.Logf("%s was down for %s", d.id, d.span)
	}
	if worst := sim.longestDowntimes(1); worst[0].span > scenario.RestartMs {
		t.Errorf("%s was down for %s, want at most %s", worst[0].id, worst[0].span, scenario.RestartMs)
	}
	if sim.shortDone < int(scenario.ShortDone*float64(sim.shortSubmitted)) {
		t.Errorf("%d of %d short tasks were done", sim.shortDone, sim.shortSubmitted)
	}
	t.Logf("%d of %d short tasks were done", sim.shortDone, sim.shortSubmitted)
	sim.checkMoves()
	for _, b := range sim.violations {
		t.Error(b)
	}
}

// TestDisplacedTakeTurns guards against short tasks that are starved when a zone is lost
// and all of its serving tasks are placed ahead of them at once.
func TestDisplacedTakeTurns(t *testing.T) {
	sim := newRestartSim(restartScenario{
		Workers:    160,
		Processors: 10,
		Serving:    []scenarioJob{{Tasks: 80, Processors: 10}},
	})
	now := sim.start
	for ; now.Sub(sim.start) < 2000; now = now.Add(simStep) {
		sim.step(now)
	}
	left := 0
	for _, w := range sim.workers {
		if len(w.running) > 0 && left < 60 {
			left++
			sim.list(now, w, true)
		}
	}
	for _, order := range sim.planner.TakeOrders() {
		sim.execute(now, order)
	}
	now = now.Add(simStep)
	for _, w := range sim.workers {
		sim.report(now, w)
	}
	backlog := sim.planner.backlog(now)
	assert.Equal(t, len(backlog), 1)
	assert.Equal(t, notRunning(backlog[0]), left)
	before := sim.planner.starts.inFlight
	sim.planner.restartLongRunning(now, backlog)
	assert.Equal(t, sim.planner.starts.inFlight-before, maxOverdueTurns)
}
