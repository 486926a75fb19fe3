package coder

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNumber checks which texts are numbers in a usual form.
func TestNumber(t *testing.T) {
	for text, want := range map[string]int64{"0": 0, "-0": 0, "7": 7, "-12": -12, "999999999999999": 999999999999999} {
		n, ok := Number([]byte(text))
		assert.Assert(t, ok, text)
		assert.Equal(t, n, want)
	}
	for _, text := range []string{"", "-", "+1", "01", " 1", "1 ", "1.0", "1e2", "1000000000000000", "x"} {
		_, ok := Number([]byte(text))
		assert.Assert(t, !ok, text)
	}
}

// TestArray checks that a malformed array is odd, and that an empty one is nil.
func TestArray(t *testing.T) {
	element := func(s *Scanner) string {
		s.Expect('[')
		text := string(s.Text())
		s.Expect(']')
		return text
	}
	for text, want := range map[string][]string{`[]`: nil, ` [ ["a"] , ["b"] ] `: {"a", "b"}} {
		s := NewScanner([]byte(text))
		got := Array(s, 4, element)
		s.End()
		assert.Assert(t, !s.Odd(), text)
		assert.DeepEqual(t, got, want)
	}
	for _, text := range []string{``, `[`, `[["a"]`, `[["a"],]`, `[["a"]]]`, `[["a]]`, `["a"]`, `[[1]]`} {
		s := NewScanner([]byte(text))
		Array(s, 4, element)
		s.End()
		assert.Assert(t, s.Odd(), text)
	}
}
