package result

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPage checks that docs/RESULTS.md matches the table of codes.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/RESULTS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), Markdown())
}

// TestTable checks that codes and names are unique, that HTTP statuses are in
// range, and the codes and outcomes of two special cases.
func TestTable(t *testing.T) {
	names := map[string]bool{}
	last := Code(-1)
	for _, e := range Entries() {
		assert.Assert(t, e.Code > last, "%d is out of order", e.Code)
		assert.Assert(t, !names[e.Name], "name %s is used twice", e.Name)
		assert.Assert(t, e.Status >= 200 && e.Status < 600)
		names[e.Name] = true
		last = e.Code
	}
	assert.Equal(t, CodeOf(nil), OK)
	assert.Equal(t, AnswerLost.Outcome(), OutcomeUnknown)
}
