package main

import (
	"net"
	"net/http"
	"sync/atomic"
)

// door is the address of the store for one VM, which the store may turn away.
type door struct {
	address string
	server  *http.Server
	closed  atomic.Bool
}

func newDoor(st *store) (*door, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{address: listener.Addr().String()}
	d.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.closed.Load() {
			reply(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		st.ServeHTTP(w, r)
	})}
	go d.server.Serve(listener)
	return d, nil
}
