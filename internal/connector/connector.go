// Package connector makes HTTP transports that notice peers which no longer respond.
//
// Connections may go silent without a reset. A transport of this package closes a
// connection when sent bytes or keep-alive probes stay unanswered.
//
// # Usage
//
//	client := http.Client{Transport: connector.NewTransport(4)}
package connector

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 1 * time.Second
	// unackedTimeout is how long sent bytes may stay unacknowledged before TCP closes
	// the connection.
	unackedTimeout    = 1500 // ms
	keepAliveInterval = 1 * time.Second
	keepAliveProbes   = 3
	idleConnTimeout   = 30 * time.Second
	writeBufferBytes  = 2048
	readBufferBytes   = 4096
	maxBodyBytes      = 32 << 20
	// maxSizedBytes is the largest size of a body for which memory is allocated before
	// it has arrived.
	maxSizedBytes = 1 << 20
)

// NewTransport returns an HTTP transport that keeps up to conns idle connections to
// each host, and closes connections whose peer no longer responds.
func NewTransport(conns int) *http.Transport {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockErr error
			err := raw.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unackedTimeout)
			})
			return errors.Join(err, sockErr)
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		WriteBufferSize:     writeBufferBytes,
		ReadBufferSize:      readBufferBytes,
	}
}

// ReadBody reads the body of a response, at most maxBodyBytes. One of a known and usual
// size is read into a buffer of that size.
func ReadBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 || resp.ContentLength > maxSizedBytes {
		return io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	}
	data := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, data)
	return data, err
}
