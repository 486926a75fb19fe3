// Package meter counts what a process does, by tally, and shows the counts at an
// HTTP door as lines of text.
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

const reportEvery = 1 * time.Second

// Meter is a tally scope whose figures can be read over HTTP.
type Meter struct {
	scope   tally.Scope
	closer  io.Closer
	figures *figures
}

// New returns a Meter whose names begin with prefix.
func New(prefix string) *Meter {
	f := &figures{
		counters: map[string]int64{},
		gauges:   map[string]float64{},
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Reporter:               f,
		Separator:              "_",
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return &Meter{
		scope:   scope,
		closer:  closer,
		figures: f,
	}
}

// Scope returns the scope to count in.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Close stops reporting.
func (m *Meter) Close() error { return m.closer.Close() }

// ServeHTTP writes one line per figure, sorted by name.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, line := range m.figures.lines() {
		fmt.Fprintln(w, line)
	}
}

// figures is a tally.StatsReporter that keeps totals.
type figures struct {
	mu       sync.Mutex
	counters map[string]int64
	gauges   map[string]float64
}

var _ tally.StatsReporter = (*figures)(nil)

func (f *figures) lines() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lines []string
	for name, v := range f.counters {
		lines = append(lines, fmt.Sprintf("%s %d", name, v))
	}
	for name, v := range f.gauges {
		lines = append(lines, fmt.Sprintf("%s %g", name, v))
	}
	sort.Strings(lines)
	return lines
}

// ReportCounter adds to a counter.
func (f *figures) ReportCounter(name string, tags map[string]string, value int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counters[series(name, tags)] += value
}

// ReportGauge sets a gauge.
func (f *figures) ReportGauge(name string, tags map[string]string, value float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gauges[series(name, tags)] = value
}

// ReportTimer adds to the count and the total milliseconds of a timer.
func (f *figures) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counters[series(name+"_count", tags)]++
	f.counters[series(name+"_total_ms", tags)] += interval.Milliseconds()
}

// ReportHistogramValueSamples adds to one bucket of a histogram of values.
func (f *figures) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	f.addBucket(name, tags, fmt.Sprintf("%g", upper), samples)
}

// ReportHistogramDurationSamples adds to one bucket of a histogram of spans.
func (f *figures) ReportHistogramDurationSamples(name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64) {
	f.addBucket(name, tags, upper.String(), samples)
}

func (f *figures) addBucket(name string, tags map[string]string, upper string, samples int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counters[series(name+"_bucket", tags)+" le="+upper] += samples
}

// Capabilities tells tally that the reporter takes tags.
func (f *figures) Capabilities() tally.Capabilities { return f }

// Reporting is always on.
func (f *figures) Reporting() bool { return true }

// Tagging is always on.
func (f *figures) Tagging() bool { return true }

// Flush does nothing: figures are totals.
func (f *figures) Flush() {}

func series(name string, tags map[string]string) string {
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
