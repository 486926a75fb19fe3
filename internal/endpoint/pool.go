// Package endpoint sends requests to endpoints and reads their answers.
//
// It has its own connection pool instead of http.Transport, because
// http.Transport automatically resends requests that it considers replayable.
// Here a request is written once to one connection, whatever its method and
// headers. net/http encodes requests and decodes answers.
//
// A connection carries one request at a time. An answer is accepted only if it is
// complete: its length must be known, and all of it must have been received. A
// connection with data after the answer is not reused. If an answer is late, a
// probe on a new connection tells a dead connection from a slow endpoint. A
// suspect connection is never reused, but its answer is still awaited. The age and
// the idle time of connections are limited.
//
// # Usage
//
//	pool := endpoint.NewPool("127.0.0.1:7200", endpoint.Options{Clock: wall})
//	call, err := pool.Begin(request)                   // writes the request once
//	answer, state := call.Wait(50 * clock.Millisecond) // StateWaiting: late
//	if pool.Probe() { call.Suspect(); pool.Purge() }
//	answer, state = call.Wait(limit)
//	call.Release() // or call.Abandon(limit, done)
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

// ErrNotSent means that no byte of a request was sent, so the endpoint cannot have
// executed it.
var ErrNotSent = errors.New("not sent")

const (
	dialTimeout         = 300 * time.Millisecond
	writeTimeout        = 1 * clock.Second
	probeTimeout        = 300 * clock.Millisecond
	keepAliveInterval   = 2 * time.Second
	keepAliveCount      = 3
	defaultMaxIdleConns = 8

	maxAge      = 5 * clock.Minute
	maxIdleTime = 10 * clock.Second
)

// Options configure a Pool.
type Options struct {
	Clock clock.Clock
	// Dial opens a connection. The default is TCP; tests replace it.
	Dial func(address string) (net.Conn, error)
}

// Pool is a pool of connections to one endpoint. It is safe for concurrent use.
type Pool struct {
	address      string
	opts         Options
	mu           sync.Mutex
	idle         []*conn
	maxIdleConns int
	open         int
	closed       bool
}

// conn is a connection. A suspect one is not reused.
type conn struct {
	net      net.Conn
	reader   *bufio.Reader
	opened   clock.Time
	lastUsed clock.Time
	suspect  bool
}

// NewPool returns a Pool for the endpoint at address. It opens no connection yet
// and keeps at most 8 idle ones until SetMaxIdle is called.
func NewPool(address string, opts Options) *Pool {
	if opts.Dial == nil {
		opts.Dial = dial
	}
	return &Pool{
		address:      address,
		opts:         opts,
		maxIdleConns: defaultMaxIdleConns,
	}
}

// SetMaxIdle limits the number of idle connections that the pool keeps. The
// connections of all entry VMs together must not exceed the number that the
// endpoint accepts.
func (p *Pool) SetMaxIdle(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdleConns = limit
}

func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return dialer.Dial("tcp", address)
}

// Address returns the IP address and port of the endpoint.
func (p *Pool) Address() string { return p.address }

// Open returns the number of open connections, both idle and in use.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes the idle connections. Those in use are closed when released.
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

// Sweep closes idle connections that have been open for more than 5 minutes or
// idle for more than 10 seconds.
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
	return now.Sub(c.opened) > maxAge || now.Sub(c.lastUsed) > maxIdleTime
}

// Purge closes all idle connections. It is called when one connection turned out
// to be dead, because whatever lost the state of that connection, such as a
// firewall, may have lost the state of all.
func (p *Pool) Purge() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// get returns an idle connection that is still usable, or a new one.
func (p *Pool) get() (*conn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			return p.connect()
		}
		if !p.stale(c, p.opts.Clock.Now()) && noPendingInput(c) {
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
		net:      nc,
		reader:   bufio.NewReader(nc),
		opened:   now,
		lastUsed: now,
	}, nil
}

func (p *Pool) discard(c *conn) {
	c.net.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put returns a connection to the pool. It closes the connection instead if it is
// suspect, stale or has unread data, or if the pool is closed or full.
func (p *Pool) put(c *conn) {
	now := p.opts.Clock.Now()
	if c.suspect || c.reader.Buffered() > 0 || p.stale(c, now) {
		p.discard(c)
		return
	}
	c.lastUsed = now
	p.mu.Lock()
	if p.closed || len(p.idle) >= p.maxIdleConns {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// noPendingInput reports whether an idle connection has neither data nor an end of
// stream to read. A connection that the endpoint has closed must not be used,
// because a request that fails on it cannot always be resent.
func noPendingInput(c *conn) bool {
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
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = e == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// Probe reports whether the endpoint answers GET /health on a new connection with a
// status below 500. The connection and the request have a timeout of 300 ms each.
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
