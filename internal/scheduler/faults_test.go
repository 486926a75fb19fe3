package scheduler

import (
	"fmt"
	"path/filepath"
	"sort"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestFaults runs the scripts in testdata/faults. Each script starts with a new
// cell "press-0", the workers w0, w1 and w2 with 4 processors each, and the classes
// of modelDocument. See runCommand for the commands.
func TestFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/faults/*")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts in testdata/faults: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			m := newModel(1)
			m.noRandomFaults = true
			datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
				return m.runCommand(t, d)
			})
		})
	}
}

// runCommand runs one command of a script and returns its output:
//
//	submit tasks=N processors=N work=SPAN class=C team=T   submits a job to the latest owner
//	again job=N                             submits the same job again
//	cancel job=N                            cancels a job durably
//	run for=MS [owner=N]                    runs an owner, by default the latest
//	wait for=MS                             advances the clock, no owner acts
//	decide [owner=N]                        runs one round of decisions without I/O
//	write [owner=N] [lose]                  commits decisions, sends nothing; lose drops the answer
//	platform down|up
//	takeover                                starts a new owner, if the lease allows it
//	cut owner=N worker=W | heal owner=N worker=W
//	worker id=W pause|wake|restart|fail|mend|lose=N
//	hold worker=W | deliver                 delays the next request, delivers a delayed one
//	zone leave|return, vm id=W leave|return
//	run ... press=W permille=N              an endpoint on W reports this share of its target
//	load                                    prints the number of throttled tasks by worker
//	jobs, runs                              print the jobs of the latest owner, the attempts
//	holds                                   checks the invariants
func (m *model) runCommand(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "submit", "again", "cancel":
		return m.runJobCommand(t, d)
	case "run", "wait", "decide", "write":
		return m.runTimeCommand(t, d)
	case "platform":
		m.platformDown = d.HasArg("down")
	case "takeover":
		if !m.mayTakeOver() {
			return "not allowed\n"
		}
		m.takeover()
	case "cut", "heal":
		m.owners[intArg(t, d, "owner", 0)].cut[textArg(t, d, "worker")] = d.Cmd == "cut"
	case "worker":
		m.runWorkerCommand(t, d)
	case "hold":
		m.delayNext[textArg(t, d, "worker")] = true
	case "deliver":
		m.deliverDelayed()
	case "zone":
		m.setZone(d.HasArg("leave"))
	case "vm":
		m.vmLeaving[textArg(t, d, "id")] = d.HasArg("leave")
		m.configVersion++
	case "load":
		return m.showLoad()
	case "jobs":
		return m.showJobs()
	case "runs":
		return m.showRuns()
	case "holds":
		if violation := m.checkInvariants(); violation != "" {
			return violation + "\n"
		}
		return "holds\n"
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func (m *model) latest() *modelOwner { return m.owners[len(m.owners)-1] }

func (m *model) runJobCommand(t *testing.T, d *datadriven.TestData) string {
	o := m.latest()
	id := fmt.Sprintf("job%d", intArg(t, d, "job", m.jobs))
	switch d.Cmd {
	case "cancel":
		o.cell.Handle(m.now.Now(), Cancelled{Jobs: []string{id}})
		return ""
	case "submit":
		m.jobs++
		id = fmt.Sprintf("job%d", m.jobs)
	}
	work := "5s"
	d.MaybeScanArgs(t, "work", &work)
	team := "team"
	d.MaybeScanArgs(t, "team", &team)
	class := "run"
	d.MaybeScanArgs(t, "class", &class)
	o.cell.Handle(m.now.Now(), Submitted{Job: document.Job{
		ID:      id,
		Class:   class,
		Team:    team,
		Tasks:   intArg(t, d, "tasks", 1),
		Size:    document.Size{Processors: intArg(t, d, "processors", 1), Memory: 100},
		RunTime: "5s",
		Payload: "work=" + work,
	}})
	return ""
}

func (m *model) runTimeCommand(t *testing.T, d *datadriven.TestData) string {
	o := m.owners[intArg(t, d, "owner", len(m.owners)-1)]
	span := clock.Span(intArg(t, d, "for", 0))
	switch d.Cmd {
	case "wait":
		m.now.Advance(span)
	case "decide":
		o.cell.Handle(m.now.Now(), Ticked{})
	case "write":
		m.loseCommit = d.HasArg("lose")
		m.commit(o)
	case "run":
		slowWorker := ""
		d.MaybeScanArgs(t, "press", &slowWorker)
		for ; span > 0; span -= 100 {
			m.now.Advance(100)
			if slowWorker != "" {
				o.cell.Handle(m.now.Now(), EndpointLatency{Worker: slowWorker, Permille: intArg(t, d, "permille", 1500)})
			}
			m.step(o)
			if violation := m.checkInvariants(); violation != "" {
				return violation + "\n"
			}
		}
	}
	return ""
}

func (m *model) runWorkerCommand(t *testing.T, d *datadriven.TestData) {
	w := m.workers[textArg(t, d, "id")]
	switch {
	case d.HasArg("pause"):
		w.SetFaults(standin.WorkerFaults{Paused: true})
	case d.HasArg("fail"):
		w.SetFaults(standin.WorkerFaults{FailAll: true})
	case d.HasArg("lose"):
		w.SetFaults(standin.WorkerFaults{LoseAnswers: intArg(t, d, "lose", 1)})
	case d.HasArg("restart"):
		w.Restart()
	default:
		w.SetFaults(standin.WorkerFaults{})
	}
}

func (m *model) showJobs() string {
	var b strings.Builder
	for _, v := range m.latest().cell.Views() {
		fmt.Fprintf(&b, "%s waiting %d placed %d finished %d failed %d cancelled %d\n",
			v.Spec.ID, v.Waiting, v.Placed, v.Finished, v.Failed, v.CancelledTasks)
	}
	return b.String()
}

// showRuns lists the attempts of batch tasks, sorted by task and attempt.
func (m *model) showRuns() string {
	var lines []string
	for task, runs := range m.runs() {
		if strings.HasPrefix(task, "watch-") {
			continue
		}
		for _, r := range runs {
			lines = append(lines, fmt.Sprintf("%s attempt %d on %s epoch %d: %s, resumed at %s", task, r.Attempt, r.Worker, r.Epoch, r.State, r.Resume))
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

// showLoad lists the number of throttled tasks on each worker.
func (m *model) showLoad() string {
	var b strings.Builder
	for _, id := range []string{"w0", "w1", "w2"} {
		n := 0
		for t := range m.latest().cell.tasksByWorker[id] {
			if t.throttled {
				n++
			}
		}
		fmt.Fprintf(&b, "%s throttled %d\n", id, n)
	}
	return b.String()
}

func intArg(t *testing.T, d *datadriven.TestData, name string, value int) int {
	d.MaybeScanArgs(t, name, &value)
	return value
}

func textArg(t *testing.T, d *datadriven.TestData, name string) string {
	var value string
	d.ScanArgs(t, name, &value)
	return value
}
