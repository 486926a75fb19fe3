// Package endpoint talks to the endpoints that answer requests.
//
// It keeps its own connections instead of using http.Transport, which resends
// by itself what it takes to be replayable: here a request is written to one
// connection once, whatever its method and headers. Requests and answers are
// encoded and decoded by net/http.
//
// A connection carries one request at a time. An answer is taken only whole:
// its length is stated and reached, and it is the only thing on the connection.
// After a late answer a probe on a new connection tells a silent connection
// from a slow endpoint; a connection under suspicion is never used again, but
// its answer is still waited for. The age and idle time of connections are
// bounded.
//
// # Usage
//
//	pool := endpoint.NewPool("127.0.0.1:7200", endpoint.Options{Clock: wall})
//	call, err := pool.Begin(request)          // written once
//	answer, state := call.Wait(50 * clock.Millisecond) // StateWaiting: late
//	if pool.Probe() { call.Suspect(); pool.Purge() }
//	answer, state = call.Wait(limit)
//	call.Release()                            // or call.Abandon(limit, done)
package endpoint

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"marjoramstack/pkg/clock"
)

// Error is the class of this package's errors.
var Error = errs.Class("endpoint")

// ErrNotSent marks a request of which the endpoint has certainly seen nothing.
var ErrNotSent = errors.New("not sent")

const (
	dialTimeout  = 300 * time.Millisecond
	writeTimeout = 1 * clock.Second
	probeTimeout = 300 * clock.Millisecond
	keepIdle     = 2 * time.Second
	keepCount    = 3
	keepFirst    = 8

	maxAge  = 5 * clock.Minute
	maxIdle = 10 * clock.Second
)

// Options adjust a Pool.
type Options struct {
	Clock clock.Clock
	// Dial opens a connection; nil means TCP. Tests replace it.
	Dial func(address string) (net.Conn, error)
}

// Pool holds the connections to one endpoint. It is safe for concurrent use.
type Pool struct {
	address string
	opts    Options
	mu      sync.Mutex
	idle    []*conn
	keep    int
	open    int
	closed  bool
}

// conn is one connection and its reader.
type conn struct {
	net     net.Conn
	reader  *bufio.Reader
	opened  clock.Time
	used    clock.Time
	suspect bool
}

// NewPool returns a Pool without connections.
func NewPool(address string, opts Options) *Pool {
	if opts.Dial == nil {
		opts.Dial = dial
	}
	return &Pool{
		address: address,
		opts:    opts,
		keep:    keepFirst,
	}
}

// SetMaxIdle bounds how many idle connections are kept. The entry VMs together must
// stay within the connections that the endpoint takes.
func (p *Pool) SetMaxIdle(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep = most
}

func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepIdle,
			Interval: keepIdle,
			Count:    keepCount,
		},
	}
	return dialer.Dial("tcp", address)
}

// Address returns the IP number and port of the endpoint.
func (p *Pool) Address() string { return p.address }

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes the idle connections; those in use close when released.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// Sweep closes connections that have been idle or open for too long.
func (p *Pool) Sweep() {
	now := p.opts.Clock.Now()
	p.mu.Lock()
	kept := p.idle[:0]
	var stale []*conn
	for _, c := range p.idle {
		if p.stale(c, now) {
			stale = append(stale, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range stale {
		p.discard(c)
	}
}

func (p *Pool) stale(c *conn, now clock.Time) bool {
	return now.Sub(c.opened) > maxAge || now.Sub(c.used) > maxIdle
}

// Purge closes every idle connection. It is called when one of them turned out
// to be silent: what lost track of one may have lost track of all.
func (p *Pool) Purge() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// get returns an idle connection that the endpoint has not closed, or a new
// one.
func (p *Pool) get() (*conn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			return p.connect()
		}
		if !p.stale(c, p.opts.Clock.Now()) && quiet(c) {
			return c, nil
		}
		p.discard(c)
	}
}

func (p *Pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) connect() (*conn, error) {
	nc, err := p.opts.Dial(p.address)
	if err != nil {
		return nil, errors.Join(ErrNotSent, Error.Wrap(err))
	}
	now := p.opts.Clock.Now()
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	return &conn{
		net:    nc,
		reader: bufio.NewReader(nc),
		opened: now,
		used:   now,
	}, nil
}

func (p *Pool) discard(c *conn) {
	c.net.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put keeps a connection for the next request, unless it is under suspicion or
// something unasked for has come on it.
func (p *Pool) put(c *conn) {
	now := p.opts.Clock.Now()
	if c.suspect || c.reader.Buffered() > 0 || p.stale(c, now) {
		p.discard(c)
		return
	}
	c.used = now
	p.mu.Lock()
	if p.closed || len(p.idle) >= p.keep {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// quiet reports whether nothing, not even an end of stream, waits on an idle
// connection. A closed one must not be given a request that may not be resent.
func quiet(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Probe reports whether the endpoint answers on a new connection.
func (p *Pool) Probe() bool {
	nc, err := p.opts.Dial(p.address)
	if err != nil {
		return false
	}
	defer nc.Close()
	if nc.SetDeadline(probeTimeout.FromNow()) != nil {
		return false
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+p.address+"/health", nil)
	if err != nil {
		return false
	}
	req.Close = true
	if req.Write(nc) != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode < http.StatusInternalServerError
}
