// Package soaker runs the real program as several processes, disturbs them from
// outside and holds what callers and workers see to what is promised.
//
// Processes are stopped, paused, killed and started again by signals; connections to
// the table and to workers are cut, delayed, silenced or lose one direction in relays;
// the table goes down, falls silent, loses answers and its history; workers crash and
// come back under the same or another identifier. Faults come in series and overlap.
// After each series time is calm, but for planned work: processes that are told to stop
// or to reload, and changes of the configuration. A seed gives the same plan of faults
// and jobs each time; what the processes make of it depends on the machine.
//
// Workers are nearly filled by tasks that last, of unequal sizes, which fail now and
// then. Short tasks come all the time beside them.
//
// Held are at all times: no task runs in two places, none starts after its end was
// acknowledged, before its turn or too often, no worker is given more than it holds,
// what was refused never runs, what was accepted is never unknown, and shown as failed,
// cancelled or completed only if it is so, no process ends by itself. Held in calm
// time: a task that lasts is started again within a bound if there is room for it, what
// was cancelled doesn't start, requests get their answers. After the last series every
// job comes to its end.
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

// Options describe a run.
type Options struct {
	Seed uint64
	// Program is the path of marjoram, Environment what its processes get besides
	// this one's.
	Program     string
	Environment []string
	VMs         int
	Workers     int
	// A run has Cycles, each a Series of faults with a mean Gap between two, the time
	// until they are healed, and a Calm. Jobs come all the while with a mean JobGap.
	Cycles int
	Series time.Duration
	Gap    time.Duration
	Calm   time.Duration
	JobGap time.Duration
	// Filled is the percentage of all workers that tasks that last fill, drawn if 0.
	Filled int
	// Settle is how long nothing may start after the last job was handed in while some
	// have not come to their ends.
	Settle time.Duration
	// Logs is a folder for the logs of a run with a breach; none if empty.
	Logs string
}

type soak struct {
	opts    Options
	faults  *rand.Rand
	clock   clock.Clock
	calm    *calm
	rows    *standin.Rows
	table   *http.Server
	usual   standin.LinkFaults // of the links to the table
	judge   *judge
	roster  roster
	vms     []*vm
	workers []*soakWorker
	caller  *wirestandin.Caller
	askers  []*asker
	calls   sync.WaitGroup
	healing sync.WaitGroup

	mu      sync.Mutex
	version int // of the configuration
	notes   []string
}

// sinceStart is a clock that starts with the run.
type sinceStart struct{ began time.Time }

// Now returns the time since the start.
func (s sinceStart) Now() clock.Time { return clock.Time(clock.FromDuration(time.Since(s.began))) }

const lookEvery = 100 * time.Millisecond

// tableDelays are how long a link to the table usually takes one way. A run has one of
// them. With the longest, requests are under way while a process stops.
var tableDelays = []clock.Span{0, 5, 20, 150}

// Run plays one seed.
func Run(ctx context.Context, opts Options) (Report, error) {
	s := newSoak(opts)
	defer s.close()
	if err := s.build(); err != nil {
		return Report{}, err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	var watchers sync.WaitGroup
	s.watch(watching, &watchers)
	s.play(ctx)
	s.settle(ctx)
	stop()
	watchers.Wait()
	return s.report()
}

// play has faults strike and jobs come until the plan is over.
func (s *soak) play(ctx context.Context) {
	loading, enough := context.WithTimeout(ctx, s.opts.length())
	defer enough()
	var group sync.WaitGroup
	group.Go(func() { s.strike(ctx, s.plan()) })
	s.load(loading, rand.New(rand.NewPCG(s.opts.Seed, streamJobs)))
	group.Wait()
}

// Streams of random numbers that a run draws from its seed.
const (
	streamFaults = 1
	streamJobs   = 2
	streamAskers = 100 // of the first asker
)

func newSoak(opts Options) *soak {
	source := sinceStart{began: time.Now()}
	calm := newCalm(source)
	capacity := document.Size{
		Processors: 16000,
		Memory:     16000,
	}
	rows := standin.NewRows()
	faults := rand.New(rand.NewPCG(opts.Seed, streamFaults))
	usual := delayed(tableDelays[faults.IntN(len(tableDelays))])
	return &soak{
		opts:   opts,
		faults: faults,
		usual:  usual,
		clock:  source,
		calm:   calm,
		rows:   rows,
		table:  &http.Server{Handler: wirestandin.NewStore(rows)},
		judge:  newJudge(capacity, opts.Workers, source, calm),
		caller: wirestandin.NewCaller(&http.Client{}),
	}
}

// watch starts what goes on beside the faults and the load.
func (s *soak) watch(ctx context.Context, group *sync.WaitGroup) {
	group.Go(func() { s.list(ctx) })
	group.Go(func() { s.calm.watch(ctx, s.noteStall) })
	group.Go(func() {
		for ctx.Err() == nil {
			s.judge.look()
			time.Sleep(lookEvery)
		}
	})
	for i, v := range s.vms {
		a := &asker{
			vm:     v,
			soak:   s,
			random: rand.New(rand.NewPCG(s.opts.Seed, uint64(streamAskers+i))),
		}
		s.askers = append(s.askers, a)
		group.Go(func() { a.run(ctx) })
	}
}
