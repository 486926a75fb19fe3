package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, as the pages and the settings of a small deployment
// state them.
const (
	maxRowBytes    = 65536
	maxTextBytes   = 200
	maxTxnEntries  = 100
	maxTxnBytes    = 1 << 20
	maxPageRows    = 500
	maxPageBytes   = 1 << 20
	writesPerS     = 600
	readsPerS      = 2000
	partWritesPerS = 150
	answerTime     = 4 * time.Millisecond
)

type row struct {
	Table   string `json:"table,omitempty"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type txn struct {
	Expect []row `json:"expect"`
	Writes []row `json:"writes"`
	Remove []row `json:"remove"`
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Version uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

type rowName struct{ table, part, key string }

// Store is a stand-in for the platform's store. It refuses what exceeds the limits with 400
// and what exceeds the rates with 429.
type Store struct {
	record *Record
	began  time.Time

	mu      sync.Mutex
	rows    map[rowName]row // removed rows stay, so that a feed can name them
	version uint64
	changed chan struct{} // closed and replaced with each transaction
	parts   map[string]*sync.Mutex
	second  int64
	writes  int
	reads   int
	refused map[string]int
}

// NewStore returns an empty store.
func NewStore(record *Record) *Store {
	return &Store{
		record:  record,
		began:   time.Now(),
		rows:    map[rowName]row{},
		changed: make(chan struct{}),
		parts:   map[string]*sync.Mutex{},
		refused: map[string]int{},
	}
}

// Put writes a row as the operator or an executor does, outside the system's rates.
func (s *Store) Put(table, part, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{
		Table: table,
		Part:  part,
		Key:   key,
		Value: encoded,
	})
	s.notify()
}

func (s *Store) put(r row) {
	r.Version = s.version
	s.rows[rowName{r.Table, r.Part, r.Key}] = r
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the system.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	if !s.admit(r.URL.Path == "/rows-tx") {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	switch r.URL.Path {
	case "/rows-tx":
		s.transact(w, r)
	case "/rows-get":
		s.list(w, r)
	case "/rows-parts":
		s.listParts(w, r)
	case "/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) admit(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second = now
		s.writes = 0
		s.reads = 0
	}
	if write {
		s.writes++
		return s.writes <= writesPerS
	}
	s.reads++
	return s.reads <= readsPerS
}

func (s *Store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	a.NowMs = time.Since(s.began).Milliseconds()
	if a.Rows == nil {
		a.Rows = []row{}
	}
	writeJSON(w, status, a)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

// fault returns why a transaction is not valid, "" if it is.
func (t txn) fault(bytes int) string {
	if bytes > maxTxnBytes {
		return fmt.Sprintf("the call has %d bytes, at most %d are allowed", bytes, maxTxnBytes)
	}
	if n := len(t.Expect) + len(t.Writes) + len(t.Remove); n == 0 || n > maxTxnEntries {
		return fmt.Sprintf("the call has %d entries, at most %d are allowed", n, maxTxnEntries)
	}
	part := slices.Concat(t.Expect, t.Writes, t.Remove)[0].Part
	for _, r := range slices.Concat(t.Expect, t.Writes, t.Remove) {
		switch {
		case r.Part != part:
			return "the entries are of several parts"
		case len(r.Table) > maxTextBytes || len(r.Key) > maxTextBytes || r.Table == "" || r.Key == "":
			return "a name is empty or too long"
		case len(r.Value) > maxRowBytes:
			return fmt.Sprintf("the value of table %s, key %s has %d bytes, rowBytes is %d", r.Table, r.Key, len(r.Value), maxRowBytes)
		}
	}
	return ""
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var t txn
	if err != nil || json.Unmarshal(body, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if fault := t.fault(len(body)); fault != "" {
		s.refuse(fault)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range slices.Concat(t.Writes, t.Remove) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	part := s.part(slices.Concat(t.Expect, t.Writes, t.Remove)[0].Part)
	part.Lock()
	defer part.Unlock()
	time.Sleep(time.Second / partWritesPerS)
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []row
	failed := false
	for _, e := range t.Expect {
		now := s.rows[rowName{e.Table, e.Part, e.Key}]
		if now.Removed {
			now = row{}
		}
		failed = failed || now.Version != e.Version
		if now.Version != 0 {
			conflicts = append(conflicts, now)
		}
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, rowsAnswer{Rows: conflicts, Version: s.version})
		return
	}
	s.version++
	for _, e := range t.Writes {
		s.put(e)
	}
	for _, e := range t.Remove {
		if _, ok := s.rows[rowName{e.Table, e.Part, e.Key}]; ok {
			e.Value = nil
			e.Removed = true
			s.put(e)
		}
	}
	s.notify()
	s.answer(w, http.StatusOK, rowsAnswer{Version: s.version})
}

// refuse records the first of each kind of refused call, and counts the others.
func (s *Store) refuse(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := strings.Map(func(c rune) rune {
		if c >= '0' && c <= '9' {
			return '#'
		}
		return c
	}, fault)
	s.refused[kind]++
	if s.refused[kind] == 1 {
		s.record.Line("store: a call of the system is refused with 400: %s", fault)
	}
}

// Refused returns how many calls were refused as not valid.
func (s *Store) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, n := range s.refused {
		sum += n
	}
	return sum
}

func (s *Store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, maxPageRows)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for name, row := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && !row.Removed && name.key >= q.Get("from") && (q.Get("to") == "" || name.key < q.Get("to")) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	page := cut(found, limit)
	s.answer(w, http.StatusOK, rowsAnswer{
		Rows:    page,
		HasMore: len(page) < len(found),
		Version: s.version,
	})
}

// cut returns the first rows, at most limit and about maxPageBytes.
func cut(rows []row, limit int) []row {
	bytes := 0
	for i, r := range rows {
		bytes += len(r.Value)*4/3 + len(r.Key) + 100
		if i >= limit || i > 0 && bytes > maxPageBytes {
			return rows[:i]
		}
	}
	return rows
}

func (s *Store) listParts(w http.ResponseWriter, r *http.Request) {
	const perPage = 1000
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name, row := range s.rows {
		if name.table == q.Get("table") && !row.Removed && name.part > q.Get("after") && !slices.Contains(names, name.part) {
			names = append(names, name.part)
		}
	}
	slices.Sort(names)
	more := len(names) > perPage
	writeJSON(w, http.StatusOK, map[string]any{
		"parts":   names[:min(len(names), perPage)],
		"hasMore": more,
		"ver":     s.version,
		"nowMs":   time.Since(s.began).Milliseconds(),
	})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	const maxWait = 30 * time.Second
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWait))
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		changes := s.changesAfter(q.Get("table"), after)
		if len(changes) > 0 || expired {
			page := cut(changes, maxPageRows)
			version := s.version
			if len(page) < len(changes) {
				version = page[len(page)-1].Version
			}
			s.answer(w, http.StatusOK, rowsAnswer{Rows: page, Version: version})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) changesAfter(table string, after uint64) []row {
	var changes []row
	for name, row := range s.rows {
		if name.table == table && row.Version > after {
			changes = append(changes, row)
		}
	}
	slices.SortFunc(changes, func(a, b row) int { return int(a.Version) - int(b.Version) })
	return changes
}
