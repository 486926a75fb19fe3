// Package planner places the tasks of jobs, which consist of steps, on the workers
// of a cell.
//
// A Planner is a deterministic state machine: its inputs are typed messages and the
// time, its outputs are orders for workers, changes to make durable and log entries.
// It does no I/O and reads no clock, so replaying recorded messages yields the same
// decisions. Package conductor drives it.
//
// Safety rests on these rules:
//
//   - A task gets another attempt only when every earlier one has certainly ended:
//     the worker reported its end, the worker restarted, a stop was acknowledged or
//     the start's deadline passed before the start arrived, or the worker's lease
//     has expired on the slowest clock allowed.
//   - Every attempt that may still be running counts against the worker's capacity.
//   - A worker forgets an end only after the resulting change is durable; until then
//     it reports the end in every renewal, also to the next owner.
//   - A worker in the owner's own zone gets a start only after a durable record
//     names the task. Starts on other workers are not recorded in advance, only the
//     worker is. A new owner sends its higher epoch to every worker and reads the
//     reports; a task that an earlier owner may have started waits until all workers
//     whose record does not list their tasks have answered, or until every lease of
//     the earlier owner has expired.
//
// # Usage
//
//	p := planner.New(planner.Options{Epoch: 7, LeaseMax: 6 * clock.Second})
//	p.Handle(now, planner.Submitted{Job: job})
//	p.Decide(now)
//	for _, order := range p.TakeOrders() { ... } // then StartEnded, Renewed, ...
//	batch, ok := p.TakeChanges(60)               // make durable, then Committed
package planner

