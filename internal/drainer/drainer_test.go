package drainer

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// start serves requests, each of which takes the time given.
func start(t *testing.T, takes time.Duration) (*Drainer, func() net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(takes)
		w.Header().Set("Connection", "close")
	})})
	ended := make(chan error, 1)
	go func() { ended <- d.Serve(l) }()
	t.Cleanup(func() {
		d.Drain(0)
		assert.Equal(t, <-ended, http.ErrServerClosed)
	})
	return d, func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
		time.Sleep(20 * time.Millisecond) // until it is taken
		return conn
	}
}

// TestDrain holds that Drain waits for those connections on which a request may be
// under way, and cuts them when the time is up.
func TestDrain(t *testing.T) {
	for _, test := range []struct {
		name     string
		takes    time.Duration
		first    string // sent before Drain
		second   string // sent after it has begun
		whole    bool
		answered bool
	}{
		{"whole request", 100 * time.Millisecond, request, "", true, true},
		{"half a request", 0, request[:9], request[9:], true, true},
		{"no byte yet", 0, "", request, true, true},
		{"longer than there is time", 2 * time.Second, request, "", false, false},
		{"never sent", 0, "", "", false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d, dial := start(t, test.takes)
			conn := dial()
			_, err := io.WriteString(conn, test.first)
			assert.NilError(t, err)
			time.Sleep(20 * time.Millisecond)
			drained := make(chan bool, 1)
			go func() { drained <- d.Drain(500 * time.Millisecond) }()
			time.Sleep(50 * time.Millisecond)
			_, err = io.WriteString(conn, test.second)
			assert.NilError(t, err)
			answer, _ := io.ReadAll(conn)
			assert.Equal(t, len(answer) > 0, test.answered)
			assert.Equal(t, <-drained, test.whole)
		})
	}
}

// TestDrainIdle holds that kept connections on which nothing comes don't delay the
// end, and that a server which never began to serve ends too.
func TestDrainIdle(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := New(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	go d.Serve(l)
	resp, err := http.Get("http://" + l.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	began := time.Now()
	assert.Assert(t, d.Drain(10*time.Second))
	assert.Assert(t, time.Since(began) < time.Second)

	never := New(&http.Server{})
	assert.Assert(t, never.Drain(time.Second))
	assert.Equal(t, never.Serve(l), http.ErrServerClosed)
}
