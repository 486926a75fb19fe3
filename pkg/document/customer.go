package document

import "crypto/sha256"

// KeyDigest is the SHA-256 digest of a customer's key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Customer is a group of callers that share keys, a quota and a share of the workers.
type Customer struct {
	Name string `json:"name,omitempty"`
	// Cap limits what the customer's tasks may use at a time, over all workers. A resource
	// whose limit is 0 is not limited.
	Cap Size `json:"cap,omitzero"`
	// Weight, in thousandths, is the customer's share relative to that of others while not
	// everybody can be served, and the rate in thousandths of jobs a second that was agreed.
	Weight int `json:"weight,omitempty"`
}

// Limited reports whether the customer has a limit for any resource.
func (c Customer) Limited() bool { return c.Cap != Size{} }

// Allows reports whether the customer may use the given amount of each resource.
func (c Customer) Allows(used Size) bool {
	return allows(c.Cap.Processors, used.Processors) &&
		allows(c.Cap.Memory, used.Memory) &&
		allows(c.Cap.Accelerators, used.Accelerators)
}

func allows(limit, used int) bool { return limit <= 0 || used <= limit }

// Terms returns the customer without its name, which is what is stored with a job when it is
// accepted.
func (c Customer) Terms() Customer {
	c.Name = ""
	return c
}

// CanHold reports whether the customer may ever run each task of the job, and all members of
// each of its gangs at a time. If not, step is the first step that exceeds its limits.
func (c Customer) CanHold(job StagedJob) (step int, ok bool) {
	for i, s := range job.Steps {
		together := 1
		if s.Gang {
			together = s.Tasks
		}
		if !c.Allows(s.Demand.Times(together)) {
			return i, false
		}
	}
	return 0, true
}
