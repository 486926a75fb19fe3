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
// connections with each answer that begins while leaving reports true.
func New(door http.Handler, leaving func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asking := &writer{
			ResponseWriter: w,
			leaving:        leaving,
		}
		door.ServeHTTP(asking, r)
		asking.ask() // an empty answer begins only now
	})
}

// writer asks when an answer begins, which may be long after its request came.
type writer struct {
	http.ResponseWriter
	leaving func() bool
	begun   bool
}

// WriteHeader begins an answer.
func (w *writer) WriteHeader(status int) {
	w.ask()
	w.ResponseWriter.WriteHeader(status)
}

// Write begins an answer if it has not begun.
func (w *writer) Write(b []byte) (int, error) {
	w.ask()
	return w.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *writer) ask() {
	if !w.begun && w.leaving() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}
