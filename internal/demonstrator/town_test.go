package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marjoramstack/internal/caller"
	"marjoramstack/internal/ledger"
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

func (h *history) playLoad(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "load":
		load := loader.New(loader.Options{
			Callers: h.town.Callers(),
			Trace: loader.Generate(loader.Plan{
				Class:      "quote",
				Rate:       float64(number(d, "rate", 100)),
				Span:       time.Duration(number(d, "span", 1000)) * time.Millisecond,
				OrderShare: float64(number(d, "orders", 0)) / 100,
				Seed:       1,
				Prefix:     fmt.Sprintf("load%d", len(h.loads)),
			}),
			Body: []byte("body"),
		})
		if d.HasArg("background") {
			h.load = make(chan *loader.Tally, 1)
			go func() { h.load <- load.Run(context.Background()) }()
			return ""
		}
		h.loads = append(h.loads, load.Run(context.Background()))
	case "wait-load":
		h.loads = append(h.loads, <-h.load)
	case "verify":
		return h.verify(d)
	}
	return ""
}

// verify prints what disagrees; with outcomes it prints which outcomes came.
func (h *history) verify(d *datadriven.TestData) string {
	var faults []string
	outcomes := map[string]bool{}
	for _, tally := range h.loads {
		faults = append(faults, tally.Verify(h.town.Site.Orders())...)
		for outcome, n := range tally.Outcomes {
			outcomes[outcome] = true
			if d.HasArg("no-unknown") && outcome == string(result.OutcomeUnknown) {
				faults = append(faults, fmt.Sprintf("%d requests have an unknown outcome: %v", n, tally.Codes))
			}
		}
		if d.HasArg("ledger") {
			faults = append(faults, h.verifyLedger(tally)...)
		}
	}
	if len(faults) > 0 {
		return strings.Join(faults, "\n") + "\n"
	}
	if !d.HasArg("outcomes") {
		return "agrees\n"
	}
	var names []string
	for o := range outcomes {
		names = append(names, o)
	}
	sort.Strings(names)
	return "agrees: " + strings.Join(names, " ") + "\n"
}

// verifyLedger holds each order's row against what its caller was told. A
// caller who got no answer may find any outcome.
func (h *history) verifyLedger(tally *loader.Tally) []string {
	var faults []string
	for key, told := range tally.Orders {
		var row ledger.Row
		err := h.alive().Client().Get(context.Background(), "/v1/orders/"+key, &row)
		switch {
		case result.CodeOf(err) == result.OrderNotFound:
			if told == result.OutcomeRan {
				faults = append(faults, key+" ran and is not in the ledger")
			}
		case err != nil:
			faults = append(faults, err.Error())
		case told == result.OutcomeRan && row.State != ledger.StateRan,
			told == result.OutcomeNotRun && row.State != ledger.StateNotRun,
			told == loader.OutcomeRefused:
			faults = append(faults, fmt.Sprintf("%s: caller was told %s, ledger says %s", key, told, row.State))
		}
	}
	return faults
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

func (h *history) playRequest(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "served":
		return fmt.Sprintf("%d\n", h.town.Site.Orders()[text(d, "key")])
	case "answer":
		return <-h.kept
	}
	req := h.request(t, d)
	if d.HasArg("background") {
		h.kept = make(chan string, 1)
		go func() { h.kept <- send(req) }()
		return ""
	}
	told := send(req)
	if d.HasArg("quiet") {
		h.told[text(d, "key")] = told
		return ""
	}
	return told
}

// honest prints the keys that callers were told were not run and that were.
func (h *history) honest() string {
	ran := h.town.Site.Orders()
	for key, told := range h.told {
		if strings.Contains(told, string(result.OutcomeNotRun)) && ran[key] > 0 {
			return fmt.Sprintf("%s was told %s, it ran %d times\n", key, strings.TrimSpace(told), ran[key])
		}
	}
	return "honest\n"
}

func (h *history) request(t *testing.T, d *datadriven.TestData) *http.Request {
	entry := h.town.Entries[number(d, "entry", 1)-1]
	method := http.MethodGet
	d.MaybeScanArgs(t, "method", &method)
	body := text(d, "body") + strings.Repeat("x", number(d, "body-bytes", 0))
	req, err := http.NewRequest(method, "http://"+entry.Caller+"/r", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for flag, name := range map[string]string{
		"class":      caller.HeaderClass,
		"key":        caller.HeaderKey,
		"deadline":   caller.HeaderDeadline,
		"idempotent": caller.HeaderIdempotent,
	} {
		if d.HasArg(flag) {
			req.Header.Set(name, text(d, flag))
		}
	}
	if n := number(d, "header-bytes", 0); n > 0 {
		req.Header.Set("X-Long", strings.Repeat("x", n))
	}
	return req
}

// send returns status, result code and outcome of a request.
func send(req *http.Request) string {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "no answer\n"
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return "cut answer\n"
	}
	number, err := strconv.Atoi(resp.Header.Get(caller.HeaderResult))
	if err != nil {
		return "no result code\n"
	}
	code := result.Code(number)
	return fmt.Sprintf("%d %s %s\n", resp.StatusCode, code, resp.Header.Get(caller.HeaderOutcome))
}

