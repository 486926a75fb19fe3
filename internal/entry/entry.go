// Package entry assembles an entry VM: the HTTP servers for callers and operators,
// the dispatcher of requests, the ledger of orders, the owners of cells, the
// follower of the configuration and the connections to the other entry VMs.
//
// All entry VMs run the same code. An entry VM takes what it needs for its start
// from its settings and keeps durable state in the platform. It reads everything
// else from the platform or, while the platform is down, from its peers.
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
	tickInterval          = 50 * time.Millisecond
	sweepInterval         = 1 * time.Second
	minLedgerInterval     = 10 * clock.Millisecond
	ledgerIntervalPerPeer = 4 * clock.Millisecond
	drainTimeout          = 20 * time.Second
	readHeaderTimeout     = 5 * time.Second
	defaultLameDuck       = 1 * time.Second
)

// Settings identify an entry VM and hold its listeners. Platform and Peers are
// addresses of the form IP:port.
type Settings struct {
	VM       string
	Zone     string
	Platform string
	Peers    []string
	Caller   net.Listener
	Operator net.Listener
	Peer     net.Listener
	// LameDuck is how long a leaving entry VM continues to serve new requests, so
	// that the load balancer can notice that it is not ready; 0 means one second.
	LameDuck time.Duration
}

// Entry is a running entry VM. It implements operator.Backend and peer.Handler.
type Entry struct {
	settings   Settings
	id         string
	clock      *clock.Wall
	log        *logger.Logger
	meter      *meter.Meter
	platform   *platform.Client
	follower   *follower.Follower
	fleet      *fleetCache
	dispatcher *dispatcher.Dispatcher
	ledger     *ledger.Ledger
	mesh       *peer.Mesh
	configurer *configurer.Configurer
	cells      *cellManager
	leaving    atomic.Bool
	aborted    chan struct{}
	abortOnce  sync.Once
	fetching   atomic.Bool
	// confirmed is when the last successful read of the configuration was sent.
	confirmed atomic.Int64
}

// New returns an entry VM that starts to serve when Run is called.
func New(settings Settings, log *logger.Logger) *Entry {
	if settings.LameDuck == 0 {
		settings.LameDuck = defaultLameDuck
	}
	wall := clock.NewWall()
	e := &Entry{
		settings: settings,
		id:       fmt.Sprintf("%s.%x", settings.VM, int64(wall.Now())),
		clock:    wall,
		log:      log,
		meter:    meter.New("marjoram"),
		platform: platform.NewClient(settings.Platform, platform.Options{}),
		follower: follower.New(),
		aborted:  make(chan struct{}),
	}
	e.fleet = newFleetCache(e.platform, log.Logger)
	e.configurer = configurer.New(e.platform, wall)
	e.mesh = peer.NewMesh(peer.Options{
		Self:    e.self(),
		Seeds:   settings.Peers,
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
	e.cells = newCellManager(e, worker.NewClient())
	e.follower.Subscribe(e.configChanged)
	return e
}

func (e *Entry) lastConfirmed() clock.Time { return clock.Time(e.confirmed.Load()) }

func (e *Entry) self() peer.Member {
	return peer.Member{
		ID:      e.id,
		Zone:    e.settings.Zone,
		Address: e.settings.Peer.Addr().String(),
	}
}

// ID returns the member identifier, which contains the start time and so differs
// after each start.
func (e *Entry) ID() string { return e.id }

// ledgerInterval returns the interval between two ledger transactions. It grows
// with the number of peers, so that the transactions of all entry VMs together stay
// within the rate that the platform's table supports.
func (e *Entry) ledgerInterval() clock.Span {
	return minLedgerInterval + ledgerIntervalPerPeer*clock.Span(len(e.mesh.Peers()))
}

// Run serves until ctx ends and then shuts down gracefully: it notifies the peers and
// the load balancer, releases its cells and finishes the requests in progress.
func (e *Entry) Run(ctx context.Context) error {
	loopCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	start := func(loop func(context.Context)) {
		group.Add(1)
		go func() {
			defer group.Done()
			loop(loopCtx)
		}()
	}
	start(e.mesh.Run)
	start(e.followLoop)
	start(e.fleetLoop)
	start(e.tickLoop)
	start(e.sweepLoop)
	start(e.pressureLoop)
	start(e.settleLoop)
	start(e.ledger.Run)
	start(e.ledger.Repair)
	start(e.registrar().Run)
	start(e.cells.run)
	failed := make(chan error, 3)
	callers := e.callerServer()
	operators := e.operatorServer()
	go func() { failed <- e.mesh.Serve(e.settings.Peer) }()
	go func() { failed <- callers.Serve(e.settings.Caller) }()
	go func() { failed <- operators.Serve(e.settings.Operator) }()
	e.log.Info("started", "vm", e.id, "zone", e.settings.Zone,
		"caller", e.settings.Caller.Addr().String(),
		"operator", e.settings.Operator.Addr().String(),
		"peer", e.settings.Peer.Addr().String())
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

// Abort ends Run as a crash would: it closes all connections, releases nothing and
// writes nothing more. It is for demonstrations and tests.
func (e *Entry) Abort() { e.abortOnce.Do(func() { close(e.aborted) }) }

// shutdown stops serving callers in steps. It reports itself as leaving and not ready
// at once. After the lame duck period, which lets the load balancer and the peers
// react, it accepts no more connections and waits for the requests in progress.
func (e *Entry) shutdown(callers *drainer.Drainer) {
	e.log.Info("leaving", "vm", e.id)
	e.leaving.Store(true)
	e.mesh.HeartbeatNow()
	time.Sleep(e.settings.LameDuck)
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
			Class:  e.lookupClass,
			Clock:  e.clock,
			Name:   e.id,
		}), e.leaving.Load),
		MaxHeaderBytes:    caller.ServerHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
	})
}

func (e *Entry) operatorServer() *http.Server {
	return &http.Server{
		Handler:           operator.New(e, e.meter),
		ReadHeaderTimeout: readHeaderTimeout,
	}
}

// lookupClass returns a class of the configuration. ready is false if there is no
// configuration yet.
func (e *Entry) lookupClass(name string) (class document.Class, ok, ready bool) {
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
		Seen:   e.addMembers,
		Silent: e.silentMembers,
		Gone:   e.removeMember,
		DeadAfter: func() clock.Span {
			if snap := e.follower.Current(); snap != nil {
				return limiter.DeadAfter + snap.Document().LongestAnswer()
			}
			return limiter.DeadAfter
		},
	})
}

func (e *Entry) addMembers(members []peer.Member) {
	e.mesh.Learn(members)
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	e.dispatcher.WithSharer(func(s *limiter.Sharer) { s.Join(ids) })
}

func (e *Entry) silentMembers(timeout clock.Span) []string {
	var ids []string
	e.dispatcher.WithSharer(func(s *limiter.Sharer) { ids = s.Silent(e.clock.Now(), timeout) })
	return ids
}

func (e *Entry) removeMember(id string) {
	e.dispatcher.WithSharer(func(s *limiter.Sharer) { s.Remove(id) })
	e.mesh.Forget(id)
	e.mesh.HeartbeatNow()
}

// tickLoop calls the dispatcher's Tick with the current peers.
func (e *Entry) tickLoop(ctx context.Context) {
	every(ctx, tickInterval, func() { e.dispatcher.Tick(e.routerPeers()) })
}

func (e *Entry) sweepLoop(ctx context.Context) {
	every(ctx, sweepInterval, e.dispatcher.Sweep)
}

// every calls fn at once and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, fn func()) {
	ticker := time.NewTicker(interval)
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
