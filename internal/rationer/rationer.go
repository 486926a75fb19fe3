// Package rationer bounds the memory and the connections that clients can take of a process,
// whatever they send.
//
// A Budget bounds the memory for request bodies. A body takes from it as it arrives, not by the
// length that it states. If the budget is used up, the largest body that is still arriving is
// given up for a smaller one, so that clients that stop short of the end of large bodies hold up
// nobody who sends a usual one. A body that has been read counts until the request has been
// carried out.
//
// A Listener bounds the connections. If as many are open, a new one takes the place of that on
// which nothing has arrived for longest, except for those whose request is being carried out.
//
// # Usage
//
//	limits := rationer.DefaultLimits(memory, descriptors)
//	budget := rationer.NewBudget(limits.BodyBytes)
//	callers := rationer.NewListener(listener, limits.CallerConns)
//	...
//	body, err := budget.Read(w, r, maxBody) // *result.Fault: TooLarge, Busy, MalformedRequest
//	defer body.Close()
//	defer callers.Protect(r.RemoteAddr)()
package rationer

// Limits are the bounds of a process.
type Limits struct {
	// BodyBytes is the memory for request bodies and what is made of them.
	BodyBytes int64
	// CallerConns and ProbeConns are how many connections callers and probes may have open.
	CallerConns int
	ProbeConns  int
}

const (
	// connBytes is the memory that an idle connection takes, with the head of a request.
	connBytes = 32 << 10
	// A sixteenth of the memory goes to bodies, and another one each to the connections of
	// callers and of probes. Each kind has at most a quarter of the descriptors, since a
	// request takes others to the platform's table.
	memoryShare     = 16
	descriptorShare = 4
	// The limits of a process whose memory is not limited.
	freeBodyBytes = 64 << 20
	freeConns     = 4096
	// minConns is the smallest derived limit of connections.
	minConns = 32
)

// DefaultLimits derives the limits of a process from its memory in bytes and its number of
// descriptors. 0 stands for no limit.
func DefaultLimits(memory int64, descriptors int) Limits {
	l := Limits{
		BodyBytes:   freeBodyBytes,
		CallerConns: freeConns,
	}
	if memory > 0 {
		l.BodyBytes = memory / memoryShare
		l.CallerConns = int(memory / memoryShare / connBytes)
	}
	if descriptors > 0 {
		l.CallerConns = min(l.CallerConns, descriptors/descriptorShare)
	}
	l.CallerConns = max(l.CallerConns, minConns)
	l.ProbeConns = l.CallerConns // all other VMs may probe an owner at the same time
	return l
}
