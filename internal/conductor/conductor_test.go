package conductor

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"marjoramstack/internal/acceptor"
	"marjoramstack/internal/authenticator"
	"marjoramstack/internal/logger"
	"marjoramstack/internal/planner"
	"marjoramstack/internal/standin"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const jobID = "5c0e7a21d94b36f8"

// testCell is a cell with a table, one worker, and entry VMs that own it in turn.
type testCell struct {
	t     *testing.T
	rows  *standin.Rows
	store table.Store // rows, or a wrapper of it that injects faults
	link  *fakeLink
	wall  *clock.Wall
	log   *logger.Logger
	// queues are the queues that operators have configured when a VM starts.
	queues []document.Queue
	// adviser is that of the VMs.
	adviser Adviser
}

// testQueue is the queue of the test job.
var testQueue = document.Queue{Name: "q", Pool: "pool", MaxAttempts: 2, Stretch: 1500}

func newTestCell(t *testing.T) *testCell {
	s := &testCell{
		t:    t,
		rows: standin.NewRows(),
		link: &fakeLink{running: map[planner.TaskID]int{}},
		wall: clock.NewWall(),
		log:  logger.Discard(),

		queues:  []document.Queue{testQueue},
		adviser: fakeAdviser{},
	}
	s.store = s.rows
	t.Cleanup(s.log.Close)
	worker, err := json.Marshal(planner.Worker{
		ID: "w1", Address: "w1", Pool: "pool", Zone: "z",
		Capacity: document.Size{Processors: 64000, Memory: 64000},
	})
	assert.NilError(t, err)
	s.rows.Write("fleet", "", "w1", worker)
	return s
}

