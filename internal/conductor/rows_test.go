package conductor

import (
	"encoding/json"
	"log/slog"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/address"
	"marjoramstack/internal/logger"
	"marjoramstack/internal/planner"
	"marjoramstack/internal/standin"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// newTestTenure returns a tenure whose loop does not run, and what it logs.
func newTestTenure(t testing.TB, store table.Store) (*tenure, *strings.Builder) {
	lines := &strings.Builder{}
	c := New(Options{
		Store: store, Clock: clock.NewManual(1_000_000), Log: slog.New(slog.NewTextHandler(lines, nil)),
		DecodeWorker: func(key string, value []byte) (planner.Worker, error) {
			var w planner.Worker
			err := json.Unmarshal(value, &w)
			w.ID = key
			return w, err
		},
	})
	return &tenure{
		c:        c,
		planner:  planner.New(planner.Options{LeaseMax: 6000, StopGrace: 200}),
		progress: map[string]planner.Progress{},

		workerFaults: logger.Faults{},
	}, lines
}

// oddJobs are values of job rows that no entry VM writes.
func oddJobs(t testing.TB) map[string]string {
	good, err := json.Marshal(acceptor.JobRow{Job: testJob})
	assert.NilError(t, err)
	with := func(old, new string) string {
		odd := strings.Replace(string(good), old, new, 1)
		assert.Assert(t, odd != string(good))
		return odd
	}
	return map[string]string{
		"null":              "null",
		"empty":             "",
		"no fields":         "{}",
		"too deep":          strings.Repeat("[", 20_000),
		"too deep in job":   `{"job":` + strings.Repeat(`{"steps":`, 20_000),
		"not UTF-8":         "\xff\xfe",
		"id of another":     with(jobID, "0000000000000000"),
		"no such step":      with(`"tasks":1`, `"tasks":1,"after":[99]`),
		"step before first": with(`"tasks":1`, `"tasks":1,"after":[-1]`),
		"negative tasks":    with(`"tasks":1`, `"tasks":-1`),
		"too many tasks":    with(`"tasks":1`, `"tasks":1000000000`),
		"too many times":    with(`"steps"`, `"schedule":{"times":1000000000},"steps"`),
		"number too large":  with(`"tasks":1`, `"tasks":92233720368547758070`),
		"demand too large":  with(`"processors":1`, `"processors":9223372036854775807`),
		"negative demand":   with(`"processors":1`, `"processors":-9223372036854775808`),
	}
}

// testJob has one task.
var testJob = document.StagedJob{
	ID: jobID, Queue: "q",
	Steps: []document.Step{{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}},
}

// TestOddJobRow guards against an owner that ends at a job's row that it cannot use,
// and after it every other VM that takes the cell and reads the row.
func TestOddJobRow(t *testing.T) {
	good, err := json.Marshal(acceptor.JobRow{Job: testJob})
	assert.NilError(t, err)
	for name, odd := range oddJobs(t) {
		t.Run(name, func(t *testing.T) {
			tenure, _ := newTestTenure(t, standin.NewRows())
			tenure.handleJobRows(1_000_000, []table.Row{
				{Part: acceptor.Part(jobID), Key: jobID, Value: []byte(odd), Version: 1},
				{Key: ".cancel", Version: 2},
				{Part: acceptor.Part(jobID), Key: jobID, Value: good, Version: 3},
			})
			assert.Equal(t, tenure.planner.Summary(1_000_000).Jobs, 1)
			assert.Equal(t, tenure.planner.Summary(1_000_000).Waiting, 1)
		})
	}
}

// TestOddWorkerRowLoggedOnce guards against a log line at every heartbeat of a worker
// whose row stays unusable, and against lines as long as the row's values.
func TestOddWorkerRowLoggedOnce(t *testing.T) {
	tenure, lines := newTestTenure(t, standin.NewRows())
	deliver := func(value string) {
		for version := range uint64(100) {
			value := strings.ReplaceAll(value, "SEQ", strconv.FormatUint(version, 10))
			tenure.handleWorkerRows(1_000_000, []table.Row{{Key: "w1", Value: []byte(value), Version: version + 1}})
		}
	}
	logged := func() int { return strings.Count(lines.String(), "worker-row-ignored") }
	deliver(`{"Leaving":7,"Rack":"SEQ"}`)
	assert.Equal(t, logged(), 1)
	deliver(`{"Zone":7,"Rack":"SEQ"}`)
	assert.Equal(t, logged(), 2, "the fault has changed")
	deliver(`{"Zone":"z","Rack":"SEQ"}`)
	deliver(`{"Zone":7,"Rack":"SEQ"}`)
	assert.Equal(t, logged(), 3, "the fault is new again")
	deliver(`{"Leaving":` + strings.Repeat("9", 60_000) + `}`)
	assert.Equal(t, logged(), 4)
	assert.Assert(t, lines.Len() < 2_000, "%d bytes logged", lines.Len())
}

// TestOddVMRow guards against requests to the adviser that go to an address where no VM
// is, because of a row that no VM wrote, and against a log line each time it is read.
func TestOddVMRow(t *testing.T) {
	for _, odd := range []string{
		"", "null", "{}", "[]", `{"address":""}`, `{"address":7}`, `{"address":"h:80"}`, `{"address":"10.0.0.1:0"}`,
		`{"address":"10.0.0.1:65536"}`, `{"address":"0.0.0.0:80"}`, `{"address":"[fe80::1%eth0]:80"}`,
		`{"address":"10.0.0.1:80/owner?"}`, `{"address":"10.0.0.1:80","serial":18446744073709551616}`,
		strings.Repeat("[", 20_000),
	} {
		rows := standin.NewRows()
		tenure, lines := newTestTenure(t, rows)
		c := tenure.c
		c.opts.VM = "a"
		c.opts.Probe = "self"
		rows.Write(acceptor.VMsTable, acceptor.VMsPart, "b", []byte(odd))
		rows.Write(acceptor.VMsTable, acceptor.VMsPart, "c", []byte(`{"address":"10.0.0.3:80","serial":1}`))
		for range 5 {
			assert.Check(t, is.DeepEqual(c.liveVMs(t.Context()), []string{"self", "10.0.0.3:80"}), "%.60q", odd)
		}
		assert.Check(t, is.Equal(strings.Count(lines.String(), "row-unreadable"), 1), "%.60q", odd)
	}
}

// TestOddProgressRow guards against an accepted job that never runs, and whose state is
// given as "", because the row of its progress can't be read.
func TestOddProgressRow(t *testing.T) {
	good, err := json.Marshal(acceptor.JobRow{Job: testJob})
	assert.NilError(t, err)
	for _, odd := range []string{
		"", "null", "{}", "[]", `{"state":""}`, `{"state":"lost"}`, `{"state":7}`, `{"state":"completed","tasks":7}`,
		`{"state":"running","tasks":[{"failed":[9223372036854775807]}]}`, `{"state":"running","tasks":[{"failed":[-5]}]}`,
		strings.Repeat("[", 20_000),
	} {
		_, err := acceptor.DecodeProgress([]byte(odd))
		assert.Check(t, err != nil, "%.60q", odd)
		rows := standin.NewRows()
		rows.Write(acceptor.ProgressTable, acceptor.CellPart, jobID, []byte(odd))
		tenure, lines := newTestTenure(t, rows)
		tenure.confirmedAt.Store(1_000_000)
		assert.NilError(t, tenure.load(t.Context()))
		tenure.handleJobRows(1_000_000, []table.Row{{Part: acceptor.Part(jobID), Key: jobID, Value: good, Version: 1}})
		assert.Check(t, is.Equal(tenure.planner.Summary(1_000_000).Jobs, 1), "%.60q", odd)
		assert.Check(t, is.Equal(strings.Count(lines.String(), "row-unreadable"), 1), "%.60q", odd)
	}
}

// TestOddUsedRow guards against tasks that run twice because the record of a worker in
// use can't be read, and against such a record that is never deleted: the tasks that it
// may name wait until the leases of the earlier owner have ended.
func TestOddUsedRow(t *testing.T) {
	for _, odd := range []string{
		"", "null", "{}", "[]", `{"worker":{"ID":"w2"},"exact":true}`, `{"worker":{"ID":"w1"},"exact":true,"held":["x"]}`,
		`{"worker":{"ID":"w1","Capacity":{"processors":92233720368547758070}}}`, strings.Repeat("[", 20_000),
	} {
		rows := standin.NewRows()
		rows.Write(acceptor.UsedTable, acceptor.CellPart, "w1", []byte(odd))
		tenure, lines := newTestTenure(t, rows)
		tenure.confirmedAt.Store(1_000_000)
		assert.NilError(t, tenure.load(t.Context()))
		assert.Check(t, is.Equal(strings.Count(lines.String(), "row-unreadable"), 1), "%.60q", odd)
		tenure.planner.Decide(1_000_000)
		polled := []string{}
		for _, order := range tenure.planner.TakeOrders() {
			polled = append(polled, order.(planner.Renew).Worker)
		}
		assert.Check(t, is.DeepEqual(polled, []string{"w1"}), "%.60q", odd)
	}
}

// TestOddLessonsRow guards against an owner that ends because it can't write what it has
// learned from the lessons of another writer, and after it every other VM that takes the
// cell.
func TestOddLessonsRow(t *testing.T) {
	for _, odd := range []string{
		`{"effects":[{"filler":"a","served":"b","loss":1.7e308,"variance":1.7e308}]}`,
		`{"effects":[{"filler":"a","served":"b","loss":-1.7e308}]}`,
		`{"effects":[{"filler":"a","served":"b","variance":-1}]}`,
		`{"low":{"b":1.7e308}}`, `{"low":{"b":-1.7e308}}`, `{"low":{"b":"x"}}`, strings.Repeat("[", 20_000),
	} {
		rows := standin.NewRows()
		rows.Write(acceptor.CellTable, acceptor.CellPart, acceptor.LessonsKey, []byte(odd))
		tenure, lines := newTestTenure(t, rows)
		tenure.confirmedAt.Store(1_000_000)
		assert.NilError(t, tenure.load(t.Context()))
		assert.Check(t, is.DeepEqual(tenure.planner.Lessons(), planner.Lessons{PeakMargins: map[string]float64{}}), "%.60q", odd)
		assert.Check(t, is.Equal(strings.Count(lines.String(), "row-unreadable"), 1), "%.60q", odd)
	}
}

// FuzzJobRow checks that a job's row of any bytes ends no owner, makes up no other job,
// and hides no other job's row.
func FuzzJobRow(f *testing.F) {
	good, err := json.Marshal(acceptor.JobRow{Job: testJob})
	assert.NilError(f, err)
	for _, odd := range oddJobs(f) {
		if len(odd) < 10_000 {
			f.Add(jobID, []byte(odd), []byte("{}"))
		}
	}
	f.Add("0000000000000000", good, []byte(`{"state":"running","steps":[{"done":"/w=="},{"s":-1,"all":true}],"tasks":[{"i":-1},{"failed":[4503599627370496]}]}`))
	f.Add(jobID, good, []byte(`{"state":"running","steps":[{"all":true},{"all":true}]}`))
	f.Fuzz(func(t *testing.T, key string, value, progress []byte) {
		rows := standin.NewRows()
		rows.Write(acceptor.ProgressTable, acceptor.CellPart, key, progress)
		tenure, _ := newTestTenure(t, rows)
		tenure.confirmedAt.Store(1_000_000)
		assert.NilError(t, tenure.load(t.Context()))
		other := testJob
		other.ID = "ffffffffffffffff"
		otherValue, err := json.Marshal(acceptor.JobRow{Job: other})
		assert.NilError(t, err)
		tenure.handleJobRows(1_000_000, []table.Row{
			{Key: key, Value: value, Version: 1},
			{Part: "f", Key: other.ID, Value: otherValue, Version: 2},
		})
		tenure.planner.Decide(1_000_000)
		jobs := tenure.planner.Summary(1_000_000).Jobs
		assert.Assert(t, jobs == 1 || jobs == 2 || key == other.ID)
		removalTxns(tenure.planner.Forget(2_000_000))
		tenure.encodeChanges()
	})
}

// FuzzRecordedRows checks that rows of the owner's other tables with any bytes end no
// owner, and that what it inherits can be written again.
func FuzzRecordedRows(f *testing.F) {
	for _, odd := range []string{
		`null`, `{}`, `{"worker":{"ID":"w1","Labels":[null]},"exact":true,"held":["a/1/2/-3"]}`, `{"address":"10.0.0.1:80"}`,
		`{"effects":[{"loss":60,"variance":1e6},{"variance":0}],"low":{"":1e6}}`, `{"effects":[{"loss":1.7e308}]}`, "\xff",
	} {
		f.Add("w1", []byte(odd))
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		rows := standin.NewRows()
		rows.Write(acceptor.UsedTable, acceptor.CellPart, key, value)
		rows.Write(acceptor.CellTable, acceptor.CellPart, acceptor.LessonsKey, value)
		rows.Write(acceptor.VMsTable, acceptor.VMsPart, key, value)
		tenure, _ := newTestTenure(t, rows)
		tenure.confirmedAt.Store(1_000_000)
		assert.NilError(t, tenure.load(t.Context()))
		for _, at := range tenure.c.liveVMs(t.Context()) {
			assert.Assert(t, at == tenure.c.opts.Probe || address.CheckHost(at) == nil)
		}
		tenure.handleWorkerRows(1_000_000, []table.Row{{Key: key, Value: value, Version: 1}})
		tenure.planner.Decide(1_000_000)
		for _, order := range tenure.planner.TakeOrders() {
			assert.Equal(t, order.(planner.Renew).Worker, key)
		}
		newPut(acceptor.CellTable, acceptor.LessonsKey, tenure.planner.Lessons())
		tenure.encodeChanges()
	})
}
