// Package standin simulates the systems outside marjoramstack that it talks to:
// the platform, workers and endpoints. The stand-ins are for tests, the demo and
// experiments only, and can be told to show the faults of the real systems.
//
// Each stand-in is an http.Handler. Calls below /fault/ inject faults, and
// /record returns what the stand-in did, which tests compare with what the
// system reported.
//
// # Usage
//
//	p := standin.NewPlatform()
//	p.SetFleet(platform.Fleet{VMs: vms})
//	server := httptest.NewServer(p)
//	p.SetFaults(platform.Faults{Down: true})
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"marjoramstack/internal/platform"
)

// PlatformRecord counts the operations that the platform stand-in performed.
// Conflicts are transactions that were rejected by a version check.
type PlatformRecord struct {
	Commits      int `json:"commits"`
	Conflicts    int `json:"conflicts"`
	Reads        int `json:"reads"`
	ObjectWrites int `json:"object-writes"`
	ObjectReads  int `json:"object-reads"`
}

// Platform simulates the platform: a table, an object store and the list of VMs.
// It is safe for concurrent use.
type Platform struct {
	mu          sync.Mutex
	table       *sortedRows
	objects     map[string][]byte
	fleet       platform.Fleet
	listedFleet platform.Fleet
	faults      platform.Faults
	record      PlatformRecord
	mux         *http.ServeMux
}

// NewPlatform returns a platform without rows, objects or VMs.
func NewPlatform() *Platform {
	p := &Platform{
		table:   newSortedRows(),
		objects: map[string][]byte{},
		mux:     http.NewServeMux(),
	}
	p.mux.HandleFunc("POST /table/commit", p.serveCommit)
	p.mux.HandleFunc("POST /table/read", p.serveRead)
	p.mux.HandleFunc("PUT /objects/{name}", p.servePut)
	p.mux.HandleFunc("GET /objects/{name}", p.serveGet)
	p.mux.HandleFunc("DELETE /objects/{name}", p.serveDelete)
	p.mux.HandleFunc("GET /vms", p.serveFleet)
	p.mux.HandleFunc("PUT /fault/switches", p.serveFaults)
	p.mux.HandleFunc("PUT /fault/vms", p.serveSetFleet)
	p.mux.HandleFunc("GET /record", p.serveRecord)
	return p
}

// SetFleet replaces the list of VMs. While the fault FreezeFleet is set, callers
// still see the old list.
func (p *Platform) SetFleet(fleet platform.Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = fleet
	if !p.faults.FreezeFleet {
		p.listedFleet = fleet
	}
}

// SetFaults replaces the faults. Clearing FreezeFleet makes the latest fleet
// visible.
func (p *Platform) SetFaults(faults platform.Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	if !faults.FreezeFleet {
		p.listedFleet = p.fleet
	}
}

// Record returns a copy of the counts so far.
func (p *Platform) Record() PlatformRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record
}

// Rows returns the rows whose keys start with prefix, regardless of faults.
func (p *Platform) Rows(prefix string) []platform.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.read(platform.Query{Prefix: prefix})
}

// ServeHTTP serves a call with the faults that are set. Calls to /fault/ and
// /record are always served.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/fault/") || r.URL.Path == "/record" {
		p.mux.ServeHTTP(w, r)
		return
	}
	faults := p.currentFaults()
	if faults.Slow > 0 {
		time.Sleep(faults.Slow.Duration())
	}
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if r.Method != http.MethodGet && p.loseAnswer(r.URL.Path) {
		p.mux.ServeHTTP(discardWriter{header: http.Header{}}, r)
		http.Error(w, "answer lost", http.StatusBadGateway)
		return
	}
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) currentFaults() platform.Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// loseAnswer reports whether the answer to a call is to be lost, and counts it
// against Faults.LoseAnswers. Only answers to commits are lost.
func (p *Platform) loseAnswer(path string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path != "/table/commit" || p.faults.LoseAnswers == 0 {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if !decode(w, r, &txn) {
		return
	}
	p.mu.Lock()
	verdict := p.table.commit(txn)
	if verdict.Committed {
		p.record.Commits++
	} else {
		p.record.Conflicts++
	}
	p.mu.Unlock()
	encode(w, verdict)
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	var query platform.Query
	if !decode(w, r, &query) {
		return
	}
	p.mu.Lock()
	rows := p.table.read(query)
	p.record.Reads++
	p.mu.Unlock()
	encode(w, platform.Rows{Rows: rows})
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.objects[r.PathValue("name")] = data
	p.record.ObjectWrites++
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, ok := p.objects[r.PathValue("name")]
	p.record.ObjectReads++
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Write(data)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	delete(p.objects, r.PathValue("name"))
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveFleet(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	fleet := p.listedFleet
	p.mu.Unlock()
	body, err := json.Marshal(fleet)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Write(body)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults platform.Faults
	if decode(w, r, &faults) {
		p.SetFaults(faults)
	}
}

func (p *Platform) serveSetFleet(w http.ResponseWriter, r *http.Request) {
	var fleet platform.Fleet
	if decode(w, r, &fleet) {
		p.SetFleet(fleet)
	}
}

func (p *Platform) serveRecord(w http.ResponseWriter, _ *http.Request) {
	encode(w, p.Record())
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

// discardWriter discards a response, so that a call is carried out and its answer
// lost.
type discardWriter struct {
	header http.Header
}

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}
