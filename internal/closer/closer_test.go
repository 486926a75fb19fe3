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
