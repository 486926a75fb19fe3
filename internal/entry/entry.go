// Package entry assembles an entry VM: the callers' and operators' doors, the
// dispatcher of requests, the ledger of orders, the owners of cells, the
// follower of the configuration and the links to the other entry VMs.
//
// All entry VMs are alike. What one needs to start it is told in its settings;
// what must last it keeps in the platform; everything else it learns from the
// platform or, while that is down, from its peers.
//
// # Usage
//
//	e, err := entry.New(entry.Settings{...}, log)
//	err = e.Run(ctx) // until ctx ends, then a graceful shutdown
package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"marjoramstack/internal/caller"
	"marjoramstack/internal/closer"
	"marjoramstack/internal/configurer"
	"marjoramstack/internal/dispatcher"
	"marjoramstack/internal/drainer"
	"marjoramstack/internal/follower"
	"marjoramstack/internal/ledger"
	"marjoramstack/internal/limiter"
	"marjoramstack/internal/logger"
	"marjoramstack/internal/meter"
	"marjoramstack/internal/operator"
	"marjoramstack/internal/peer"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/registrar"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

// Error is the class of this package's errors.
var Error = errs.Class("entry")

const (
	tickEvery       = 50 * time.Millisecond
	sweepEvery      = 1 * time.Second
	ledgerLeast     = 10 * clock.Millisecond
	ledgerPerMember = 4 * clock.Millisecond
	drainTimeout    = 20 * time.Second
	readHeaderLimit = 5 * time.Second
	lameDuck        = 1 * time.Second
)

// Settings say who an entry VM is and where it listens. Addresses are IP number
// and port.
type Settings struct {
	VM       string
	Zone     string
	Platform string
	Peers    []string
	Caller   net.Listener
	Operator net.Listener
	Peer     net.Listener
	// LameDuck is how long a leaving entry VM goes on serving so that the
	// balancer can notice; 0 means one second.
	LameDuck time.Duration
}

// Entry is an entry VM.
type Entry struct {
	set        Settings
	id         string
	clock      *clock.Wall
	log        *logger.Logger
	meter      *meter.Meter
	platform   *platform.Client
	follower   *follower.Follower
	fleet      *fleetKeeper
	dispatcher *dispatcher.Dispatcher
	ledger     *ledger.Ledger
	mesh       *peer.Mesh
	configurer *configurer.Configurer
	cells      *cellKeeper
	leaving    atomic.Bool
	aborted    chan struct{}
	abortOnce  sync.Once
	fetching   atomic.Bool
	confirmed  atomic.Int64
}

// New returns an entry VM that is not running yet.
func New(set Settings, log *logger.Logger) *Entry {
	if set.LameDuck == 0 {
		set.LameDuck = lameDuck
	}
	wall := clock.NewWall()
	e := &Entry{
		set:      set,
		id:       fmt.Sprintf("%s.%x", set.VM, int64(wall.Now())),
		clock:    wall,
		log:      log,
		meter:    meter.New("marjoram"),
		platform: platform.NewClient(set.Platform, platform.Options{}),
		follower: follower.New(),
		aborted:  make(chan struct{}),
	}
	e.fleet = newFleetKeeper(e.platform)
	e.configurer = configurer.New(e.platform, wall)
	e.mesh = peer.NewMesh(peer.Options{
		Self:    e.self(),
		Seeds:   set.Peers,
		Clock:   wall,
		Log:     log,
		Handler: e,
	})
	e.ledger = ledger.New(ledger.Options{
		Platform: e.platform,
		Holder:   e.id,
		Clock:    wall,
		Log:      log,
		Interval: e.ledgerInterval,
	})
	e.dispatcher = dispatcher.New(dispatcher.Options{
		Clock:     wall,
		Log:       log,
		Sharer:    limiter.NewSharer(e.id),
		Ledger:    e.ledger,
		Forwarder: e.mesh,
		Scope:     e.meter.Scope(),
		Seed:      uint64(wall.Now()),
	})
	e.cells = newCellKeeper(e, worker.NewClient())
	e.follower.Subscribe(e.configured)
	return e
}

func (e *Entry) lastConfirmed() clock.Time { return clock.Time(e.confirmed.Load()) }

func (e *Entry) self() peer.Member {
	return peer.Member{
		ID:      e.id,
		Zone:    e.set.Zone,
		Address: e.set.Peer.Addr().String(),
	}
}

// ID returns the identifier of this life of the entry VM.
func (e *Entry) ID() string { return e.id }

// ledgerInterval keeps the ledger's transactions of all entry VMs together
// within what the platform's table takes.
func (e *Entry) ledgerInterval() clock.Span {
	return ledgerLeast + ledgerPerMember*clock.Span(len(e.mesh.Peers()))
}

