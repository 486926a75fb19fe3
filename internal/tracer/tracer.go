// Package tracer reads and writes traces of load, so that the same load can be
// replayed against different policies and builds.
//
// A trace is a text of JSON lines. The first line gives the format and its version.
// Each other line is an event with its time in milliseconds from the start, in
// ascending order. An event is a request with its class, or a step that changes the
// system or injects a fault, in the notation of package experimenter.
//
//	{"format":"marjoram-trace/v1","about":"a Friday evening"}
//	{"at-ms":12,"kind":"quote","class":"quote"}
//	{"at-ms":15,"kind":"order","class":"booking","key":"o-17"}
//	{"at-ms":900,"kind":"step","what":"zone-leave lab"}
//
// # Usage
//
//	trace, err := tracer.Read(file)
//	for _, e := range trace.Events { ... }
package tracer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("tracer")

// Format is the name and version of the trace format that this package supports.
const Format = "marjoram-trace/v1"

const maxLine = 1 << 20

// Kind is the kind of an event.
type Kind string

// The kinds of events: an idempotent request, an order, which must run at most
// once, and a step of an experiment.
const (
	KindQuote Kind = "quote"
	KindOrder Kind = "order"
	KindStep  Kind = "step"
)

// Head is the first line of a trace.
type Head struct {
	Format string `json:"format"`
	About  string `json:"about,omitempty"`
}

// Event is one line of a trace. A quote has a class, an order a class and a key,
// and a step has What.
type Event struct {
	AtMs  int64  `json:"at-ms"`
	Kind  Kind   `json:"kind"`
	Class string `json:"class,omitempty"`
	Key   string `json:"key,omitempty"`
	What  string `json:"what,omitempty"`
}

// Trace is a trace of load.
type Trace struct {
	Head   Head
	Events []Event
}

// Read reads and validates a trace. The error contains the number of the line.
func Read(from io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, 0, 1<<12), maxLine)
	trace := &Trace{}
	previous := int64(0)
	for n := 1; lines.Scan(); n++ {
		if n == 1 {
			if err := decodeStrict(lines.Bytes(), &trace.Head); err != nil || trace.Head.Format != Format {
				return nil, Error.New("line 1: expected format %s", Format)
			}
			continue
		}
		var e Event
		if err := decodeStrict(lines.Bytes(), &e); err != nil {
			return nil, Error.New("line %d: %v", n, err)
		}
		if err := e.check(previous); err != nil {
			return nil, Error.New("line %d: %v", n, err)
		}
		previous = e.AtMs
		trace.Events = append(trace.Events, e)
	}
	if err := lines.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	if trace.Head.Format == "" {
		return nil, Error.New("line 1: expected format %s", Format)
	}
	return trace, nil
}

func decodeStrict(line []byte, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	return decoder.Decode(out)
}

func (e Event) check(previous int64) error {
	if e.AtMs < previous {
		return Error.New("at-ms: got %d after %d, expected ascending times", e.AtMs, previous)
	}
	switch {
	case e.Kind == KindQuote && e.Class != "":
	case e.Kind == KindOrder && e.Class != "" && e.Key != "":
	case e.Kind == KindStep && e.What != "":
	default:
		return Error.New("kind: got %q, expected quote with class, order with class and key, or step with what", e.Kind)
	}
	return nil
}

// Write writes a trace and sets its format to Format.
func (t *Trace) Write(to io.Writer) error {
	encoder := json.NewEncoder(to)
	t.Head.Format = Format
	if err := encoder.Encode(t.Head); err != nil {
		return Error.Wrap(err)
	}
	for _, e := range t.Events {
		if err := encoder.Encode(e); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}
