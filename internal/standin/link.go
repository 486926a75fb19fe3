package standin

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"marjoramstack/pkg/clock"
)

// LinkFaults are the network faults that a link shows.
type LinkFaults struct {
	// Cut closes the open connections and every new one.
	Cut bool
	// Mute drops all data that the target sends.
	Mute bool
	// Delay is added to all data, in each direction.
	Delay clock.Span
	// Jitter is the upper bound of a random delay added to Delay.
	Jitter clock.Span
}

// Link is a TCP proxy in front of a stand-in or an entry VM that simulates
// network faults: it delays data, drops data and closes connections. It is safe
// for concurrent use.
type Link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	faults   LinkFaults
	pairs    map[*connPair]bool
	closed   bool
}

// connPair holds both sides of a proxied connection. A silent one stays open, and
// all its data is dropped.
type connPair struct {
	client net.Conn
	server net.Conn
	silent bool
}

// NewLink starts a link that listens on a free loopback port and forwards to the
// address target.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{
		listener: listener,
		target:   target,
		pairs:    map[*connPair]bool{},
	}
	go l.accept()
	return l, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetFaults replaces the faults, also for open connections.
func (l *Link) SetFaults(faults LinkFaults) {
	l.mu.Lock()
	l.faults = faults
	var cut []*connPair
	if faults.Cut {
		cut = l.openPairs()
	}
	l.mu.Unlock()
	for _, p := range cut {
		p.close()
	}
}

// SilenceOpen drops all further data of the connections that are open now, without
// closing them, and returns their number. New connections work.
func (l *Link) SilenceOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silent = true
	}
	return len(l.pairs)
}

// Close stops listening and closes all connections.
func (l *Link) Close() {
	l.listener.Close()
	l.mu.Lock()
	l.closed = true
	pairs := l.openPairs()
	l.mu.Unlock()
	for _, p := range pairs {
		p.close()
	}
}

func (l *Link) openPairs() []*connPair {
	var pairs []*connPair
	for p := range l.pairs {
		pairs = append(pairs, p)
	}
	return pairs
}

func (p *connPair) close() {
	p.client.Close()
	p.server.Close()
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(client)
	}
}

func (l *Link) connect(client net.Conn) {
	l.mu.Lock()
	refused := l.faults.Cut || l.closed
	l.mu.Unlock()
	if refused {
		client.Close()
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		client.Close()
		return
	}
	p := &connPair{
		client: client,
		server: server,
	}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	go l.readChunks(p, client, server, false)
	go l.readChunks(p, server, client, true)
}

// chunk is data read from one side and the time at which to write it to the other.
type chunk struct {
	data []byte
	due  time.Time
}

const chunkQueueSize = 256

func (l *Link) readChunks(p *connPair, from, to net.Conn, fromTarget bool) {
	chunks := make(chan chunk, chunkQueueSize)
	go l.writeChunks(p, chunks, to)
	defer close(chunks)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.silenced(p) && !(fromTarget && l.muted()) {
			chunks <- chunk{
				data: append([]byte(nil), buffer[:n]...),
				due:  time.Now().Add(l.delay()),
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) writeChunks(p *connPair, chunks <-chan chunk, to net.Conn) {
	for next := range chunks {
		time.Sleep(time.Until(next.due))
		if l.silenced(p) {
			continue
		}
		if _, err := to.Write(next.data); err != nil {
			break
		}
	}
	if !l.silenced(p) {
		p.close()
	}
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
	for range chunks {
		continue
	}
}

func (l *Link) muted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.Mute
}

func (l *Link) silenced(p *connPair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.silent && !l.closed
}

func (l *Link) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.faults.Delay
	if l.faults.Jitter > 0 {
		d += clock.Span(rand.Int64N(int64(l.faults.Jitter) + 1))
	}
	return d.Duration()
}
