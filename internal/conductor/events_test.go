package conductor

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
)

// newLoggingTenure returns a tenure of epoch 3 that logs to out.
func newLoggingTenure(out *bytes.Buffer) *tenure {
	tn := &tenure{
		c:       &Conductor{opts: Options{Log: slog.New(slog.NewTextHandler(out, nil))}},
		planner: planner.New(planner.Options{}),
		sampler: newEventSampler(0),
	}
	tn.head.Epoch = 3
	return tn
}

// logWorkers makes the planner log two events for each of count workers, and the tenure
// write them.
func logWorkers(tn *tenure, count int) {
	for i := range count {
		id := "i-" + string(rune('a'+i))
		tn.planner.Handle(clock.Time(1), planner.WorkerListed{Worker: planner.Worker{ID: id, Address: "10.0.0.1:80"}})
		tn.planner.Handle(clock.Time(1), planner.RenewFailed{Worker: id, Outcome: planner.OutcomeUnknown})
		tn.planner.Handle(clock.Time(2), planner.WorkerUnlisted{Worker: id})
	}
	tn.logPlannerEvents()
}

// TestEventsHaveNoEmptyTexts guards against starts that are late because the owner
// formats and writes attributes that say nothing: an event has only the texts that it
// needs, and always its numbers.
func TestEventsHaveNoEmptyTexts(t *testing.T) {
	var out bytes.Buffer
	tn := newLoggingTenure(&out)
	logWorkers(tn, 1)
	var got []string
	for line := range strings.Lines(out.String()) {
		_, text, _ := strings.Cut(line, " ") // without the time
		got = append(got, strings.TrimSpace(text))
	}
	assert.DeepEqual(t, got, []string{
		"level=INFO msg=worker-unreached attempt=0 worker=i-a reason=unknown age-ms=0 epoch=3",
		"level=INFO msg=worker-unlisted attempt=0 worker=i-a age-ms=0 epoch=3",
	})

	out.Reset()
	logPlannerEvent(tn.c.opts.Log, planner.LogEntry{
		Event:   "task-stop",
		Job:     "j",
		Task:    "j/0/1/2",
		Attempt: 4,
		Worker:  "i-a",
		Second:  "i-b",
		Reason:  "moves to another worker",
		Age:     7,
	}, 3)
	_, text, _ := strings.Cut(strings.TrimSpace(out.String()), " ")
	assert.Equal(t, text, `level=INFO msg=task-stop job=j task=j/0/1/2 attempt=4 worker=i-a second=i-b reason="moves to another worker" age-ms=7 epoch=3`)
}

// TestEventsAreLoggedWithFewAllocations guards against the same.
func TestEventsAreLoggedWithFewAllocations(t *testing.T) {
	var out bytes.Buffer
	log := newLoggingTenure(&out).c.opts.Log
	entry := planner.LogEntry{Event: "task-start", Job: "j", Task: "j/0/1/2", Attempt: 1000, Worker: "i-a", Age: 4000}
	// A slog.Record allocates its attributes beyond the fifth. The race detector makes
	// the handler's pool lose its buffers at times, which are two more.
	const most = 3
	if got := testing.AllocsPerRun(100, func() {
		logPlannerEvent(log, entry, 1<<20)
		out.Reset()
	}); got > most {
		t.Errorf("%.0f allocations for an event, expected at most %d", got, most)
	}
}

func BenchmarkEvent(b *testing.B) {
	var out bytes.Buffer
	log := newLoggingTenure(&out).c.opts.Log
	entry := planner.LogEntry{Event: "task-start", Job: "j", Task: "j/0/1/2", Attempt: 1000, Worker: "i-a", Age: 4000}
	b.ReportAllocs()
	for b.Loop() {
		logPlannerEvent(log, entry, 1<<20)
		out.Reset()
	}
}
