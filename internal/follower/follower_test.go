package follower

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"marjoramstack/pkg/result"
)

const text = "schema: marjoram/v1\nservice: desk\nzones: [press]\nclasses:\n  - name: quote\n    kind: interactive\n    answer-by: %dms\n"

func state(version uint64) State {
	return State{
		Version: version,
		Text:    fmt.Sprintf(text, version%7+1),
	}
}

// TestNeverReverts checks that the current version never becomes older, and that
// subscribers get every change once and in order, if versions are offered in any
// order, as peers and the platform do after a pause or a partition.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New()
		var seen []uint64
		f.Subscribe(func(s *Snapshot) { seen = append(seen, s.Version()) })
		newest := uint64(0)
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 40)).Draw(t, "versions") {
			changed, err := f.Offer(state(v))
			assert.NilError(t, err)
			assert.Equal(t, changed, v > newest)
			newest = max(newest, v)
			assert.Equal(t, f.Version(), newest)
		}
		for i := 1; i < len(seen); i++ {
			assert.Assert(t, seen[i] > seen[i-1])
		}
	})
}

// TestBadVersionIsRefused checks that a version whose document is malformed does not
// replace the current one.
func TestBadVersionIsRefused(t *testing.T) {
	f := New()
	_, err := f.Offer(state(1))
	assert.NilError(t, err)
	changed, err := f.Offer(State{Version: 2, Text: "schema: nonsense"})
	assert.Equal(t, result.CodeOf(err), result.MalformedDocument)
	assert.Equal(t, changed, false)
	assert.Equal(t, f.Version(), uint64(1))
}
