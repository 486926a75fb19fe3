package standin

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A muted link carries what goes to the target and nothing that comes back.
func TestLinkMute(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer target.Close()
	link, err := NewLink(target.Addr().String())
	assert.NilError(t, err)
	defer link.Close()
	near, err := net.Dial("tcp", link.Address())
	assert.NilError(t, err)
	defer near.Close()
	far, err := target.Accept()
	assert.NilError(t, err)
	defer far.Close()

	link.SetFaults(LinkFaults{Mute: true})
	send(t, near, "there")
	assert.Equal(t, receive(t, far), "there")
	send(t, far, "back")
	assert.NilError(t, near.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = near.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))

	link.SetFaults(LinkFaults{})
	send(t, far, "again")
	assert.Equal(t, receive(t, near), "again")
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
