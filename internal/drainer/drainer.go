// Package drainer stops an http.Server so that each request it has read is answered.
//
// http.Server.Shutdown drops a request that it reads after it has been called, and
// closes a keep-alive connection on which part of a request has arrived. A Drainer
// accepts no more connections, closes those on which nothing has arrived since their
// last response, and serves the remaining ones until they close.
//
// # Usage
//
//	d := drainer.New(&http.Server{Handler: closer.New(handler, leaving)})
//	go d.Serve(listener) // until the listener is closed
//	...
//	complete := d.Drain(2*time.Second, time.Second, errStopping)
//
// While the server is drained, the handler must ask callers to close their connections,
// as package closer does. It must answer soon after a request's context is cancelled;
// context.Cause then returns the error passed to Drain.
package drainer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Drainer runs one http.Server and stops it gracefully.
type Drainer struct {
	server *http.Server
	// cancel cancels the contexts of all requests.
	cancel context.CancelCauseFunc
	// changed wakes Drain when a connection is idle or closed.
	changed chan struct{}

	mu       sync.Mutex
	draining bool
	listener net.Listener
	// serving counts the running calls of Serve, which may accept connections.
	serving sync.WaitGroup
	conns   map[*conn]bool
}

// conn is a connection of a caller. It is busy from the first byte of a request until
// the request is answered. A new connection is busy too, since a request may be in
// flight on it.
type conn struct {
	net.Conn
	busy atomic.Bool
}

// Read marks the connection as busy when bytes have arrived.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.busy.Store(true)
	}
	return n, err
}

// expireRead makes pending and later reads time out, so that the server closes an idle
// connection. A request of which bytes have already been read is still answered.
func (c *conn) expireRead() {
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		c.Close() // the connection is broken
	}
}

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted}
	c.busy.Store(true)
	return c, nil
}

// New returns a Drainer for a server that has not been started. It sets the server's
// ConnState and BaseContext.
func New(server *http.Server) *Drainer {
	ctx, cancel := context.WithCancelCause(context.Background())
	d := &Drainer{
		server:  server,
		cancel:  cancel,
		changed: make(chan struct{}, 1),
		conns:   map[*conn]bool{},
	}
	server.ConnState = d.trackState
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	return d
}

// trackState is the server's ConnState hook. It tracks the open and idle connections.
func (d *Drainer) trackState(netConn net.Conn, state http.ConnState) {
	c, ok := netConn.(*conn)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		d.conns[c] = true
		return
	case http.StateIdle:
		c.busy.Store(false)
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, c)
	default:
		return
	}
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// Serve accepts connections until Drain is called or the listener fails. It returns
// http.ErrServerClosed if Drain was called.
func (d *Drainer) Serve(l net.Listener) error {
	if !d.beginServing(l) {
		return http.ErrServerClosed
	}
	defer d.serving.Done()
	err := d.server.Serve(listener{Listener: l})
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return http.ErrServerClosed
	}
	return err
}

// beginServing registers a call of Serve. It returns false if Drain was called.
func (d *Drainer) beginServing(l net.Listener) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.listener = l
	d.serving.Add(1)
	return true
}

// Drain stops accepting connections and serves the busy ones for at most finishTimeout.
// It then cancels the contexts of their requests with the given cause, stops reading
// from the connections, and waits at most cancelTimeout for the responses. It reports
// whether all connections closed in time; the remaining ones are closed by force.
func (d *Drainer) Drain(finishTimeout, cancelTimeout time.Duration, cause error) bool {
	d.stopListening()
	d.serving.Wait()
	complete := d.closeConns(finishTimeout, func(c *conn) bool { return !c.busy.Load() })
	d.cancel(cause)
	if !complete {
		complete = d.closeConns(cancelTimeout, func(*conn) bool { return true })
	}
	d.server.Close()
	return complete
}

// Close closes all connections at once.
func (d *Drainer) Close() { d.server.Close() }

func (d *Drainer) stopListening() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	if d.listener != nil {
		d.listener.Close()
	}
}

// closeConns expires the connections for which done returns true, repeatedly, until no
// connection is open. It returns false if that takes longer than the timeout.
func (d *Drainer) closeConns(timeout time.Duration, done func(*conn) bool) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for d.expireConns(done) > 0 {
		select {
		case <-d.changed:
		case <-timer.C:
			return false
		}
	}
	return true
}

// expireConns expires the connections for which done returns true. It returns the
// number of all open connections.
func (d *Drainer) expireConns(done func(*conn) bool) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		if done(c) {
			c.expireRead()
		}
	}
	return len(d.conns)
}
