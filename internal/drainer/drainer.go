// Package drainer ends an http.Server such that each request it has read is
// answered.
//
// http.Server.Shutdown drops a request that it reads once it has been called, and
// closes a kept connection on which part of a request has come. A Drainer takes no
// more connections, closes those on which nothing has come since their last answer,
// and serves the others to their ends.
//
// # Usage
//
//	d := drainer.New(&http.Server{Handler: closer.New(door, leaving)})
//	go d.Serve(listener) // until the listener is closed
//	...
//	whole := d.Drain(2*time.Second, time.Second, errStopping)
//
// The handler must ask callers to give their connections up while the server is
// drained, as package closer does. It must answer soon after a request's context has
// ended; context.Cause tells that it was the drain that ended it.
package drainer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Drainer serves one http.Server and ends it.
type Drainer struct {
	server *http.Server
	// cancel ends the contexts of all requests.
	cancel context.CancelCauseFunc
	// changed wakes Drain when a connection is idle or closed.
	changed chan struct{}

	mu       sync.Mutex
	draining bool
	listener net.Listener
	// serving is held while connections may be taken.
	serving sync.WaitGroup
	conns   map[*conn]bool
}

// conn is a connection of a caller. It is busy from the first byte of a request on
// until that is answered, and before its first request.
type conn struct {
	net.Conn
	busy atomic.Bool
}

// Read marks the connection as busy when something has come.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.busy.Store(true)
	}
	return n, err
}

// expire ends a wait for bytes. A request of which bytes have come is still served.
func (c *conn) expire() {
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		c.Close() // it is broken
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

// New returns a Drainer of a server that has not been started. It takes the
// server's ConnState and BaseContext.
func New(server *http.Server) *Drainer {
	ctx, cancel := context.WithCancelCause(context.Background())
	d := &Drainer{
		server:  server,
		cancel:  cancel,
		changed: make(chan struct{}, 1),
		conns:   map[*conn]bool{},
	}
	server.ConnState = d.note
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	return d
}

// note follows the states of connections.
func (d *Drainer) note(accepted net.Conn, state http.ConnState) {
	c, ok := accepted.(*conn)
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

// Serve takes connections until Drain is called or the listener fails.
func (d *Drainer) Serve(l net.Listener) error {
	if !d.listen(l) {
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

func (d *Drainer) listen(l net.Listener) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.listener = l
	d.serving.Add(1)
	return true
}

// Drain takes no more connections, and serves those that are busy for at most the
// span finish. It then ends the contexts of their requests for the cause given, stops
// reading, and lets them be answered within the span refuse. It reports whether none
// had to be cut.
func (d *Drainer) Drain(finish, refuse time.Duration, cause error) bool {
	d.stopListening()
	d.serving.Wait()
	whole := d.await(finish, func(c *conn) bool { return !c.busy.Load() })
	d.cancel(cause)
	if !whole {
		whole = d.await(refuse, func(*conn) bool { return true })
	}
	d.server.Close()
	return whole
}

// Close cuts all connections at once.
func (d *Drainer) Close() { d.server.Close() }

func (d *Drainer) stopListening() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	if d.listener != nil {
		d.listener.Close()
	}
}

// await expires the connections that are done with, and waits until there are none
// at all. It reports false if that takes longer than the time given.
func (d *Drainer) await(within time.Duration, done func(*conn) bool) bool {
	timer := time.NewTimer(within)
	defer timer.Stop()
	for d.expire(done) > 0 {
		select {
		case <-d.changed:
		case <-timer.C:
			return false
		}
	}
	return true
}

// expire returns how many connections there are.
func (d *Drainer) expire(done func(*conn) bool) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		if done(c) {
			c.expire()
		}
	}
	return len(d.conns)
}
