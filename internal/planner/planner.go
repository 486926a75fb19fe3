// Package planner decides what runs where for jobs made of steps, over all
// workers of a cell.
//
// A Planner is a pure state machine: it takes typed messages and the time, and
// gives orders for workers, changes that must be made durable and notes for the
// log. It does no I/O and reads no clock, so recorded messages replay to the
// same decisions. Package conductor drives it.
//
// What must hold rests on these rules:
//
//   - A task gets a further attempt only when each earlier one has ended for
//     certain: the worker lists its end, the worker lives another life, a stop
//     or the start's deadline came before the start did, or the worker's lease
//     has run out on the slowest admissible clock.
//   - A worker's room counts every attempt that has not ended for certain.
//   - A worker forgets an end only after the change that follows from it is
//     durable; until then it lists the end again, to a later owner too.
//   - Starts are not recorded beforehand. An owner that takes over gives each
//     worker its higher epoch and reads its lists; a task that an earlier owner
//     may have started waits until all workers have answered, or until every
//     lease of the earlier owner has run out.
//
// # Usage
//
//	p := planner.New(planner.Options{Epoch: 7, LeaseMax: 6 * clock.Second})
//	p.Handle(now, planner.Submitted{Job: job})
//	p.Decide(now)
//	for _, order := range p.TakeOrders() { ... } // then StartEnded, Renewed, ...
//	changes, ok := p.TakeChanges(now)            // make durable, then Committed
package planner

