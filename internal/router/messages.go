package router

import (
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

// Request describes a request to the router. Deadline is when the answer is due,
// from the target of its class or the deadline that the caller gave.
type Request struct {
	ID         string
	Class      string
	Arrived    clock.Time
	Deadline   clock.Time
	Idempotent bool
	// Forwarded marks a request that another entry VM forwarded to this one. It
	// is not forwarded again.
	Forwarded bool
}

// Decision says what to do with a request. It is a Dispatch, Queue, Forward or
// Refuse.
type Decision interface{ decision() }

// Dispatch sends the request to an endpoint, where a slot is reserved for it.
// Second is the next best of the endpoints that were compared, or "". Predicted
// is the predicted response time.
type Dispatch struct {
	Request   Request
	Endpoint  string
	Second    string
	Predicted clock.Span
	Reason    string
}

// Queue keeps the request in the queue until a slot is free. Wait is the
// predicted queueing time.
type Queue struct {
	Request Request
	Wait    clock.Span
}

// Forward sends the request to another entry VM. Predicted is the predicted
// response time there, which is shorter than here.
type Forward struct {
	Request   Request
	Peer      string
	Predicted clock.Span
	Reason    string
}

// Refuse rejects the request without running it. The caller may retry after
// RetryAfter.
type Refuse struct {
	Request    Request
	Code       result.Code
	RetryAfter clock.Span
	Reason     string
}

func (Dispatch) decision() {}
func (Queue) decision()    {}
func (Forward) decision()  {}
func (Refuse) decision()   {}

// Endpoint is an endpoint that this entry VM may use. Slots is the number of
// requests that it may have in flight there.
type Endpoint struct {
	ID    string
	Slots int
}

// Peer is another entry VM as described by its last heartbeat, which was received
// at Heard. Delay is the network round-trip time. Free is its number of free
// slots and Wait its predicted queueing time.
type Peer struct {
	ID      string
	Zone    string
	Delay   clock.Span
	Free    int
	Wait    clock.Span
	Heard   clock.Time
	OwnZone bool
}

// Done reports that a request has released its slot at an endpoint. Span is how
// long it held the slot. Failed means that the endpoint gave no usable answer.
type Done struct {
	Endpoint string
	Class    string
	Span     clock.Span
	Failed   bool
	// Unmeasured excludes Span from the response time statistics.
	Unmeasured bool
}

// Load is the state of a router that peers use to decide about forwarding. Wait
// is the predicted queueing time of a new request.
type Load struct {
	Slots  int        `json:"slots"`
	Free   int        `json:"free"`
	Queued int        `json:"queued"`
	Wait   clock.Span `json:"wait-ms"`
}
