// Package caller serves the HTTP API for callers, which send requests to be
// executed by endpoints.
//
// The header Marjoram-Class gives the class of a request. GET, HEAD, PUT, DELETE
// and OPTIONS are idempotent and POST and PATCH are not, unless
// Marjoram-Idempotent says otherwise. A request that is not idempotent is an
// order. Idempotency-Key gives its key; without the header a key is generated.
// Marjoram-Deadline-Ms gives the time in milliseconds within which the response
// is needed; without it the target of the class applies.
//
// The response of an endpoint is passed on with its status. Every response has
// the headers Marjoram-Result (a numbered code), Marjoram-Outcome (ran, not-run
// or unknown) and Marjoram-Order. A response that does not come from an endpoint
// has a JSON body.
//
// # Usage
//
//	handler := caller.New(caller.Options{Handle: d.Handle, Class: lookup, ...})
//	server := &http.Server{Handler: handler, MaxHeaderBytes: caller.ServerHeaderBytes}
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"sync/atomic"

	"marjoramstack/internal/dispatcher"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

// Headers of requests from callers and of responses to them.
const (
	HeaderClass      = "Marjoram-Class"
	HeaderIdempotent = "Marjoram-Idempotent"
	HeaderDeadline   = "Marjoram-Deadline-Ms"
	HeaderKey        = "Idempotency-Key"
	HeaderResult     = "Marjoram-Result"
	HeaderOutcome    = "Marjoram-Outcome"
	HeaderOrder      = "Marjoram-Order"
	HeaderEndpoint   = "Marjoram-Endpoint"
	HeaderDetail     = "Marjoram-Detail"
)

// Limits on requests. MaxBodyBytes and MaxHeaderBytes are enforced here.
// ServerHeaderBytes is for the HTTP server. It is larger than MaxHeaderBytes,
// because the server rejects a request that exceeds it without a result code.
const (
	MaxBodyBytes      = 1 << 20
	MaxHeaderBytes    = 16 << 10
	ServerHeaderBytes = 256 << 10

	maxDeadlineMs = 600_000
	maxPathBytes  = 8 << 10
)

var orderKeyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// ValidKey reports whether key is a valid key of an order: 1 to 128 letters,
// digits, dots, underscores, colons and hyphens.
func ValidKey(key string) bool { return orderKeyPattern.MatchString(key) }

// Options configure a Handler.
type Options struct {
	// Handle executes a request.
	Handle func(ctx context.Context, req dispatcher.Request) dispatcher.Reply
	// Class returns the class with the given name and whether it exists. Ready is
	// false while there is no configuration.
	Class func(name string) (class document.Class, ok, ready bool)
	Clock clock.Clock
	// Name is the prefix of request identifiers. It must be unique among entry
	// VMs.
	Name string
}

// Handler is an http.Handler for callers.
type Handler struct {
	opts Options
	next atomic.Uint64
}

// New returns a Handler.
func New(opts Options) *Handler {
	return &Handler{opts: opts}
}

// ServeHTTP validates a request, executes it and writes the response.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, err := h.read(w, r)
	if err != nil {
		h.answer(w, r.Method, req, refusal(err))
		return
	}
	h.answer(w, r.Method, req, h.opts.Handle(r.Context(), req))
}

// refusal returns the reply to a request that was rejected with err.
func refusal(err error) dispatcher.Reply {
	detail := err.Error()
	var f *result.Fault
	if errors.As(err, &f) {
		detail = f.Detail()
	}
	return dispatcher.Reply{
		Code:   result.CodeOf(err),
		Detail: detail,
	}
}

// read parses and validates a request. Nothing has been dispatched if it returns
// an error.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) (dispatcher.Request, error) {
	req := dispatcher.Request{
		ID:     fmt.Sprintf("%s-%d", h.opts.Name, h.next.Add(1)),
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		Header: r.Header,
	}
	if err := checkSize(r, req.Path); err != nil {
		return req, err
	}
	class, err := h.class(r)
	if err != nil {
		return req, err
	}
	req.Class = class.Name
	if req.Idempotent, err = idempotent(r); err != nil {
		return req, err
	}
	if req.Key, err = key(r, req); err != nil {
		return req, err
	}
	span, err := deadline(r, class)
	if err != nil {
		return req, err
	}
	req.Deadline = h.opts.Clock.Now().Add(span)
	req.Body, err = body(w, r)
	return req, err
}

