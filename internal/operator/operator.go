// Package operator serves the HTTP API for operators and for submitters of batch
// jobs.
//
// Every response is JSON. The body of a response with a status other than 2xx is a
// Problem with a numbered result code.
//
// # Usage
//
//	handler := operator.New(backend, meter)
//	http.Serve(listener, handler)
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"marjoramstack/internal/configurer"
	"marjoramstack/internal/follower"
	"marjoramstack/internal/ledger"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

const (
	maxBodyBytes   = 1 << 20
	defaultHistory = 20
	maxHistory     = 200
	maxCancelJobs  = 10000
)

// Backend executes the requests of the API.
type Backend interface {
	Change(ctx context.Context, request configurer.Request) (Change, error)
	History(ctx context.Context, limit int) ([]follower.State, error)
	Config() (follower.State, bool)
	Zones() []Zone
	VMs() []VM
	Status() Status
	Submit(ctx context.Context, job document.Job) error
	Cancel(ctx context.Context, ids []string) error
	Jobs(ctx context.Context) ([]Job, error)
	Job(ctx context.Context, id string) (Job, error)
	Order(ctx context.Context, key string) (ledger.Row, bool, error)
	Orders(ctx context.Context) (ledger.Counts, error)
	Ready() error
}

// Handler is the http.Handler of the API.
type Handler struct {
	backend Backend
	mux     *http.ServeMux
}

// New returns a Handler. GET /metrics is served by metrics.
func New(backend Backend, metrics http.Handler) *Handler {
	h := &Handler{
		backend: backend,
		mux:     http.NewServeMux(),
	}
	h.mux.Handle("GET /metrics", metrics)
	h.mux.HandleFunc("GET /healthz", h.healthz)
	h.mux.HandleFunc("GET /readyz", h.readyz)
	h.mux.HandleFunc("GET /v1/status", h.status)
	h.mux.HandleFunc("GET /v1/classes", h.classes)
	h.mux.HandleFunc("POST /v1/classes", h.applyClasses)
	h.mux.HandleFunc("POST /v1/classes/check", h.checkClasses)
	h.mux.HandleFunc("GET /v1/classes/history", h.history)
	h.mux.HandleFunc("GET /v1/zones", h.zones)
	h.mux.HandleFunc("POST /v1/zones/{zone}/{change}", h.changeZone)
	h.mux.HandleFunc("GET /v1/vms", h.vms)
	h.mux.HandleFunc("POST /v1/vms/{vm}/{change}", h.changeVM)
	h.mux.HandleFunc("GET /v1/jobs", h.jobs)
	h.mux.HandleFunc("POST /v1/jobs", h.submit)
	h.mux.HandleFunc("POST /v1/jobs/cancel", h.cancel)
	h.mux.HandleFunc("GET /v1/jobs/{id}", h.job)
	h.mux.HandleFunc("GET /v1/orders", h.orders)
	h.mux.HandleFunc("GET /v1/orders/{key...}", h.order)
	h.mux.HandleFunc("GET /v1/explain/{id...}", h.explain)
	return h
}

// ServeHTTP serves one request. Its body is limited to 1 MiB.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, "alive")
}

func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := h.backend.Ready(); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, "ready")
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.backend.Status())
}

func (h *Handler) classes(w http.ResponseWriter, _ *http.Request) {
	state, ok := h.backend.Config()
	if !ok {
		writeError(w, result.New(result.NotReady, "no configuration yet"))
		return
	}
	writeJSON(w, http.StatusOK, state)
}

func (h *Handler) applyClasses(w http.ResponseWriter, r *http.Request) {
	var in ApplyRequest
	if !readJSON(w, r, &in) {
		return
	}
	h.change(w, r, configurer.Request{
		Author: in.Author,
		Base:   in.Base,
		Edit:   configurer.ApplyDocument{Text: in.Text},
	})
}

func (h *Handler) checkClasses(w http.ResponseWriter, r *http.Request) {
	var in ApplyRequest
	if !readJSON(w, r, &in) {
		return
	}
	doc, err := document.Parse([]byte(in.Text))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, doc)
}

func (h *Handler) history(w http.ResponseWriter, r *http.Request) {
	limit := defaultHistory
	if text := r.URL.Query().Get("most"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			writeError(w, result.New(result.MalformedRequest, "most: got %q, expected 1 to %d", text, maxHistory))
			return
		}
		limit = n
	}
	states, err := h.backend.History(r.Context(), limit)
	respond(w, states, err)
}

func (h *Handler) zones(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.backend.Zones())
}

