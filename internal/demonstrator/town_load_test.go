package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marjoramstack/internal/caller"
	"marjoramstack/internal/ledger"
	"marjoramstack/internal/loader"
	"marjoramstack/pkg/result"
)

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
		faults = append(faults, tally.Verify(h.town.Site.RunsPerKey())...)
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

func (h *history) playRequest(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "served":
		return fmt.Sprintf("%d\n", h.town.Site.RunsPerKey()[text(d, "key")])
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
	ran := h.town.Site.RunsPerKey()
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