func checkSize(r *http.Request, path string) error {
	size := 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > MaxHeaderBytes {
		return result.New(result.TooLarge, "headers have %d bytes, the limit is %d", size, MaxHeaderBytes)
	}
	if len(path) > maxPathBytes {
		return result.New(result.TooLarge, "path has %d bytes, the limit is %d", len(path), maxPathBytes)
	}
	return nil
}

func (h *Handler) class(r *http.Request) (document.Class, error) {
	name := r.Header.Get(HeaderClass)
	class, ok, ready := h.opts.Class(name)
	if !ready {
		return class, result.New(result.NotReady, "this entry VM has no configuration yet")
	}
	if !ok || class.Kind != document.KindInteractive {
		return class, result.New(result.UnknownClass, "header %s: got %q, expected an interactive class", HeaderClass, name)
	}
	return class, nil
}

// idempotent reports whether a request may be executed more than once.
func idempotent(r *http.Request) (bool, error) {
	if text := r.Header.Get(HeaderIdempotent); text != "" {
		idempotent, err := strconv.ParseBool(text)
		if err != nil {
			return false, result.New(result.MalformedRequest, "header %s: got %q, expected true or false", HeaderIdempotent, text)
		}
		return idempotent, nil
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true, nil
	case http.MethodPost, http.MethodPatch:
		return false, nil
	}
	return false, result.New(result.MalformedRequest, "method %q is not supported", r.Method)
}

// key returns the key of an order. A generated key contains a slash, so it cannot
// collide with a caller's key.
func key(r *http.Request, req dispatcher.Request) (string, error) {
	values, given := r.Header[http.CanonicalHeaderKey(HeaderKey)]
	if !given {
		return "made/" + req.ID, nil
	}
	if len(values) != 1 || !ValidKey(values[0]) {
		return "", result.New(result.MalformedKey, "header %s: expected 1 to 128 letters, digits, dots, colons, hyphens or underscores", HeaderKey)
	}
	return values[0], nil
}

// deadline returns the time within which the response is needed.
func deadline(r *http.Request, class document.Class) (clock.Span, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return class.Target(), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadlineMs {
		return 0, result.New(result.MalformedDeadline, "header %s: got %q, expected 1 to %d", HeaderDeadline, text, maxDeadlineMs)
	}
	return clock.Span(ms), nil
}

func body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err == nil {
		return data, nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, result.New(result.TooLarge, "body exceeds %d bytes", MaxBodyBytes)
	}
	return nil, result.New(result.MalformedRequest, "body is incomplete: %v", err)
}

// Problem is the body of a response that does not come from an endpoint.
type Problem struct {
	Code         int            `json:"code"`
	Name         string         `json:"name"`
	Outcome      result.Outcome `json:"outcome"`
	Detail       string         `json:"detail,omitempty"`
	Order        string         `json:"order,omitempty"`
	RetryAfterMs int64          `json:"retry-after-ms,omitempty"`
}

// answer writes reply as the response to req.
func (h *Handler) answer(w http.ResponseWriter, method string, req dispatcher.Request, reply dispatcher.Reply) {
	header := w.Header()
	if reply.Status != 0 {
		for name, values := range reply.Header {
			header[name] = values
		}
	}
	order := req.ID
	if !req.Idempotent && req.Key != "" {
		order = req.Key
	}
	header.Set(HeaderResult, strconv.Itoa(int(reply.Code)))
	header.Set(HeaderOutcome, string(reply.Code.Outcome()))
	header.Set(HeaderOrder, order)
	if reply.Endpoint != "" {
		header.Set(HeaderEndpoint, reply.Endpoint)
	}
	if reply.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int((reply.RetryAfter+clock.Second-1)/clock.Second)))
	}
	if reply.Status != 0 {
		if reply.Detail != "" {
			header.Set(HeaderDetail, reply.Detail)
		}
		writeBody(w, method, reply.Status, reply.Body)
		return
	}
	h.problem(w, method, order, reply)
}

func (h *Handler) problem(w http.ResponseWriter, method, order string, reply dispatcher.Reply) {
	data, err := json.Marshal(Problem{
		Code:         int(reply.Code),
		Name:         reply.Code.String(),
		Outcome:      reply.Code.Outcome(),
		Detail:       reply.Detail,
		Order:        order,
		RetryAfterMs: int64(reply.RetryAfter),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, method, reply.Code.Status(), append(data, '\n'))
}

// writeBody writes the status and the body. It sets Content-Length, so that a
// caller can detect a truncated response.
func writeBody(w http.ResponseWriter, method string, status int, body []byte) {
	if method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	if method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		return
	}
	if _, err := w.Write(body); err != nil {
		return // the caller has disconnected; the ledger has the outcome of its order
	}
}
