package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as in the settings of the small sites.
const (
	maxNameBytes  = 200
	maxRowBytes   = 65536
	maxTxnEntries = 100
	maxTxnBytes   = 1 << 20
	maxPageRows   = 500
	maxPageBytes  = 1 << 20
	partsPerPage  = 1000
	txnTime       = 8 * time.Millisecond
	readTime      = 4 * time.Millisecond
)

type rowName struct{ table, part, key string }

type row struct {
	Table   string `json:"table,omitempty"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) name() rowName {
	return rowName{
		table: r.Table,
		part:  r.Part,
		key:   r.Key,
	}
}

type txn struct {
	Expect []row `json:"expect"`
	Writes []row `json:"writes"`
	Remove []row `json:"remove"`
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"hasMore"`
	Version uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

// store is the platform's store in memory. It loses nothing and its answers are
// linearizable.
type store struct {
	rec   *recorder
	began time.Time

	mu      sync.Mutex
	rows    map[rowName]row
	history []row
	version uint64
	changed chan struct{}
	parts   map[string]*sync.Mutex
	refused map[string]int
}

func newStore(rec *recorder) *store {
	return &store{
		rec:     rec,
		began:   time.Now(),
		rows:    map[rowName]row{},
		changed: make(chan struct{}),
		parts:   map[string]*sync.Mutex{},
		refused: map[string]int{},
	}
}

// ServeHTTP handles a call of a VM.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/rows-tx":
		s.transact(w, r)
	case "/rows-get":
		time.Sleep(readTime)
		limit, _ := strconv.Atoi(query.Get("limit"))
		answer(w, http.StatusOK, s.list(query.Get("table"), query.Get("part"), query.Get("from"), query.Get("to"), limit))
	case "/rows-parts":
		time.Sleep(readTime)
		answer(w, http.StatusOK, s.listParts(query.Get("table"), query.Get("after")))
	case "/rows-feed":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.feed(w, r, query.Get("table"), after, time.Duration(min(wait, 30000))*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	w.Write(encoded)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 8<<20))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var t txn
	fault := ""
	if len(body) > maxTxnBytes {
		fault = fmt.Sprintf("a call of %d bytes, the limit is %d", len(body), maxTxnBytes)
	} else if err := json.Unmarshal(body, &t); err != nil {
		fault = err.Error()
	} else {
		fault = t.fault()
	}
	if fault != "" {
		s.refuse(fault)
		answer(w, http.StatusBadRequest, map[string]string{"reason": fault})
		return
	}
	for _, e := range append(append([]row{}, t.Writes...), t.Remove...) {
		if e.Table == "op" || e.Table == "servers" {
			answer(w, http.StatusForbidden, map[string]string{"reason": "the table " + e.Table + " is not the system's"})
			return
		}
	}
	status, result := s.apply(t)
	answer(w, status, result)
}

// fault returns what the platform's limits forbid in a transaction, "" if nothing.
func (t txn) fault() string {
	entries := append(append(append([]row{}, t.Expect...), t.Writes...), t.Remove...)
	if len(entries) == 0 || len(entries) > maxTxnEntries {
		return fmt.Sprintf("%d entries, the limit is %d", len(entries), maxTxnEntries)
	}
	for _, e := range entries {
		switch {
		case e.Part != entries[0].Part:
			return "entries of several parts"
		case len(e.Table) > maxNameBytes || len(e.Part) > maxNameBytes || len(e.Key) > maxNameBytes:
			return "a name that is too long"
		case len(e.Value) > maxRowBytes:
			return fmt.Sprintf("table %s, key %s: a value of %d bytes, rowBytes is %d", e.Table, e.Key, len(e.Value), maxRowBytes)
		}
	}
	return ""
}

func (s *store) refuse(fault string) {
	s.mu.Lock()
	s.refused[fault]++
	first := s.refused[fault] == 1
	s.mu.Unlock()
	if first {
		s.rec.log("store", "refuses a call: %s", fault)
	}
}

func (s *store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	return s.parts[part]
}

// apply carries out a transaction. Transactions of one part run one after the other.
func (s *store) apply(t txn) (int, rowsAnswer) {
	part := ""
	if len(t.Writes) > 0 {
		part = t.Writes[0].Part
	} else if len(t.Remove) > 0 {
		part = t.Remove[0].Part
	}
	lock := s.partLock(part)
	lock.Lock()
	defer lock.Unlock()
	time.Sleep(txnTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	current := []row{}
	for _, e := range t.Expect {
		have := s.rows[e.name()]
		conflict = conflict || have.Version != e.Version
		if have.Version != 0 {
			current = append(current, have)
		}
	}
	if conflict {
		return http.StatusPreconditionFailed, s.answerLocked(current)
	}
	s.version++
	for _, e := range t.Writes {
		e.Version = s.version
		s.rows[e.name()] = e
		s.history = append(s.history, e)
	}
	for _, e := range t.Remove {
		if _, ok := s.rows[e.name()]; !ok {
			continue
		}
		delete(s.rows, e.name())
		e.Value = nil
		e.Version = s.version
		e.Removed = true
		s.history = append(s.history, e)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, s.answerLocked(nil)
}

func (s *store) answerLocked(rows []row) rowsAnswer {
	if rows == nil {
		rows = []row{}
	}
	return rowsAnswer{
		Rows:    rows,
		Version: s.version,
		NowMs:   time.Since(s.began).Milliseconds(),
	}
}

// put writes a row as the operator or an executor would.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(txn{Writes: []row{{Table: table, Key: key, Value: encoded}}})
}

func (s *store) remove(table, key string) {
	s.apply(txn{Remove: []row{{Table: table, Key: key}}})
}

func (s *store) list(table, part, from, to string, limit int) rowsAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	var rows []row
	for name, r := range s.rows {
		if name.table == table && name.part == part && name.key >= from && (to == "" || name.key < to) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	size := 0
	for i, r := range rows {
		size += len(r.Value)
		if i == limit || i > 0 && size > maxPageBytes {
			a := s.answerLocked(rows[:i])
			a.More = true
			return a
		}
	}
	return s.answerLocked(rows)
}

func (s *store) listParts(table, after string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	parts := []string{}
	for name := range s.rows {
		if name.table == table && name.part > after && !seen[name.part] {
			seen[name.part] = true
			parts = append(parts, name.part)
		}
	}
	sort.Strings(parts)
	more := len(parts) > partsPerPage
	if more {
		parts = parts[:partsPerPage]
	}
	return map[string]any{"parts": parts, "hasMore": more, "ver": s.version}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	time.Sleep(readTime)
	for {
		s.mu.Lock()
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
		rows := []row{}
		version := s.version
		for _, e := range s.history[first:] {
			if len(rows) >= maxPageRows && e.Version != version {
				break
			}
			if e.Table == table {
				rows = append(rows, e)
				if len(rows) >= maxPageRows {
					version = e.Version
				}
			}
		}
		result := s.answerLocked(rows)
		result.Version = version
		changed := s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			answer(w, http.StatusOK, result)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, result)
			return
		case <-r.Context().Done():
			return
		}
	}
}
