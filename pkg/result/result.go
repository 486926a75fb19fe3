// Package result defines the numbered result codes and the three outcomes that
// marjoramstack reports to callers and operators.
//
// A code says what happened and why. An outcome says what the caller can rely
// on: OutcomeNotRun is reported only if it is certain that the request was sent
// to no endpoint. docs/RESULTS.md lists the codes; a test compares it with the
// table in this package.
//
// # Usage
//
//	return result.New(result.UnknownClass, "class %q is not configured", name)
//	...
//	code := result.CodeOf(err)
//	w.WriteHeader(code.Status())
package result

import (
	"context"
	"errors"
	"fmt"
	"strings"
)

// Code is a numbered result code.
type Code int

// Result codes. 1xx are for requests, 2xx for jobs, 3xx for configuration
// changes and 4xx for the system itself.
const (
	OK Code = 0

	MalformedRequest   Code = 100
	UnknownClass       Code = 101
	TooLarge           Code = 102
	MalformedDeadline  Code = 103
	MalformedKey       Code = 104
	KeyReused          Code = 105
	OrderInProgress    Code = 106
	Shed               Code = 107
	DeadlinePassed     Code = 108
	NoEndpoint         Code = 109
	LedgerUnavailable  Code = 110
	AnswerLost         Code = 111
	AnswerIncomplete   Code = 112
	ShuttingDown       Code = 113
	OrderOutcomeLost   Code = 114
	OrderNotFound      Code = 115
	PeerUnreachable    Code = 116
	AnswerTimedOut     Code = 117
	Busy               Code = 118
	MalformedJob       Code = 200
	UnknownTeam        Code = 201
	JobExists          Code = 202
	NeverFits          Code = 203
	JobNotFound        Code = 204
	NoOwner            Code = 205
	DeadlineInPast     Code = 206
	UnknownQueue       Code = 207
	Overloaded         Code = 208
	UnknownKey         Code = 209
	MalformedDocument  Code = 300
	ContradictoryClass Code = 301
	Raced              Code = 302
	UnknownZone        Code = 303
	UnknownVM          Code = 304
	EveryZoneLeaving   Code = 305
	Pending            Code = 306
	PlatformDown       Code = 400
	NotReady           Code = 401
	BadSettings        Code = 402
	CountsDisagree     Code = 403
	WriteUnknown       Code = 404
	Internal           Code = 499
)

// Outcome tells a caller whether a request was executed.
type Outcome string

// The outcomes of a request. OutcomeUnknown means that it may have been
// executed.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Entry describes one code. Status is its HTTP status and Exit the exit code of
// a command that ends with it.
type Entry struct {
	Code    Code
	Name    string
	Status  int
	Exit    int
	Outcome Outcome
	Meaning string
}

var entries = []Entry{
	entry(OK, "ok", 200, 0, OutcomeRan, "The request ran, or the change is in force."),
	entry(MalformedRequest, "malformed-request", 400, 2, OutcomeNotRun, "The request cannot be read."),
	entry(UnknownClass, "unknown-class", 400, 2, OutcomeNotRun, "The class is not configured, or is of another kind."),
	entry(TooLarge, "too-large", 413, 2, OutcomeNotRun, "Headers or body exceed the limit."),
	entry(MalformedDeadline, "malformed-deadline", 400, 2, OutcomeNotRun, "The deadline is not a positive number of milliseconds."),
	entry(MalformedKey, "malformed-key", 400, 2, OutcomeNotRun, "The idempotency key is empty, too long or holds characters outside its alphabet."),
	entry(KeyReused, "key-reused", 422, 2, OutcomeNotRun, "The key names an order with another body; this request was not run."),
	entry(OrderInProgress, "order-in-progress", 409, 5, OutcomeUnknown, "The order with this key is in progress; ask again after Retry-After."),
	entry(Shed, "shed", 503, 5, OutcomeNotRun, "The answer could not have come by the deadline, so the request was not started."),
	entry(DeadlinePassed, "deadline-passed", 504, 5, OutcomeNotRun, "The deadline passed while the request waited; it was not started."),
	entry(NoEndpoint, "no-endpoint", 503, 5, OutcomeNotRun, "No endpoint takes this request at present."),
	entry(LedgerUnavailable, "ledger-unavailable", 503, 5, OutcomeNotRun, "The order could not be recorded, so it was not run; try again after Retry-After."),
	entry(AnswerLost, "answer-lost", 502, 5, OutcomeUnknown, "The request was handed over and no answer came back."),
	entry(AnswerIncomplete, "answer-incomplete", 502, 5, OutcomeUnknown, "The answer was cut short, so no part of it is passed on."),
	entry(ShuttingDown, "shutting-down", 503, 5, OutcomeNotRun, "The entry VM is shutting down; ask another."),
	entry(OrderOutcomeLost, "order-outcome-lost", 502, 5, OutcomeUnknown, "The entry VM that held the order died; the order may have run and is not run again."),
	entry(OrderNotFound, "order-not-found", 404, 3, OutcomeNotRun, "No order with this key is recorded."),
	entry(PeerUnreachable, "peer-unreachable", 502, 5, OutcomeUnknown, "The request was passed to an entry VM of another availability zone and no answer came back."),
	entry(AnswerTimedOut, "answer-timed-out", 504, 5, OutcomeUnknown, "The request was handed over and no answer came by the deadline."),
	entry(Busy, "busy", 503, 5, OutcomeNotRun, "The entry VM has no memory left for the request; try again after Retry-After."),
	entry(MalformedJob, "malformed-job", 400, 2, OutcomeNotRun, "A field of the job is missing or out of range."),
	entry(UnknownTeam, "unknown-team", 400, 2, OutcomeNotRun, "The team is not configured."),
	entry(JobExists, "job-exists", 409, 4, OutcomeNotRun, "A job with this identifier and another body exists."),
	entry(NeverFits, "never-fits", 422, 4, OutcomeNotRun, "No worker or quota could ever hold the job."),
	entry(JobNotFound, "job-not-found", 404, 3, OutcomeNotRun, "No job with this identifier is recorded."),
	entry(NoOwner, "no-owner", 503, 5, OutcomeNotRun, "No scheduler owns a cell that could take the job at present."),
	entry(DeadlineInPast, "deadline-in-past", 400, 2, OutcomeNotRun, "The finish time lies in the past."),
	entry(UnknownQueue, "unknown-queue", 404, 3, OutcomeNotRun, "No queue is configured at this address."),
	entry(Overloaded, "overloaded", 503, 5, OutcomeNotRun, "The job could not be complete in time, so it was not accepted; try again after Retry-After."),
	entry(UnknownKey, "unknown-key", 401, 4, OutcomeNotRun, "The request names no key of a customer."),
	entry(MalformedDocument, "malformed-document", 400, 2, OutcomeNotRun, "The class document is not valid; line, field and expectation follow."),
	entry(ContradictoryClass, "contradictory-class", 400, 2, OutcomeNotRun, "A class contradicts itself."),
	entry(Raced, "raced", 409, 4, OutcomeNotRun, "Another change came first; it is shown."),
	entry(UnknownZone, "unknown-zone", 404, 3, OutcomeNotRun, "The availability zone is not configured."),
	entry(UnknownVM, "unknown-vm", 404, 3, OutcomeNotRun, "The VM is not in the platform's list."),
	entry(EveryZoneLeaving, "every-zone-leaving", 409, 4, OutcomeNotRun, "The change would leave no availability zone in service."),
	entry(Pending, "pending", 202, 6, OutcomeUnknown, "The change is recorded; the named availability zones do not have it in force yet."),
	entry(PlatformDown, "platform-down", 503, 5, OutcomeNotRun, "The platform does not answer; nothing was changed."),
	entry(NotReady, "not-ready", 503, 5, OutcomeNotRun, "The entry VM has no configuration yet."),
	entry(BadSettings, "bad-settings", 500, 2, OutcomeNotRun, "A flag or environment variable is not valid."),
	entry(CountsDisagree, "counts-disagree", 500, 1, OutcomeUnknown, "Recorded and observed outcomes disagree."),
	entry(WriteUnknown, "write-unknown", 502, 5, OutcomeUnknown, "The platform took the write but its answer was lost, and it could not be read back in time."),
	entry(Internal, "internal", 500, 1, OutcomeUnknown, "A fault of the system itself."),
}

