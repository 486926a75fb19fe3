package rationer

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"marjoramstack/pkg/result"
)

// TestBudget runs the scripts of testdata/budget. Clients send bodies in pieces: "send" delivers
// a piece, "finish" the end. Each command prints what every body has become: arriving, read,
// busy, too-large or malformed.
func TestBudget(t *testing.T) {
	datadriven.Walk(t, "testdata/budget", func(t *testing.T, path string) {
		s := &budgetScript{clients: map[string]*budgetClient{}}
		datadriven.RunTest(t, path, s.play)
		for _, c := range s.clients {
			c.Close()
		}
	})
}

type budgetScript struct {
	budget  *Budget
	limit   int
	clients map[string]*budgetClient
	order   []string
}

// budgetClient is the client of one body. It is the reader from which the body arrives, and the
// writer whose read deadline can be set.
type budgetClient struct {
	httptest.ResponseRecorder
	pieces  chan []byte
	expired chan struct{}
	once    sync.Once
	waiting chan struct{} // receives each time that all pieces have been read
	rest    []byte
	done    chan struct{}
	body    *Body
	err     error
}

func (c *budgetClient) Read(b []byte) (int, error) {
	if len(c.rest) == 0 {
		select {
		case c.waiting <- struct{}{}:
		default:
		}
		select {
		case piece, ok := <-c.pieces:
			if !ok {
				return 0, io.EOF
			}
			c.rest = piece
		case <-c.expired:
			return 0, os.ErrDeadlineExceeded
		}
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *budgetClient) Close() error {
	c.once.Do(func() { close(c.expired) })
	return nil
}

func (c *budgetClient) SetReadDeadline(time.Time) error { return c.Close() }

func (s *budgetScript) play(t *testing.T, d *datadriven.TestData) string {
	var name string
	size, length := 0, -1
	d.MaybeScanArgs(t, "name", &name)
	d.MaybeScanArgs(t, "size", &size)
	d.MaybeScanArgs(t, "length", &length)
	c := s.clients[name]
	switch d.Cmd {
	case "budget":
		d.ScanArgs(t, "body-limit", &s.limit)
		s.budget = NewBudget(int64(size))
		return "ok"
	case "begin":
		s.begin(name, length)
	case "send":
		c.deliver(bytes.Repeat([]byte("x"), size))
	case "finish":
		close(c.pieces)
		<-c.done
	case "expand":
		c.err = c.body.Expand(int64(size))
	case "close":
		c.body.Close()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return s.describe()
}

func (s *budgetScript) begin(name string, length int) {
	c := &budgetClient{
		pieces:  make(chan []byte),
		expired: make(chan struct{}),
		waiting: make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	s.clients[name] = c
	s.order = append(s.order, name)
	r := httptest.NewRequest(http.MethodPost, "/", c)
	r.ContentLength = int64(length)
	go func() {
		defer close(c.done)
		c.body, c.err = s.budget.Read(c, r, int64(s.limit))
	}()
	c.settle()
}

// deliver sends a piece, unless the body is not read any more.
func (c *budgetClient) deliver(piece []byte) {
	select {
	case c.pieces <- piece:
		c.settle()
	case <-c.done:
	}
}

// settle waits until the body waits for more or is not read any more.
func (c *budgetClient) settle() {
	select {
	case <-c.waiting:
	case <-c.done:
	}
}

func (s *budgetScript) describe() string {
	var out bytes.Buffer
	for _, name := range s.order {
		fmt.Fprintf(&out, "%s: %s\n", name, s.clients[name].state())
	}
	used, _, _ := s.budget.state()
	fmt.Fprintf(&out, "used %d\n", used)
	return out.String()
}

// state returns what the body has become. One that has been given up is not read any more soon.
func (c *budgetClient) state() string {
	select {
	case <-c.expired:
		<-c.done
	default:
	}
	select {
	case <-c.done:
	default:
		return "arriving"
	}
	if c.err != nil {
		return result.CodeOf(c.err).String()
	}
	return fmt.Sprintf("read %d", len(c.body.Bytes()))
}

// TestBudgetUnderCrowd reads many bodies at once, most of which never end, and checks that the
// budget is kept, and that what is used returns to 0.
func TestBudgetUnderCrowd(t *testing.T) {
	const limit = 1 << 20
	budget := NewBudget(limit)
	var group sync.WaitGroup
	for i := range 400 {
		group.Go(func() {
			from, to := io.Pipe()
			r := httptest.NewRequest(http.MethodPost, "/", from)
			r.ContentLength = 64 << 10
			c := &pipeWriter{ResponseRecorder: httptest.NewRecorder(), from: from}
			go func() {
				to.Write(bytes.Repeat([]byte("x"), 64<<10-i%2))
				if i%2 == 1 {
					time.Sleep(50 * time.Millisecond)
					to.CloseWithError(os.ErrDeadlineExceeded)
				}
			}()
			if body, err := budget.Read(c, r, 1<<18); err == nil {
				body.Close()
			}
			from.Close()
		})
	}
	group.Wait()
	used, _, _ := budget.state()
	assert.Equal(t, used, int64(0))
	assert.Assert(t, budget.largest <= limit, "%d bytes at most", budget.largest)
}

// pipeWriter is a response writer whose read deadline ends its pipe.
type pipeWriter struct {
	*httptest.ResponseRecorder
	from *io.PipeReader
}

func (w *pipeWriter) SetReadDeadline(time.Time) error {
	return w.from.CloseWithError(os.ErrDeadlineExceeded)
}
