package document

import "marjoramstack/pkg/clock"

// Operations is what the operators of batch work ask for: the queues that jobs
// are submitted to, the pools of workers that run them, and what is to leave.
type Operations struct {
	Version uint64
	// Revision rises with every change, also one that has no version.
	Revision uint64
	Queues   []Queue
	Pools    []Pool
	// LeavingZones are the availability zones in which nothing more may start.
	LeavingZones map[string]bool
	Waves        []Wave
}

// Queue is where jobs of one kind are submitted. Host and Prefix are the address
// at which callers find it; the rest are the terms of its jobs.
type Queue struct {
	Name   string `json:"name,omitempty"`
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	Pool   string `json:"pool"`
	// Priority orders queues; 0 comes first and may preempt others.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is how many attempts of a task may fail.
	MaxAttempts int `json:"max-attempts"`
	// Stretch, in thousandths, times the longest chain of a job, plus Slack, is
	// the span in which the job should be complete.
	Stretch int        `json:"stretch"`
	Slack   clock.Span `json:"slack-ms,omitempty"`
	// Advised tells that only an outside adviser knows the workers allowed.
	Advised bool `json:"advised,omitempty"`
}

// Objective returns the span in which a job with the given longest chain should
// be complete.
func (q Queue) Objective(chain clock.Span) clock.Span {
	return chain*clock.Span(q.Stretch)/1000 + q.Slack
}

// Pool is a group of workers.
type Pool struct {
	Name string
	// Guarded pools have workers that reject what does not fit.
	Guarded bool
	// Spare pools hold VMs that are switched off.
	Spare bool
}

// Wave asks for the upkeep of VMs, at most Parallel at once.
type Wave struct {
	Number   int
	VMs      []string
	Within   clock.Span
	Parallel int
}

// Terms returns what a job is accepted with, without what the job itself tells.
func (q Queue) Terms() Queue {
	q.Name = ""
	q.Host = ""
	q.Prefix = ""
	return q
}

// Queue returns the queue of the name.
func (o Operations) Queue(name string) (Queue, bool) {
	for _, q := range o.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}
