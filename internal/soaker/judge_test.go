package soaker

import (
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestJudge runs the scripts of testdata/judge: histories that keep or break a guarantee.
// There are two workers of 10 processors. Each command prints the new breaches:
//
//	job id=J tasks=N [steps=N] [processors=N] [lasts]      lasts: long-running
//	begin at=WORKER task=T [attempt=N] [used=N]     used: thousandths of processors then in use
//	end at=WORKER task=T how=END [attempt=N]
//	forget task=T how=END [attempt=N]               the end is acknowledged
//	refuse id=J, cancel id=J                        refuse: every attempt to submit is rejected
//	noted id=J                                      the cancellation is acknowledged
//	shown id=J state=S, unknown id=J                what a caller is told
//	disturb, heal                                   a disturbance starts, ends
//	wait ms=N, stall ms=N                           stall: the soak process gets no CPU time
//	cut after=MS [silent]                           a request sent that long ago fails: cut off, or timed out
func TestJudge(t *testing.T) {
	datadriven.Walk(t, "testdata/judge", func(t *testing.T, path string) {
		h := newHistory()
		datadriven.RunTest(t, path, h.play)
	})
}

type history struct {
	clock        *clock.Manual
	disturbances *disturbances
	checker      *checker
	jobs         map[string]*submission
	printed      int
}

func newHistory() *history {
	now := clock.NewManual(1000)
	tracker := newDisturbances(now)
	return &history{
		clock:        now,
		disturbances: tracker,
		checker:      newChecker(document.Size{Processors: 10000, Memory: 1000}, 2, now, tracker),
		jobs:         map[string]*submission{},
	}
}

func (h *history) play(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "job":
		h.job(t, d)
	case "begin":
		used := 1
		d.MaybeScanArgs(t, "used", &used)
		h.checker.Begun(textArg(t, d, "at"), taskArg(t, d), attemptArg(t, d), document.Size{Processors: used})
	case "end":
		h.checker.Ended(textArg(t, d, "at"), taskArg(t, d), attemptArg(t, d), endArg(t, d))
	case "forget":
		h.checker.Forgotten(taskArg(t, d), attemptArg(t, d), endArg(t, d))
	case "refuse":
		h.checker.jobRefused(h.find(t, d).job)
	case "cancel":
		h.find(t, d).cancelSent.Store(true)
		h.checker.cancelRequested(h.find(t, d).job)
	case "noted":
		h.checker.cancelAcked(h.find(t, d).job)
	case "shown":
		h.checker.checkState(h.find(t, d), planner.State(textArg(t, d, "state")))
	case "unknown":
		h.checker.reportUnknown(h.find(t, d), "vm-0")
	case "disturb":
		h.disturbances.begin()
	case "heal":
		h.disturbances.end()
	case "wait":
		var ms int64
		d.ScanArgs(t, "ms", &ms)
		h.wait(clock.Span(ms))
	case "stall":
		var ms int64
		d.ScanArgs(t, "ms", &ms)
		h.clock.Advance(clock.Span(ms))
		h.checker.checkTimeBounds()
	case "cut":
		h.cut(t, d)
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return h.newBreaches()
}

// wait advances the clock one tick at a time.
func (h *history) wait(span clock.Span) {
	step := clock.FromDuration(tickInterval)
	for ; span > 0; span -= step {
		h.clock.Advance(min(span, step))
		h.disturbances.tick()
		h.checker.checkTimeBounds()
	}
}

// newBreaches returns the breaches that were not printed yet.
func (h *history) newBreaches() string {
	unprinted := h.checker.breaches[h.printed:]
	h.printed = len(h.checker.breaches)
	if len(unprinted) == 0 {
		return "ok\n"
	}
	return strings.Join(unprinted, "\n") + "\n"
}

func (h *history) job(t *testing.T, d *datadriven.TestData) {
	tasks, steps, processors := 1, 1, 1000
	d.MaybeScanArgs(t, "tasks", &tasks)
	d.MaybeScanArgs(t, "steps", &steps)
	d.MaybeScanArgs(t, "processors", &processors)
	job := document.StagedJob{ID: textArg(t, d, "id")}
	for i := range steps {
		step := document.Step{
			Tasks:       tasks,
			Demand:      document.Size{Processors: processors, Memory: 1},
			LongRunning: d.HasArg("lasts"),
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	h.jobs[job.ID] = &submission{job: job}
	h.checker.addJob(job)
}

func (h *history) cut(t *testing.T, d *datadriven.TestData) {
	var ms int64
	d.ScanArgs(t, "after", &ms)
	sub := &submission{job: document.StagedJob{ID: "a"}}
	poller := &statePoller{
		vm:   &vm{name: "vm-0"},
		soak: &soak{clock: h.clock, disturbances: h.disturbances, checker: h.checker},
	}
	var err error = errors.New("EOF")
	if d.HasArg("silent") {
		err = &net.DNSError{IsTimeout: true}
	}
	poller.checkCut(sub, h.clock.Now().Add(-clock.Span(ms)), err)
}

func (h *history) find(t *testing.T, d *datadriven.TestData) *submission {
	sub := h.jobs[textArg(t, d, "id")]
	assert.Assert(t, sub != nil)
	return sub
}

func textArg(t *testing.T, d *datadriven.TestData, name string) string {
	var value string
	d.ScanArgs(t, name, &value)
	return value
}

func taskArg(t *testing.T, d *datadriven.TestData) planner.TaskID {
	id, err := planner.ParseTaskID(textArg(t, d, "task"))
	assert.NilError(t, err)
	return id
}

func attemptArg(t *testing.T, d *datadriven.TestData) int {
	number := 1
	d.MaybeScanArgs(t, "attempt", &number)
	return number
}

func endArg(t *testing.T, d *datadriven.TestData) planner.End {
	name := textArg(t, d, "how")
	for e := planner.EndDone; e <= planner.EndAlone; e++ {
		if e.String() == name {
			return e
		}
	}
	t.Fatalf("unknown end %q", name)
	return 0
}
