package router

import (
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

// Request is what the router knows of a request. Deadline is when the answer is
// due by the target of its class or the caller's word.
type Request struct {
	ID         string
	Class      string
	Arrived    clock.Time
	Deadline   clock.Time
	Idempotent bool
	// Forwarded marks a request that an entry VM has passed on; it is not
	// passed on again.
	Forwarded bool
}

// Decision is what becomes of a request. The set of decisions is sealed.
type Decision interface{ decision() }

// Dispatch hands the request to an endpoint, one of whose slots is taken.
type Dispatch struct {
	Request   Request
	Endpoint  string
	Second    string
	Predicted clock.Span
	Reason    string
}

// Queue keeps the request waiting for a slot.
type Queue struct {
	Request Request
	Wait    clock.Span
}

// Forward passes the request to an entry VM that is predicted to have the
// answer earlier.
type Forward struct {
	Request   Request
	Peer      string
	Predicted clock.Span
	Reason    string
}

// Refuse answers the request without running it.
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

// Endpoint is an endpoint that this entry VM may use, with the slots it may
// use at it.
type Endpoint struct {
	ID    string
	Slots int
}

// Peer is another entry VM as its last heartbeat described it, at the time Heard.
// Delay is the time a request takes there and back.
type Peer struct {
	ID      string
	Zone    string
	Delay   clock.Span
	Free    int
	Wait    clock.Span
	Heard   clock.Time
	OwnZone bool
}

// Done tells that a request has left the slot of an endpoint. Span is how long
// it held the slot. Failed says that the endpoint gave no usable answer.
type Done struct {
	Endpoint string
	Class    string
	Span     clock.Span
	Failed   bool
	// Unmeasured leaves the span out of what is learnt.
	Unmeasured bool
}

// Load summarises the router for peers.
type Load struct {
	Slots  int        `json:"slots"`
	Free   int        `json:"free"`
	Queued int        `json:"queued"`
	Wait   clock.Span `json:"wait-ms"`
}
