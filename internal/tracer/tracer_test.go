package tracer

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
)

// TestRead reads the traces in testdata and prints the error, or checks that the
// trace is unchanged when written again.
func TestRead(t *testing.T) {
	datadriven.RunTest(t, "testdata/read", func(t *testing.T, d *datadriven.TestData) string {
		trace, err := Read(strings.NewReader(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		var out bytes.Buffer
		assert.NilError(t, trace.Write(&out))
		assert.Equal(t, strings.TrimSpace(out.String()), d.Input)
		return "read and written again\n"
	})
}

func FuzzRead(f *testing.F) {
	f.Add("{\"format\":\"marjoram-trace/v1\"}\n{\"at-ms\":1,\"kind\":\"quote\",\"class\":\"q\"}\n")
	f.Add("{}")
	f.Fuzz(func(t *testing.T, text string) {
		trace, err := Read(strings.NewReader(text))
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := trace.Write(&out); err != nil {
			t.Fatal(err)
		}
		again, err := Read(&out)
		if err != nil || len(again.Events) != len(trace.Events) {
			t.Fatalf("reading the written trace again: %v", err)
		}
	})
}
