// Package loader replays traces as an open-loop load of requests and verifies the
// answers against what the endpoints did.
//
// Each request is sent when it is due, whether or not earlier ones were answered.
// Latency is measured from the due time, so that the figures include the delay of
// a system that falls behind (no coordinated omission). Orders carry an
// idempotency key; their outcomes are counted and can be verified against the
// records of the endpoints.
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
	maxLatency       = 120 * time.Second
	clientTimeout    = 60 * time.Second
	histogramDigits  = 3
	progressInterval = 256
)

// OutcomeRefused is the outcome of a request whose connection was refused before
// anything was sent.
const OutcomeRefused result.Outcome = "refused"

// Plan describes a load to generate.
type Plan struct {
	Class string
	// Rate is the mean number of requests per second.
	Rate float64
	Span time.Duration
	// OrderShare is the share of requests that are orders, from 0 to 1.
	OrderShare float64
	Seed       uint64
	// Prefix makes the keys of orders unique across loads.
	Prefix string
}

// Generate generates the trace of a load with exponentially distributed gaps
// between requests (Poisson arrivals).
func Generate(plan Plan) *tracer.Trace {
	rng := rand.New(rand.NewPCG(plan.Seed, 11))
	trace := &tracer.Trace{Head: tracer.Head{Format: tracer.Format}}
	atSeconds := 0.0
	for n := 0; atSeconds < plan.Span.Seconds(); n++ {
		e := tracer.Event{
			AtMs:  int64(atSeconds * 1000),
			Kind:  tracer.KindQuote,
			Class: plan.Class,
		}
		if rng.Float64() < plan.OrderShare {
			e.Kind = tracer.KindOrder
			e.Key = fmt.Sprintf("%s-%d", plan.Prefix, n)
		}
		trace.Events = append(trace.Events, e)
		atSeconds += rng.ExpFloat64() / plan.Rate
	}
	return trace
}

// Options configure the replay of a trace.
type Options struct {
	// Callers are the addresses at which the entry VMs accept requests of callers.
	// They are used round-robin.
	Callers []string
	Trace   *tracer.Trace
	Body    []byte
	// Step runs the fault steps of the trace; if it is nil, they are skipped.
	Step func(what string)
	// Progress, if not nil, is called periodically with the share of the trace sent
	// so far, from 0 to 1.
	Progress func(share float64)
}

// Loader replays one trace.
type Loader struct {
	opts   Options
	client *http.Client
	mu     sync.Mutex
	tally  Tally
}

// Tally is the result of a load. Latencies are in microseconds.
type Tally struct {
	Sent     int
	Outcomes map[string]int
	Codes    map[string]int
	// Orders holds the outcome that was reported for each key.
	Orders map[string]result.Outcome
	// Mixed counts answers that belonged to a different request.
	Mixed   int
	Quotes  *hdrhistogram.Histogram
	Ordered *hdrhistogram.Histogram
	// Unmarked holds the latencies of answers without an outcome header, from
	// requests that went directly to an endpoint.
	Unmarked *hdrhistogram.Histogram
}

// New returns a Loader that replays the trace of opts.
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
			Quotes:   hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
			Ordered:  hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
			Unmarked: hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
		},
	}
}

// Run sends each request when it is due, until the trace or ctx ends, waits for
// all answers and returns the tally.
func (l *Loader) Run(ctx context.Context) *Tally {
	startedAt := time.Now()
	var group sync.WaitGroup
	events := l.opts.Trace.Events
	for n, e := range events {
		due := startedAt.Add(time.Duration(e.AtMs) * time.Millisecond)
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		if l.opts.Progress != nil && n%progressInterval == 0 {
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
		panic(err) // cannot happen, as the address was checked
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
	// http.Transport retries a request with an idempotency key on its own when the
	// connection is lost, so a refused connection may be that of the retry. If
	// headers were written, an earlier try may have reached the entry VM.
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
		return // above maxLatency; the outcome is counted anyway
	}
}

// Verify compares the outcome that was reported for each order with ran, the
// number of times that endpoints ran each key. It returns a description of each
// disagreement, and of mixed-up answers.
func (t *Tally) Verify(ran map[string]int) []string {
	var faults []string
	for key, outcome := range t.Orders {
		n := ran[key]
		switch {
		case n > 1:
			faults = append(faults, fmt.Sprintf("order %s ran %d times", key, n))
		case n == 0 && outcome == result.OutcomeRan:
			faults = append(faults, fmt.Sprintf("order %s was reported as run, but did not run", key))
		case n == 1 && (outcome == result.OutcomeNotRun || outcome == OutcomeRefused):
			faults = append(faults, fmt.Sprintf("order %s was reported as not run, but ran", key))
		}
	}
	if t.Mixed > 0 {
		faults = append(faults, fmt.Sprintf("%d answers belonged to another request", t.Mixed))
	}
	sort.Strings(faults)
	return faults
}

// Quantile returns the q-th percentile, 0 to 100, of a histogram of microseconds,
// in milliseconds.
func Quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
