// Package loader replays traces as an open-loop load of requests and holds every
// answer against what the endpoints did.
//
// Requests are sent when they are due, whatever became of the earlier ones, and
// latency counts from the due time, so that a system that falls behind is not
// flattered. Orders carry a key; their outcomes are counted and can be verified
// against the endpoints' own record.
//
// # Usage
//
//	trace := loader.Generate(loader.Plan{Class: "quote", Rate: 200, ...})
//	tally := loader.New(loader.Options{Callers: addresses, Trace: trace}).Run(ctx)
//	faults := tally.Verify(site.RunsPerKey())
package loader

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marjoramstack/internal/caller"
	"marjoramstack/internal/tracer"
	"marjoramstack/pkg/result"
)

const (
	longestLatency = 120 * time.Second
	clientTimeout  = 60 * time.Second
	histDigits     = 3
	progressEvery  = 256
)

// OutcomeRefused is counted for a request whose connection was never made.
const OutcomeRefused result.Outcome = "refused"

// Plan describes a load to be generated.
type Plan struct {
	Class string
	// Rate is the number of requests a second.
	Rate float64
	Span time.Duration
	// OrderShare is the share of requests that are orders.
	OrderShare float64
	Seed       uint64
	// Prefix makes keys unique between loads.
	Prefix string
}

// Generate makes the trace of a load with exponential gaps.
func Generate(plan Plan) *tracer.Trace {
	random := rand.New(rand.NewPCG(plan.Seed, 11))
	trace := &tracer.Trace{Head: tracer.Head{Format: tracer.Format}}
	at := 0.0
	for n := 0; at < plan.Span.Seconds(); n++ {
		e := tracer.Event{
			AtMs:  int64(at * 1000),
			Kind:  tracer.KindQuote,
			Class: plan.Class,
		}
		if random.Float64() < plan.OrderShare {
			e.Kind = tracer.KindOrder
			e.Key = fmt.Sprintf("%s-%d", plan.Prefix, n)
		}
		trace.Events = append(trace.Events, e)
		at += random.ExpFloat64() / plan.Rate
	}
	return trace
}

// Options describe the replay of a trace.
type Options struct {
	// Callers are the callers' doors of the entry VMs, used in turn.
	Callers []string
	Trace   *tracer.Trace
	Body    []byte
	// Step takes the fault steps of the trace; nil passes over them.
	Step func(what string)
	// Progress is called now and then with the share of the trace sent.
	Progress func(share float64)
}

// Loader makes one load.
type Loader struct {
	opts   Options
	client *http.Client
	mu     sync.Mutex
	tally  Tally
}

// Tally is what a load came to.
type Tally struct {
	Sent     int
	Outcomes map[string]int
	Codes    map[string]int
	// Orders holds the outcome that each key was told.
	Orders map[string]result.Outcome
	// Mixed counts answers that were not those of the request they came for.
	Mixed   int
	Quotes  *hdrhistogram.Histogram
	Ordered *hdrhistogram.Histogram
	// Unmarked holds the answers without an outcome, from requests that went
	// straight to an endpoint.
	Unmarked *hdrhistogram.Histogram
}

// New returns a Loader.
func New(opts Options) *Loader {
	return &Loader{
		opts: opts,
		client: &http.Client{
			Timeout: clientTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1024,
			},
		},
		tally: Tally{
			Outcomes: map[string]int{},
			Codes:    map[string]int{},
			Orders:   map[string]result.Outcome{},
			Quotes:   hdrhistogram.New(1, longestLatency.Microseconds(), histDigits),
			Ordered:  hdrhistogram.New(1, longestLatency.Microseconds(), histDigits),
			Unmarked: hdrhistogram.New(1, longestLatency.Microseconds(), histDigits),
		},
	}
}

