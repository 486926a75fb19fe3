// Package server runs the scheduler of staged jobs on an entry VM: the door for
// callers, the readiness probe, the follower of what operators ask for, and the
// conductor that owns the cell when it can.
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
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

// Error is the class of this package's errors.
var Error = errs.Class("server")

// Options say with what a Server works.
type Options struct {
	Conductor *conductor.Conductor
	Store     table.Store
	VM        string
	Zone      string
	// Handler answers callers.
	Handler http.Handler
	// OperationsTable is where operators write, and Update takes changed rows of
	// it, returning the faults of rows that can't be read.
	OperationsTable string
	Update          func(rows []table.Row) []error
	CallerListener  net.Listener
	ProbeListener   net.Listener
	// Metrics is served beside the readiness probe.
	Metrics  http.Handler
	LameDuck clock.Span
	Clock    clock.Clock
	Log      *slog.Logger
	Scope    tally.Scope
}

const (
	followWait = 1 * clock.Second
	// readyAge is how long ago the platform's table must have answered for this
	// VM to take callers.
	readyAge = 2500 * clock.Millisecond

	headerWithin = 3 * time.Second
	bodyWithin   = 5 * time.Second
	idleWithin   = 60 * time.Second
	headerBytes  = 16 << 10

	// finishWithin is how long requests in progress go on after the lame duck
	// period, and refuseWithin how long the answers of the others then take.
	finishWithin = 1500 * time.Millisecond
	refuseWithin = 1 * time.Second
)

// Server is one entry VM.
type Server struct {
	opts     Options
	mirror   *mirror.Mirror
	mu       sync.Mutex
	stopping bool
}

// New returns a Server.
func New(opts Options) *Server {
	s := &Server{opts: opts}
	s.mirror = mirror.New(opts.Store, mirror.Options{
		Table:   opts.OperationsTable,
		Wait:    followWait,
		Clock:   opts.Clock,
		Log:     opts.Log,
		Deliver: s.update,
	})
	return s
}

func (s *Server) update(rows []table.Row) {
	for _, row := range rows {
		s.opts.Log.Info("operations-changed", "key", row.Key, "version", row.Version, "removed", row.Removed)
	}
	for _, fault := range s.opts.Update(rows) {
		s.opts.Log.Error("operations-unreadable", "error", fault.Error())
	}
}

// Run serves until ctx ends. It then reports itself not ready, gives the cell
// up, goes on serving for the lame duck period, and lets requests in progress
// end.
func (s *Server) Run(ctx context.Context) error {
	s.opts.Log.Info("start", "vm", s.opts.VM, "zone", s.opts.Zone)
	callers := drainer.New(&http.Server{
		Handler:           closer.New(s.opts.Handler, s.isStopping),
		ReadHeaderTimeout: headerWithin,
		ReadTimeout:       bodyWithin,
		IdleTimeout:       idleWithin,
		MaxHeaderBytes:    headerBytes,
	})
	probes := &http.Server{
		Handler:           s.probes(),
		ReadHeaderTimeout: headerWithin,
	}
	var group sync.WaitGroup
	duties, stop := context.WithCancel(context.Background())
	defer stop()
	group.Go(func() { s.mirror.Run(duties) })
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

// stop is a planned stop: new callers stay away first, then those in progress are
// served to their ends, and those that take too long are told what is known.
func (s *Server) stop(callers *drainer.Drainer, probes *http.Server) {
	s.opts.Log.Info("stopping", "lame-duck-ms", int64(s.opts.LameDuck))
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	time.Sleep(s.opts.LameDuck.Duration())
	if !callers.Drain(finishWithin, refuseWithin, result.New(result.ShuttingDown, "this VM is stopping")) {
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

// isReady reports whether this VM should get callers.
func (s *Server) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	confirmed := s.mirror.Confirmed()
	return !s.stopping && confirmed != 0 && s.opts.Clock.Now().Sub(confirmed) < readyAge
}
