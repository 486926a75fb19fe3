package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/platform"
)

// TestOddHolderRow guards against orders that are settled as if their holder had stopped,
// while it runs them, because its row can't be read.
func TestOddHolderRow(t *testing.T) {
	for _, odd := range []string{"", "null", "7", "{}", `{"member":{"id":7}}`, `{"member":{"id":"c","zone":"z","address":"10.0.0.1:80"}}`, `{"gone":true}`} {
		rows := []platform.Row{
			{Key: "entry/z/b", Version: 1, Value: []byte(odd)},
			{Key: "entry/z/d", Version: 2, Value: []byte(`{"member":{"id":"d","zone":"z"},"gone":true}`)},
		}
		assert.DeepEqual(t, liveHolders("a", rows), map[string]bool{"a": true, "b": true})
	}
}
