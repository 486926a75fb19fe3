package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"marjoramstack/pkg/clock"
)

// Names of headers between entry VMs and endpoints.
const (
	// HeaderRequest carries the identifier of a request; an endpoint may
	// return it.
	HeaderRequest = "Marjoram-Request"
	// HeaderLeaving on an answer is the endpoint's own word that it is leaving.
	HeaderLeaving = "Marjoram-Leaving"
)

// MaxAnswerBytes bounds the body of an answer.
const MaxAnswerBytes = 8 << 20

// Request is what is handed to an endpoint.
type Request struct {
	ID     string
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is a whole answer of an endpoint.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Leaving bool
}

// State tells how far a call has come.
type State int

// States of a call.
const (
	// StateWaiting means that no byte of the answer has come.
	StateWaiting State = iota
	// StateAnswered means that the whole answer is there.
	StateAnswered
	// StateLost means that the connection ended before the answer began.
	StateLost
	// StateIncomplete means that the answer was cut short, or was not an
	// answer to this request.
	StateIncomplete
)

// Call is one request on one connection.
type Call struct {
	pool   *Pool
	conn   *conn
	id     string
	method string
	ended  bool
	// interim counts the responses read that were not final.
	interim int
}

// Begin writes the request to one connection, once. An error that is ErrNotSent
// means that the endpoint has seen nothing of it; after any other the request
// may have run.
func (p *Pool) Begin(request Request) (*Call, error) {
	c, err := p.get()
	if err != nil {
		return nil, err
	}
	return p.begin(c, request)
}

// BeginFresh is Begin on a new connection. A further attempt beside a late one
// takes it, since idle connections may have gone silent together.
func (p *Pool) BeginFresh(request Request) (*Call, error) {
	c, err := p.connect()
	if err != nil {
		return nil, err
	}
	return p.begin(c, request)
}

func (p *Pool) begin(c *conn, request Request) (*Call, error) {
	counted := &countingWriter{to: c.net}
	err := write(counted, c.net, p.address, request)
	if err == nil {
		return &Call{
			pool:   p,
			conn:   c,
			id:     request.ID,
			method: request.Method,
		}, nil
	}
	p.discard(c)
	if counted.written == 0 {
		return nil, errors.Join(ErrNotSent, Error.Wrap(err))
	}
	return nil, Error.Wrap(err)
}

type countingWriter struct {
	to      io.Writer
	written int
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.to.Write(b)
	w.written += n
	return n, err
}

func write(to io.Writer, nc net.Conn, address string, request Request) error {
	req, err := http.NewRequest(request.Method, "http://"+address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return err
	}
	for name, values := range request.Header {
		if !HopByHop(name) {
			req.Header[name] = values
		}
	}
	req.Header.Set(HeaderRequest, request.ID)
	if err := nc.SetWriteDeadline(writeTimeout.FromNow()); err != nil {
		return err
	}
	buffered := bufio.NewWriter(to)
	if err := req.Write(buffered); err != nil {
		return err
	}
	return buffered.Flush()
}

// HopByHop reports whether a header concerns one connection only and is not
// passed on.
func HopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect":
		return true
	}
	return strings.HasPrefix(name, "Marjoram-")
}

// Wait reads the answer until the time given as a span from now. It returns
// StateWaiting if the span passes, or Interrupt is called, before the first
// byte; Wait may then be called again. Interim responses (status 1xx) are read
// and dropped: they announce an answer and are none.
func (c *Call) Wait(span clock.Span) (Answer, State) {
	deadline := span.FromNow()
	for {
		resp, state := c.response(deadline)
		if state != StateAnswered {
			return Answer{}, state
		}
		if !interim(resp) {
			return c.finish(resp)
		}
		c.interim++
		if c.interim > maxInterim {
			return Answer{}, StateIncomplete
		}
	}
}

// Bounds of what an endpoint may send before, and for, its answer.
const (
	answerTimeout = 10 * clock.Second
	maxInterim    = 8
)

// interim reports whether a further response follows to the same request. A
// change of protocol is never asked for, so it counts as final.
func interim(resp *http.Response) bool {
	return resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols
}

// response reads the head of the next response, whose first byte must come by
// the deadline.
func (c *Call) response(deadline time.Time) (*http.Response, State) {
	if c.conn.net.SetReadDeadline(deadline) != nil {
		return nil, StateLost
	}
	if _, err := c.conn.reader.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, StateWaiting
		}
		return nil, StateLost
	}
	// The rest of a response that has begun gets time of its own.
	if c.conn.net.SetReadDeadline(answerTimeout.FromNow()) != nil {
		return nil, StateLost
	}
	resp, err := http.ReadResponse(c.conn.reader, &http.Request{Method: c.method})
	if err != nil {
		return nil, StateIncomplete
	}
	return resp, StateAnswered
}

func (c *Call) finish(resp *http.Response) (Answer, State) {
	answer, err := c.read(resp)
	if err != nil {
		return Answer{}, StateIncomplete
	}
	c.ended = true
	return answer, StateAnswered
}

func (c *Call) read(resp *http.Response) (Answer, error) {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return Answer{}, Error.New("the endpoint changed the protocol unasked")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, Error.Wrap(err)
	}
	if len(body) > MaxAnswerBytes {
		return Answer{}, Error.New("answer exceeds %d bytes", MaxAnswerBytes)
	}
	if !delimited(resp, c.method) {
		return Answer{}, Error.New("the answer's length is not stated, so it cannot be known to be whole")
	}
	if echo := resp.Header.Get(HeaderRequest); echo != "" && echo != c.id {
		return Answer{}, Error.New("answer to request %s came for %s", echo, c.id)
	}
	if resp.Close {
		c.conn.suspect = true
	}
	return Answer{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Body:    body,
		Leaving: resp.Header.Get(HeaderLeaving) != "",
	}, nil
}

// delimited reports whether the end of the body can be told from a cut
// connection.
func delimited(resp *http.Response, method string) bool {
	if method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return true
	}
	chunked := len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
	return chunked || resp.ContentLength >= 0
}

// Interrupt makes a Wait that is under way in another goroutine return.
func (c *Call) Interrupt() {
	if c.conn.net.SetReadDeadline(clock.Span(0).FromNow()) != nil {
		return // the connection is gone, so Wait returns by itself
	}
}

// Suspect keeps the connection from being used for another request.
func (c *Call) Suspect() { c.conn.suspect = true }

// Release ends the call. The connection is kept if its answer was taken whole.
func (c *Call) Release() {
	if c.ended {
		c.pool.put(c.conn)
		return
	}
	c.pool.discard(c.conn)
}

// Abandon waits for the answer in the background, for at most the span, and
// drops it, so that the endpoint's slot counts as used while it is. Then it
// releases the call and calls done.
func (c *Call) Abandon(span clock.Span, done func()) {
	go func() {
		c.Wait(span)
		c.Release()
		done()
	}()
}