import (
	"math/rand/v2"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Options describe the cell and the tenure of its owner.
type Options struct {
	// Epoch fences the orders of successive owners.
	Epoch uint64
	// Zone is where the owner is.
	Zone string
	// Takeover is from when on no earlier owner acts.
	Takeover clock.Time
	// LeaseMax is the longest lease that workers grant.
	LeaseMax clock.Span
	// StopGrace is how long a stop takes at most.
	StopGrace clock.Span
	// RackFactor, in thousandths, is how much longer a task takes away from its
	// data or its gang.
	RackFactor int
	// UnavailableFor is how long a task that is not at work counts as away.
	UnavailableFor clock.Span
	// HarmAfter is how long a task with a tail target may miss it while
	// best-effort tasks disturb it.
	HarmAfter clock.Span
	Seed      uint64
}

// Planner is the state of one cell under one owner. It is not safe for
// concurrent use.
type Planner struct {
	opts    Options
	ops     document.Operations
	jobs    map[string]*job
	active  map[string]*job
	workers map[string]*worker
	fleet   []*worker // by identifier
	random  *rand.Rand
	// largest are, by pool, the largest capacities of workers seen so far.
	largest map[string][]document.Size

	images *interference

	pools       map[string]*poolUsage
	grouping    colocation
	regroupedAt clock.Time

	dirty map[string]*job
	// gone are workers to be dropped from the record of those in use.
	recordsToDrop map[string]bool
	// strays are ends of jobs that are not known yet.
	unclaimedEnds map[string][]unclaimedEnd
	// taken numbers the batches of changes, committed the last durable one.
	lastBatch      uint64
	committedBatch uint64
	inFlight       *pendingBatch

	orders     []Order
	logEntries []LogEntry
	// stirred tells that something changed on which placements depend.
	passNeeded bool
	// decided is when the last pass over what waits was made; passGap is the
	// least time to the next, which grows with the backlog.
	lastPass clock.Time
	passGap  clock.Span
	// fresh are the short steps whose turn has come since the last pass.
	newlyReady     []*step
	startsInFlight int // starts under way
	// turns are left to overdue tasks of those given at turnsAt.
	overdueTurns   int
	overdueTurnsAt clock.Time
	// askers is how many questions can be put to the adviser at a time, asking how
	// many are.
	adviceLimit    int
	adviceInFlight int
	// handingOver tells that the owner is about to give the cell up.
	handingOver bool
	// inheritanceNoted tells that the log says from when on inherited tasks may
	// be started.
	inheritanceLogged bool
	// fenced tells that another owner gave orders under a higher epoch.
	fenced bool
	ticked clock.Time
	stats  Stats
}

// leaseLongest bounds leases: tasks of a zone that is cut off run on for as long,
// and tasks of a lost worker start elsewhere only after it.
const maxLease = 6500 * clock.Millisecond

// Stats counts decisions since this owner took over.
type Stats struct {
	Started   int
	Completed int
	Failed    int
	Lapsed    int
	Evicted   int
	Throttled int
}

// New returns a Planner without jobs and workers.
func New(opts Options) *Planner {
	opts.LeaseMax = min(opts.LeaseMax, maxLease)
	return &Planner{
		opts:          opts,
		jobs:          map[string]*job{},
		active:        map[string]*job{},
		workers:       map[string]*worker{},
		largest:       map[string][]document.Size{},
		random:        rand.New(rand.NewPCG(opts.Seed, opts.Seed+1)),
		images:        newInterference(),
		pools:         map[string]*poolUsage{},
		dirty:         map[string]*job{},
		recordsToDrop: map[string]bool{},
		unclaimedEnds: map[string][]unclaimedEnd{},
	}
}

// Handle takes one message at the time.
func (p *Planner) Handle(now clock.Time, msg Message) {
	switch m := msg.(type) {
	case Configured:
		p.configure(m.Operations)
	case Submitted:
		p.submit(now, m)
	case Cancelled:
		p.cancel(now, m.Job)
	case WorkerListed:
		p.workerListed(now, m.Worker)
	case WorkerInherited:
		p.workerInherited(now, m)
	case WorkerUnlisted:
		p.workerUnlisted(now, m.Worker)
	case Renewed:
		p.renewed(now, m)
	case RenewFailed:
		p.renewFailed(now, m)
	case StartEnded:
		p.startEnded(now, m)
	case StopEnded:
		p.stopEnded(now, m)
	case AdviserSlots:
		p.adviceLimit = m.Count
		p.passNeeded = true
	case Advised:
		p.advised(now, m)
	case Committed:
		p.commit(now, m)
	case Ticked:
		p.ticked = now
		p.passNeeded = true
	}
}

// Decide lets the time act and places what waits. It is called after each run of
// messages.
func (p *Planner) Decide(now clock.Time) {
	p.expireLeases(now)
	if p.passNeeded && now.Sub(p.lastPass) >= p.passGap {
		p.passNeeded = false
		p.lastPass = now
		p.dropReservations(now)
		p.updateColocation(now)
		p.throttleBestEffort(now)
		p.regroup(now)
		p.assign(now)
		p.speculate(now)
	} else {
		p.assignReadyShortSteps(now)
	}
	p.renewLeases(now)
}

// Pending reports whether a pass over what waits is due soon, so that Decide has
// to be called though no message comes.
func (p *Planner) Pending() bool { return p.passNeeded }

func (p *Planner) configure(ops document.Operations) {
	p.passNeeded = true
	p.ops = ops
	for _, j := range p.active {
		if q, ok := ops.Queue(j.spec.Queue); ok {
			j.setQueue(q)
		}
	}
}

func (p *Planner) order(o Order) { p.orders = append(p.orders, o) }

// TakeOrders returns the orders given since the last call.
func (p *Planner) TakeOrders() []Order {
	orders := p.orders
	p.orders = nil
	return orders
}

func (p *Planner) log(n LogEntry) { p.logEntries = append(p.logEntries, n) }

// TakeLog returns the notes made since the last call.
func (p *Planner) TakeLog() []LogEntry {
	notes := p.logEntries
	p.logEntries = nil
	return notes
}

// Fenced reports whether a worker has seen a higher epoch than this owner's.
func (p *Planner) Fenced() bool { return p.fenced }

// Stats returns the counts since this owner took over.
func (p *Planner) Stats() Stats { return p.stats }

// Summary is the state of the cell in a few numbers. Processors are in whole
// ones.
type Summary struct {
	Jobs       int // that are not over
	Waiting    int // tasks whose turn has come
	Running    int
	BestEffort int // best-effort tasks that work
	Throttled  int // best-effort tasks that stand still
	OverTarget int // serving tasks over their targets
	Starting   int // starts under way
	Workers    int // that may be given starts
	Capacity   int
	Reserved   int
	Idle       int // processors that nothing is expected to use
}

// Summary sums the cell up.
func (p *Planner) Summary(now clock.Time) Summary {
	sum := Summary{
		Jobs:     len(p.active),
		Starting: p.startsInFlight,
	}
	for _, j := range p.active {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.unmetDependencies > 0 || s.open == 0 || o.scheduledAt.After(now) {
					continue
				}
				for _, t := range s.tasks {
					if t.waiting(now) {
						sum.Waiting++
					}
				}
			}
		}
	}
	for _, w := range p.fleet {
		sum.addRuns(w)
		if !p.usable(now, w) {
			continue
		}
		sum.Workers++
		sum.Capacity += w.info.Capacity.Processors / milliScale
		sum.Reserved += w.reserved.Processors / milliScale
		sum.Idle += max(int(p.idleProcessors(w)), 0) / milliScale
	}
	return sum
}

func (s *Summary) addRuns(w *worker) {
	s.Running += len(w.runs)
	for _, r := range w.runs {
		switch {
		case r.overTargetSince != 0:
			s.OverTarget++
		case r.bestEffort() && r.speed == 0:
			s.Throttled++
		case r.bestEffort():
			s.BestEffort++
		}
	}
}
