// Package meter collects the metrics of a process with tally and serves them over
// HTTP as lines of text.
//
// # Usage
//
//	m := meter.New("marjoram")
//	m.Scope().Tagged(map[string]string{"code": "ok"}).Counter("requests").Inc(1)
//	http.Handle("/metrics", m)
package meter

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const reportInterval = 1 * time.Second

// Meter is a root scope of tally and an http.Handler that serves its metrics.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter *reporter
}

// New returns a Meter. All metric names start with prefix and an underscore.
func New(prefix string) *Meter {
	r := &reporter{
		counters: map[string]int64{},
		gauges:   map[string]float64{},
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Reporter:               r,
		Separator:              "_",
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{
		scope:    scope,
		closer:   closer,
		reporter: r,
	}
}

// Scope returns the root scope.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Close stops the periodic reports.
func (m *Meter) Close() error { return m.closer.Close() }

// ServeHTTP writes one line per metric, sorted by name. Values are up to 1 second
// old.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, line := range m.reporter.lines() {
		fmt.Fprintln(w, line)
	}
}

// reporter is a tally.StatsReporter that accumulates counters and keeps the last
// value of gauges.
type reporter struct {
	mu       sync.Mutex
	counters map[string]int64
	gauges   map[string]float64
}

var _ tally.StatsReporter = (*reporter)(nil)

func (r *reporter) lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for name, v := range r.counters {
		lines = append(lines, fmt.Sprintf("%s %d", name, v))
	}
	for name, v := range r.gauges {
		lines = append(lines, fmt.Sprintf("%s %g", name, v))
	}
	sort.Strings(lines)
	return lines
}

// ReportCounter adds to a counter.
func (r *reporter) ReportCounter(name string, tags map[string]string, value int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters[seriesName(name, tags)] += value
}

// ReportGauge sets a gauge.
func (r *reporter) ReportGauge(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges[seriesName(name, tags)] = value
}

// ReportTimer adds to the count and the total milliseconds of a timer.
func (r *reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters[seriesName(name+"_count", tags)]++
	r.counters[seriesName(name+"_total_ms", tags)] += interval.Milliseconds()
}

// ReportHistogramValueSamples adds to one bucket of a histogram of values.
func (r *reporter) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	r.addBucket(name, tags, fmt.Sprintf("%g", upper), samples)
}

// ReportHistogramDurationSamples adds to one bucket of a histogram of durations.
func (r *reporter) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	r.addBucket(name, tags, upper.String(), samples)
}

func (r *reporter) addBucket(name string, tags map[string]string, upper string, samples int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters[seriesName(name+"_bucket", tags)+" le="+upper] += samples
}

// Capabilities tells tally that the reporter supports tags.
func (r *reporter) Capabilities() tally.Capabilities { return r }

// Reporting returns true: the reporter can report.
func (r *reporter) Reporting() bool { return true }

// Tagging returns true: the reporter supports tags.
func (r *reporter) Tagging() bool { return true }

// Flush does nothing: reports are stored immediately.
func (r *reporter) Flush() {}

// seriesName formats a metric name with its tags, for example
// "requests{code=ok,zone=a}".
func seriesName(name string, tags map[string]string) string {
	if len(tags) == 0 {
		return name
	}
	pairs := make([]string, 0, len(tags))
	for k, v := range tags {
		pairs = append(pairs, k+"="+v)
	}
	sort.Strings(pairs)
	return name + "{" + strings.Join(pairs, ",") + "}"
}
