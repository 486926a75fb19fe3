package rationer

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// listenerTest is a Listener with clients that are connected in turn.
type listenerTest struct {
	t        *testing.T
	listener *Listener
	accepted chan net.Conn
}

func newListenerTest(t *testing.T, limit int) *listenerTest {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, BoundBuffers(inner))
	s := &listenerTest{
		t:        t,
		listener: NewListener(inner, limit),
		accepted: make(chan net.Conn, 100),
	}
	t.Cleanup(func() { inner.Close() })
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.accepted <- c
		}
	}()
	return s
}

// connect connects a client and returns both ends.
func (s *listenerTest) connect() (client, server net.Conn) {
	s.t.Helper()
	client, err := net.Dial("tcp", s.listener.Addr().String())
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { client.Close() })
	server = <-s.accepted
	s.t.Cleanup(func() { server.Close() })
	return client, server
}

// send sends a byte to the server, which reads it.
func (s *listenerTest) send(client, server net.Conn) {
	_, err := client.Write([]byte("x"))
	assert.NilError(s.t, err)
	_, err = server.Read(make([]byte, 1))
	assert.NilError(s.t, err)
}

// closeTimeout is the time after which a connection counts as open for good.
const closeTimeout = 20 * time.Second

// assertClosed checks that the server closes a client's connection.
func assertClosed(t *testing.T, client net.Conn) {
	t.Helper()
	assert.Assert(t, endsWithin(client, closeTimeout))
}

// assertOpen checks that the server has not closed a client's connection.
func assertOpen(t *testing.T, client net.Conn) {
	t.Helper()
	assert.Assert(t, !endsWithin(client, time.Millisecond))
}

func endsWithin(client net.Conn, span time.Duration) bool {
	client.SetReadDeadline(time.Now().Add(span))
	_, err := client.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return !(ok && timeout.Timeout())
}

// TestIdleConnectionGivesWay checks that the connection on which nothing has arrived for longest
// is closed for a new one.
func TestIdleConnectionGivesWay(t *testing.T) {
	s := newListenerTest(t, 3)
	first, firstServer := s.connect()
	second, _ := s.connect()
	third, _ := s.connect()
	s.send(first, firstServer)
	fourth, _ := s.connect()
	assertOpen(t, first)
	assertClosed(t, second)
	assertOpen(t, third)
	assertOpen(t, fourth)
	open, closed := s.listener.state()
	assert.Equal(t, open, 3)
	assert.Equal(t, closed, 1)
}

// TestProtectedConnectionStays checks that a connection whose request is carried out stays open,
// and that a new one is refused if all are.
func TestProtectedConnectionStays(t *testing.T) {
	s := newListenerTest(t, 2)
	first, _ := s.connect()
	second, _ := s.connect()
	releaseFirst := s.listener.Protect(first.LocalAddr().String())
	releaseSecond := s.listener.Protect(second.LocalAddr().String())
	refused, err := net.Dial("tcp", s.listener.Addr().String())
	assert.NilError(t, err)
	defer refused.Close()
	assertClosed(t, refused)
	assertOpen(t, first)
	assertOpen(t, second)
	releaseSecond()
	s.connect()
	assertOpen(t, first)
	assertClosed(t, second)
	releaseFirst()
}

// TestClosedConnectionMakesRoom checks that connections which either side has closed do not count.
func TestClosedConnectionMakesRoom(t *testing.T) {
	s := newListenerTest(t, 2)
	kept, _ := s.connect()
	for range 20 {
		client, server := s.connect()
		client.Close()
		server.Close()
		server.Close()
	}
	open, closed := s.listener.state()
	assert.Equal(t, open, 1)
	assert.Equal(t, closed, 0)
	assertOpen(t, kept)
	s.listener.Protect("unknown")()
}

// TestDefaultLimits checks the limits that are derived from the sizes of machines.
func TestDefaultLimits(t *testing.T) {
	for _, c := range []struct {
		memory      int64
		descriptors int
		want        Limits
	}{
		{memory: 0, descriptors: 0, want: Limits{BodyBytes: 64 << 20, CallerConns: 4096, ProbeConns: 4096}},
		{memory: 184 << 20, descriptors: 4100, want: Limits{BodyBytes: 184 << 16, CallerConns: 368, ProbeConns: 368}},
		{memory: 536 << 20, descriptors: 8192, want: Limits{BodyBytes: 536 << 16, CallerConns: 1072, ProbeConns: 1072}},
		{memory: 536 << 20, descriptors: 400, want: Limits{BodyBytes: 536 << 16, CallerConns: 100, ProbeConns: 100}},
		{memory: 64 << 20, descriptors: 64, want: Limits{BodyBytes: 64 << 16, CallerConns: 32, ProbeConns: 32}},
	} {
		assert.Equal(t, DefaultLimits(c.memory, c.descriptors), c.want)
	}
}
