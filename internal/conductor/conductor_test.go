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
	"marjoramstack/internal/logger"
	"marjoramstack/internal/planner"
	"marjoramstack/internal/standin"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const jobID = "5c0e7a21d94b36f8"

// shop is a table, one worker and entry VMs that own the cell in turn.
type shop struct {
	t     *testing.T
	rows  *standin.Rows
	store table.Store // rows, unless a test puts a fault between
	link  *fakeLink
	wall  *clock.Wall
	log   *logger.Logger
	// queues are what operators ask for when a VM starts.
	queues []document.Queue
}

// usual is the queue of the tests' job.
var usual = document.Queue{Name: "q", Pool: "pool", MaxAttempts: 2, Stretch: 1500}

func newShop(t *testing.T) *shop {
	s := &shop{
		t:    t,
		rows: standin.NewRows(),
		link: &fakeLink{running: map[planner.TaskID]int{}},
		wall: clock.NewWall(),
		log:  logger.Discard(),

		queues: []document.Queue{usual},
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

// vm starts an entry VM; the function returned stops it as a signal would.
func (s *shop) vm(name, probe string) (c *Conductor, stop func()) {
	queues := s.queues
	c = New(Options{
		VM:           name,
		Incarnation:  fmt.Sprint(name, "-", s.wall.Now()),
		Probe:        probe,
		Store:        s.store,
		Link:         s.link,
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

func (s *shop) submit() {
	a := acceptor.New(acceptor.Options{Store: s.rows, Clock: s.wall, Log: s.log.Logger})
	assert.NilError(s.t, a.Submit(context.Background(), document.StagedJob{
		ID: jobID, Queue: "q",
		Steps: []document.Step{{Tasks: 1, Demand: document.Size{Processors: 1, Memory: 1}}},
	}, usual))
}

// state waits until the job has the state.
func (s *shop) state(want planner.State) {
	s.t.Helper()
	a := acceptor.New(acceptor.Options{Store: s.rows, Clock: s.wall, Log: s.log.Logger})
	var got planner.State
	for range 400 {
		got, _ = a.State(context.Background(), jobID)
		if got == want {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	s.t.Fatalf("the job is %q, expected %q", got, want)
}

// owner waits until an entry VM owns the cell.
func (s *shop) owner(want string) acceptor.Head {
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

// TestJobRuns holds that an accepted job is run and shown as complete, also when
// the answers to the owner's writes are lost.
func TestJobRuns(t *testing.T) {
	s := newShop(t)
	s.vm("a", "127.0.0.1:1")
	s.owner("a")
	s.rows.LoseAnswers(3)
	s.submit()
	s.state(planner.StateRunning)
	s.link.finish()
	s.state(planner.StateCompleted)
	assert.Equal(t, s.link.starts(), 1)
	assert.Equal(t, s.owner("a").Epoch, uint64(1), "a write whose answer was lost is no loss of the cell")
}

// TestHandOver holds that a stopped owner gives the cell up, and that the next
// one adopts what runs instead of starting it again.
func TestHandOver(t *testing.T) {
	s := newShop(t)
	_, stop := s.vm("a", "127.0.0.1:1")
	first := s.owner("a")
	s.submit()
	s.state(planner.StateRunning)
	s.link.awaitStarts(t, 1)
	stop()
	s.vm("b", "127.0.0.1:1")
	second := s.owner("b")
	assert.Assert(t, second.Epoch > first.Epoch)
	s.link.finish()
	s.state(planner.StateCompleted)
	assert.Equal(t, s.link.starts(), 1)
}

// TestQueueDropped guards against an accepted job that never runs since operators
// dropped its queue before its first owner came.
func TestQueueDropped(t *testing.T) {
	s := newShop(t)
	s.submit()
	s.queues = nil
	s.vm("a", "127.0.0.1:1")
	s.owner("a")
	s.state(planner.StateRunning)
	s.link.finish()
	s.state(planner.StateCompleted)
}

// slowRecord answers reads of the owner's record late.
type slowRecord struct{ *standin.Rows }

func (s slowRecord) List(ctx context.Context, query table.Query) (table.Page, error) {
	if query.Table == acceptor.ProgressTable {
		select {
		case <-time.After(2 * time.Second):
		case <-ctx.Done():
			return table.Page{}, table.ErrUnknown
		}
	}
	return s.Rows.List(ctx, query)
}

// TestStoppedWhileTaking holds that an entry VM which is stopped just after it took
// the cell, while it reads the record, gives the cell up.
func TestStoppedWhileTaking(t *testing.T) {
	s := newShop(t)
	s.store = slowRecord{Rows: s.rows}
	_, stop := s.vm("a", "127.0.0.1:1")
	s.owner("a")
	stop()
	row, err := table.Get(context.Background(), s.rows, acceptor.CellTable, acceptor.CellPart, acceptor.HeadKey)
	assert.NilError(t, err)
	head, err := acceptor.DecodeHead(row)
	assert.NilError(t, err)
	assert.Assert(t, head.Released)
}

// TestSilentOwner holds that an owner whose row stands still and that does not
// answer is replaced before its lease has run out, and one that answers isn't.
func TestSilentOwner(t *testing.T) {
	for _, test := range []struct {
		name   string
		silent bool
	}{{"silent", true}, {"acting", false}} {
		t.Run(test.name, func(t *testing.T) {
			s := newShop(t)
			probe := "127.0.0.1:1"
			if !test.silent {
				acting := httptest.NewServer(always{})
				defer acting.Close()
				probe = strings.TrimPrefix(acting.URL, "http://")
			}
			head, err := json.Marshal(acceptor.Head{VM: "gone", Incarnation: "x", Epoch: 4, Probe: probe})
			assert.NilError(t, err)
			s.rows.Write(acceptor.CellTable, acceptor.CellPart, acceptor.HeadKey, head)
			began := s.wall.Now()
			s.vm("b", "127.0.0.1:1")
			assert.Equal(t, s.owner("b").Epoch, uint64(5))
			early := s.wall.Now().Sub(began) < cellLease
			assert.Equal(t, early, test.silent)
		})
	}
}

// TestLostCell holds that an owner whose row another has replaced stops acting.
func TestLostCell(t *testing.T) {
	s := newShop(t)
	s.vm("a", "127.0.0.1:1")
	head := s.owner("a")
	head.VM = "b"
	head.Incarnation = "other"
	head.Epoch++
	value, err := json.Marshal(head)
	assert.NilError(t, err)
	s.rows.Write(acceptor.CellTable, acceptor.CellPart, acceptor.HeadKey, value)
	time.Sleep(time.Second)
	row, err := table.Get(context.Background(), s.rows, acceptor.CellTable, acceptor.CellPart, acceptor.HeadKey)
	assert.NilError(t, err)
	present, err := acceptor.DecodeHead(row)
	assert.NilError(t, err)
	assert.Equal(t, present.VM, "b")
}
