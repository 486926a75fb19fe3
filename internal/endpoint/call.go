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
	// HeaderRequest is the identifier of a request. An endpoint may return it
	// in its answer.
	HeaderRequest = "Marjoram-Request"
	// HeaderLeaving is set by an endpoint in an answer to report that it is
	// leaving.
	HeaderLeaving = "Marjoram-Leaving"
)

// MaxAnswerBytes is the maximum size of the body of an answer: 8 MiB.
const MaxAnswerBytes = 8 << 20

// Request is a request to an endpoint. ID identifies it.
type Request struct {
	ID     string
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is a complete answer of an endpoint. Leaving means that the endpoint
// reported that it is leaving.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Leaving bool
}

// State is the state of a call.
type State int

// States of a call.
const (
	// StateWaiting means that no byte of the answer has been received.
	StateWaiting State = iota
	// StateAnswered means that the complete answer has been received.
	StateAnswered
	// StateLost means that the connection ended before the answer began.
	StateLost
	// StateIncomplete means that the answer was truncated or malformed, or was
	// not an answer to this request.
	StateIncomplete
)

// Call is one request on one connection.
type Call struct {
	pool   *Pool
	conn   *conn
	id     string
	method string
	ended  bool
	// interim is the number of interim (1xx) responses that were read.
	interim int
}

// Begin writes the request once, to an idle or new connection. If the error is
// ErrNotSent, the endpoint has received nothing of the request. After any other
// error the request may have been executed.
func (p *Pool) Begin(request Request) (*Call, error) {
	c, err := p.get()
	if err != nil {
		return nil, err
	}
	return p.begin(c, request)
}

// BeginFresh is like Begin, but always opens a new connection. It is for hedged
// requests: if an answer is late, the idle connections may all be dead too.
func (p *Pool) BeginFresh(request Request) (*Call, error) {
	c, err := p.connect()
	if err != nil {
		return nil, err
	}
	return p.begin(c, request)
}

// begin writes the request to c and returns the call. It closes c on an error.
func (p *Pool) begin(c *conn, request Request) (*Call, error) {
	counter := &countingWriter{to: c.net}
	err := write(counter, c.net, p.address, request)
	if err == nil {
		return &Call{
			pool:   p,
			conn:   c,
			id:     request.ID,
			method: request.Method,
		}, nil
	}
	p.discard(c)
	if counter.written == 0 {
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

// write writes the request to the writer, which wraps nc.
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

// HopByHop reports whether a header must not be forwarded, because it applies to
// one connection or message only, or is one of marjoramstack's headers.
func HopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect":
		return true
	}
	return strings.HasPrefix(name, "Marjoram-")
}

// Wait waits for the answer and reads it. It returns StateWaiting if the first
// byte does not arrive within span, or if Interrupt is called before; Wait can
// then be called again. Interim responses (status 1xx) are read and discarded.
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

// Limits on an answer: the time to read a response once its first byte has
// arrived, and the number of interim responses.
const (
	restTimeout = 10 * clock.Second
	maxInterim  = 8
)

// interim reports whether another response to the same request follows. Requests
// never ask for a protocol upgrade, so status 101 counts as final.
func interim(resp *http.Response) bool {
	return resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols
}

// response reads the header of the next response, whose first byte must arrive by
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
	// Once a response has begun, its rest may arrive after the deadline.
	if c.conn.net.SetReadDeadline(restTimeout.FromNow()) != nil {
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
		return Answer{}, Error.New("the endpoint switched protocols, which was not requested")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, Error.Wrap(err)
	}
	if len(body) > MaxAnswerBytes {
		return Answer{}, Error.New("answer body exceeds %d bytes", MaxAnswerBytes)
	}
	if !delimited(resp, c.method) {
		return Answer{}, Error.New("the answer has neither Content-Length nor chunked encoding, so truncation cannot be detected")
	}
	if echo := resp.Header.Get(HeaderRequest); echo != "" && echo != c.id {
		return Answer{}, Error.New("answer to request %s received for request %s", echo, c.id)
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

// delimited reports whether the end of the body can be distinguished from a
// connection that broke.
func delimited(resp *http.Response, method string) bool {
	if method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return true
	}
	chunked := len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
	return chunked || resp.ContentLength >= 0
}

// Interrupt makes a concurrent Wait return.
func (c *Call) Interrupt() {
	if c.conn.net.SetReadDeadline(clock.Span(0).FromNow()) != nil {
		return // the connection is closed, so Wait returns anyway
	}
}

// Suspect marks the connection as suspect, so that it is not reused for another
// request.
func (c *Call) Suspect() { c.conn.suspect = true }

// Release ends the call. The connection returns to the pool if the complete answer
// was read, and is closed otherwise.
func (c *Call) Release() {
	if c.ended {
		c.pool.put(c.conn)
		return
	}
	c.pool.discard(c.conn)
}

// Abandon waits in the background for the answer, for at most span, and discards
// it. Then it releases the call and calls done. Until then the call still occupies
// a slot of the endpoint and must be counted.
func (c *Call) Abandon(span clock.Span, done func()) {
	go func() {
		c.Wait(span)
		c.Release()
		done()
	}()
}
