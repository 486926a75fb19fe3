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

// recorder keeps the rows that a mirror has delivered, and counts duplicate deliveries.
type recorder struct {
	mu         sync.Mutex
	rows       map[string]string
	duplicates int
}

func (v *recorder) deliver(rows []table.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range rows {
		if r.Removed {
			delete(v.rows, r.Key)
			continue
		}
		if v.rows[r.Key] == string(r.Value) {
			v.duplicates++
		}
		v.rows[r.Key] = string(r.Value)
	}
}

// await waits until a row has the given value; "" means that the row does not exist.
func (v *recorder) await(t *testing.T, key, want string) {
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

// TestMirror checks that a mirror misses no change and delivers none twice: with rows
// in several parts, removals, a table that is unavailable for a time, and a lost
// history with changes that were never reported.
func TestMirror(t *testing.T) {
	rows := standin.NewRows()
	rows.Write("jobs", "p", "a", []byte("1"))
	log := logger.Discard()
	defer log.Close()
	v := &recorder{rows: map[string]string{}}
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
	assert.Equal(t, v.duplicates, 0)
}

// latePartRows is a table in which a row of a new part is written just after the parts
// were listed for the first time.
type latePartRows struct {
	*standin.Rows
	once sync.Once
}

func (p *latePartRows) Parts(ctx context.Context, name string) ([]string, error) {
	parts, err := p.Rows.Parts(ctx, name)
	p.once.Do(func() { p.Write("jobs", "q", "b", []byte("1")) })
	return parts, err
}

// TestPartWhileReading guards against an accepted job that no owner ever sees: its part
// is created while the table is read, and changes are followed only from a later
// version.
func TestPartWhileReading(t *testing.T) {
	for _, first := range []string{"", "p"} {
		rows := &latePartRows{Rows: standin.NewRows()}
		if first != "" {
			rows.Write("jobs", first, "a", []byte("1"))
		}
		log := logger.Discard()
		v := &recorder{rows: map[string]string{}}
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
		assert.Equal(t, v.duplicates, 0)
	}
}

// TestRemovedAndWrittenAnew guards against a row that is delivered twice or wrongly
// treated as removed: it was removed and written again while the table was read, and
// both changes are reported after the read has returned the new row.
func TestRemovedAndWrittenAnew(t *testing.T) {
	m := New(standin.NewRows(), Options{})
	assert.Assert(t, m.recordRow(table.Row{Key: "a", Version: 9}))
	assert.Assert(t, !m.recordRow(table.Row{Key: "a", Version: 7, Removed: true}))
	assert.Assert(t, !m.recordRow(table.Row{Key: "a", Version: 9}))
	assert.Assert(t, m.recordRow(table.Row{Key: "a", Version: 10, Removed: true}))
}

// slowLinkStore simulates reads over a link with limited bandwidth.
type slowLinkStore struct {
	*standin.Rows
	link           sync.Mutex
	bytesPerSecond int
}

func (s *slowLinkStore) List(ctx context.Context, query table.Query) (table.Page, error) {
	page, err := s.Rows.List(ctx, query)
	size := 0
	for _, r := range page.Rows {
		size += len(r.Value)
	}
	s.link.Lock()
	defer s.link.Unlock()
	timer := time.NewTimer(time.Second * time.Duration(size) / time.Duration(s.bytesPerSecond))
	defer timer.Stop()
	select {
	case <-timer.C:
		return page, err
	case <-ctx.Done():
		return table.Page{}, table.ErrUnknown
	}
}

// TestNarrowLink checks that a mirror can read a table that takes longer than the
// timeout of a single call, as on a VM with low bandwidth: it reads the table in calls
// that each end in time and leave bandwidth to others in between.
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
	m := New(&slowLinkStore{Rows: rows, bytesPerSecond: 1_000_000}, Options{
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
		t.Fatal("the table was not read within 10 s")
	}
}

// hangingStore does not answer reads until the given time.
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

// TestHangingTable checks that a read of many parts that gets no answer fails after the
// timeout of one call, not after the timeouts of all parts in sequence.
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
	case <-time.After(2 * readCallTimeout.Duration()):
		t.Fatal("the table was not read within two call timeouts")
	}
}

// TestRowOfOtherPart guards against a row that hides, and at the next read of the whole
// table removes, the row with the same key: another writer wrote it into another part
// of a table whose rows are all in the part "".
func TestRowOfOtherPart(t *testing.T) {
	rows := standin.NewRows()
	rows.Write("fleet", "", "a", []byte("1"))
	log := logger.Discard()
	defer log.Close()
	v := &recorder{rows: map[string]string{}}
	m := New(rows, Options{
		Table:   "fleet",
		Wait:    50,
		Clock:   clock.NewWall(),
		Log:     log.Logger,
		Deliver: v.deliver,
	})
	assert.NilError(t, m.load(t.Context()))
	v.await(t, "a", "1")
	rows.Write("fleet", "p", "a", []byte("odd"))
	assert.NilError(t, m.follow(t.Context()))
	v.await(t, "a", "1")
	rows.Remove("fleet", "p", "a")
	assert.NilError(t, m.follow(t.Context()))
	v.await(t, "a", "1")
	assert.NilError(t, m.load(t.Context()))
	v.await(t, "a", "1")
	rows.Write("fleet", "", "a", []byte("2"))
	assert.NilError(t, m.follow(t.Context()))
	v.await(t, "a", "2")
}
