package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"marjoramstack/internal/dispatcher"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

func newHandler(handled *[]dispatcher.Request) *Handler {
	return New(Options{
		Clock: clock.NewManual(1000),
		Name:  "fuzz",
		Class: func(name string) (document.Class, bool, bool) {
			class := document.Class{
				Name:     "quote",
				Kind:     document.KindInteractive,
				AnswerBy: "300ms",
			}
			return class, name == "quote", true
		},
		Handle: func(_ context.Context, req dispatcher.Request) dispatcher.Reply {
			*handled = append(*handled, req)
			return dispatcher.Reply{
				Status: http.StatusOK,
				Body:   []byte("ok"),
			}
		},
	})
}

// FuzzDoor sends requests with arbitrary headers. Each must either be executed
// with a valid key, deadline and class, or be rejected with a code whose outcome
// is not-run.
func FuzzDoor(f *testing.F) {
	f.Add("POST", "quote", "key-1", "250", "", "body")
	f.Add("GET", "nobody", "", "-1", "maybe", "")
	f.Add("BREW", "quote", "a/b", "1e9", "true", strings.Repeat("x", 100))
	f.Fuzz(func(t *testing.T, method, class, key, deadline, idempotent, body string) {
		req, err := http.NewRequest(method, "http://127.0.0.1/order", strings.NewReader(body))
		if err != nil {
			return // an HTTP server would not accept this request
		}
		req.RequestURI = "/order"
		setHeader(req, HeaderClass, class)
		setHeader(req, HeaderKey, key)
		setHeader(req, HeaderDeadline, deadline)
		setHeader(req, HeaderIdempotent, idempotent)
		var handled []dispatcher.Request
		recorder := httptest.NewRecorder()
		newHandler(&handled).ServeHTTP(recorder, req)
		code, err := strconv.Atoi(recorder.Header().Get(HeaderResult))
		if err != nil {
			t.Fatalf("no result code in %v", recorder.Header())
		}
		switch {
		case len(handled) == 0 && result.Code(code).Outcome() != result.OutcomeNotRun:
			t.Fatalf("rejected with code %d, whose outcome is not not-run", code)
		case len(handled) == 1 && (handled[0].Class != "quote" || !handled[0].Deadline.After(1000)):
			t.Fatalf("executed: %+v", handled[0])
		case len(handled) == 1 && key != "" && !ValidKey(handled[0].Key):
			t.Fatalf("executed with invalid key %q", handled[0].Key)
		}
	})
}

func setHeader(req *http.Request, name, value string) {
	if value != "" {
		req.Header[http.CanonicalHeaderKey(name)] = []string{value}
	}
}