// Run sends each request when it is due, until the trace or ctx ends, and waits
// for the answers.
func (l *Loader) Run(ctx context.Context) *Tally {
	began := time.Now()
	var group sync.WaitGroup
	events := l.opts.Trace.Events
	for n, e := range events {
		due := began.Add(time.Duration(e.AtMs) * time.Millisecond)
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		if l.opts.Progress != nil && n%progressEvery == 0 {
			l.opts.Progress(float64(n) / float64(len(events)))
		}
		if e.Kind == tracer.KindStep {
			l.step(&group, e.What)
			continue
		}
		group.Go(func() { l.send(n, due, e) })
	}
	group.Wait()
	l.client.CloseIdleConnections()
	return &l.tally
}

func (l *Loader) step(group *sync.WaitGroup, what string) {
	if l.opts.Step != nil {
		group.Go(func() { l.opts.Step(what) })
	}
}

func (l *Loader) send(n int, due time.Time, e tracer.Event) {
	order := e.Kind == tracer.KindOrder
	method := http.MethodGet
	echo := fmt.Sprintf("quote-%d", n)
	if order {
		method = http.MethodPost
		echo = e.Key
	}
	address := l.opts.Callers[n%len(l.opts.Callers)]
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s/r/%d", address, n), bytes.NewReader(l.opts.Body))
	if err != nil {
		panic(err) // the address was checked
	}
	req.Header.Set(caller.HeaderClass, e.Class)
	req.Header.Set("X-Echo", echo)
	if order {
		req.Header.Set(caller.HeaderKey, echo)
	}
	written := false
	resp, err := l.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		WroteHeaders: func() { written = true },
	})))
	// The transport sends an order that has a key again by itself when its
	// connection is lost, so a refused connection may be the second.
	if errors.Is(err, syscall.ECONNREFUSED) && !written {
		l.record(due, order, echo, OutcomeRefused, "refused", false)
		return
	}
	if err != nil {
		l.record(due, order, echo, result.OutcomeUnknown, "no-answer", false)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		l.record(due, order, echo, result.OutcomeUnknown, "cut-answer", false)
		return
	}
	outcome := result.Outcome(resp.Header.Get(caller.HeaderOutcome))
	mixed := outcome == result.OutcomeRan && resp.StatusCode == http.StatusOK && !strings.Contains(string(body), echo)
	l.record(due, order, echo, outcome, resp.Header.Get(caller.HeaderResult), mixed)
}

func (l *Loader) record(due time.Time, order bool, key string, outcome result.Outcome, code string, mixed bool) {
	micros := max(time.Since(due).Microseconds(), 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.Sent++
	l.tally.Outcomes[string(outcome)]++
	l.tally.Codes[code]++
	if mixed {
		l.tally.Mixed++
	}
	if order {
		l.tally.Orders[key] = outcome
	}
	hist := l.tally.Quotes
	switch {
	case outcome == "":
		hist = l.tally.Unmarked
	case outcome != result.OutcomeRan:
		return
	case order:
		hist = l.tally.Ordered
	}
	if hist.RecordValue(micros) != nil {
		return // beyond the longest latency; the outcome is counted
	}
}

// Verify holds the outcomes that callers were told against how often each key
// was run, and returns what disagrees.
func (t *Tally) Verify(ran map[string]int) []string {
	var faults []string
	for key, outcome := range t.Orders {
		n := ran[key]
		switch {
		case n > 1:
			faults = append(faults, fmt.Sprintf("order %s ran %d times", key, n))
		case n == 0 && outcome == result.OutcomeRan:
			faults = append(faults, fmt.Sprintf("order %s was reported as run and was not", key))
		case n == 1 && (outcome == result.OutcomeNotRun || outcome == OutcomeRefused):
			faults = append(faults, fmt.Sprintf("order %s was reported as not run and was", key))
		}
	}
	if t.Mixed > 0 {
		faults = append(faults, fmt.Sprintf("%d answers were another request's", t.Mixed))
	}
	sort.Strings(faults)
	return faults
}

// Quantile returns a quantile of a histogram in milliseconds.
func Quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