// startVM starts an entry VM. The returned function stops it as a signal would.
func (s *testCell) startVM(name, probe string) (c *Conductor, stop func()) {
	queues := s.queues
	c = New(Options{
		VM:           name,
		Incarnation:  fmt.Sprint(name, "-", s.wall.Now()),
		Probe:        probe,
		Store:        s.store,
		Link:         s.link,
		Adviser:      s.adviser,
		WorkersTable: "fleet",
		DecodeWorker: func(_ string, value []byte) (planner.Worker, error) {
			var w planner.Worker
			err := json.Unmarshal(value, &w)
			return w, err
		},
		Operations: func() (document.Operations, bool) {
			return document.Operations{
				Revision: 1,
				Queues:   queues,
			}, true
		},
		Planner:   planner.Options{LeaseMax: 6000, StopGrace: 200},
		Retention: clock.Minute,
		Clock:     s.wall,
		Log:       s.log.Logger,
		Scope:     tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { c.Run(ctx) })
	stop = func() {
		cancel()
		group.Wait()
	}
	s.t.Cleanup(stop)
	return c, stop
}

func (s *testCell) submit() { s.submitTo(testQueue) }

// submitTo submits the test job to a queue with the given terms.
func (s *testCell) submitTo(queue document.Queue) {
	a := acceptor.New(acceptor.Options{Store: s.rows, Clock: s.wall, Log: s.log.Logger})
	assert.NilError(s.t, a.Submit(context.Background(), document.StagedJob{
		ID: jobID, Queue: "q",
		Steps: []document.Step{{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}},
	}, queue, document.Customer{}))
}

// awaitState waits until the job has the given state.
func (s *testCell) awaitState(want planner.State) {
	s.t.Helper()
	a := acceptor.New(acceptor.Options{Store: s.rows, Clock: s.wall, Log: s.log.Logger})
	var got planner.State
	for range 400 {
		got, _ = a.State(context.Background(), jobID, authenticator.Caller{})
		if got == want {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	s.t.Fatalf("the job is %q, expected %q", got, want)
}

// awaitOwner waits until the given entry VM owns the cell.
func (s *testCell) awaitOwner(want string) acceptor.Head {
	s.t.Helper()
	var head acceptor.Head
	for range 400 {
		row, err := table.Get(context.Background(), s.rows, acceptor.CellTable, acceptor.CellPart, acceptor.HeadKey)
		if err == nil {
			head, _ = acceptor.DecodeHead(row)
		}
		if head.VM == want && !head.Released {
			return head
		}
		time.Sleep(25 * time.Millisecond)
	}
	s.t.Fatalf("the cell is owned by %q, expected %q", head.VM, want)
	return head
}

// TestJobRuns checks that an accepted job runs and is shown as completed, even if the
// answers to the owner's writes are lost.
func TestJobRuns(t *testing.T) {
	s := newTestCell(t)
	s.startVM("a", "127.0.0.1:1")
	s.awaitOwner("a")
	s.rows.LoseAnswers(3)
	s.submit()
	s.awaitState(planner.StateRunning)
	s.link.finish()
	s.awaitState(planner.StateCompleted)
	assert.Equal(t, s.link.starts(), 1)
	assert.Equal(t, s.awaitOwner("a").Epoch, uint64(1), "the owner lost the cell after the answer to a write was lost")
}

// TestHandOver checks that an owner releases the cell when it is stopped, and that the
// next owner adopts running tasks instead of starting them again.
func TestHandOver(t *testing.T) {
	s := newTestCell(t)
	_, stop := s.startVM("a", "127.0.0.1:1")
	first := s.awaitOwner("a")
	s.submit()
	s.awaitState(planner.StateRunning)
	s.link.awaitStarts(t, 1)
	stop()
	s.startVM("b", "127.0.0.1:1")
	second := s.awaitOwner("b")
	assert.Assert(t, second.Epoch > first.Epoch)
	s.link.finish()
	s.awaitState(planner.StateCompleted)
	assert.Equal(t, s.link.starts(), 1)
}

// TestAdvisedQueueDropped guards against a job that never goes on under a new owner because
// its queue, which has advice, is no longer configured: its tasks still need tickets, and the
// owner and the other VMs must go on asking for them.
func TestAdvisedQueueDropped(t *testing.T) {
	s := newTestCell(t)
	advised := testQueue
	advised.Advised = true
	s.submitTo(advised)
	s.queues = nil
	s.startVM("a", "127.0.0.1:1")
	s.link.awaitStarts(t, 1)
	s.startVM("b", "127.0.0.1:2")
	for range 400 {
		row, err := table.Get(context.Background(), s.rows, acceptor.VMsTable, acceptor.VMsPart, "b")
		if err == nil && row.Version != 0 {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatal("the other VM does not offer to ask the adviser")
}

// TestQueueDropped guards against an accepted job that never runs because operators
// removed its queue before the cell had its first owner.
func TestQueueDropped(t *testing.T) {
	s := newTestCell(t)
	s.submit()
	s.queues = nil
	s.startVM("a", "127.0.0.1:1")
	s.awaitOwner("a")
	s.awaitState(planner.StateRunning)
	s.link.finish()
	s.awaitState(planner.StateCompleted)
}

// slowProgress delays reads of the recorded progress.
type slowProgress struct{ *standin.Rows }

func (s slowProgress) List(ctx context.Context, query table.Query) (table.Page, error) {
	if query.Table == acceptor.ProgressTable {
		select {
		case <-time.After(2 * time.Second):
		case <-ctx.Done():
			return table.Page{}, table.ErrUnknown
		}
	}
	return s.Rows.List(ctx, query)
}

// TestStoppedWhileTaking checks that an entry VM releases the cell if it is stopped
// just after it took the cell, while it still reads the recorded progress.
func TestStoppedWhileTaking(t *testing.T) {
	s := newTestCell(t)
	s.store = slowProgress{Rows: s.rows}
	_, stop := s.startVM("a", "127.0.0.1:1")
	s.awaitOwner("a")
	stop()
	row, err := table.Get(context.Background(), s.rows, acceptor.CellTable, acceptor.CellPart, acceptor.HeadKey)
	assert.NilError(t, err)
	head, err := acceptor.DecodeHead(row)
	assert.NilError(t, err)
	assert.Assert(t, head.Released)
}

// TestSilentOwner checks that an owner whose row does not change is replaced before its
// lease expires if it does not answer probes, and not before if it answers.
func TestSilentOwner(t *testing.T) {
	for _, test := range []struct {
		name   string
		silent bool
	}{{"silent", true}, {"acting", false}} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestCell(t)
			probe := "127.0.0.1:1"
			if !test.silent {
				server := httptest.NewServer(okHandler{})
				defer server.Close()
				probe = strings.TrimPrefix(server.URL, "http://")
			}
			head, err := json.Marshal(acceptor.Head{VM: "gone", Incarnation: "x", Epoch: 4, Probe: probe})
			assert.NilError(t, err)
			s.rows.Write(acceptor.CellTable, acceptor.CellPart, acceptor.HeadKey, head)
			began := s.wall.Now()
			s.startVM("b", "127.0.0.1:1")
			assert.Equal(t, s.awaitOwner("b").Epoch, uint64(5))
			early := s.wall.Now().Sub(began) < cellLease
			assert.Equal(t, early, test.silent)
		})
	}
}

// TestLostCell checks that an owner stops acting when another VM has replaced its row.
func TestLostCell(t *testing.T) {
	s := newTestCell(t)
	s.startVM("a", "127.0.0.1:1")
	head := s.awaitOwner("a")
	head.VM = "b"
	head.Incarnation = "other"
	head.Epoch++
	value, err := json.Marshal(head)
	assert.NilError(t, err)
	s.rows.Write(acceptor.CellTable, acceptor.CellPart, acceptor.HeadKey, value)
	time.Sleep(time.Second)
	row, err := table.Get(context.Background(), s.rows, acceptor.CellTable, acceptor.CellPart, acceptor.HeadKey)
	assert.NilError(t, err)
	current, err := acceptor.DecodeHead(row)
	assert.NilError(t, err)
	assert.Equal(t, current.VM, "b")
}
