package authenticator

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

// TestCheck runs the script of testdata/callers: each "check" is a request to a queue, and prints
// the customer of the caller and whether it may reach a job of customer a in queue q.
func TestCheck(t *testing.T) {
	ops := document.Operations{
		KeyOwners: map[document.KeyDigest]string{
			document.DigestKey("key-a"): "a",
			document.DigestKey("key-b"): "b",
		},
	}
	datadriven.RunTest(t, "testdata/callers", func(t *testing.T, d *datadriven.TestData) string {
		ops.KeysRequired = d.HasArg("required")
		queue := document.Queue{
			Name: "q",
			Open: d.HasArg("open"),
		}
		key, age := "", 0
		d.MaybeScanArgs(t, "queue", &queue.Name)
		d.MaybeScanArgs(t, "key", &key)
		d.MaybeScanArgs(t, "age", &age)
		caller, err := Check(ops, queue, key, clock.Span(age))
		if err != nil {
			return result.CodeOf(err).String()
		}
		return fmt.Sprintf("customer %q, reaches a's job: %v, one without a customer: %v", caller.Customer(),
			caller.MayReach("a", "q"), caller.MayReach("", "other"))
	})
}
