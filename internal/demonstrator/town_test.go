package demonstrator

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marjoramstack/internal/loader"
	"marjoramstack/internal/operator"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

// TestTown runs the scripts of testdata/town against real entry VMs and stand-ins
// over loopback TCP. See runCommand for the commands.
func TestTown(t *testing.T) {
	files, err := filepath.Glob("testdata/town/*")
	if err != nil || len(files) == 0 {
		t.Fatalf("no histories: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			h := &history{
				absences: map[string]absence{},
				answers:  map[string]string{},
			}
			defer h.close()
			datadriven.RunTest(t, file, h.runCommand)
		})
	}
}

// history is the town and the state of one script.
type history struct {
	town          *Town
	tallies       []*loader.Tally
	pendingLoad   chan *loader.Tally
	pendingAnswer chan string
	servedMark    int
	absences      map[string]absence
	answers       map[string]string
}

func (h *history) close() {
	if h.town != nil {
		h.town.Close()
	}
}

// runCommand runs one command of a script:
//
//	town zones=Z,Z workers=N endpoints=N service=MS   starts the stand-ins
//	start zone=Z ...                    starts an entry VM in each zone
//	apply                               applies the class document of the input
//	ready                               waits until all entry VMs are ready
//	load rate=N span=MS orders=PERCENT [background]   background: until wait-load
//	verify                              compares all loads with the records of the endpoints
//	request entry=N [method=M] [class=C] [key=K] [body=TEXT] [body-bytes=N] [background|quiet]
//	answer                              prints the answer of the background request
//	honest                              checks the answers of quiet requests that did not run
//	endpoint id=E silent|reset|truncate|fail-all|leaving|mend
//	unplug id=E                         makes the endpoint refuse connections
//	silence id=E                        silences the open connections to the endpoint
//	platform down|up|slow=MS|lose=N     sets faults of the platform for all zones
//	cut zone=Z | heal zone=Z            cuts the zone off from the platform, or reconnects it
//	stop entry=N | kill entry=N
//	change path=P                       posts a change as an operator, e.g. /v1/zones/lab/leave
//	await settled|empty=Z|finished=J|running=J|version=N|view=N|owner=N cell=C
//	wait ms=N
//	served key=K                        prints how often endpoints ran the order
//	slots                               checks that no endpoint exceeded its slots
//	submit id=J tasks=N work=SPAN ...   submits a job
//	race base=N                         two operators apply the document of the input at once
//	list id=V leaving|live              sets what the list of VMs of the platform says about a VM
//	mark id=E, unmoved id=E             checks that the endpoint got no requests since mark
//	holds                               checks that no task ran twice, and none started in a zone that left
func (h *history) runCommand(t *testing.T, d *datadriven.TestData) string {
	ctx := context.Background()
	switch d.Cmd {
	case "town":
		h.newTown(t, d)
	case "start":
		for _, arg := range d.CmdArgs {
			for _, zone := range arg.Vals {
				if _, err := h.town.Start(zone); err != nil {
					t.Fatal(err)
				}
			}
		}
	case "apply":
		change, err := h.town.Apply(ctx, d.Input)
		return changeText(change, err)
	case "ready":
		return errText(h.town.AwaitReady(ctx))
	case "load", "wait-load", "verify":
		return h.runLoadCommand(t, d)
	case "honest":
		return h.checkNotRun()
	case "request", "served", "answer":
		return h.runRequestCommand(t, d)
	case "endpoint", "silence", "platform", "cut", "heal", "stop", "kill", "slots", "holds", "mark", "unmoved", "unplug":
		return h.runFaultCommand(t, d)
	case "change":
		return h.postChange(ctx, textArg(d, "path"))
	case "submit":
		return h.submit(ctx, d)
	case "race":
		return h.raceApply(ctx, d)
	case "list":
		h.setListed(d)
	case "await":
		return h.await(ctx, d)
	case "wait":
		time.Sleep(time.Duration(intArg(d, "ms", 0)) * time.Millisecond)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func (h *history) newTown(t *testing.T, d *datadriven.TestData) {
	layout := standin.Layout{
		Zones:            strings.Split(textArg(d, "zones"), "+"),
		WorkersPerZone:   intArg(d, "workers", 0),
		EndpointsPerZone: intArg(d, "endpoints", 0),
		WorkersPerRack:   1,
		Worker:           document.Size{Processors: 8, Memory: 8000},
		Slots:            intArg(d, "slots", 8),
		Service:          clock.Span(intArg(d, "service", 5)),
		Lag:              clock.Second,
		Seed:             1,
	}
	town, err := NewTown(layout, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	h.town = town
}

// liveEntry returns the first entry VM that is running, or the first one if none is.
func (h *history) liveEntry() *Running {
	for _, r := range h.town.Entries {
		select {
		case <-r.done:
		default:
			return r
		}
	}
	return h.town.Entries[0]
}

func changeText(change operator.Change, err error) string {
	if err != nil {
		return errText(err)
	}
	var lacking []string
	for zone := range change.Lacking {
		lacking = append(lacking, zone)
	}
	sort.Strings(lacking)
	return strings.TrimSpace(fmt.Sprintf("version %d %s %s", change.Version, change.State, strings.Join(lacking, " "))) + "\n"
}

func (h *history) postChange(ctx context.Context, path string) string {
	var change operator.Change
	h.recordZoneChange(path)
	_, err := h.liveEntry().Client().Post(ctx, path, struct{}{}, &change)
	return changeText(change, err)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return result.CodeOf(err).String() + "\n"
}

func (h *history) submit(ctx context.Context, d *datadriven.TestData) string {
	_, err := h.liveEntry().Client().Post(ctx, "/v1/jobs", document.Job{
		ID:       textArg(d, "id"),
		Class:    orDefault(textArg(d, "class"), "run"),
		Team:     orDefault(textArg(d, "team"), "team"),
		Tasks:    intArg(d, "tasks", 1),
		Size:     document.Size{Processors: intArg(d, "processors", 1), Memory: 100},
		RunTime:  textArg(d, "work"),
		FinishAt: int64(intArg(d, "finish-at", 0)),
	}, nil)
	return errText(err)
}

// raceApply has two operators concurrently apply documents based on the same version
// through two entry VMs, and prints the sorted result codes.
func (h *history) raceApply(ctx context.Context, d *datadriven.TestData) string {
	results := make(chan string, 2)
	for i := range 2 {
		go func() {
			_, err := h.town.Entries[i].Client().Post(ctx, "/v1/classes", operator.ApplyRequest{
				Text:   d.Input,
				Author: fmt.Sprintf("operator-%d", i),
				Base:   uint64(intArg(d, "base", 1)),
			}, nil)
			results <- result.CodeOf(err).String()
		}()
	}
	both := []string{<-results, <-results}
	sort.Strings(both)
	return strings.Join(both, " ") + "\n"
}

// setListed makes the list of VMs of the platform report a VM as leaving or live.
func (h *history) setListed(d *datadriven.TestData) {
	fleet := h.town.Site.Fleet()
	fleet.VMs = append([]platform.VM(nil), fleet.VMs...)
	for i, vm := range fleet.VMs {
		if vm.ID == textArg(d, "id") {
			fleet.VMs[i].Leaving = d.HasArg("leaving")
		}
	}
	h.town.Site.Platform.SetFleet(fleet)
}

func orDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

func textArg(d *datadriven.TestData, name string) string {
	for _, arg := range d.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}
	return ""
}

func intArg(d *datadriven.TestData, name string, value int) int {
	for _, arg := range d.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			if _, err := fmt.Sscan(arg.Vals[0], &value); err != nil {
				panic(err)
			}
		}
	}
	return value
}
