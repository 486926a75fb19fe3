package mirror

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/logger"
	"marjoramstack/internal/standin"
	"marjoramstack/internal/table"
	"marjoramstack/pkg/clock"
)

// view is what a mirror has delivered.
type view struct {
	mu    sync.Mutex
	rows  map[string]string
	twice int
}

func (v *view) deliver(rows []table.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range rows {
		if r.Removed {
			delete(v.rows, r.Key)
			continue
		}
		if v.rows[r.Key] == string(r.Value) {
			v.twice++
		}
		v.rows[r.Key] = string(r.Value)
	}
}

// await waits until a row has a value, "" for none.
func (v *view) await(t *testing.T, key, want string) {
	t.Helper()
	got := ""
	for range 200 {
		v.mu.Lock()
		got = v.rows[key]
		v.mu.Unlock()
		if got == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s is %q, expected %q", key, got, want)
}

// TestMirror holds that a mirror misses no change and delivers none twice: rows
// of several parts, removals, an absence of the table, and a lost history with
// changes that were never told.
func TestMirror(t *testing.T) {
	rows := standin.NewRows()
	rows.Write("jobs", "p", "a", []byte("1"))
	log := logger.Discard()
	defer log.Close()
	v := &view{rows: map[string]string{}}
	m := New(rows, Options{
		Table:   "jobs",
		Parted:  true,
		Wait:    50,
		Clock:   clock.NewWall(),
		Log:     log.Logger,
		Deliver: v.deliver,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { m.Run(ctx) })
	v.await(t, "a", "1")

	rows.Write("jobs", "q", "b", []byte("1"))
	v.await(t, "b", "1")
	rows.Remove("jobs", "q", "b")
	v.await(t, "b", "")

	rows.SetDown(true)
	rows.Write("jobs", "p", "a", []byte("2"))
	rows.Write("jobs", "p", "c", []byte("1"))
	rows.Remove("jobs", "p", "c")
	rows.ForgetHistory()
	rows.SetDown(false)
	v.await(t, "a", "2")
	rows.Remove("jobs", "p", "a")
	rows.ForgetHistory()
	v.await(t, "a", "")
	cancel()
	group.Wait()
	assert.Equal(t, v.twice, 0)
}

// newPart is a table in which a row of a new part is written just after its parts
// were listed for the first time.
type newPart struct {
	*standin.Rows
	once sync.Once
}

func (p *newPart) Parts(ctx context.Context, name string) ([]string, error) {
	parts, err := p.Rows.Parts(ctx, name)
	p.once.Do(func() { p.Write("jobs", "q", "b", []byte("1")) })
	return parts, err
}

// TestPartWhileReading guards against an accepted job that no owner ever sees: its
// part came while the table was read, and the changes are followed from later on.
func TestPartWhileReading(t *testing.T) {
	for _, first := range []string{"", "p"} {
		rows := &newPart{Rows: standin.NewRows()}
		if first != "" {
			rows.Write("jobs", first, "a", []byte("1"))
		}
		log := logger.Discard()
		v := &view{rows: map[string]string{}}
		m := New(rows, Options{
			Table:   "jobs",
			Parted:  true,
			Wait:    50,
			Clock:   clock.NewWall(),
			Log:     log.Logger,
			Deliver: v.deliver,
		})
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { m.Run(ctx) })
		v.await(t, "b", "1")
		rows.Write("jobs", "r", "c", []byte("1"))
		v.await(t, "c", "1")
		cancel()
		group.Wait()
		log.Close()
		assert.Equal(t, v.twice, 0)
	}
}

// TestRemovedAndWrittenAnew guards against a row that is delivered twice, or taken
// for removed: it was removed and written anew while the table was read, and both
// are told after the read that has seen the new one.
func TestRemovedAndWrittenAnew(t *testing.T) {
	m := New(standin.NewRows(), Options{})
	assert.Assert(t, m.note(table.Row{Key: "a", Version: 9}))
	assert.Assert(t, !m.note(table.Row{Key: "a", Version: 7, Removed: true}))
	assert.Assert(t, !m.note(table.Row{Key: "a", Version: 9}))
	assert.Assert(t, m.note(table.Row{Key: "a", Version: 10, Removed: true}))
}

// narrowStore reads over a link that carries so many bytes a second.
type narrowStore struct {
	*standin.Rows
	link  sync.Mutex
	bytes int
}

func (s *narrowStore) List(ctx context.Context, query table.Query) (table.Page, error) {
	page, err := s.Rows.List(ctx, query)
	size := 0
	for _, r := range page.Rows {
		size += len(r.Value)
	}
	s.link.Lock()
	defer s.link.Unlock()
	timer := time.NewTimer(time.Second * time.Duration(size) / time.Duration(s.bytes))
	defer timer.Stop()
	select {
	case <-timer.C:
		return page, err
	case <-ctx.Done():
		return table.Page{}, table.ErrUnknown
	}
}

// TestNarrowLink holds that a mirror reads a table that takes longer than any single
// call may take, as one does on a VM with a narrow link: the table is read in calls that
// each end in time, and leave the link to others in between.
func TestNarrowLink(t *testing.T) {
	rows := standin.NewRows()
	value := make([]byte, 1000)
	for part := range 8 {
		for key := range 320 {
			rows.Write("jobs", fmt.Sprint(part), fmt.Sprintf("%04d", key), value)
		}
	}
	log := logger.Discard()
	defer log.Close()
	loaded := make(chan bool, 1)
	m := New(&narrowStore{Rows: rows, bytes: 1_000_000}, Options{
		Table:   "jobs",
		Parted:  true,
		Wait:    50,
		Clock:   clock.NewWall(),
		Log:     log.Logger,
		Deliver: func([]table.Row) {},
		Loaded:  func() { loaded <- true },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	select {
	case <-loaded:
	case <-time.After(10 * time.Second):
		t.Fatal("the table is never read")
	}
}

// hangingStore does not answer reads for a while.
type hangingStore struct {
	*standin.Rows
	until time.Time
}

func (s *hangingStore) List(ctx context.Context, query table.Query) (table.Page, error) {
	if time.Now().After(s.until) {
		return s.Rows.List(ctx, query)
	}
	<-ctx.Done()
	return table.Page{}, table.ErrUnknown
}

// TestHangingTable holds that a read of many parts that gets no answer is given up
// after one call's time, and not after that of each part.
func TestHangingTable(t *testing.T) {
	rows := standin.NewRows()
	for part := range 16 {
		rows.Write("jobs", fmt.Sprint(part), "a", []byte("1"))
	}
	log := logger.Discard()
	defer log.Close()
	loaded := make(chan bool, 1)
	m := New(&hangingStore{Rows: rows, until: time.Now().Add(time.Second)}, Options{
		Table:   "jobs",
		Parted:  true,
		Wait:    50,
		Clock:   clock.NewWall(),
		Log:     log.Logger,
		Deliver: func([]table.Row) {},
		Loaded:  func() { loaded <- true },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	select {
	case <-loaded:
	case <-time.After(2 * readWithin.Duration()):
		t.Fatal("the table is not read soon")
	}
}
