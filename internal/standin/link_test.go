package standin

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLinkMute checks that a muted link forwards data to the target, drops data from
// the target, and forwards both again once it is no longer muted.
func TestLinkMute(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer target.Close()
	link, err := NewLink(target.Addr().String())
	assert.NilError(t, err)
	defer link.Close()
	client, err := net.Dial("tcp", link.Address())
	assert.NilError(t, err)
	defer client.Close()
	server, err := target.Accept()
	assert.NilError(t, err)
	defer server.Close()

	link.SetFaults(LinkFaults{Mute: true})
	send(t, client, "there")
	assert.Equal(t, receive(t, server), "there")
	send(t, server, "back")
	assert.NilError(t, client.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = client.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))

	link.SetFaults(LinkFaults{})
	send(t, server, "again")
	assert.Equal(t, receive(t, client), "again")
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	assert.NilError(t, err)
}

func receive(t *testing.T, conn net.Conn) string {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	buffer := make([]byte, 64)
	n, err := conn.Read(buffer)
	assert.NilError(t, err)
	return string(buffer[:n])
}
