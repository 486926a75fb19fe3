package planner

import (
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Error is the class of this package's errors.
var Error = errs.Class("planner")

// TaskID identifies a task by its index within a step of an occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String formats the identifier for logs.
func (id TaskID) String() string {
	return id.Job + "/" + strconv.Itoa(id.Occurrence) + "/" + strconv.Itoa(id.Step) + "/" + strconv.Itoa(id.Index)
}

// ParseTaskID parses the format that String returns.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, "/")
	if len(parts) != taskIDParts {
		return TaskID{}, Error.New("malformed task identifier %q", text)
	}
	var numbers [taskIDParts - 1]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil {
			return TaskID{}, Error.New("malformed task identifier %q", text)
		}
		numbers[i] = n
	}
	return TaskID{
		Job:        parts[0],
		Occurrence: numbers[0],
		Step:       numbers[1],
		Index:      numbers[2],
	}, nil
}

const taskIDParts = 4

// MarshalText encodes the identifier as one string, which keeps stored records
// short.
func (id TaskID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText parses the output of MarshalText.
func (id *TaskID) UnmarshalText(text []byte) error {
	read, err := ParseTaskID(string(text))
	*id = read
	return err
}

// Worker is the description that a worker registers with the platform.
type Worker struct {
	ID       string
	Address  string
	Pool     string
	Zone     string
	Capacity document.Size
	Labels   []string
	Rack     string
	Leaving  bool
	// Machine is the VM on which the worker runs, empty if unknown.
	Machine string
}

// equal reports whether two descriptions are the same.
func (w Worker) equal(other Worker) bool {
	return w.ID == other.ID && w.Address == other.Address && w.Pool == other.Pool && w.Zone == other.Zone &&
		w.Capacity == other.Capacity && w.Rack == other.Rack && w.Leaving == other.Leaving &&
		w.Machine == other.Machine && slices.Equal(w.Labels, other.Labels)
}

// End is the way in which an attempt ended.
type End int

// Ends of attempts.
const (
	// EndDone means that the attempt completed the task.
	EndDone End = iota
	// EndFailed means that the task or its worker failed.
	EndFailed
	// EndStopped means that the attempt was stopped on request.
	EndStopped
	// EndLapsed means that the worker's lease expired.
	EndLapsed
	// EndBroken means that another member of the gang ended first.
	EndBroken
	// EndAlone means that the other members of the gang did not start.
	EndAlone
)

var endNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name for logs.
func (e End) String() string { return endNames[e] }

// Running is an attempt that a worker reports as running. Metric is the tail
// latency in milliseconds for tasks with a tail target, and the processors in use,
// in thousandths, for others.
type Running struct {
	Task       TaskID
	Attempt    int
	Checkpoint string
	Percent    int
	Metric     int
}

// Ended is an attempt that a worker reports as ended. Number increases with each
// end within an incarnation of the worker.
type Ended struct {
	Number     uint64
	Task       TaskID
	Attempt    int
	How        End
	Checkpoint string
}

// Report is a worker's answer to a renewal. WorkerTime is read from the worker's
// clock. Incarnation changes whenever the worker restarts, which ends all attempts
// that ran before.
type Report struct {
	Incarnation int64
	WorkerTime  clock.Time
	Running     []Running
	Ended       []Ended
}

// Outcome is the result of an order to a worker.
type Outcome int

// Outcomes of orders.
const (
	// OutcomeTaken means that the worker carried the order out.
	OutcomeTaken Outcome = iota
	// OutcomeUnknown means that no answer arrived: the order may have been
	// carried out or may still be.
	OutcomeUnknown
	// OutcomeNotSent means that the order certainly did not reach the worker.
	OutcomeNotSent
	// OutcomeBusy means that the worker was too busy to accept orders.
	OutcomeBusy
	// OutcomeLate means that the start arrived after its deadline.
	OutcomeLate
	// OutcomeOld means that this attempt or a later one of the task has already
	// ended or been stopped on the worker.
	OutcomeOld
	// OutcomeFull means that the worker lacks the capacity.
	OutcomeFull
	// OutcomeFenced means that the worker has seen a higher epoch, so another
	// owner has taken over.
	OutcomeFenced
	// OutcomeTicket means that the adviser's ticket for the start is no longer
	// valid.
	OutcomeTicket
	// OutcomeReplaced means that another worker, or the same one restarted under a
	// new identifier, answers at the address.
	OutcomeReplaced
	// OutcomeMalformed means that the worker could not parse the order.
	OutcomeMalformed
)

var outcomeNames = [...]string{"taken", "unknown", "not-sent", "busy", "late", "old", "full", "fenced", "ticket", "reborn", "malformed"}

// String returns the name for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Message is an input of a Planner. Only this package defines messages.
type Message interface{ message() }

// Configured carries the operators' current configuration.
type Configured struct {
	Operations document.Operations
}

// Submitted reports a job accepted at the time Accepted. Terms are the settings of
// its queue at that time and Customer those of its customer, nil if they were not recorded.
// Progress is the record of
// an earlier owner, nil if there is none. Inherited is true if an earlier owner may
// have started tasks of the job.
type Submitted struct {
	Job       document.StagedJob
	Terms     *document.Queue
	Customer  *document.Customer
	Progress  *Progress
	Inherited bool
	Accepted  clock.Time
}

// JobsRead reports that every job that an earlier owner can have started, and that still
// exists, has been submitted to this one.
type JobsRead struct{}

// Cancelled reports that the cancellation of a job is durable.
type Cancelled struct {
	Job string
}

// WorkerListed reports a worker that the platform lists, or a change of its
// description.
type WorkerListed struct {
	Worker Worker
}

// WorkerInherited reports a worker that an earlier owner recorded as in use. If the
// record is exact, Held lists every task that may be running there.
type WorkerInherited struct {
	Worker Worker
	Exact  bool
	Held   []TaskID
	// SilentEpoch is set while the worker does not answer: the epoch of the owner that
	// says so. LeaseLeft is then the longest that any lease there may still last, counted
	// from when the row is written; no owner grants another before it has replaced the row.
	SilentEpoch uint64
	LeaseLeft   clock.Span
}

// WorkerUnlisted reports that the platform no longer lists a worker.
type WorkerUnlisted struct {
	Worker string
}

// Renewed is the answer to a Renew order that was ordered at the time Ordered, 0 if unknown,
// received at the time Received.
type Renewed struct {
	Worker   string
	Report   Report
	Ordered  clock.Time
	Received clock.Time
	Extra    bool
}

// RenewFailed reports that a Renew order failed. Address is where it was sent.
type RenewFailed struct {
	Worker  string
	Address string
	Outcome Outcome
	Extra   bool
}

// StartEnded reports the outcome of a Start order. WorkerTime is the worker's clock
// if it answered. Late marks an answer that arrived after the outcome was reported
// as OutcomeUnknown.
type StartEnded struct {
	Worker     string
	Task       TaskID
	Attempt    int
	Outcome    Outcome
	WorkerTime clock.Time
	Late       bool
}

// StopEnded reports the outcome of a Stop order. WorkerTime is the worker's clock if
// it answered. Incarnation is the one to which the order was sent, 0 if unknown.
type StopEnded struct {
	Worker      string
	Incarnation int64
	Task        TaskID
	Attempt     int
	Outcome     Outcome
	WorkerTime  clock.Time
}

// Committed reports that the batch with a number is durable.
type Committed struct {
	Number uint64
}

// Ticked reports that time has passed.
type Ticked struct{}

func (Configured) message()      {}
func (Submitted) message()       {}
func (JobsRead) message()        {}
func (Cancelled) message()       {}
func (WorkerListed) message()    {}
func (WorkerInherited) message() {}
func (WorkerUnlisted) message()  {}
func (Renewed) message()         {}
func (RenewFailed) message()     {}
func (StartEnded) message()      {}
func (StopEnded) message()       {}
func (Committed) message()       {}
func (Ticked) message()          {}

// Order is a command to a worker or the adviser. Only this package defines orders.
type Order interface{ order() }

// Target is the worker to which an order is sent. Incarnation is 0 if any
// incarnation may carry the order out.
type Target struct {
	Worker      string
	Address     string
	Incarnation int64
}

// Start tells a worker to start an attempt. After Deadline, by the worker's clock,
// it must refuse.
type Start struct {
	Target
	Task       TaskID
	Attempt    int
	Payload    string
	Deadline   clock.Time
	Checkpoint string
	Ticket     string
}

// Stop tells a worker to end an attempt, or to refuse it if its start arrives
// later.
type Stop struct {
	Target
	Task    TaskID
	Attempt int
}

// Throttle tells a worker to limit an attempt to a percentage of its full speed.
type Throttle struct {
	Target
	Task    TaskID
	Attempt int
	Percent int
}

// Renew extends the lease on all attempts on a worker to Deadline, by the worker's
// clock (0 leaves it as it is), acknowledges the ends up to number Acked, which the
// worker then forgets, and asks for a Report. The worker may delay its answer by up
// to Wait until an attempt ends.
type Renew struct {
	Target
	Deadline clock.Time
	Acked    uint64
	Wait     clock.Span
	// Extra marks a poll sent in addition to the regular renewal.
	Extra bool
	// Ordered is when the planner issued the order.
	Ordered clock.Time
}

func (Start) order()    {}
func (Stop) order()     {}
func (Throttle) order() {}
func (Renew) order()    {}

// LogEntry describes one decision for the log.
type LogEntry struct {
	Event   string
	Job     string
	Task    string
	Attempt int
	Worker  string
	Second  string
	Reason  string
	Age     clock.Span
}
