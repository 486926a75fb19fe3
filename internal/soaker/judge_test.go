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

// TestJudge plays testdata/judge: histories that keep or break a promise. There are
// two workers of 10 processors. Each command prints the breaches that it shows:
//
//	job id=J tasks=N [steps=N] [processors=N] [lasts]
//	begin at=WORKER task=T [attempt=N] [used=N]     used: thousandths in use then
//	end at=WORKER task=T how=END [attempt=N]
//	forget task=T how=END [attempt=N]               the end is acknowledged
//	refuse id=J, cancel id=J, noted id=J
//	shown id=J state=S, unknown id=J
//	disturb, heal
//	wait ms=N, stall ms=N                           the soak has no processor while it stalls
//	cut after=MS [silent]                           a request of so long ago is cut
func TestJudge(t *testing.T) {
	datadriven.Walk(t, "testdata/judge", func(t *testing.T, path string) {
		p := newHistory()
		datadriven.RunTest(t, path, p.play)
	})
}

type history struct {
	now   *clock.Manual
	calm  *calm
	judge *judge
	jobs  map[string]*handedIn
	told  int
}

func newHistory() *history {
	now := clock.NewManual(1000)
	calm := newCalm(now)
	return &history{
		now:   now,
		calm:  calm,
		judge: newJudge(document.Size{Processors: 10000, Memory: 1000}, 2, now, calm),
		jobs:  map[string]*handedIn{},
	}
}

func (p *history) play(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "job":
		p.job(t, d)
	case "begin":
		used := 1
		d.MaybeScanArgs(t, "used", &used)
		p.judge.Begun(text(t, d, "at"), task(t, d), attemptOf(t, d), document.Size{Processors: used})
	case "end":
		p.judge.Ended(text(t, d, "at"), task(t, d), attemptOf(t, d), end(t, d))
	case "forget":
		p.judge.Forgotten(task(t, d), attemptOf(t, d), end(t, d))
	case "refuse":
		p.judge.refuse(p.find(t, d).job)
	case "cancel":
		p.find(t, d).cancelSent.Store(true)
		p.judge.cancel(p.find(t, d).job)
	case "noted":
		p.judge.cancelNoted(p.find(t, d).job)
	case "shown":
		p.judge.shown(p.find(t, d), planner.State(text(t, d, "state")))
	case "unknown":
		p.judge.unknown(p.find(t, d), "vm-0")
	case "disturb":
		p.calm.disturb()
	case "heal":
		p.calm.heal()
	case "wait":
		var ms int64
		d.ScanArgs(t, "ms", &ms)
		p.wait(clock.Span(ms))
	case "stall":
		var ms int64
		d.ScanArgs(t, "ms", &ms)
		p.now.Advance(clock.Span(ms))
		p.judge.look()
	case "cut":
		p.cut(t, d)
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return p.news()
}

// wait lets time pass, a beat after the other.
func (p *history) wait(span clock.Span) {
	beat := clock.FromDuration(beatEvery)
	for ; span > 0; span -= beat {
		p.now.Advance(min(span, beat))
		p.calm.pulse()
		p.judge.look()
	}
}

// news returns the breaches that were not told yet.
func (p *history) news() string {
	fresh := p.judge.breaches[p.told:]
	p.told = len(p.judge.breaches)
	if len(fresh) == 0 {
		return "ok\n"
	}
	return strings.Join(fresh, "\n") + "\n"
}

func (p *history) job(t *testing.T, d *datadriven.TestData) {
	tasks, steps, processors := 1, 1, 1000
	d.MaybeScanArgs(t, "tasks", &tasks)
	d.MaybeScanArgs(t, "steps", &steps)
	d.MaybeScanArgs(t, "processors", &processors)
	job := document.StagedJob{ID: text(t, d, "id")}
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
	p.jobs[job.ID] = &handedIn{job: job}
	p.judge.expect(job)
}

func (p *history) cut(t *testing.T, d *datadriven.TestData) {
	var ms int64
	d.ScanArgs(t, "after", &ms)
	h := &handedIn{job: document.StagedJob{ID: "a"}}
	a := &asker{
		vm:   &vm{name: "vm-0"},
		soak: &soak{clock: p.now, calm: p.calm, judge: p.judge},
	}
	var err error = errors.New("EOF")
	if d.HasArg("silent") {
		err = &net.DNSError{IsTimeout: true}
	}
	a.cut(h, p.now.Now().Add(-clock.Span(ms)), err)
}

func (p *history) find(t *testing.T, d *datadriven.TestData) *handedIn {
	h := p.jobs[text(t, d, "id")]
	assert.Assert(t, h != nil)
	return h
}

func text(t *testing.T, d *datadriven.TestData, name string) string {
	var value string
	d.ScanArgs(t, name, &value)
	return value
}

func task(t *testing.T, d *datadriven.TestData) planner.TaskID {
	id, err := planner.ParseTaskID(text(t, d, "task"))
	assert.NilError(t, err)
	return id
}

func attemptOf(t *testing.T, d *datadriven.TestData) int {
	number := 1
	d.MaybeScanArgs(t, "attempt", &number)
	return number
}

func end(t *testing.T, d *datadriven.TestData) planner.End {
	name := text(t, d, "how")
	for e := planner.EndDone; e <= planner.EndAlone; e++ {
		if e.String() == name {
			return e
		}
	}
	t.Fatalf("unknown end %q", name)
	return 0
}
