package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"marjoramstack/internal/endpoint"
	"marjoramstack/pkg/clock"
)

// EndpointFaults are the switches of an endpoint stand-in.
type EndpointFaults struct {
	// Silent takes requests and never answers them.
	Silent bool `json:"silent"`
	// FailAll answers every request with status 500.
	FailAll bool `json:"fail-all"`
	// Truncate cuts answers in the middle.
	Truncate bool `json:"truncate"`
	// Reset closes the connection after a request has been read and run.
	Reset bool `json:"reset"`
	// Leaving is the endpoint's own word that it is leaving.
	Leaving bool `json:"leaving"`
	// Slowdown multiplies the service time, in thousandths; 0 means none.
	Slowdown int `json:"slowdown-permille"`
}

// EndpointOptions describe an endpoint stand-in. Service is the mean time that
// a request takes; it varies exponentially around it if Random is set.
type EndpointOptions struct {
	ID      string
	Slots   int
	Service clock.Span
	Random  bool
	Seed    uint64
}

// Served is one request that the endpoint ran.
type Served struct {
	Request string `json:"request"`
	Key     string `json:"key,omitempty"`
	Method  string `json:"method"`
}

// EndpointRecord is what an endpoint stand-in did. Most is the largest number
// of requests that it worked on at once.
type EndpointRecord struct {
	Served []Served `json:"served"`
	Most   int      `json:"most"`
	Slots  int      `json:"slots"`
}

// Endpoint is the stand-in of an endpoint. It answers each request with the
// request's own identifier, so that a caller can tell whose answer it got. It
// is safe for concurrent use.
type Endpoint struct {
	opts   EndpointOptions
	mu     sync.Mutex
	random *rand.Rand
	faults EndpointFaults
	record EndpointRecord
	busy   int
	mux    *http.ServeMux
}

// NewEndpoint returns an idle endpoint.
func NewEndpoint(opts EndpointOptions) *Endpoint {
	e := &Endpoint{
		opts:   opts,
		random: rand.New(rand.NewPCG(opts.Seed, 7)),
		record: EndpointRecord{Slots: opts.Slots},
		mux:    http.NewServeMux(),
	}
	e.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	e.mux.HandleFunc("PUT /fault/switches", e.serveFaults)
	e.mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { encode(w, e.Record()) })
	e.mux.HandleFunc("/", e.serve)
	return e
}

// ServeHTTP answers one call, subject to the fault switches.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetFaults replaces the fault switches.
func (e *Endpoint) SetFaults(faults EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Record returns what the endpoint did so far.
func (e *Endpoint) Record() EndpointRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.record
	record.Served = append([]Served(nil), e.record.Served...)
	return record
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request did not come whole, so it is not run
	}
	faults, span := e.begin(r)
	defer e.end()
	if span > 0 {
		time.Sleep(span)
	}
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	if faults.Reset {
		panic(http.ErrAbortHandler)
	}
	e.reply(w, r, faults, body)
}

func (e *Endpoint) begin(r *http.Request) (EndpointFaults, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy++
	e.record.Most = max(e.record.Most, e.busy)
	e.record.Served = append(e.record.Served, Served{
		Request: r.Header.Get(endpoint.HeaderRequest),
		Key:     r.Header.Get("Idempotency-Key"),
		Method:  r.Method,
	})
	span := float64(e.opts.Service.Duration())
	if e.opts.Random {
		span *= e.random.ExpFloat64()
	}
	if e.faults.Slowdown > 0 {
		span *= float64(e.faults.Slowdown) / 1000
	}
	return e.faults, time.Duration(span)
}

func (e *Endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy--
}

func (e *Endpoint) reply(w http.ResponseWriter, r *http.Request, faults EndpointFaults, body []byte) {
	if faults.Leaving {
		w.Header().Set(endpoint.HeaderLeaving, "true")
	}
	if faults.FailAll {
		http.Error(w, "fails everything", http.StatusInternalServerError)
		return
	}
	id := r.Header.Get(endpoint.HeaderRequest)
	w.Header().Set(endpoint.HeaderRequest, id)
	text := fmt.Sprintf("%s %s %s %d %s\n", e.opts.ID, id, r.Method, len(body), r.Header.Get("X-Echo"))
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if faults.Truncate {
		text = text[:len(text)/2]
	}
	if _, err := io.WriteString(w, text); err != nil {
		return // the entry VM is gone
	}
	if faults.Truncate {
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		panic(http.ErrAbortHandler)
	}
}

func (e *Endpoint) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults EndpointFaults
	if decode(w, r, &faults) {
		e.SetFaults(faults)
	}
}
