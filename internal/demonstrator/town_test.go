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

// TestTown plays the histories of testdata/town against real entry VMs and
// stand-ins over loopback TCP. See play for the commands.
func TestTown(t *testing.T) {
	files, err := filepath.Glob("testdata/town/*")
	if err != nil || len(files) == 0 {
		t.Fatalf("no histories: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			h := &history{
				left: map[string]absence{},
				told: map[string]string{},
			}
			defer h.close()
			datadriven.RunTest(t, file, h.play)
		})
	}
}

// history is a town and what its play has to remember.
type history struct {
	town  *Town
	loads []*loader.Tally
	load  chan *loader.Tally
	kept  chan string
	mark  int
	left  map[string]absence
	told  map[string]string
}

func (h *history) close() {
	if h.town != nil {
		h.town.Close()
	}
}

// play carries out one command of a history:
//
//	town zones=Z,Z workers=N endpoints=N service=MS   stand-ins; input is the document
//	start zone=Z ...                    an entry VM in each zone named
//	ready                               waits for all
//	load rate=N span=MS orders=PERCENT [background]   then: wait-load
//	verify                              holds all loads against the record
//	request entry=N [method=M] [class=C] [key=K] [body=TEXT] [body-bytes=N] [background|quiet]
//	honest                              whether what quiet requests were told is true
//	endpoint id=E silent|reset|truncate|fail-all|leaving|mend
//	unplug id=E                         connections to it are refused
//	silence id=E                        open connections to it go silent
//	platform down|up|slow=MS|lose=N     all zones
//	cut zone=Z | heal zone=Z            the zone from the platform
//	stop entry=N | kill entry=N
//	change path=P                       an operator's change, e.g. /v1/zones/lab/leave
//	await settled|empty=Z|finished=J|running=J|version=N|view=N|owner=N cell=C
//	served key=K                        how often endpoints ran an order
//	slots                               whether an endpoint went over its slots
//	submit id=J tasks=N work=SPAN ...   a job
//	race base=N                         two operators at once; input is the document
//	list id=V leaving|live              what the platform's list says of a VM
//	mark id=E, unmoved id=E             whether the endpoint got requests since
//	holds                               what must hold on workers
func (h *history) play(t *testing.T, d *datadriven.TestData) string {
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
		return h.playLoad(t, d)
	case "honest":
		return h.honest()
	case "request", "served", "answer":
		return h.playRequest(t, d)
	case "endpoint", "silence", "platform", "cut", "heal", "stop", "kill", "slots", "holds", "mark", "unmoved", "unplug":
		return h.playFault(t, d)
	case "change":
		return h.change(ctx, text(d, "path"))
	case "submit":
		return h.submit(ctx, d)
	case "race":
		return h.race(ctx, d)
	case "list":
		h.list(d)
	case "await":
		return h.await(ctx, d)
	case "wait":
		time.Sleep(time.Duration(number(d, "ms", 0)) * time.Millisecond)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func (h *history) newTown(t *testing.T, d *datadriven.TestData) {
	layout := standin.Layout{
		Zones:            strings.Split(text(d, "zones"), "+"),
		WorkersPerZone:   number(d, "workers", 0),
		EndpointsPerZone: number(d, "endpoints", 0),
		WorkersPerRack:   1,
		Worker:           document.Size{Processors: 8, Memory: 8000},
		Slots:            number(d, "slots", 8),
		Service:          clock.Span(number(d, "service", 5)),
		Lag:              clock.Second,
		Seed:             1,
	}
	town, err := NewTown(layout, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	h.town = town
}

// alive returns an entry VM that has not been stopped.
func (h *history) alive() *Running {
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

func (h *history) change(ctx context.Context, path string) string {
	var change operator.Change
	h.noteZone(path)
	_, err := h.alive().Client().Post(ctx, path, struct{}{}, &change)
	return changeText(change, err)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return result.CodeOf(err).String() + "\n"
}

func (h *history) submit(ctx context.Context, d *datadriven.TestData) string {
	_, err := h.alive().Client().Post(ctx, "/v1/jobs", document.Job{
		ID:       text(d, "id"),
		Class:    orElse(text(d, "class"), "run"),
		Team:     orElse(text(d, "team"), "team"),
		Tasks:    number(d, "tasks", 1),
		Size:     document.Size{Processors: number(d, "processors", 1), Memory: 100},
		RunTime:  text(d, "work"),
		FinishAt: int64(number(d, "finish-at", 0)),
	}, nil)
	return errText(err)
}

// race has two operators apply documents that start from the same version, at
// once, through two entry VMs, and prints what each is told, in order.
func (h *history) race(ctx context.Context, d *datadriven.TestData) string {
	told := make(chan string, 2)
	for i := range 2 {
		go func() {
			_, err := h.town.Entries[i].Client().Post(ctx, "/v1/classes", operator.ApplyRequest{
				Text:   d.Input,
				Author: fmt.Sprintf("operator-%d", i),
				Base:   uint64(number(d, "base", 1)),
			}, nil)
			told <- result.CodeOf(err).String()
		}()
	}
	both := []string{<-told, <-told}
	sort.Strings(both)
	return strings.Join(both, " ") + "\n"
}

// list has the platform's list call a VM leaving or live.
func (h *history) list(d *datadriven.TestData) {
	fleet := h.town.Site.Fleet()
	fleet.VMs = append([]platform.VM(nil), fleet.VMs...)
	for i, vm := range fleet.VMs {
		if vm.ID == text(d, "id") {
			fleet.VMs[i].Leaving = d.HasArg("leaving")
		}
	}
	h.town.Site.Platform.SetFleet(fleet)
}

func orElse(value, other string) string {
	if value == "" {
		return other
	}
	return value
}

func text(d *datadriven.TestData, name string) string {
	for _, arg := range d.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}
	return ""
}

func number(d *datadriven.TestData, name string, value int) int {
	for _, arg := range d.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			if _, err := fmt.Sscan(arg.Vals[0], &value); err != nil {
				panic(err)
			}
		}
	}
	return value
}
