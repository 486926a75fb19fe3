// Package soaker runs fault-injection soak tests. It starts the real program as several
// processes, injects faults from outside and checks that what callers and workers
// observe matches the guarantees of the system.
//
// Processes are stopped, paused, killed and restarted by signals. Relays cut, delay or
// silence connections to the table and to workers, or drop one direction. The table
// goes down, stops answering, loses answers or loses its history. Workers crash and
// restart under the same or another identifier. Faults come in series and overlap.
// Each series is followed by a calm period with planned work only: processes are told
// to stop or to reload, and the configuration changes. A seed always gives the same
// plan of faults and jobs; how the processes react depends on the machine.
//
// Long-running tasks of unequal sizes, which fail now and then, nearly fill the workers.
// Short tasks are submitted continuously in addition.
//
// These invariants hold at all times:
//   - No task runs in two places.
//   - No task starts after its end was acknowledged, before the steps that it depends
//     on, or more often than its attempts allow.
//   - No worker gets more work than its capacity.
//   - A refused job never runs.
//   - An accepted job is never unknown, and is reported as failed, cancelled or completed
//     only if it is.
//   - No process exits unless it was told to.
//   - No customer has more running than its limits and one task.
//   - No VM takes a key that was withdrawn some seconds before, or refuses one that was added.
//
// These hold in calm periods:
//   - A long-running task is restarted within a bound if there is room for it.
//   - Tasks of a cancelled job do not start.
//   - Requests are answered.
//
// After the last series every job reaches its expected end.
//
// # Usage
//
//	report, err := soaker.Run(ctx, soaker.Options{Seed: 7, Program: "bin/marjoram", ...})
//	for _, breach := range report.Breaches { ... }
package soaker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	wirestandin "marjoramstack/platform/standin"
)

// Options configure a soak run.
type Options struct {
	Seed uint64
	// Program is the path of the marjoram binary. Its processes get Environment in
	// addition to the environment of this process.
	Program     string
	Environment []string
	VMs         int
	Workers     int
	// A run consists of Cycles. Each has a Series of faults with a mean Gap between
	// two, the time until they are healed, and a Calm period. Jobs are submitted
	// throughout with a mean JobGap between two.
	Cycles int
	Series time.Duration
	Gap    time.Duration
	Calm   time.Duration
	JobGap time.Duration
	// Filled is the percentage of the capacity of all workers that long-running tasks
	// fill; it is drawn at random if 0.
	Filled int
	// Customers is the number of customers that submit jobs, each with keys that come and
	// go. There are no keys if it is 0.
	Customers int
	// Settle is the timeout for jobs to reach their expected ends after the last
	// submission. It restarts whenever a short task starts or the machine stalls.
	Settle time.Duration
	// Logs is the folder that logs of a run with a breach are written to; none are
	// written if it is empty.
	Logs string
}

type soak struct {
	opts            Options
	faultRNG        *rand.Rand
	clock           clock.Clock
	disturbances    *disturbances
	rows            *standin.Rows
	tableServer     *http.Server
	tableLinkFaults standin.LinkFaults // of links to the table that have no injected fault
	checker         *checker
	customers       *customers
	submissions     submissions
	vms             []*vm
	workers         []*soakWorker
	caller          *wirestandin.Caller
	pollers         []*statePoller
	calls           sync.WaitGroup
	healing         sync.WaitGroup

	mu            sync.Mutex
	configVersion int // of the configuration written last
	events        []string
}

// runClock is a clock that reads 0 at the start of the run.
type runClock struct{ startedAt time.Time }

// Now returns the time since the start of the run.
func (c runClock) Now() clock.Time { return clock.Time(clock.FromDuration(time.Since(c.startedAt))) }

const checkInterval = 100 * time.Millisecond

// tableDelays are the one-way delays of links to the table, in ms. Each run uses one of
// them when no fault is active. With the longest, requests are in flight while a process
// stops.
var tableDelays = []clock.Span{0, 5, 20, 150}

// Run runs one soak test and returns its report.
func Run(ctx context.Context, opts Options) (Report, error) {
	s := newSoak(opts)
	defer s.close()
	if err := s.build(); err != nil {
		return Report{}, err
	}
	watchCtx, stopWatchers := context.WithCancel(ctx)
	defer stopWatchers()
	var watchers sync.WaitGroup
	s.startWatchers(watchCtx, &watchers)
	s.runPlan(ctx)
	s.awaitJobs(ctx)
	stopWatchers()
	watchers.Wait()
	return s.report()
}

// runPlan injects the planned faults and submits jobs until the plan ends.
func (s *soak) runPlan(ctx context.Context) {
	loadCtx, stopLoad := context.WithTimeout(ctx, s.opts.planDuration())
	defer stopLoad()
	var group sync.WaitGroup
	group.Go(func() { s.injectFaults(ctx, s.plan()) })
	s.load(loadCtx, rand.New(rand.NewPCG(s.opts.Seed, streamJobs)))
	group.Wait()
}

// Random streams that are derived from the seed of a run.
const (
	streamFaults  = 1
	streamJobs    = 2
	streamPollers = 100 // of the first poller; poller i uses streamPollers+i
)

func newSoak(opts Options) *soak {
	source := runClock{startedAt: time.Now()}
	tracker := newDisturbances(source)
	capacity := document.Size{
		Processors: 16000,
		Memory:     16000,
	}
	rows := standin.NewRows()
	faults := rand.New(rand.NewPCG(opts.Seed, streamFaults))
	linkFaults := delayed(tableDelays[faults.IntN(len(tableDelays))])
	checker := newChecker(capacity, opts.Workers, source, tracker)
	checker.limits = newCustomers(opts, capacity)
	return &soak{
		customers:       checker.limits,
		opts:            opts,
		faultRNG:        faults,
		tableLinkFaults: linkFaults,
		clock:           source,
		disturbances:    tracker,
		rows:            rows,
		tableServer:     &http.Server{Handler: wirestandin.NewStore(rows)},
		checker:         checker,
		caller:          wirestandin.NewCaller(&http.Client{}),
	}
}

// startWatchers starts the background loops: the worker list, stall detection, the
// checks of time bounds, and one state poller for each VM.
func (s *soak) startWatchers(ctx context.Context, group *sync.WaitGroup) {
	group.Go(func() { s.updateWorkerList(ctx) })
	group.Go(func() { s.disturbances.watchStalls(ctx, s.addStall) })
	group.Go(func() { s.rotateKeys(ctx) })
	group.Go(func() { s.tryWithdrawnKeys(ctx) })
	group.Go(func() {
		for ctx.Err() == nil {
			s.checker.checkTimeBounds()
			time.Sleep(checkInterval)
		}
	})
	for i, v := range s.vms {
		poller := &statePoller{
			vm:   v,
			soak: s,
			rng:  rand.New(rand.NewPCG(s.opts.Seed, uint64(streamPollers+i))),
		}
		s.pollers = append(s.pollers, poller)
		group.Go(func() { poller.run(ctx) })
	}
}
