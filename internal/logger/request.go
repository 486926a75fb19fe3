package logger

import "net/http"

// maxPath is the length at which paths are cut, in bytes. Paths of jobs are shorter.
const maxPath = 256

// Method returns the method of a request for logs and metrics, which must not grow with what
// clients invent.
func Method(r *http.Request) string {
	switch r.Method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return r.Method
	}
	return "other"
}

// Path returns the path of a request for logs, at most maxPath bytes of it.
func Path(r *http.Request) string { return r.URL.Path[:min(len(r.URL.Path), maxPath)] }
