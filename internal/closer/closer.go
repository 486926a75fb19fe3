// Package closer has callers give up their connections while a server is about to
// stop.
//
// A server that closes an idle connection may do so just as a request is under way
// on it, which the caller then has to send again. So for a while before it stops,
// each answer asks the caller to use another connection next.
//
// # Usage
//
//	server.Handler = closer.New(door, func() bool { return stopping.Load() })
package closer

import "net/http"

// New returns a handler that answers as door does, and asks callers to give up their
// connections while leaving reports true.
func New(door http.Handler, leaving func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if leaving() {
			w.Header().Set("Connection", "close")
		}
		door.ServeHTTP(w, r)
	})
}
