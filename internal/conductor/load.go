package conductor

import (
	"time"

	"golang.org/x/sys/unix"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
)

// permille is a share of 1 in thousandths.
const permille = 1000

// loadMonitor sums what the owner does between two reports of the cell's state.
type loadMonitor struct {
	deciding  clock.Span
	reported  clock.Time
	processor clock.Span
	stats     planner.Stats
}

// load is what the owner did in a span: the starts that it ordered and those that were
// refused or not answered, the passes over the waiting tasks, the time spent on decisions,
// and the processor time of the whole process.
type load struct {
	span      clock.Span
	started   int
	refused   int
	passes    int
	deciding  clock.Span
	processor clock.Span
}

func newLoadMonitor(now clock.Time) loadMonitor {
	return loadMonitor{
		reported:  now,
		processor: processorTime(),
	}
}

// decided records the time that one round of decisions took.
func (m *loadMonitor) decided(span clock.Span) { m.deciding += span }

// take returns the load since the last call.
func (m *loadMonitor) take(now clock.Time, stats planner.Stats) load {
	used := processorTime()
	l := load{
		span:      now.Sub(m.reported),
		started:   stats.Started - m.stats.Started,
		refused:   stats.Refused - m.stats.Refused,
		passes:    stats.Passes - m.stats.Passes,
		deciding:  m.deciding,
		processor: used - m.processor,
	}
	*m = loadMonitor{
		reported:  now,
		processor: used,
		stats:     stats,
	}
	return l
}

// processorTime returns the processor time that this process has used, 0 if the system
// does not tell.
func processorTime() clock.Span {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0 // only the log line shows it
	}
	return clock.FromDuration(time.Duration(usage.Utime.Nano() + usage.Stime.Nano()))
}

// reportState logs the state of the cell and updates its metrics.
func (t *tenure) reportState(now clock.Time) {
	s := t.planner.Summary(now)
	used := t.usage.take(now, t.planner.Stats())
	t.c.opts.Log.Info("cell",
		"epoch", t.head.Epoch,
		"jobs", s.Jobs,
		"waiting", s.Waiting,
		"running", s.Running,
		"best-effort", s.BestEffort,
		"throttled", s.Throttled,
		"over-target", s.OverTarget,
		"starting", s.Starting,
		"start-limit", s.StartLimit,
		"orders", t.orders.Len(),
		"workers", s.Workers,
		"capacity", s.Capacity,
		"reserved", s.Reserved,
		"idle", s.Idle,
		"restarts", s.Restarts,
		"longest-restart-ms", int64(s.LongestRestart),
		"started", used.started,
		"refused", used.refused,
		"passes", used.passes,
		"decide-ms", int64(used.deciding),
		"processor-ms", int64(used.processor),
		"span-ms", int64(used.span),
		"write-age-ms", int64(now.Sub(clock.Time(t.confirmedAt.Load()))))
	scope := t.c.opts.Scope
	scope.Gauge("tasks_waiting").Update(float64(s.Waiting))
	scope.Gauge("tasks_running").Update(float64(s.Running))
	scope.Gauge("tasks_over_target").Update(float64(s.OverTarget))
	scope.Gauge("workers").Update(float64(s.Workers))
	scope.Gauge("processors_idle").Update(float64(s.Idle))
	scope.Gauge("restarts_waiting").Update(float64(s.Restarts))
	scope.Gauge("processor_permille").Update(float64(used.processor) * permille / float64(max(used.span, 1)))
}
