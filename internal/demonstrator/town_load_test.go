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

func (h *history) runLoadCommand(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "load":
		load := loader.New(loader.Options{
			Callers: h.town.Callers(),
			Trace: loader.Generate(loader.Plan{
				Class:      "quote",
				Rate:       float64(intArg(d, "rate", 100)),
				Span:       time.Duration(intArg(d, "span", 1000)) * time.Millisecond,
				OrderShare: float64(intArg(d, "orders", 0)) / 100,
				Seed:       1,
				Prefix:     fmt.Sprintf("load%d", len(h.tallies)),
			}),
			Body: []byte("body"),
		})
		if d.HasArg("background") {
			h.pendingLoad = make(chan *loader.Tally, 1)
			go func() { h.pendingLoad <- load.Run(context.Background()) }()
			return ""
		}
		h.tallies = append(h.tallies, load.Run(context.Background()))
	case "wait-load":
		h.tallies = append(h.tallies, <-h.pendingLoad)
	case "verify":
		return h.verify(d)
	}
	return ""
}

// verify prints the outcomes of all loads that disagree with the records of the
// endpoints or, with the argument ledger, with the ledger. With the argument
// outcomes it also prints which outcomes occurred.
func (h *history) verify(d *datadriven.TestData) string {
	var faults []string
	outcomes := map[string]bool{}
	for _, tally := range h.tallies {
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

// verifyLedger compares the ledger row of each order with the outcome that its
// caller was told. If the caller got no answer, any outcome is allowed.
func (h *history) verifyLedger(tally *loader.Tally) []string {
	var faults []string
	for key, outcome := range tally.Orders {
		var row ledger.Row
		err := h.liveEntry().Client().Get(context.Background(), "/v1/orders/"+key, &row)
		switch {
		case result.CodeOf(err) == result.OrderNotFound:
			if outcome == result.OutcomeRan {
				faults = append(faults, key+" ran, but is not in the ledger")
			}
		case err != nil:
			faults = append(faults, err.Error())
		case outcome == result.OutcomeRan && row.State != ledger.StateRan,
			outcome == result.OutcomeNotRun && row.State != ledger.StateNotRun,
			outcome == loader.OutcomeRefused:
			faults = append(faults, fmt.Sprintf("%s: caller was told %s, but the ledger has %s", key, outcome, row.State))
		}
	}
	return faults
}

func (h *history) runRequestCommand(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "served":
		return fmt.Sprintf("%d\n", h.town.Site.RunsPerKey()[textArg(d, "key")])
	case "answer":
		return <-h.pendingAnswer
	}
	req := h.request(t, d)
	if d.HasArg("background") {
		h.pendingAnswer = make(chan string, 1)
		go func() { h.pendingAnswer <- send(req) }()
		return ""
	}
	answer := send(req)
	if d.HasArg("quiet") {
		h.answers[textArg(d, "key")] = answer
		return ""
	}
	return answer
}

// checkNotRun prints a key for which the caller was told that the request did not
// run, although it did.
func (h *history) checkNotRun() string {
	ran := h.town.Site.RunsPerKey()
	for key, answer := range h.answers {
		if strings.Contains(answer, string(result.OutcomeNotRun)) && ran[key] > 0 {
			return fmt.Sprintf("the caller of %s was told %s, but it ran %d times\n", key, strings.TrimSpace(answer), ran[key])
		}
	}
	return "honest\n"
}

func (h *history) request(t *testing.T, d *datadriven.TestData) *http.Request {
	entry := h.town.Entries[intArg(d, "entry", 1)-1]
	method := http.MethodGet
	d.MaybeScanArgs(t, "method", &method)
	body := textArg(d, "body") + strings.Repeat("x", intArg(d, "body-bytes", 0))
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
			req.Header.Set(name, textArg(d, flag))
		}
	}
	if n := intArg(d, "header-bytes", 0); n > 0 {
		req.Header.Set("X-Long", strings.Repeat("x", n))
	}
	return req
}

// send sends a request and returns the HTTP status, result code and outcome of the
// answer.
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
