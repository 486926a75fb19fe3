package document

import (
	"testing"

	"github.com/cockroachdb/datadriven"
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
