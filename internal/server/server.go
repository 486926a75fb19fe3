// Package server runs the scheduler of staged jobs on an entry VM: the HTTP server for
// callers, the readiness probe, the mirror of the operators' table, and the conductor,
// which owns the cell whenever it can.
//
// # Usage
//
//	s := server.New(server.Options{VM: "entry-1", Store: store, Conductor: c, ...})
//	err := s.Run(ctx) // until ctx ends, then a lame duck period
package server

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"marjoramstack/internal/closer"
	"marjoramstack/internal/conductor"
	"marjoramstack/internal/drainer"
	"marjoramstack/internal/mirror"
	"marjoramstack/internal/rationer"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

// Error is the class of this package's errors.
var Error = errs.Class("server")

// Options identify a VM and hold the dependencies of its Server.
type Options struct {
	Conductor *conductor.Conductor
	Store     table.Store
	VM        string
	Zone      string
	// Handler handles the requests of callers.
	Handler http.Handler
	// OperationsTable is the table to which operators write. Update applies changed
	// rows of it and returns an error for each row that can't be read.
	OperationsTable string
	Update          func(rows []table.Row) []error
	// Operations returns the configuration after Update; ok is false while there is none.
	Operations func() (ops document.Operations, ok bool)
	// CallerListener is for requests of callers, ProbeListener for the readiness probe
	// and the conductor's own paths.
	CallerListener net.Listener
	ProbeListener  net.Listener
	// Reporter reports what clients take.
	Reporter *rationer.Reporter
	// Metrics is served on ProbeListener, like the readiness probe.
	Metrics  http.Handler
	LameDuck clock.Span
	Clock    clock.Clock
	Log      *slog.Logger
	Scope    tally.Scope
}

const (
	operationsWait = 1 * clock.Second
	// maxStoreAge is the maximum time since the last confirmed read of the platform's
	// table for this VM to count as ready.
	maxStoreAge = 2500 * clock.Millisecond

	headerTimeout = 3 * time.Second
	readTimeout   = 5 * time.Second
	// writeTimeout is how long a client may take to read a response, from when its
	// request has arrived.
	writeTimeout   = 15 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10

	// finishTimeout is how long requests in progress may continue after the lame
	// duck period. The remaining ones are then cancelled and have cancelTimeout to
	// be answered.
	finishTimeout = 1500 * time.Millisecond
	cancelTimeout = 1 * time.Second
)

// Server runs the scheduler of staged jobs on one entry VM.
type Server struct {
	opts     Options
	mirror   *mirror.Mirror
	mu       sync.Mutex
	stopping bool
}

// New returns a Server that starts to serve when Run is called.
func New(opts Options) *Server {
	s := &Server{opts: opts}
	s.mirror = mirror.New(opts.Store, mirror.Options{
		Table:   opts.OperationsTable,
		Wait:    operationsWait,
		Clock:   opts.Clock,
		Log:     opts.Log,
		Deliver: s.applyOperations,
	})
	return s
}

func (s *Server) applyOperations(rows []table.Row) {
	for _, row := range rows {
		s.opts.Log.Info("operations-changed", "key", row.Key, "version", row.Version, "removed", row.Removed)
	}
	before, _ := s.opts.Operations()
	for _, fault := range s.opts.Update(rows) {
		s.opts.Log.Error("operations-unreadable", "error", fault.Error())
	}
	after, _ := s.opts.Operations()
	s.logKeys(before, after)
}

// logKeys logs how many keys a new version of the configuration adds and withdraws on this VM.
func (s *Server) logKeys(before, after document.Operations) {
	added, withdrawn := countKeyChanges(before.KeyOwners, after.KeyOwners)
	if added+withdrawn == 0 && before.KeysRequired == after.KeysRequired {
		return
	}
	s.opts.Log.Info("keys-changed", "version", after.Version, "required", after.KeysRequired, "customers", len(after.Customers), "keys", len(after.KeyOwners), "added", added, "withdrawn", withdrawn)
	s.opts.Scope.Gauge("keys").Update(float64(len(after.KeyOwners)))
}

// countKeyChanges counts the keys that are new or belong to another customer than before, and
// those that are gone.
func countKeyChanges(before, after map[document.KeyDigest]string) (added, withdrawn int) {
	for key, owner := range after {
		if before[key] != owner {
			added++
		}
	}
	for key := range before {
		if _, ok := after[key]; !ok {
			withdrawn++
		}
	}
	return added, withdrawn
}

// Run serves until ctx ends. It then reports itself as not ready, releases the cell,
// continues to serve for the lame duck period and lets requests in progress finish.
func (s *Server) Run(ctx context.Context) error {
	s.opts.Log.Info("start", "vm", s.opts.VM, "zone", s.opts.Zone)
	callers := drainer.New(&http.Server{
		Handler:           closer.New(s.opts.Handler, s.isStopping),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	})
	probes := &http.Server{
		Handler:           s.probes(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	var group sync.WaitGroup
	mirrorCtx, stop := context.WithCancel(context.Background())
	defer stop()
	group.Go(func() { s.mirror.Run(mirrorCtx) })
	group.Go(func() { s.opts.Reporter.Run(mirrorCtx) })
	group.Go(func() { s.opts.Conductor.Run(ctx) })
	failed := make(chan error, 2)
	group.Go(func() { failed <- callers.Serve(s.opts.CallerListener) })
	group.Go(func() { failed <- probes.Serve(s.opts.ProbeListener) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	s.stop(callers, probes)
	stop()
	group.Wait()
	s.opts.Log.Info("stop", "vm", s.opts.VM)
	return Error.Wrap(err)
}

// stop shuts the servers down in steps. After the lame duck period, which lets the load
// balancer send new callers elsewhere, it lets requests in progress finish. It then
// cancels the remaining ones, so that they are answered with what is known of them.
func (s *Server) stop(callers *drainer.Drainer, probes *http.Server) {
	s.opts.Log.Info("stopping", "lame-duck-ms", int64(s.opts.LameDuck))
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	time.Sleep(s.opts.LameDuck.Duration())
	if !callers.Drain(finishTimeout, cancelTimeout, result.New(result.ShuttingDown, "this VM is stopping")) {
		s.opts.Log.Warn("requests-cut")
	}
	if err := probes.Close(); err != nil {
		s.opts.Log.Warn("probes-not-closed", "error", err.Error())
	}
}

func (s *Server) probes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !s.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("/metrics", s.opts.Metrics)
	mux.Handle(conductor.OwnerPath, s.opts.Conductor)
	mux.HandleFunc(conductor.AdvicePath, s.opts.Conductor.ServeAdvice)
	return mux
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// ConfigurationAge returns the time since the operators' table was last known to be read up to
// date.
func (s *Server) ConfigurationAge() clock.Span {
	return s.opts.Clock.Now().Sub(s.mirror.Confirmed())
}

// isReady reports whether this VM should receive requests of callers.
func (s *Server) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	confirmed := s.mirror.Confirmed()
	return !s.stopping && confirmed != 0 && s.opts.Clock.Now().Sub(confirmed) < maxStoreAge
}