func (h *Handler) changeZone(w http.ResponseWriter, r *http.Request) {
	zone := r.PathValue("zone")
	h.changeLeaving(w, r, configurer.LeaveZone{Zone: zone}, configurer.ReturnZone{Zone: zone})
}

// changeLeaving makes the edit leave or unleave, depending on whether the URL path
// ends in "leave" or "return".
func (h *Handler) changeLeaving(w http.ResponseWriter, r *http.Request, leave, unleave configurer.Edit) {
	edit := leave
	switch r.PathValue("change") {
	case "leave":
	case "return":
		edit = unleave
	default:
		http.NotFound(w, r)
		return
	}
	h.change(w, r, configurer.Request{
		Author: r.URL.Query().Get("author"),
		Edit:   edit,
	})
}

func (h *Handler) vms(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.backend.VMs())
}

func (h *Handler) changeVM(w http.ResponseWriter, r *http.Request) {
	vm := r.PathValue("vm")
	h.changeLeaving(w, r, configurer.LeaveVM{VM: vm}, configurer.ReturnVM{VM: vm})
}

func (h *Handler) change(w http.ResponseWriter, r *http.Request, request configurer.Request) {
	change, err := h.backend.Change(r.Context(), request)
	if err != nil {
		writeError(w, err)
		return
	}
	status := http.StatusOK
	if len(change.Lacking) > 0 {
		status = result.Pending.Status()
	}
	writeJSON(w, status, change)
}

func (h *Handler) jobs(w http.ResponseWriter, r *http.Request) {
	jobs, err := h.backend.Jobs(r.Context())
	respond(w, jobs, err)
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	var job document.Job
	if !readJSON(w, r, &job) {
		return
	}
	if err := h.backend.Submit(r.Context(), job); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, job)
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	var in CancelRequest
	if !readJSON(w, r, &in) {
		return
	}
	if len(in.Jobs) == 0 || len(in.Jobs) > maxCancelJobs {
		writeError(w, result.New(result.MalformedRequest, "jobs: expected 1 to %d identifiers", maxCancelJobs))
		return
	}
	err := h.backend.Cancel(r.Context(), in.Jobs)
	respond(w, in, err)
}

func (h *Handler) job(w http.ResponseWriter, r *http.Request) {
	job, err := h.backend.Job(r.Context(), r.PathValue("id"))
	respond(w, job, err)
}

func (h *Handler) orders(w http.ResponseWriter, r *http.Request) {
	counts, err := h.backend.Orders(r.Context())
	respond(w, counts, err)
}

func (h *Handler) order(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	row, ok, err := h.backend.Order(r.Context(), key)
	if err == nil && !ok {
		err = result.New(result.OrderNotFound, "no order with key %q", key)
	}
	respond(w, row, err)
}

// explain returns the history of the job with the identifier or, if there is
// none, of the order.
func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	job, err := h.backend.Job(r.Context(), id)
	if err == nil {
		writeJSON(w, http.StatusOK, explainJob(job))
		return
	}
	row, ok, orderErr := h.backend.Order(r.Context(), id)
	switch {
	case orderErr != nil:
		writeError(w, orderErr)
	case !ok:
		writeError(w, result.New(result.JobNotFound, "no job or order has the identifier %q", id))
	default:
		writeJSON(w, http.StatusOK, Explanation{
			Kind:  "order",
			ID:    id,
			Order: &row,
		})
	}
}

func explainJob(job Job) Explanation {
	e := Explanation{
		Kind: "job",
		ID:   job.ID,
		Job:  &job,
	}
	for i := range job.Parts {
		e.Notes = append(e.Notes, job.Parts[i].Notes...)
		job.Parts[i].Notes = nil
	}
	sortNotes(e.Notes)
	return e
}

// readJSON decodes the request body into out. It rejects unknown fields and
// trailing data. On an error it writes an error response and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(out)
	if err == nil {
		err = expectEOF(decoder)
	}
	if err != nil {
		writeError(w, result.New(result.MalformedRequest, "body: %v", err))
		return false
	}
	return true
}

func expectEOF(decoder *json.Decoder) error {
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}

// respond writes value, or an error response if err is not nil.
func respond(w http.ResponseWriter, value any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, value)
}

// writeError responds with a Problem for err.
func writeError(w http.ResponseWriter, err error) {
	code := result.CodeOf(err)
	detail := err.Error()
	var f *result.Fault
	if errors.As(err, &f) {
		detail = f.Detail()
	}
	writeJSON(w, code.Status(), Problem{
		Code:   int(code),
		Name:   code.String(),
		Detail: detail,
	})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return // the client has disconnected
	}
}
