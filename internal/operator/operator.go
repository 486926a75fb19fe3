// Package operator is the door at which operators and submitters of jobs hand in
// what they want, over HTTP with JSON.
//
// Every answer is JSON. One that is not of status 2xx is a Problem with a
// numbered result code.
//
// # Usage
//
//	door := operator.New(backend, meter)
//	http.Serve(listener, door)
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
	historyDefault = 20
	historyMost    = 200
	cancelMost     = 10000
)

// Backend carries out what operators ask for.
type Backend interface {
	Change(ctx context.Context, request configurer.Request) (Change, error)
	History(ctx context.Context, most int) ([]follower.State, error)
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

// Handler is the http.Handler for operators.
type Handler struct {
	backend Backend
	mux     *http.ServeMux
}

// New returns a Handler. GET /metrics is served by metrics.
func New(backend Backend, metrics http.Handler) *Handler {
	d := &Handler{
		backend: backend,
		mux:     http.NewServeMux(),
	}
	d.mux.Handle("GET /metrics", metrics)
	d.mux.HandleFunc("GET /healthz", d.healthz)
	d.mux.HandleFunc("GET /readyz", d.readyz)
	d.mux.HandleFunc("GET /v1/status", d.status)
	d.mux.HandleFunc("GET /v1/classes", d.classes)
	d.mux.HandleFunc("POST /v1/classes", d.applyClasses)
	d.mux.HandleFunc("POST /v1/classes/check", d.checkClasses)
	d.mux.HandleFunc("GET /v1/classes/history", d.history)
	d.mux.HandleFunc("GET /v1/zones", d.zones)
	d.mux.HandleFunc("POST /v1/zones/{zone}/{change}", d.changeZone)
	d.mux.HandleFunc("GET /v1/vms", d.vms)
	d.mux.HandleFunc("POST /v1/vms/{vm}/{change}", d.changeVM)
	d.mux.HandleFunc("GET /v1/jobs", d.jobs)
	d.mux.HandleFunc("POST /v1/jobs", d.submit)
	d.mux.HandleFunc("POST /v1/jobs/cancel", d.cancel)
	d.mux.HandleFunc("GET /v1/jobs/{id}", d.job)
	d.mux.HandleFunc("GET /v1/orders", d.orders)
	d.mux.HandleFunc("GET /v1/orders/{key...}", d.order)
	d.mux.HandleFunc("GET /v1/explain/{id...}", d.explain)
	return d
}

// ServeHTTP answers one call.
func (d *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	d.mux.ServeHTTP(w, r)
}

func (d *Handler) healthz(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, "alive") }

func (d *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := d.backend.Ready(); err != nil {
		fail(w, err)
		return
	}
	write(w, http.StatusOK, "ready")
}

func (d *Handler) status(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, d.backend.Status())
}

func (d *Handler) classes(w http.ResponseWriter, _ *http.Request) {
	state, ok := d.backend.Config()
	if !ok {
		fail(w, result.New(result.NotReady, "no configuration yet"))
		return
	}
	write(w, http.StatusOK, state)
}

func (d *Handler) applyClasses(w http.ResponseWriter, r *http.Request) {
	var in ApplyRequest
	if !read(w, r, &in) {
		return
	}
	d.change(w, r, configurer.Request{
		Author: in.Author,
		Base:   in.Base,
		Edit:   configurer.ApplyDocument{Text: in.Text},
	})
}

func (d *Handler) checkClasses(w http.ResponseWriter, r *http.Request) {
	var in ApplyRequest
	if !read(w, r, &in) {
		return
	}
	doc, err := document.Parse([]byte(in.Text))
	if err != nil {
		fail(w, err)
		return
	}
	write(w, http.StatusOK, doc)
}

func (d *Handler) history(w http.ResponseWriter, r *http.Request) {
	most := historyDefault
	if text := r.URL.Query().Get("most"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > historyMost {
			fail(w, result.New(result.MalformedRequest, "most: got %q, expected 1 to %d", text, historyMost))
			return
		}
		most = n
	}
	states, err := d.backend.History(r.Context(), most)
	answer(w, states, err)
}

func (d *Handler) zones(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, d.backend.Zones())
}

