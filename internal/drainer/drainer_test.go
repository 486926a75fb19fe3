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

// deaf is the time of a request that does not heed its context.
const deaf = -1

var errEnding = errors.New("ending")

// start serves requests, each of which takes the time given, or until it is to end.
func start(t *testing.T, takes time.Duration) (*Drainer, func() net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		if takes == deaf {
			time.Sleep(2 * time.Second)
		}
		select {
		case <-time.After(takes):
		case <-r.Context().Done():
			http.Error(w, context.Cause(r.Context()).Error(), http.StatusServiceUnavailable)
		}
	})})
	ended := make(chan error, 1)
	go func() { ended <- d.Serve(l) }()
	t.Cleanup(func() {
		d.Drain(0, 0, errEnding)
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
// under way, has them answered when the time is up, and cuts only those whose handler
// goes on.
func TestDrain(t *testing.T) {
	for _, test := range []struct {
		name   string
		takes  time.Duration
		first  string // sent before Drain
		second string // sent after it has begun
		whole  bool
		answer string // with which the answer begins
	}{
		{"whole request", 100 * time.Millisecond, request, "", true, "HTTP/1.1 200"},
		{"half a request", 0, request[:9], request[9:], true, "HTTP/1.1 200"},
		{"no byte yet", 0, "", request, true, "HTTP/1.1 200"},
		{"longer than there is time", time.Minute, request, "", true, "HTTP/1.1 503"},
		{"deaf", deaf, request, "", false, ""},
		{"never sent", 0, "", "", true, ""},
		{"half sent", 0, request[:9], "", true, "HTTP/1.1 400"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d, dial := start(t, test.takes)
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
			assert.Equal(t, strings.Contains(string(answer), errEnding.Error()), test.takes == time.Minute)
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
	assert.Assert(t, d.Drain(10*time.Second, 0, errEnding))
	assert.Assert(t, time.Since(began) < time.Second)

	never := New(&http.Server{})
	assert.Assert(t, never.Drain(time.Second, 0, errEnding))
	assert.Equal(t, never.Serve(l), http.ErrServerClosed)
}
