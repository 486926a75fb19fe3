package rationer

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"
)

// reportInterval is how often a Reporter looks for clients that have been turned away.
const reportInterval = time.Second

// Reporter logs how many clients have been turned away, at most one line a second, and keeps
// metrics of what clients take.
type Reporter struct {
	// Budget, Callers and Probes are what is reported.
	Budget  *Budget
	Callers *Listener
	Probes  *Listener
	Log     *slog.Logger
	Scope   tally.Scope

	before counts
}

// counts are what has been turned away since the start.
type counts struct {
	bodiesGivenUp int
	bodiesRefused int
	callersClosed int
	probesClosed  int
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.report()
		}
	}
}

func (r *Reporter) report() {
	var now counts
	var used int64
	used, now.bodiesGivenUp, now.bodiesRefused = r.Budget.state()
	callers, callersClosed := r.Callers.state()
	probes, probesClosed := r.Probes.state()
	now.callersClosed = callersClosed
	now.probesClosed = probesClosed
	r.Scope.Gauge("body_bytes").Update(float64(used))
	r.Scope.Gauge("caller_connections").Update(float64(callers))
	r.Scope.Gauge("probe_connections").Update(float64(probes))
	if now == r.before {
		return
	}
	r.Log.Warn("clients-turned-away",
		"bodies-given-up", now.bodiesGivenUp-r.before.bodiesGivenUp,
		"bodies-refused", now.bodiesRefused-r.before.bodiesRefused,
		"connections-closed", now.callersClosed-r.before.callersClosed,
		"probe-connections-closed", now.probesClosed-r.before.probesClosed,
		"body-bytes", used,
		"connections", callers,
	)
	r.before = now
}

// state returns the bytes in use, and how many bodies have been given up and refused so far.
func (b *Budget) state() (used int64, givenUp, refused int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.givenUp, b.refused
}

// state returns the open connections, and how many have been closed for others so far.
func (l *Listener) state() (open, closed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byAddress), l.closed
}
