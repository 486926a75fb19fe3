// Package authenticator decides who a caller is by the key that its request names, and which
// jobs it may reach.
//
// Every entry VM decides for itself, by the configuration that it has read. A VM that has not
// read the operators' table for maxAge trusts no key, known or unknown, since keys may have been
// added or withdrawn meanwhile: it refuses the request as not run. Keys are compared by their
// digests, so neither time nor memory tells anything about them.
//
// # Usage
//
//	caller, err := authenticator.Check(ops, queue, key, age)
//	if err != nil { return err } // *result.Fault: UnknownKey or NotReady
//	if !caller.MayReach(job.Customer, job.Queue) { ... }
package authenticator

import (
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

// maxAge is the maximum time since the configuration was last known to be current.
const maxAge = 2500 * clock.Millisecond

// Caller is who sends a request, and the queue through which it came.
type Caller struct {
	customer string
	queue    string
	open     bool
}

// Customer returns the caller's customer, empty if it needs none.
func (c Caller) Customer() string { return c.customer }

// Queue returns the queue through which the request came.
func (c Caller) Queue() string { return c.queue }

// MayReach reports whether the caller may query and cancel a job that a customer submitted to a
// queue. A job without a customer can be reached by all, and one that was submitted to a
// queue that has been opened since by all callers of that queue.
func (c Caller) MayReach(customer, queue string) bool {
	return customer == "" || customer == c.customer || c.open && queue == c.queue
}

// Check returns the caller of a request to a queue that names a key, which may be empty. Age is
// the time since the configuration was last known to be current. The error is a *result.Fault.
func Check(ops document.Operations, queue document.Queue, key string, age clock.Span) (Caller, error) {
	c := Caller{
		queue: queue.Name,
		open:  queue.Open || !ops.KeysRequired,
	}
	if c.open {
		return c, nil
	}
	if age > maxAge {
		return Caller{}, result.New(result.NotReady, "configuration %d was read %v ago, keys may have changed", ops.Version, age)
	}
	owner, ok := ops.KeyOwners[document.DigestKey(key)]
	if !ok || key == "" {
		return Caller{}, result.New(result.UnknownKey, "no key of a customer; configuration %d", ops.Version)
	}
	c.customer = owner
	return c, nil
}
