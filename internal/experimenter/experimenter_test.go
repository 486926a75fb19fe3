package experimenter

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const small = `schema: marjoram-experiment/v1
name: small
kind: batch
seed: 1
batch:
  zones: 1
  workers-per-zone: 4
  processors: 8
  memory-mb: 32000
  seconds: 400
  jobs-per-minute: 40
  POLICY
  classes:
    - {name: cure-test, finish-by: 20m, tasks: 3, processors: 2, work-s: 30, share: 1}
    - {name: proof, finish-by: 20m, tasks: 3, processors: 2, work-s: 30, share: 1}
  slowdowns:
    - {class: cure-test, other: proof, permille: 500}
    - {class: proof, other: cure-test, permille: 500}
expect:
  - {figure: work-vs-first-fit, at-least: 1.2}
  - {figure: broken, at-most: 0}
`

func runText(t *testing.T, text string) (*Report, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "plan.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	plan, err := Load(path)
	assert.NilError(t, err)
	var out bytes.Buffer
	report, err := Run(context.Background(), plan, &out)
	assert.NilError(t, err)
	return report, out.String()
}

// TestHolds runs a small experiment and writes its report with a plot.
func TestHolds(t *testing.T) {
	report, out := runText(t, strings.Replace(small, "POLICY", "policy: \"\"", 1))
	assert.Assert(t, report.Held(), out)
	folder := t.TempDir()
	assert.NilError(t, Write(folder, report))
	for _, name := range []string{"small.json", "small.png"} {
		info, err := os.Stat(filepath.Join(folder, name))
		assert.NilError(t, err)
		assert.Assert(t, info.Size() > 0)
	}
}

// TestBrokenPolicyFails runs the baseline in place of the policy: the stated
// outcome must not hold.
func TestBrokenPolicyFails(t *testing.T) {
	report, out := runText(t, strings.Replace(small, "POLICY", "policy: first-fit", 1))
	assert.Assert(t, !report.Held(), out)
	assert.Assert(t, strings.Contains(out, "FAILED work-vs-first-fit"), out)
}

// TestBadPlans holds that a plan without a stated outcome, or with an unknown
// field, is refused.
func TestBadPlans(t *testing.T) {
	for _, text := range []string{
		strings.Split(small, "expect:")[0],
		strings.Replace(small, "POLICY", "weights: 3", 1),
		strings.Replace(small, "kind: batch", "kind: routing", 1),
		strings.Replace(small, "/v1", "/v2", 1),
	} {
		path := filepath.Join(t.TempDir(), "plan.yaml")
		assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(text, "POLICY", "policy: \"\"", 1)), 0o600))
		_, err := Load(path)
		assert.Assert(t, err != nil, text)
	}
}
