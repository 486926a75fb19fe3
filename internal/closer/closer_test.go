package closer

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLeaving checks that responses leave the connection open until the server is
// leaving and ask to close it from then on.
func TestLeaving(t *testing.T) {
	var leaving atomic.Bool
	server := httptest.NewServer(New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), leaving.Load))
	defer server.Close()
	asksToClose := func() bool {
		resp, err := server.Client().Get(server.URL)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.Close
	}
	assert.Assert(t, !asksToClose())
	leaving.Store(true)
	assert.Assert(t, asksToClose())
}

// TestLeavingMidway checks that the response to a request received before the server
// is leaving, but answered after that, asks to close the connection. This must hold
// however the response begins, also if the handler writes nothing.
func TestLeavingMidway(t *testing.T) {
	for name, answer := range map[string]func(http.ResponseWriter){
		"status": func(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) },
		"body":   func(w http.ResponseWriter) { w.Write([]byte("body")) },
		"none":   func(http.ResponseWriter) {},
	} {
		t.Run(name, func(t *testing.T) {
			var leaving atomic.Bool
			server := httptest.NewServer(New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				leaving.Store(true)
				answer(w)
			}), leaving.Load))
			defer server.Close()
			resp, err := server.Client().Get(server.URL)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Assert(t, resp.Close)
		})
	}
}
