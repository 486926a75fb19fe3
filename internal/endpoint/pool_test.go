package endpoint

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marjoramstack/pkg/clock"
)

// rawServer is an endpoint that answers with predefined bytes, which need not be
// valid HTTP, and counts requests and connections.
type rawServer struct {
	listener net.Listener
	mu       sync.Mutex
	answers  []string
	requests int
	conns    int
}

func newRawServer(t *testing.T) *rawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rawServer{listener: listener}
	go r.accept()
	t.Cleanup(func() { listener.Close() })
	return r
}

func (r *rawServer) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns++
		r.mu.Unlock()
		go r.serve(conn)
	}
}

// serve reads requests and answers each with the next predefined answer. In an
// answer, ID is replaced by the identifier of the request, "|close" closes the
// connection, and "|wait" waits 150 ms before the rest is sent.
func (r *rawServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := r.next()
		for _, part := range strings.SplitAfter(answer, "|") {
			switch {
			case strings.HasPrefix(part, "close"):
				return
			case strings.HasPrefix(part, "wait"):
				time.Sleep(150 * time.Millisecond)
				part = strings.TrimPrefix(part, "wait")
			}
			text := strings.TrimSuffix(part, "|")
			text = strings.ReplaceAll(text, "ID", req.Header.Get(HeaderRequest))
			text = strings.ReplaceAll(text, "\n", "\r\n")
			if _, err := fmt.Fprint(conn, text); err != nil {
				return
			}
		}
	}
}

func (r *rawServer) next() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	if len(r.answers) == 0 {
		return "HTTP/1.1 200 OK\nContent-Length: 2\n\nok"
	}
	answer := r.answers[0]
	r.answers = r.answers[1:]
	return answer
}

// TestAnswers runs the cases in testdata/answers. The input of a case is the
// answers to consecutive requests, separated by lines of "===". The output is the
// result of each request and the number of requests and connections that the
// endpoint received.
func TestAnswers(t *testing.T) {
	for _, file := range mustFind(filepath.Glob("testdata/answers/*")) {
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			server := newRawServer(t)
			server.answers = strings.Split(strings.ReplaceAll(d.Input, "<blank>", ""), "\n===\n")
			pool := NewPool(server.listener.Addr().String(), Options{Clock: clock.NewWall()})
			defer pool.Close()
			var b strings.Builder
			for i := range len(server.answers) {
				fmt.Fprintln(&b, ask(pool, fmt.Sprintf("r%d", i)))
			}
			fmt.Fprintf(&b, "%d requests on %d connections\n", server.requests, server.conns)
			return b.String()
		})
	}
}

// TestKeep checks that hedged requests, which open new connections, do not leave
// more idle connections than the pool may keep.
func TestKeep(t *testing.T) {
	server := newRawServer(t)
	pool := NewPool(server.listener.Addr().String(), Options{Clock: clock.NewWall()})
	defer pool.Close()
	pool.SetMaxIdle(2)
	for i := range 6 {
		call, err := pool.BeginFresh(Request{ID: fmt.Sprint(i), Method: http.MethodGet, Path: "/"})
		if err != nil {
			t.Fatal(err)
		}
		if _, state := call.Wait(clock.Second); state != StateAnswered {
			t.Fatal(state)
		}
		call.Release()
	}
	if pool.Open() > 2 {
		t.Fatalf("%d connections are open, expected at most 2", pool.Open())
	}
}

func ask(pool *Pool, id string) string {
	call, err := pool.Begin(Request{
		ID:     id,
		Method: http.MethodPost,
		Path:   "/order",
		Header: http.Header{"Idempotency-Key": {id}},
		Body:   []byte("body"),
	})
	if err != nil {
		return "not begun"
	}
	defer call.Release()
	answer, state := call.Wait(100)
	if state == StateWaiting {
		call.Suspect()
		answer, state = call.Wait(2 * clock.Second)
		return "late, then " + describe(answer, state)
	}
	return describe(answer, state)
}

func describe(answer Answer, state State) string {
	switch state {
	case StateAnswered:
		return fmt.Sprintf("%d %s", answer.Status, answer.Body)
	case StateLost:
		return "lost"
	case StateIncomplete:
		return "incomplete"
	}
	return "waiting"
}

func mustFind(files []string, err error) []string {
	if err != nil || len(files) == 0 {
		panic(fmt.Sprint("no data files: ", err))
	}
	return files
}
