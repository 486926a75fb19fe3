package rationer

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// bufferBytes is the size of the system's buffers of a connection in each direction. What has
// arrived and is not read, or is not acknowledged by the client, takes no more than twice that.
const bufferBytes = 16 << 10

// BoundBuffers bounds the memory that the system keeps for each connection that l accepts. The
// error says that it does not allow that.
func BoundBuffers(l net.Listener) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bufferBytes),
		)
	})
	return errors.Join(err, failed)
}
