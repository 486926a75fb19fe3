package drainer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// ignoresContext, as a duration, makes the handler sleep for two seconds without
// watching the request's context.
const ignoresContext = -1

var errEnding = errors.New("ending")

// start serves requests that each take the given duration or until their context is
// cancelled. It also returns a function that opens a connection.
func start(t *testing.T, duration time.Duration) (*Drainer, func() net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		if duration == ignoresContext {
			time.Sleep(2 * time.Second)
		}
		select {
		case <-time.After(duration):
		case <-r.Context().Done():
			http.Error(w, context.Cause(r.Context()).Error(), http.StatusServiceUnavailable)
		}
	})})
	serveErr := make(chan error, 1)
	go func() { serveErr <- d.Serve(l) }()
	t.Cleanup(func() {
		d.Drain(0, 0, errEnding)
		assert.Equal(t, <-serveErr, http.ErrServerClosed)
	})
	return d, func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
		time.Sleep(20 * time.Millisecond) // until the server has accepted it
		return conn
	}
}

// TestDrain checks that Drain waits for connections on which a request may be in
// flight, has these requests answered when the timeout is over, and closes by force
// only connections whose handler ignores the cancelled context.
func TestDrain(t *testing.T) {
	for _, test := range []struct {
		name     string
		duration time.Duration
		first    string // sent before Drain
		second   string // sent after Drain has begun
		complete bool
		answer   string // prefix of the response
	}{
		{"whole request", 100 * time.Millisecond, request, "", true, "HTTP/1.1 200"},
		{"half a request", 0, request[:9], request[9:], true, "HTTP/1.1 200"},
		{"no byte yet", 0, "", request, true, "HTTP/1.1 200"},
		{"longer than there is time", time.Minute, request, "", true, "HTTP/1.1 503"},
		{"deaf", ignoresContext, request, "", false, ""},
		{"never sent", 0, "", "", true, ""},
		{"half sent", 0, request[:9], "", true, "HTTP/1.1 400"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d, dial := start(t, test.duration)
			conn := dial()
			_, err := io.WriteString(conn, test.first)
			assert.NilError(t, err)
			time.Sleep(20 * time.Millisecond)
			drained := make(chan bool, 1)
			go func() { drained <- d.Drain(500*time.Millisecond, 500*time.Millisecond, errEnding) }()
			time.Sleep(50 * time.Millisecond)
			_, err = io.WriteString(conn, test.second)
			assert.NilError(t, err)
			answer, _ := io.ReadAll(conn)
			assert.Assert(t, strings.HasPrefix(string(answer), test.answer), "%s", answer)
			assert.Assert(t, test.answer != "" || len(answer) == 0, "%s", answer)
			assert.Equal(t, strings.Contains(string(answer), errEnding.Error()), test.duration == time.Minute)
			assert.Equal(t, <-drained, test.complete)
		})
	}
}

// TestDrainIdle checks that idle keep-alive connections don't delay Drain, and that a
// server that was never started can be drained.
func TestDrainIdle(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := New(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	go d.Serve(l)
	resp, err := http.Get("http://" + l.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	began := time.Now()
	assert.Assert(t, d.Drain(10*time.Second, 0, errEnding))
	assert.Assert(t, time.Since(began) < time.Second)

	unstarted := New(&http.Server{})
	assert.Assert(t, unstarted.Drain(time.Second, 0, errEnding))
	assert.Equal(t, unstarted.Serve(l), http.ErrServerClosed)
}
