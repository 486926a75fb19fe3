package rationer

import (
	"container/list"
	"net"
	"sync"
)

// Listener is a net.Listener with a bounded number of open connections. It is safe for
// concurrent use.
type Listener struct {
	net.Listener
	limit int

	mu sync.Mutex
	// byAddress holds the open connections by their remote addresses, idle those that may be
	// closed for another one, that on which something has arrived last at the back.
	byAddress map[string]*conn
	idle      *list.List
	most      int // open connections so far
	closed    int // closed for others, or at once
}

// conn is an open connection of a Listener. protected counts the requests being carried out.
type conn struct {
	net.Conn
	listener  *Listener
	address   string
	place     *list.Element // in idle, nil while the connection is protected
	protected int
	once      sync.Once
}

// NewListener returns a Listener that accepts connections from l, and keeps at most limit of them
// open.
func NewListener(l net.Listener, limit int) *Listener {
	return &Listener{
		Listener:  l,
		limit:     limit,
		byAddress: map[string]*conn{},
		idle:      list.New(),
	}
}

// Accept returns the next connection. It closes another one if there are too many, or the new one
// if all others are protected.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{
			Conn:     accepted,
			listener: l,
			address:  accepted.RemoteAddr().String(),
		}
		displaced, ok := l.add(c)
		if displaced != nil {
			displaced.Close()
		}
		if ok {
			return c, nil
		}
		accepted.Close()
	}
}

// add adds a connection. It returns the one to close in its place, if there are too many, and
// false if there is none.
func (l *Listener) add(c *conn) (displaced *conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byAddress) >= l.limit {
		l.closed++
		first := l.idle.Front()
		if first == nil {
			return nil, false
		}
		displaced = first.Value.(*conn)
		l.drop(displaced)
	}
	l.byAddress[c.address] = c
	c.place = l.idle.PushBack(c)
	l.most = max(l.most, len(l.byAddress))
	return displaced, true
}

// drop removes a connection from those that are open.
func (l *Listener) drop(c *conn) {
	if l.byAddress[c.address] == c {
		delete(l.byAddress, c.address)
	}
	if c.place != nil {
		l.idle.Remove(c.place)
		c.place = nil
	}
}

// Protect keeps the connection with a remote address open until the returned function is called.
// It is called when a request has been read completely and is carried out.
func (l *Listener) Protect(address string) (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.byAddress[address]
	if c == nil {
		return func() {}
	}
	c.protected++
	if c.place != nil {
		l.idle.Remove(c.place)
		c.place = nil
	}
	return func() { l.release(c) }
}

func (l *Listener) release(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.protected--
	if c.protected == 0 && l.byAddress[c.address] == c {
		c.place = l.idle.PushBack(c)
	}
}

// Read notes that something has arrived.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.listener.touch(c)
	}
	return n, err
}

func (l *Listener) touch(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.place != nil {
		l.idle.MoveToBack(c.place)
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.drop(c)
	})
	return c.Conn.Close()
}