func (d *Handler) changeZone(w http.ResponseWriter, r *http.Request) {
	zone := r.PathValue("zone")
	d.mark(w, r, configurer.LeaveZone{Zone: zone}, configurer.ReturnZone{Zone: zone})
}

// mark makes the change that the path names.
func (d *Handler) mark(w http.ResponseWriter, r *http.Request, leave, back configurer.Edit) {
	edit := leave
	switch r.PathValue("change") {
	case "leave":
	case "return":
		edit = back
	default:
		http.NotFound(w, r)
		return
	}
	d.change(w, r, configurer.Request{
		Author: r.URL.Query().Get("author"),
		Edit:   edit,
	})
}

func (d *Handler) vms(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, d.backend.VMs())
}

func (d *Handler) changeVM(w http.ResponseWriter, r *http.Request) {
	vm := r.PathValue("vm")
	d.mark(w, r, configurer.LeaveVM{VM: vm}, configurer.ReturnVM{VM: vm})
}

func (d *Handler) change(w http.ResponseWriter, r *http.Request, request configurer.Request) {
	change, err := d.backend.Change(r.Context(), request)
	if err != nil {
		fail(w, err)
		return
	}
	status := http.StatusOK
	if len(change.Lacking) > 0 {
		status = result.Pending.Status()
	}
	write(w, status, change)
}

func (d *Handler) jobs(w http.ResponseWriter, r *http.Request) {
	jobs, err := d.backend.Jobs(r.Context())
	answer(w, jobs, err)
}

func (d *Handler) submit(w http.ResponseWriter, r *http.Request) {
	var job document.Job
	if !read(w, r, &job) {
		return
	}
	if err := d.backend.Submit(r.Context(), job); err != nil {
		fail(w, err)
		return
	}
	write(w, http.StatusOK, job)
}

func (d *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	var in CancelRequest
	if !read(w, r, &in) {
		return
	}
	if len(in.Jobs) == 0 || len(in.Jobs) > cancelMost {
		fail(w, result.New(result.MalformedRequest, "jobs: expected 1 to %d identifiers", cancelMost))
		return
	}
	err := d.backend.Cancel(r.Context(), in.Jobs)
	answer(w, in, err)
}

func (d *Handler) job(w http.ResponseWriter, r *http.Request) {
	job, err := d.backend.Job(r.Context(), r.PathValue("id"))
	answer(w, job, err)
}

func (d *Handler) orders(w http.ResponseWriter, r *http.Request) {
	counts, err := d.backend.Orders(r.Context())
	answer(w, counts, err)
}

func (d *Handler) order(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	row, ok, err := d.backend.Order(r.Context(), key)
	if err == nil && !ok {
		err = result.New(result.OrderNotFound, "no order with key %q", key)
	}
	answer(w, row, err)
}

// explain looks for a job with the identifier, then for an order.
func (d *Handler) explain(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	job, err := d.backend.Job(r.Context(), id)
	if err == nil {
		write(w, http.StatusOK, explainJob(job))
		return
	}
	row, ok, orderErr := d.backend.Order(r.Context(), id)
	switch {
	case orderErr != nil:
		fail(w, orderErr)
	case !ok:
		fail(w, result.New(result.JobNotFound, "no job and no order is called %q", id))
	default:
		write(w, http.StatusOK, Explanation{
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

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		err = onlyOne(decoder)
	}
	if err != nil {
		fail(w, result.New(result.MalformedRequest, "body: %v", err))
		return false
	}
	return true
}

func onlyOne(decoder *json.Decoder) error {
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("expected one JSON value")
	}
	return nil
}

func answer(w http.ResponseWriter, value any, err error) {
	if err != nil {
		fail(w, err)
		return
	}
	write(w, http.StatusOK, value)
}

func fail(w http.ResponseWriter, err error) {
	code := result.CodeOf(err)
	detail := err.Error()
	var f *result.Fault
	if errors.As(err, &f) {
		detail = f.Detail()
	}
	write(w, code.Status(), Problem{
		Code:   int(code),
		Name:   code.String(),
		Detail: detail,
	})
}

func write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return // the operator is gone
	}
}