func entry(code Code, name string, status, exit int, outcome Outcome, meaning string) Entry {
	return Entry{
		Code:    code,
		Name:    name,
		Status:  status,
		Exit:    exit,
		Outcome: outcome,
		Meaning: meaning,
	}
}

var byCode = indexByCode()

func indexByCode() map[Code]Entry {
	table := make(map[Code]Entry, len(entries))
	for _, e := range entries {
		table[e.Code] = e
	}
	return table
}

// Entries returns the table of codes in ascending order.
func Entries() []Entry { return append([]Entry(nil), entries...) }

// Lookup returns the entry of code, or the entry of Internal if code is not in
// the table.
func Lookup(code Code) Entry {
	e, ok := byCode[code]
	if !ok {
		return byCode[Internal]
	}
	return e
}

// String returns the kebab-case name of the code.
func (c Code) String() string { return Lookup(c).Name }

// Status returns the HTTP status of a response with the code.
func (c Code) Status() int { return Lookup(c).Status }

// Exit returns the exit code of a command that ends with the code.
func (c Code) Exit() int { return Lookup(c).Exit }

// Outcome returns the outcome that the code implies.
func (c Code) Outcome() Outcome { return Lookup(c).Outcome }

// Fault is an error with a result code and a detail text.
type Fault struct {
	code   Code
	detail string
}

// New returns a Fault with a formatted detail.
func New(code Code, format string, args ...any) *Fault {
	return &Fault{
		code:   code,
		detail: fmt.Sprintf(format, args...),
	}
}

// Code returns the result code.
func (f *Fault) Code() Code { return f.code }

// Detail returns the error text without the name of the code.
func (f *Fault) Detail() string { return f.detail }

// Error returns the name of the code followed by the detail.
func (f *Fault) Error() string { return f.code.String() + ": " + f.detail }

// CodeOf returns the code of the Fault in err's chain. It returns OK if err is
// nil, and Internal if the chain contains no Fault.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var f *Fault
	if errors.As(err, &f) {
		return f.code
	}
	return Internal
}

// Cause returns the Fault with which ctx was cancelled. It returns nil if ctx was
// not cancelled, or for another cause.
func Cause(ctx context.Context) *Fault {
	var f *Fault
	if errors.As(context.Cause(ctx), &f) {
		return f
	}
	return nil
}

// Markdown returns the contents of docs/RESULTS.md: the table of codes.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Made by `marjoram results`; a test holds this page against the code.\n\n")
	b.WriteString("| code | name | HTTP status | exit code | outcome | meaning |\n")
	b.WriteString("|---|---|---|---|---|---|\n")
	for _, e := range entries {
		fmt.Fprintf(&b, "| %d | %s | %d | %d | %s | %s |\n", e.Code, e.Name, e.Status, e.Exit, e.Outcome, e.Meaning)
	}
	return b.String()
}
