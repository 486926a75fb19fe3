package document

import (
	"net"
	"strings"

	"marjoramstack/pkg/clock"
)

// Operations is the operators' configuration for batch work: the queues that
// accept jobs, the worker pools that run them, the availability zones to drain
// and the maintenance waves.
type Operations struct {
	Version uint64
	// Revision increases with every change, including changes that do not
	// increase Version.
	Revision uint64
	Queues   []Queue
	Pools    []Pool
	// LeavingZones are the availability zones that are being drained: no task
	// may start in them.
	LeavingZones map[string]bool
	Waves        []Wave
	// KeysRequired means that callers of queues that are not open must name a key of a
	// customer. Customers are by name; KeyOwners names the customer of each key.
	KeysRequired bool
	Customers    map[string]Customer
	KeyOwners    map[KeyDigest]string
}

// Queue accepts jobs and defines how they are run. Callers address it by Host
// and path Prefix. The other fields apply to its jobs.
type Queue struct {
	Name   string `json:"name,omitempty"`
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	Pool   string `json:"pool"`
	// Priority orders the queues. 0 is the highest priority, and its tasks may
	// preempt those of other queues.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the number of failed attempts after which a task fails.
	MaxAttempts int `json:"max-attempts"`
	// Stretch, in thousandths, and Slack set the target completion time of a
	// job: Stretch times the length of its critical path, plus Slack.
	Stretch int        `json:"stretch"`
	Slack   clock.Span `json:"slack-ms,omitempty"`
	// Advised means that an external adviser selects the workers that may run
	// the tasks.
	Advised bool `json:"advised,omitempty"`
	// AdviceTime and AdviceTimePerWorker are how long the adviser takes for a call, and how much
	// longer for each worker that the call names. 0 means unknown.
	AdviceTime          clock.Span `json:"advice-ms,omitempty"`
	AdviceTimePerWorker clock.Span `json:"advice-per-worker-ms,omitempty"`
	// Open means that callers need no key.
	Open bool `json:"open,omitempty"`
}

// Objective returns the target completion time of a job whose critical path
// has the given length.
func (q Queue) Objective(criticalPath clock.Span) clock.Span {
	return criticalPath*clock.Span(q.Stretch)/1000 + q.Slack
}

// Pool is a group of workers.
type Pool struct {
	Name string
	// Guarded means that the workers reject tasks that do not fit.
	Guarded bool
	// Spare means that the VMs of the pool are switched off.
	Spare bool
}

// Wave is a request for maintenance of VMs within the span Within, with at most
// Parallel VMs in maintenance at a time.
type Wave struct {
	Number   int
	VMs      []string
	Within   clock.Span
	Parallel int
}

// Terms returns the queue without Name, Host and Prefix. This is the part that
// is stored with a job when it is accepted.
func (q Queue) Terms() Queue {
	q.Name = ""
	q.Host = ""
	q.Prefix = ""
	return q
}

// Queue returns the queue with the given name and whether it exists.
func (o Operations) Queue(name string) (Queue, bool) {
	for _, q := range o.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// FindQueue returns the queue of a host, with or without a port, whose prefix is the longest
// that the path begins with, and the rest of the path.
func (o Operations) FindQueue(host, path string) (queue Queue, rest string, found bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, q := range o.Queues {
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if !found || len(q.Prefix) > len(queue.Prefix) {
			queue = q
			found = true
		}
	}
	return queue, strings.TrimPrefix(path, queue.Prefix), found
}
