package closer

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLeaving holds that callers keep their connections until the server leaves, and
// give them up with their next answer then.
func TestLeaving(t *testing.T) {
	var leaving atomic.Bool
	server := httptest.NewServer(New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), leaving.Load))
	defer server.Close()
	ask := func() bool {
		resp, err := server.Client().Get(server.URL)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.Close
	}
	assert.Assert(t, !ask())
	leaving.Store(true)
	assert.Assert(t, ask())
}

// TestLeavingMidway holds that a caller whose request came before the server leaves is
// asked to give the connection up, whatever way the answer begins, also one without
// any byte.
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