// Run serves until ctx ends and then shuts down gracefully: peers and the
// balancer are told, cells are given back, and requests in progress are
// finished.
func (e *Entry) Run(ctx context.Context) error {
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	start := func(duty func(context.Context)) {
		group.Add(1)
		go func() {
			defer group.Done()
			duty(duties)
		}()
	}
	start(e.mesh.Run)
	start(e.followLoop)
	start(e.fleetLoop)
	start(e.tickLoop)
	start(e.sweepLoop)
	start(e.pressLoop)
	start(e.settleLoop)
	start(e.ledger.Run)
	start(e.ledger.Repair)
	start(e.registrar().Run)
	start(e.cells.run)
	failed := make(chan error, 3)
	callers := e.callerServer()
	operators := e.operatorServer()
	go func() { failed <- e.mesh.Serve(e.set.Peer) }()
	go func() { failed <- callers.Serve(e.set.Caller) }()
	go func() { failed <- operators.Serve(e.set.Operator) }()
	e.log.Info("started", "vm", e.id, "zone", e.set.Zone,
		"caller", e.set.Caller.Addr().String(),
		"operator", e.set.Operator.Addr().String(),
		"peer", e.set.Peer.Addr().String())
	var err error
	select {
	case <-ctx.Done():
		e.shutdown(callers)
	case <-e.aborted:
		e.platform.Abort()
		e.mesh.Stop(false)
	case err = <-failed:
	}
	operators.Close()
	callers.Close()
	stop()
	group.Wait()
	e.mesh.Stop(err == nil)
	e.meter.Close()
	e.log.Info("stopped", "vm", e.id)
	return Error.Wrap(err)
}

// Abort ends Run as a crash would: connections are cut and nothing is given
// back or written any more. It is for demonstrations and tests.
func (e *Entry) Abort() { e.abortOnce.Do(func() { close(e.aborted) }) }

// shutdown leaves in steps: not ready and leaving at once; after a while for
// the balancer and the peers no new requests; then the end when those in
// progress are done.
func (e *Entry) shutdown(callers *drainer.Drainer) {
	e.log.Info("leaving", "vm", e.id)
	e.leaving.Store(true)
	e.mesh.HeartbeatNow()
	time.Sleep(e.set.LameDuck)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if !callers.Drain(drainTimeout, 0, result.New(result.ShuttingDown, "this entry VM is leaving")) {
		e.log.Warn("callers-cut-off")
	}
	if !e.dispatcher.Drain(ctx) {
		e.log.Warn("requests-cut-off", "vm", e.id)
	}
	e.dispatcher.WithSharer(func(s *limiter.Sharer) { s.Quit() })
}

func (e *Entry) callerServer() *drainer.Drainer {
	return drainer.New(&http.Server{
		Handler: closer.New(caller.New(caller.Options{
			Handle: e.dispatcher.Handle,
			Class:  e.class,
			Clock:  e.clock,
			Name:   e.id,
		}), e.leaving.Load),
		MaxHeaderBytes:    caller.ServerHeaderBytes,
		ReadHeaderTimeout: readHeaderLimit,
	})
}

func (e *Entry) operatorServer() *http.Server {
	return &http.Server{
		Handler:           operator.New(e, e.meter),
		ReadHeaderTimeout: readHeaderLimit,
	}
}

func (e *Entry) class(name string) (class document.Class, ok, ready bool) {
	snap := e.follower.Current()
	if snap == nil {
		return document.Class{}, false, false
	}
	class, ok = snap.Document().Class(name)
	return class, ok, true
}

func (e *Entry) registrar() *registrar.Registrar {
	return registrar.New(registrar.Options{
		Platform: e.platform,
		Self:     e.self(),
		Clock:    e.clock,
		Log:      e.log,
		Renewed: func(sent clock.Time) {
			e.dispatcher.WithSharer(func(s *limiter.Sharer) { s.Renewed(sent) })
		},
		Evicted: func() {
			e.dispatcher.WithSharer(func(s *limiter.Sharer) { s.Evicted(e.clock.Now()) })
		},
		Seen:   e.seen,
		Silent: e.silent,
		Gone:   e.gone,
		DeadAfter: func() clock.Span {
			if snap := e.follower.Current(); snap != nil {
				return limiter.DeadAfter + snap.Document().LongestAnswer()
			}
			return limiter.DeadAfter
		},
	})
}

func (e *Entry) seen(members []peer.Member) {
	e.mesh.Learn(members)
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	e.dispatcher.WithSharer(func(s *limiter.Sharer) { s.Join(ids) })
}

func (e *Entry) silent(span clock.Span) []string {
	var ids []string
	e.dispatcher.WithSharer(func(s *limiter.Sharer) { ids = s.Silent(e.clock.Now(), span) })
	return ids
}

func (e *Entry) gone(id string) {
	e.dispatcher.WithSharer(func(s *limiter.Sharer) { s.Remove(id) })
	e.mesh.Forget(id)
	e.mesh.HeartbeatNow()
}

// tickLoop lets time pass for the dispatcher and tells it of its peers.
func (e *Entry) tickLoop(ctx context.Context) {
	every(ctx, tickEvery, func() { e.dispatcher.Tick(e.routerPeers()) })
}

func (e *Entry) sweepLoop(ctx context.Context) {
	every(ctx, sweepEvery, e.dispatcher.Sweep)
}

// every calls fn at once and then in steps until ctx ends.
func every(ctx context.Context, step time.Duration, fn func()) {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		fn()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
