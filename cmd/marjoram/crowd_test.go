//go:build apart

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	wirestandin "marjoramstack/platform/standin"
)

// crowd is a group of clients that send the same request, each on a connection of its own.
type crowd struct {
	address string
	members int
	// rounds is how often a member connects again after the server closed its connection.
	rounds int
	// head is the start of the request, up to and including its headers; body is nil if the
	// request has none. size is the length of the body that the head states.
	head []byte
	body []byte
	size int
	// short is how many bytes of the body are not sent.
	short   int
	chunked bool
	// piece is the number of bytes sent at a time, 0 for all, and pause the time between pieces.
	piece int
	pause time.Duration
	// requests is how many requests are sent on a connection, without reading a response
	// unless reads is set.
	requests int
	reads    bool
	// methods makes each request name another method.
	methods bool

	done   chan struct{}
	placed sync.WaitGroup
	left   sync.WaitGroup
}

// crowdWriteTimeout bounds the time in which a server accepts no byte of a member.
const crowdWriteTimeout = 3 * time.Second

// newCrowd returns the crowd that a command describes. Its input is the request line, then the
// opening of the body, the text that is repeated to fill it, and its closing.
func newCrowd(t *testing.T, d *datadriven.TestData, addresses map[string]string) *crowd {
	c := &crowd{
		rounds:   1,
		requests: 1,
		done:     make(chan struct{}),
	}
	to, framing, pause, fields, path := "callers", "length", 0, 0, 0
	d.MaybeScanArgs(t, "to", &to)
	d.MaybeScanArgs(t, "framing", &framing)
	d.MaybeScanArgs(t, "members", &c.members)
	d.MaybeScanArgs(t, "rounds", &c.rounds)
	d.MaybeScanArgs(t, "size", &c.size)
	d.MaybeScanArgs(t, "short", &c.short)
	d.MaybeScanArgs(t, "piece", &c.piece)
	d.MaybeScanArgs(t, "pause-ms", &pause)
	d.MaybeScanArgs(t, "requests", &c.requests)
	d.MaybeScanArgs(t, "fields", &fields)
	d.MaybeScanArgs(t, "path-bytes", &path)
	c.reads = d.HasArg("reads")
	c.methods = d.HasArg("methods")
	c.chunked = framing == "chunked"
	c.pause = time.Duration(pause) * time.Millisecond
	c.address = addresses[to]
	lines := strings.Split(d.Input, "\n")
	method, target, found := strings.Cut(lines[0], " ")
	assert.Assert(t, found, "request line %q", lines[0])
	c.buildHead(method, target+strings.Repeat("a", path), fields, d.HasArg("open-head"))
	if c.size > 0 {
		assert.Equal(t, len(lines), 4, "expected opening, filling and closing of the body")
		c.fillBody(lines[1], lines[2], lines[3])
	}
	return c
}

// buildHead builds the head of the request. If open is set, it lacks the empty line at its end.
func (c *crowd) buildHead(method, target string, fields int, open bool) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, wirestandin.Host)
	switch {
	case c.size > 0 && c.chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case c.size > 0:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", c.size)
	}
	for i := range fields {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	if !open {
		head.WriteString("\r\n")
	}
	c.head = head.Bytes()
}

func (c *crowd) fillBody(opening, unit, closing string) {
	count := (c.size - len(opening) - len(closing)) / len(unit)
	text := opening + strings.Repeat(unit, count)
	text += strings.Repeat(" ", c.size-len(text)-len(closing)) + closing
	c.body = []byte(text[:c.size-c.short])
}

// begin starts the members and returns once each has sent all that it sends on its first
// connection, or can send no more.
func (c *crowd) begin() {
	c.placed.Add(c.members)
	for range c.members {
		c.left.Go(c.runMember)
	}
	c.placed.Wait()
}

// end closes all connections.
func (c *crowd) end() {
	close(c.done)
	c.left.Wait()
}

func (c *crowd) runMember() {
	placed := sync.OnceFunc(c.placed.Done)
	defer placed()
	for range c.rounds {
		select {
		case <-c.done:
			return
		default:
		}
		c.connect(placed)
	}
}

// connect sends on one connection, and holds it open until either side closes it.
func (c *crowd) connect(placed func()) {
	conn, err := net.DialTimeout("tcp", c.address, crowdWriteTimeout)
	if err != nil {
		return // refused, as allowed
	}
	defer conn.Close()
	if c.reads {
		c.sendAndRead(conn)
		return
	}
	c.send(conn)
	placed()
	c.awaitEnd(conn)
}

// sendAndRead sends all requests and returns when the server has answered or closed the
// connection.
func (c *crowd) sendAndRead(conn net.Conn) {
	var reading sync.WaitGroup
	reading.Go(func() { io.Copy(io.Discard, conn) })
	c.send(conn)
	conn.(*net.TCPConn).CloseWrite()
	reading.Wait()
}

// awaitEnd waits until the server has closed the connection or the crowd ends. It reads
// at most a byte at a time, and nothing of pipelined responses, since what a client has not
// read is part of the test.
func (c *crowd) awaitEnd(conn net.Conn) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	reader := bufio.NewReaderSize(conn, 16)
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		if c.requests > 1 {
			continue // responses that are not read
		}
		conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := reader.Discard(1); err != nil && !isTimeout(err) {
			return
		}
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

func (c *crowd) send(conn net.Conn) {
	for i := range c.requests {
		head := c.head
		if c.methods {
			_, rest, _ := bytes.Cut(head, []byte(" "))
			head = append(fmt.Appendf(nil, "M%d ", i), rest...)
		}
		if !c.write(conn, head) || !c.sendBody(conn) {
			return
		}
	}
}

func (c *crowd) sendBody(conn net.Conn) bool {
	body := c.body
	piece := len(body)
	if c.piece > 0 {
		piece = c.piece
	}
	for len(body) > 0 {
		n := min(piece, len(body))
		part := body[:n]
		if c.chunked {
			part = fmt.Appendf(nil, "%x\r\n%s\r\n", n, part)
		}
		if !c.write(conn, part) {
			return false
		}
		body = body[n:]
		if c.pause > 0 && !c.sleep() {
			return false
		}
	}
	return true
}

// sleep waits between pieces, and returns false if the crowd ends.
func (c *crowd) sleep() bool {
	select {
	case <-time.After(c.pause):
		return true
	case <-c.done:
		return false
	}
}

func (c *crowd) write(conn net.Conn, data []byte) bool {
	conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	_, err := conn.Write(data)
	return err == nil
}