func (h *history) playFault(t *testing.T, d *datadriven.TestData) string {
	site := h.town.Site
	switch d.Cmd {
	case "endpoint":
		site.Endpoints[text(d, "id")].SetFaults(standin.EndpointFaults{
			Silent:   d.HasArg("silent"),
			Reset:    d.HasArg("reset"),
			Truncate: d.HasArg("truncate"),
			FailAll:  d.HasArg("fail-all"),
			Leaving:  d.HasArg("leaving"),
			Slowdown: number(d, "slow", 0),
		})
	case "silence":
		if site.Links[text(d, "id")].SilenceOpen() == 0 {
			return "no open connection\n"
		}
	case "platform":
		site.Platform.SetFaults(platform.Faults{
			Down:        d.HasArg("down"),
			Slow:        clock.Span(number(d, "slow", 0)),
			LoseAnswers: number(d, "lose", 0),
			FreezeFleet: d.HasArg("freeze"),
		})
	case "cut", "heal":
		site.PlatformLinks[text(d, "zone")].SetFaults(standin.LinkFaults{Cut: d.Cmd == "cut"})
	case "stop":
		h.town.Entries[number(d, "entry", 1)-1].Stop()
	case "kill":
		h.town.Entries[number(d, "entry", 1)-1].Kill()
	case "unplug":
		site.Links[text(d, "id")].Close()
	case "slots":
		return h.slots()
	case "mark":
		h.mark = len(site.Endpoints[text(d, "id")].Record().Served)
	case "unmoved":
		if n := len(site.Endpoints[text(d, "id")].Record().Served); n != h.mark {
			return fmt.Sprintf("%d new requests\n", n-h.mark)
		}
		return "unmoved\n"
	case "holds":
		if faults := append(site.Doubled(), h.lateStarts()...); len(faults) > 0 {
			return strings.Join(faults, "\n") + "\n"
		}
		return "holds\n"
	}
	return ""
}

// startsWithin is how long after a zone was taken out a task may still start
// in it.
const startsWithin = 3 * clock.Second

// lateStarts returns the tasks that workers started in a zone that had left.
func (h *history) lateStarts() []string {
	var faults []string
	for zone, span := range h.left {
		for id, w := range h.town.Site.Workers {
			for _, r := range w.Record().Runs {
				late := r.Start.After(span.from.Add(startsWithin)) && (span.to == 0 || r.Start.Before(span.to))
				if strings.HasPrefix(id, zone+"-") && late {
					faults = append(faults, fmt.Sprintf("task %s started on %s %s after the zone left", r.Task, id, r.Start.Sub(span.from)))
				}
			}
		}
	}
	return faults
}

// absence is the time for which a zone was out; to is 0 while it is.
type absence struct {
	from clock.Time
	to   clock.Time
}

func (h *history) noteZone(path string) {
	parts := strings.Split(path, "/")
	if len(parts) != 5 || parts[2] != "zones" {
		return
	}
	now := clock.NewWall().Now()
	if parts[4] == "leave" {
		h.left[parts[3]] = absence{from: now}
		return
	}
	h.left[parts[3]] = absence{from: h.left[parts[3]].from, to: now}
}

func (h *history) slots() string {
	for id, e := range h.town.Site.Endpoints {
		if r := e.Record(); r.Most > r.Slots {
			return fmt.Sprintf("%s worked on %d at once, it has %d slots\n", id, r.Most, r.Slots)
		}
	}
	return "within\n"
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

const awaitWithin = 40 * time.Second

// await waits for a state that must come about.
func (h *history) await(ctx context.Context, d *datadriven.TestData) string {
	held := map[string]func() bool{
		"settled": func() bool {
			var counts ledger.Counts
			return h.alive().Client().Get(ctx, "/v1/orders", &counts) == nil && counts.Claimed == 0
		},
		"finished": func() bool {
			var job operator.Job
			return h.alive().Client().Get(ctx, "/v1/jobs/"+text(d, "finished"), &job) == nil && job.State == "finished"
		},
		"running": func() bool {
			var job operator.Job
			err := h.alive().Client().Get(ctx, "/v1/jobs/"+text(d, "running"), &job)
			return err == nil && job.State == "running" && started(job)
		},
		"empty": func() bool { return h.runningIn(text(d, "empty")) == 0 },
		"version": func() bool {
			return h.everyVersion(ctx, uint64(number(d, "version", 0)))
		},
		"owner": func() bool {
			return h.ownerOf(ctx, text(d, "cell")) == fmt.Sprintf("entry-%d", number(d, "owner", 0))
		},
		"view": func() bool {
			var status operator.Status
			return h.alive().Client().Get(ctx, "/v1/status", &status) == nil && len(status.View) == number(d, "view", 0)
		},
	}
	for name, fn := range held {
		if d.HasArg(name) {
			return errText(Await(ctx, awaitWithin, name, fn))
		}
	}
	return "nothing to wait for\n"
}

// ownerOf returns the name of the entry VM that owns a cell, without its life.
func (h *history) ownerOf(ctx context.Context, cell string) string {
	var status operator.Status
	if h.alive().Client().Get(ctx, "/v1/status", &status) != nil {
		return ""
	}
	for _, l := range status.Cells {
		if l.Cell == cell {
			name, _, _ := strings.Cut(l.Owner, ".")
			return name
		}
	}
	return ""
}

func started(job operator.Job) bool {
	for _, p := range job.Parts {
		for _, place := range p.Running {
			if place.Started {
				return true
			}
		}
	}
	return false
}

func (h *history) runningIn(zone string) int {
	n := 0
	for id, w := range h.town.Site.Workers {
		if !strings.HasPrefix(id, zone+"-") {
			continue
		}
		for _, r := range w.Record().Runs {
			if r.End == 0 {
				n++
			}
		}
	}
	return n
}

func (h *history) everyVersion(ctx context.Context, version uint64) bool {
	for _, r := range h.town.Entries {
		select {
		case <-r.done:
			continue
		default:
		}
		var status operator.Status
		if r.Client().Get(ctx, "/v1/status", &status) != nil || status.Version != version {
			return false
		}
	}
	return true
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
