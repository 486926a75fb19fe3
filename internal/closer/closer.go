// Package closer asks callers to close their connections while a server is about to
// stop.
//
// A server that closes an idle connection may do so just as a request is in flight on
// it, and the caller then has to send the request again. To avoid this, for a while
// before the server stops, each response asks the caller to use another connection for
// its next request.
//
// # Usage
//
//	server.Handler = closer.New(handler, func() bool { return stopping.Load() })
package closer

import "net/http"

// New returns a handler that calls next and adds the header "Connection: close" to
// each response that begins while leaving reports true.
func New(next http.Handler, leaving func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cw := &closeWriter{
			ResponseWriter: w,
			leaving:        leaving,
		}
		next.ServeHTTP(cw, r)
		cw.begin() // next may have written nothing
	})
}

// closeWriter decides on the header when the response begins, which may be long after
// the request was received.
type closeWriter struct {
	http.ResponseWriter
	leaving func() bool
	begun   bool
}

// WriteHeader begins the response.
func (w *closeWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write begins the response if it has not begun yet.
func (w *closeWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *closeWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *closeWriter) begin() {
	if !w.begun && w.leaving() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}
