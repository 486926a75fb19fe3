package address

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestURL checks the URLs of usual addresses and of those that need parsing.
func TestURL(t *testing.T) {
	for host, want := range map[string]string{
		"10.0.0.1:80":      "http://10.0.0.1:80/run",
		"[2001:db8::1]:80": "http://[2001:db8::1]:80/run",
		"worker:80":        "http://worker:80/run",
	} {
		u, err := URL(host, "/run")
		assert.NilError(t, err)
		assert.Equal(t, u.String(), want)
	}
	_, err := URL("10.0.0.1:port", "/run")
	assert.Assert(t, err != nil)
}
