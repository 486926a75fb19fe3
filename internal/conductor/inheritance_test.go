package conductor

import (
	"encoding/json"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/planner"
	"marjoramstack/internal/standin"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// overlapTest is an owner that has taken the cell while the one before it still acts. Worker
// "heard" has answered it, "unheard" has not; an earlier owner used both.
type overlapTest struct {
	t     *testing.T
	rows  *standin.Rows
	clock *clock.Manual
	owner *tenure
}

const testOverlap = 2 * clock.Second

func newOverlapTest(t *testing.T, overlap clock.Span) *overlapTest {
	rows := standin.NewRows()
	for _, id := range []string{"heard", "unheard"} {
		value, err := json.Marshal(acceptor.UsedRow{Worker: planner.Worker{ID: id, Address: id, Pool: "pool"}})
		assert.NilError(t, err)
		rows.Write(acceptor.UsedTable, acceptor.CellPart, id, value)
	}
	tenure, _ := newTestTenure(t, rows)
	manual := tenure.c.opts.Clock.(*clock.Manual)
	tenure.c.opts.Planner = planner.Options{LeaseMax: 6000, StopGrace: 200}
	tenure.c.opts.Scope = tally.NoopScope
	owner, err := tenure.c.take(t.Context(), table.Row{}, acceptor.Head{}, overlap)
	assert.NilError(t, err)
	assert.NilError(t, owner.load(t.Context()))
	owner.planner.Handle(owner.now(), planner.Configured{Operations: document.Operations{Revision: 1, Queues: []document.Queue{testQueue}}})
	for _, id := range []string{"heard", "unheard"} {
		owner.planner.Handle(owner.now(), planner.WorkerListed{Worker: planner.Worker{
			ID: id, Address: id, Pool: "pool", Capacity: document.Size{Processors: 64000, Memory: 64000},
		}})
	}
	s := &overlapTest{t: t, rows: rows, clock: manual, owner: owner}
	s.starts() // asks the workers
	s.report("heard")
	return s
}

// report answers the owner's renewal for a worker.
func (s *overlapTest) report(id string, ended ...planner.Ended) {
	now := s.owner.now()
	s.owner.planner.Handle(now, planner.Renewed{Worker: id, Ordered: now, Received: now, Report: planner.Report{
		Incarnation: 1, WorkerTime: now, Ended: ended,
	}})
}

// starts returns how many starts the owner orders now.
func (s *overlapTest) starts() int {
	s.owner.planner.Decide(s.owner.now())
	count := 0
	for _, order := range s.owner.planner.TakeOrders() {
		if _, ok := order.(planner.Start); ok {
			count++
		}
	}
	return count
}

// accept writes the row of the test job, and returns it as the owner will read it.
func (s *overlapTest) accept() table.Row {
	value, err := json.Marshal(acceptor.JobRow{Job: testJob})
	assert.NilError(s.t, err)
	s.rows.Write(acceptor.JobsTable, acceptor.Part(jobID), jobID, value)
	row, err := table.Get(s.t.Context(), s.rows, acceptor.JobsTable, acceptor.Part(jobID), jobID)
	assert.NilError(s.t, err)
	return row
}

// write carries out a write of the owner that is sent now.
func (s *overlapTest) write() {
	s.owner.head.Serial++
	done := s.owner.commit(s.t.Context(), headTxn(s.owner.head, s.owner.version, table.Txn{}))
	s.owner.handleWriteDone(s.owner.now(), done)
}

// TestLateRowOfOverlap guards against a task that runs twice after the cell was taken from an
// owner that still acted: it had started the task of a job accepted since, and the new owner
// took the job for one that nobody had started because its row arrived late.
func TestLateRowOfOverlap(t *testing.T) {
	for _, late := range []clock.Span{0, 500, 2 * clock.Second, clock.Minute} {
		t.Run(late.String(), func(t *testing.T) {
			s := newOverlapTest(t, testOverlap)
			row := s.accept()
			s.clock.Advance(testOverlap + late)
			s.write() // confirms that the owner goes on, and the version that the table has now
			s.owner.handleJobRows(s.owner.now(), []table.Row{row})
			assert.Equal(t, s.starts(), 0, "the worker that has not answered may have run the task")
			s.report("unheard", planner.Ended{Number: 1, Task: planner.TaskID{Job: jobID}, Attempt: 1, How: planner.EndDone})
			assert.Equal(t, s.starts(), 0, "the task is done")
		})
	}
}

// TestRowOfUnconfirmedWrite guards against the same while no write of the owner has been
// confirmed since the earlier one stopped acting, or only one sent before that.
func TestRowOfUnconfirmedWrite(t *testing.T) {
	s := newOverlapTest(t, testOverlap)
	s.clock.Advance(testOverlap - 1)
	s.write()
	row := s.accept()
	s.clock.Advance(clock.Minute)
	s.owner.handleJobRows(s.owner.now(), []table.Row{row})
	assert.Equal(t, s.starts(), 0)
}

// TestNewJobWaitsForNobody guards against an owner that holds back jobs that no earlier owner
// can have seen until all workers have answered.
func TestNewJobWaitsForNobody(t *testing.T) {
	for _, overlap := range []clock.Span{0, testOverlap} {
		t.Run(overlap.String(), func(t *testing.T) {
			s := newOverlapTest(t, overlap)
			s.clock.Advance(overlap)
			s.write()
			s.owner.handleJobRows(s.owner.now(), []table.Row{s.accept()})
			assert.Equal(t, s.starts(), 1)
		})
	}
}

// TestJobsAreReadUpToBound guards against ends of a job that count as those of one that no longer
// exists before all jobs are read that an earlier owner can have started.
func TestJobsAreReadUpToBound(t *testing.T) {
	s := newOverlapTest(t, testOverlap)
	row := s.accept()
	end := planner.Ended{Number: 1, Task: planner.TaskID{Job: jobID}, Attempt: 1, How: planner.EndDone}
	s.report("heard", end)
	early := s.owner.version
	s.owner.handleItem(jobsReached{version: row.Version - 1})
	s.clock.Advance(clock.Minute)
	assert.Assert(t, !s.owner.inheritance.complete(), "the bound is not known")
	s.write()
	assert.Assert(t, early < row.Version && row.Version < s.owner.version)
	assert.Assert(t, !s.owner.inheritance.complete(), "the job's row is not read")
	s.owner.handleItem(jobRows{rows: []table.Row{row}})
	s.owner.handleItem(jobsReached{version: row.Version})
	assert.Assert(t, !s.owner.inheritance.complete(), "more rows may lie below the bound")
	s.owner.handleItem(jobsReached{version: s.owner.version})
	assert.Assert(t, s.owner.inheritance.reported)
	assert.Equal(t, s.starts(), 0, "the task is done")
}
