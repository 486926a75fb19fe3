package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the platform's table, as the settings of the deployments state them.
const (
	rowBytes       = 65536
	callBytes      = 1 << 20
	entriesPerCall = 100
	rowsPerPage    = 500
	partsPerPage   = 1000
	nameBytes      = 200
	txnTime        = 8 * time.Millisecond
	readTime       = 4 * time.Millisecond
	maxFeedWait    = 30 * time.Second
)

type rowName struct{ Table, Part, Key string }

type storeRow struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   *string `json:"value,omitempty"`
	Ver     uint64  `json:"ver,omitempty"`
	Removed bool    `json:"removed,omitempty"`
}

func (r storeRow) name() rowName { return rowName{r.Table, r.Part, r.Key} }

type txnCall struct {
	Expect []storeRow `json:"expect"`
	Writes []storeRow `json:"writes"`
	Remove []storeRow `json:"remove"`
}

type rowsReply struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"hasMore"`
	Ver     uint64     `json:"ver"`
	NowMs   int64      `json:"nowMs"`
}

// store is a stand-in of the platform's table. It keeps its whole history.
type store struct {
	record *record
	began  time.Time

	mu      sync.Mutex
	rows    map[rowName]storeRow
	history []storeRow
	ver     uint64
	changed chan struct{}
	parts   map[string]*sync.Mutex
	refused int
}

func newStore(rec *record) *store {
	return &store{
		record:  rec,
		began:   time.Now(),
		rows:    map[rowName]storeRow{},
		changed: make(chan struct{}),
		parts:   map[string]*sync.Mutex{},
	}
}

// put writes a row for the operator or an executor; remove deletes one.
func (s *store) put(table, key string, value any) {
	encoded := base64.StdEncoding.EncodeToString(encode(value))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []storeRow{{Table: table, Key: key, Value: &encoded}})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{Table: table, Key: key}}, nil)
}

// apply carries out a transaction. The caller holds the lock.
func (s *store) apply(removes, writes []storeRow) {
	s.ver++
	for _, r := range removes {
		if _, ok := s.rows[r.name()]; !ok {
			continue
		}
		delete(s.rows, r.name())
		s.history = append(s.history, storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Removed: true})
	}
	for _, w := range writes {
		w.Ver = s.ver
		s.rows[w.name()] = w
		s.history = append(s.history, w)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/rows-tx":
		s.transact(w, r)
	case "/rows-get":
		time.Sleep(readTime)
		s.get(w, r)
	case "/rows-parts":
		time.Sleep(readTime)
		s.listParts(w, r)
	case "/rows-feed":
		s.feed(w, r)
	default:
		reply(w, http.StatusNotFound, struct{}{})
	}
}

func (s *store) refuse(w http.ResponseWriter, why string) {
	s.mu.Lock()
	s.refused++
	first := s.refused <= 10
	s.mu.Unlock()
	if first {
		s.record.add("store refuses a call with 400: %s", why)
	}
	reply(w, http.StatusBadRequest, struct{}{})
}

func (s *store) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var call txnCall
	if err != nil || json.Unmarshal(body, &call) != nil {
		s.refuse(w, "not JSON")
		return
	}
	part, why, status := call.check(len(body))
	if status == http.StatusForbidden {
		reply(w, status, struct{}{})
		return
	}
	if why != "" {
		s.refuse(w, why)
		return
	}
	turn := s.turn(part)
	turn.Lock()
	time.Sleep(txnTime)
	status, answer := s.commit(call)
	turn.Unlock()
	reply(w, status, answer)
}

// turn returns the lock by which a part carries out one transaction after the other.
func (s *store) turn(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	return s.parts[part]
}

// check returns the part of a call, and why and with which status it is refused.
func (c txnCall) check(size int) (part, why string, status int) {
	all := slices.Concat(c.Expect, c.Writes, c.Remove)
	if size > callBytes {
		return "", "a call of " + strconv.Itoa(size) + " bytes", http.StatusBadRequest
	}
	if len(all) == 0 || len(all) > entriesPerCall {
		return "", strconv.Itoa(len(all)) + " entries", http.StatusBadRequest
	}
	for _, r := range all {
		if r.Part != all[0].Part {
			return "", "several parts", http.StatusBadRequest
		}
		if r.Table == "" || r.Key == "" || len(r.Table) > nameBytes || len(r.Part) > nameBytes || len(r.Key) > nameBytes {
			return "", "a name of the wrong length", http.StatusBadRequest
		}
	}
	for _, r := range slices.Concat(c.Writes, c.Remove) {
		if r.Table == "op" || r.Table == "servers" {
			return "", "not writable", http.StatusForbidden
		}
	}
	for _, r := range c.Writes {
		if r.Value == nil {
			return "", "a write without a value", http.StatusBadRequest
		}
		decoded, err := base64.StdEncoding.DecodeString(*r.Value)
		if err != nil {
			return "", "a value that is not base64", http.StatusBadRequest
		}
		if len(decoded) > rowBytes {
			return "", "row " + r.Table + "/" + r.Key + " of " + strconv.Itoa(len(decoded)) + " bytes", http.StatusBadRequest
		}
	}
	return all[0].Part, "", http.StatusOK
}

func (s *store) commit(call txnCall) (int, rowsReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	current := []storeRow{}
	for _, e := range call.Expect {
		row, ok := s.rows[e.name()]
		if ok {
			current = append(current, row)
		}
		failed = failed || row.Ver != e.Ver
	}
	if failed {
		return http.StatusPreconditionFailed, s.answer(current, false)
	}
	s.apply(call.Remove, call.Writes)
	return http.StatusOK, s.answer(nil, false)
}

// answer returns a reply as of now. The caller holds the lock.
func (s *store) answer(rows []storeRow, more bool) rowsReply {
	if rows == nil {
		rows = []storeRow{}
	}
	return rowsReply{Rows: rows, HasMore: more, Ver: s.ver, NowMs: time.Since(s.began).Milliseconds()}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var found []storeRow
	for name, row := range s.rows {
		if name.Table != q.Get("table") || name.Part != q.Get("part") || name.Key < q.Get("from") {
			continue
		}
		if to := q.Get("to"); to != "" && name.Key >= to {
			continue
		}
		found = append(found, row)
	}
	slices.SortFunc(found, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	limit := rowsPerPage
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	page, size := 0, 0
	for page < len(found) && page < limit && size < callBytes {
		size += len(*found[page].Value)
		page++
	}
	answer := s.answer(found[:page], page < len(found))
	s.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

func (s *store) listParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	names := []string{}
	for name := range s.rows {
		if name.Table == q.Get("table") && name.Part > q.Get("after") && !slices.Contains(names, name.Part) {
			names = append(names, name.Part)
		}
	}
	s.mu.Unlock()
	slices.Sort(names)
	reply(w, http.StatusOK, map[string]any{"parts": names[:min(len(names), partsPerPage)], "hasMore": len(names) > partsPerPage})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		rows := s.since(q.Get("table"), after)
		answer := s.answer(rows, false)
		changed := s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the rows of a table that changed after a version, each as it was last
// written. The caller holds the lock.
func (s *store) since(table string, after uint64) []storeRow {
	at, _ := slices.BinarySearchFunc(s.history, after+1, func(r storeRow, ver uint64) int {
		switch {
		case r.Ver < ver:
			return -1
		case r.Ver > ver:
			return 1
		}
		return 0
	})
	var rows []storeRow
	for _, r := range s.history[at:] {
		if r.Table == table {
			rows = append(rows, r)
		}
	}
	return rows
}

func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return text
}

func reply(w http.ResponseWriter, status int, body any) {
	text := encode(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	w.Write(text)
}
