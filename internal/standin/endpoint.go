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

// EndpointFaults are the faults that an endpoint stand-in can be told to show.
type EndpointFaults struct {
	// Silent runs requests and never answers them.
	Silent bool `json:"silent"`
	// FailAll answers every request with status 500.
	FailAll bool `json:"fail-all"`
	// Truncate closes the connection after half of the response body.
	Truncate bool `json:"truncate"`
	// Reset closes the connection without an answer, after a request has been
	// read and run.
	Reset bool `json:"reset"`
	// Leaving sets the response header by which an endpoint says that it is
	// draining.
	Leaving bool `json:"leaving"`
	// Slowdown is the factor applied to the service time, in thousandths; 0
	// leaves it unchanged.
	Slowdown int `json:"slowdown-permille"`
}

// EndpointOptions configure an endpoint stand-in. Service is the service time of
// a request; if Random is set, it is the mean of an exponential distribution.
// Slots is only recorded: the stand-in doesn't limit its concurrency.
type EndpointOptions struct {
	ID      string
	Slots   int
	Service clock.Span
	Random  bool
	Seed    uint64
}

// Served describes one request that the endpoint ran. Key is its idempotency key.
type Served struct {
	Request string `json:"request"`
	Key     string `json:"key,omitempty"`
	Method  string `json:"method"`
}

// EndpointRecord lists the requests that an endpoint stand-in ran. Most is the
// largest number of requests that were in flight at once.
type EndpointRecord struct {
	Served []Served `json:"served"`
	Most   int      `json:"most"`
	Slots  int      `json:"slots"`
}

// Endpoint simulates an endpoint. Each response carries the identifier of its
// request, so that a client can detect a response to another request. It is safe
// for concurrent use.
type Endpoint struct {
	opts     EndpointOptions
	mu       sync.Mutex
	random   *rand.Rand
	faults   EndpointFaults
	record   EndpointRecord
	inFlight int
	mux      *http.ServeMux
}

// NewEndpoint returns an endpoint without faults.
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

// ServeHTTP serves a request with the faults that are set, or a call that sets
// the faults or reads the record.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults. Requests in flight keep the old ones.
func (e *Endpoint) SetFaults(faults EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Record returns a copy of the record so far.
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
		return // the request body is incomplete, so the request is not run
	}
	faults, serviceTime := e.begin(r)
	defer e.end()
	if serviceTime > 0 {
		time.Sleep(serviceTime)
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
	e.inFlight++
	e.record.Most = max(e.record.Most, e.inFlight)
	e.record.Served = append(e.record.Served, Served{
		Request: r.Header.Get(endpoint.HeaderRequest),
		Key:     r.Header.Get("Idempotency-Key"),
		Method:  r.Method,
	})
	serviceTime := float64(e.opts.Service.Duration())
	if e.opts.Random {
		serviceTime *= e.random.ExpFloat64()
	}
	if e.faults.Slowdown > 0 {
		serviceTime *= float64(e.faults.Slowdown) / 1000
	}
	return e.faults, time.Duration(serviceTime)
}

func (e *Endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
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
		return // the entry VM closed the connection
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