import (
	"math/rand/v2"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Options configure a Planner for one cell and one owner.
type Options struct {
	// Epoch is the fencing token of this owner's orders; each new owner has a higher
	// one.
	Epoch uint64
	// Zone is the availability zone of the owner.
	Zone string
	// Takeover is the time from which no earlier owner sends orders.
	Takeover clock.Time
	// LeasesSince is the epoch from which on all earlier owners have kept to the recorded
	// rest of leases, 0 if the last one did not. LeaseBase is a time at which all of their
	// records had been written.
	LeasesSince uint64
	LeaseBase   clock.Time
	// LeaseMax is the longest lease that workers grant.
	LeaseMax clock.Span
	// StopGrace is the maximum time that a worker takes to stop an attempt.
	StopGrace clock.Span
	// RackFactor, in thousandths, is how much longer a task takes on another rack
	// than its data or its gang.
	RackFactor int
	// UnavailableFor is how long a task that does not run counts as unavailable.
	UnavailableFor clock.Span
	// HarmAfter is how long a task may miss its tail target because of interference
	// by best-effort tasks.
	HarmAfter clock.Span
	Seed      uint64
}

// Planner holds the state of one cell under one owner. It is not safe for
// concurrent use.
type Planner struct {
	opts Options
	// longestLease is the longest lease that workers grant. This owner asks for
	// opts.LeaseMax at most.
	longestLease clock.Span
	ops          document.Operations
	jobs         map[string]*job
	active       map[string]*job
	// activeJobs holds the jobs of active, sorted by identifier.
	activeJobs []*job
	workers    map[string]*worker
	fleet      []*worker // sorted by identifier
	// toRenew holds the workers without a renewal in flight, sorted by identifier; it may
	// hold others. None of their renewals is due before nextRenewal.
	toRenew     []*worker
	nextRenewal clock.Time
	// nextExpiry is a time up to which no lease expires and no worker is to be dropped.
	nextExpiry clock.Time
	// recordsCurrent is true if the record of every worker is as it should be. It may be
	// false although that is so.
	recordsCurrent bool
	random         *rand.Rand
	// largest holds, by pool, the largest worker capacities seen so far.
	largestCapacities map[string][]document.Size

	interferenceModel *interference

	// customers are by name, and in the order in which they came up. unrated are the jobs whose arrival has not been compared with
	// the agreed rate of their customer yet.
	customers     map[string]*customer
	customerOrder []*customer
	unrated       []*job
	// contended is true if the last pass left steps for want of workers.
	contended bool
	// lendings is what the pass may still start of work above the agreed rates, by pool.
	// latestArrivals are the customers that submitted jobs last, the last one first.
	lendings       map[string]*lending
	latestArrivals [2]*customer
	// bestEffortWaitLoggedAt is when the reason for which a best-effort step waits was last
	// logged.
	bestEffortWaitLoggedAt clock.Time

	pools       map[string]*poolUsage
	colocation  colocation
	regroupedAt clock.Time
	// speculatedAt is when stragglers were last looked for.
	speculatedAt clock.Time
	// ranking rates the workers for the step whose tasks are being placed.
	// examinations counts how often a worker was examined for a task.
	ranking      ranking
	examinations int

	dirty map[string]*job
	// recordsToDrop names workers whose records are to be deleted.
	recordsToDrop map[string]bool
	// jobsRead is true once every job that an earlier owner can have started is known.
	jobsRead bool
	// unclaimedEnds holds ends of attempts of unknown jobs, by job, until jobsRead.
	unclaimedEnds map[string][]unclaimedEnd
	// lastBatch is the number of the latest batch of changes, committedBatch that of
	// the latest durable one.
	lastBatch      uint64
	committedBatch uint64
	inFlight       *pendingBatch

	orders     []Order
	logEntries []LogEntry
	// takenOrders and takenLog are what TakeOrders and TakeLog returned last, whose memory
	// is used again.
	takenOrders []Order
	takenLog    []LogEntry
	// passNeeded is set when anything changes that affects placement.
	passNeeded bool
	// lastPass is the time of the last pass over the waiting tasks; passInterval is the
	// minimum time until the next, which grows with the backlog.
	lastPass     clock.Time
	passInterval clock.Span
	// newlyReady holds the short steps that became ready since the last pass.
	newlyReady []*step
	// deferred holds the steps that the last pass left because of the start limit, in
	// placement order. unplaced holds, for each group of steps, the smallest demand that
	// fitted on no worker since the last pass.
	deferred []*step
	unplaced map[placementKey]document.Size
	starts   startLimiter
	// overdueTurns is how many overdue tasks may still be placed ahead of short ones
	// in the interval that began at overdueTurnsAt.
	overdueTurns   int
	overdueTurnsAt clock.Time
	// adviceLimit is how many calls to the adviser may be in flight, adviceInFlight how
	// many are.
	adviceLimit    int
	adviceInFlight int
	// handingOver is true once the owner is about to give up the cell.
	handingOver bool
	// allKnown is true once every attempt of an earlier owner is known or has ended.
	allKnown bool
	// allRead is true once no worker that an earlier owner used is unread.
	allRead bool
	// restartNoticedAt is when a worker was last noticed to have restarted under its
	// identifier.
	restartNoticedAt clock.Time
	// fenced is true once a worker has seen a higher epoch.
	fenced bool
	ticked clock.Time
	// silentWorkers is how many workers were silent when records were last written.
	silentWorkers int
	// latest is the time of the latest message or decision.
	latest clock.Time
	stats  Stats
}

// maxLease bounds leases: tasks in a partitioned zone keep running for that long, and
// tasks of a lost worker start elsewhere only after it.
const maxLease = 6500 * clock.Millisecond

// Stats counts decisions and ends since this owner took over.
type Stats struct {
	Started   int
	Completed int
	Failed    int
	Lapsed    int
	Evicted   int
	Throttled int
	// Passes counts the passes over the waiting tasks, Refused the starts that were not
	// carried out or not answered.
	Passes  int
	Refused int
}

// New returns a Planner without jobs or workers.
func New(opts Options) *Planner {
	longestLease := opts.LeaseMax
	opts.LeaseMax = min(opts.LeaseMax, maxLease)
	return &Planner{
		opts:              opts,
		longestLease:      longestLease,
		jobs:              map[string]*job{},
		active:            map[string]*job{},
		workers:           map[string]*worker{},
		largestCapacities: map[string][]document.Size{},
		random:            rand.New(rand.NewPCG(opts.Seed, opts.Seed+1)),
		interferenceModel: newInterference(),
		pools:             map[string]*poolUsage{},
		customers:         map[string]*customer{},
		lendings:          map[string]*lending{},
		dirty:             map[string]*job{},
		recordsToDrop:     map[string]bool{},
		unclaimedEnds:     map[string][]unclaimedEnd{},
		nextRenewal:       never,
		nextExpiry:        never,
		starts:            newStartLimiter(),
	}
}

// Handle processes one message at the given time.
func (p *Planner) Handle(now clock.Time, msg Message) {
	p.latest = now
	switch m := msg.(type) {
	case Configured:
		p.configure(m.Operations)
	case Submitted:
		p.submit(now, m)
	case JobsRead:
		p.readJobs()
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

// Decide expires leases, places waiting tasks if a pass is due, and orders the
// renewals that are due. The caller calls it after each group of messages.
func (p *Planner) Decide(now clock.Time) {
	p.latest = now
	p.updateInheritance(now)
	p.expireLeases(now)
	if p.passNeeded && now.Sub(p.lastPass) >= p.passInterval {
		p.passNeeded = false
		p.lastPass = now
		p.stats.Passes++
		p.dropReservations(now)
		p.updateColocation(now)
		p.throttleBestEffort(now)
		p.regroup(now)
		p.assign(now)
		p.speculateIfDue(now)
	} else {
		p.assignReadyShortSteps(now)
		p.assignDeferred(now)
	}
	p.renewLeases(now)
}

// Pending reports whether a placement pass is due soon, so that Decide has to be
// called even if no message arrives.
func (p *Planner) Pending() bool { return p.passNeeded }

func (p *Planner) configure(ops document.Operations) {
	p.passNeeded = true
	p.recordsCurrent = false
	p.ops = ops
	p.configureCustomers()
	for _, j := range p.active {
		if q, ok := ops.Queue(j.spec.Queue); ok {
			j.setQueue(q)
		}
	}
}

func (p *Planner) order(o Order) { p.orders = append(p.orders, o) }

// TakeOrders returns the orders issued since the last call. The result is valid until the
// next call.
func (p *Planner) TakeOrders() []Order {
	orders := p.orders
	p.orders = p.takenOrders[:0]
	p.takenOrders = orders
	return orders
}

func (p *Planner) log(n LogEntry) { p.logEntries = append(p.logEntries, n) }

// TakeLog returns the log entries added since the last call. The result is valid until the
// next call.
func (p *Planner) TakeLog() []LogEntry {
	entries := p.logEntries
	p.logEntries = p.takenLog[:0]
	p.takenLog = entries
	return entries
}

// Fenced reports whether a worker has seen a higher epoch than this owner's.
func (p *Planner) Fenced() bool { return p.fenced }

// StartLimit returns how many starts may be in flight.
func (p *Planner) StartLimit() int { return int(p.starts.limit) }

// Stats returns the counts since this owner took over.
func (p *Planner) Stats() Stats { return p.stats }
