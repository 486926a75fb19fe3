package document

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"marjoramstack/pkg/result"
)

// TestParse parses the documents in testdata and prints the error or the classes
// with their targets.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		doc, err := Parse([]byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		out := "service " + doc.Service + "\n"
		for _, class := range doc.Classes {
			out += string(class.Kind) + " " + class.Name + " " + class.Target().String() + "\n"
		}
		return out
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("schema: marjoram/v1\nservice: a\nzones: [z]\nclasses:\n  - name: q\n    kind: interactive\n    answer-by: 1s\n"))
	f.Add([]byte("schema: [1, 2"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Parse(text)
		if err == nil && len(doc.Classes) == 0 {
			t.Fatal("accepted a document without classes")
		}
	})
}

// TestOddDocument guards against an entry VM that ends at a document which the YAML
// library can't handle, and ends again at each start, because it reads the document again.
func TestOddDocument(t *testing.T) {
	for _, odd := range []string{
		"zones: !00\n00000000\n  -000000000000000000000000000",
		strings.Repeat("[", 11_000),
		strings.Repeat("{a: ", 11_000),
		strings.Repeat("- ", 11_000),
	} {
		_, err := Parse([]byte(odd))
		assert.Check(t, is.Equal(result.CodeOf(err), result.MalformedDocument), "%.60q", odd)
	}
}
