package standin

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"marjoramstack/pkg/clock"
)

// LinkFaults are the switches of a link.
type LinkFaults struct {
	// Cut refuses new connections and ends the open ones.
	Cut bool
	// Mute drops everything that comes back from the target.
	Mute bool
	// Delay holds every byte back by this long in each direction.
	Delay clock.Span
	// Jitter adds up to this long at random.
	Jitter clock.Span
}

// Link is a relay in front of a stand-in or an entry VM that delays, cuts and
// silences connections, as a network does. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	faults   LinkFaults
	pairs    map[*pair]bool
	closed   bool
}

// pair is a connection through the link. A silent one stays open and carries
// nothing.
type pair struct {
	near   net.Conn
	far    net.Conn
	silent bool
}

// NewLink starts a link on a loopback port of its own towards the target.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{
		listener: listener,
		target:   target,
		pairs:    map[*pair]bool{},
	}
	go l.accept()
	return l, nil
}

// Address returns where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetFaults replaces the fault switches.
func (l *Link) SetFaults(faults LinkFaults) {
	l.mu.Lock()
	l.faults = faults
	var cut []*pair
	if faults.Cut {
		cut = l.all()
	}
	l.mu.Unlock()
	for _, p := range cut {
		p.close()
	}
}

// SilenceOpen makes every connection that is open now carry nothing from now
// on, while new ones work.
func (l *Link) SilenceOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silent = true
	}
	return len(l.pairs)
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.listener.Close()
	l.mu.Lock()
	l.closed = true
	pairs := l.all()
	l.mu.Unlock()
	for _, p := range pairs {
		p.close()
	}
}

func (l *Link) all() []*pair {
	var pairs []*pair
	for p := range l.pairs {
		pairs = append(pairs, p)
	}
	return pairs
}

func (p *pair) close() {
	p.near.Close()
	p.far.Close()
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(near)
	}
}

func (l *Link) connect(near net.Conn) {
	l.mu.Lock()
	refused := l.faults.Cut || l.closed
	l.mu.Unlock()
	if refused {
		near.Close()
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		near.Close()
		return
	}
	p := &pair{
		near: near,
		far:  far,
	}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	go l.carry(p, near, far, false)
	go l.carry(p, far, near, true)
}

// parcel is a run of bytes and when it may go on.
type parcel struct {
	data []byte
	due  time.Time
}

const parcelQueue = 256

func (l *Link) carry(p *pair, from, to net.Conn, back bool) {
	parcels := make(chan parcel, parcelQueue)
	go l.deliver(p, parcels, to)
	defer close(parcels)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.drops(p) && !(back && l.muted()) {
			parcels <- parcel{
				data: append([]byte(nil), buffer[:n]...),
				due:  time.Now().Add(l.delay()),
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) deliver(p *pair, parcels <-chan parcel, to net.Conn) {
	for item := range parcels {
		time.Sleep(time.Until(item.due))
		if l.drops(p) {
			continue
		}
		if _, err := to.Write(item.data); err != nil {
			break
		}
	}
	if !l.drops(p) {
		p.close()
	}
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
	for range parcels {
		continue
	}
}

func (l *Link) muted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.Mute
}

func (l *Link) drops(p *pair) bool {
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
