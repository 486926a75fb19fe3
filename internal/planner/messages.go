package planner

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// Error is the class of this package's errors.
var Error = errs.Class("planner")

// TaskID names a task: one index within a step, within an occurrence of a job.
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

// ParseTaskID reads what String formats.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, "/")
	if len(parts) != taskIDParts {
		return TaskID{}, Error.New("malformed task %q", text)
	}
	var numbers [taskIDParts - 1]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil {
			return TaskID{}, Error.New("malformed task %q", text)
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

// MarshalText and UnmarshalText keep records short.
func (id TaskID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText reads what MarshalText has written.
func (id *TaskID) UnmarshalText(text []byte) error {
	read, err := ParseTaskID(string(text))
	*id = read
	return err
}

// Worker describes a worker as it describes itself to the platform.
type Worker struct {
	ID       string
	Address  string
	Pool     string
	Zone     string
	Capacity document.Size
	Labels   []string
	Rack     string
	Leaving  bool
	// Machine is the VM on which the worker runs, if known.
	Machine string
}

// End tells how an attempt ended.
type End int

// Ends of attempts.
const (
	// EndDone means that the task is complete.
	EndDone End = iota
	// EndFailed means that the task or its worker failed.
	EndFailed
	// EndStopped means that the attempt was told to stop.
	EndStopped
	// EndLapsed means that the worker's lease ran out.
	EndLapsed
	// EndBroken means that another member of the gang ended.
	EndBroken
	// EndAlone means that the other members of the gang did not come.
	EndAlone
)

var endNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the end's name for logs.
func (e End) String() string { return endNames[e] }

// Running is one attempt that a worker lists as running. Figure is the tail of
// response times in milliseconds for tasks with a tail target, and the
// processors in use, in thousandths, for others.
type Running struct {
	Task       TaskID
	Attempt    int
	Checkpoint string
	Percent    int
	Metric     int
}

// Ended is one attempt that a worker lists as ended. Numbers rise within an
// incarnation of the worker.
type Ended struct {
	Number     uint64
	Task       TaskID
	Attempt    int
	How        End
	Checkpoint string
}

// Report is a worker's answer to a renewal. Reading is its own clock, and
// Incarnation names one life of it: in another life, nothing of before runs.
type Report struct {
	Incarnation int64
	WorkerTime  clock.Time
	Running     []Running
	Ended       []Ended
}

// Outcome tells what became of a start or a stop.
type Outcome int

// Outcomes of orders.
const (
	// OutcomeTaken means that the worker did as told.
	OutcomeTaken Outcome = iota
	// OutcomeUnknown means that no answer came: the order may still be
	// carried out.
	OutcomeUnknown
	// OutcomeNotSent means that the worker has certainly not got the order.
	OutcomeNotSent
	// OutcomeBusy means that the worker was not able to take orders.
	OutcomeBusy
	// OutcomeLate means that the start came after its deadline.
	OutcomeLate
	// OutcomeOld means that the worker knows this attempt or a later one as
	// ended.
	OutcomeOld
	// OutcomeFull means that the worker has no room.
	OutcomeFull
	// OutcomeFenced means that another owner gave orders under a higher epoch.
	OutcomeFenced
	// OutcomeTicket means that the advice for the start no longer holds.
	OutcomeTicket
	// OutcomeReplaced means that another worker, or another life of the worker
	// under a new identifier, answers at the address.
	OutcomeReplaced
	// OutcomeMalformed means that the worker did not understand the order.
	OutcomeMalformed
)

var outcomeNames = [...]string{"taken", "unknown", "not-sent", "busy", "late", "old", "full", "fenced", "ticket", "reborn", "malformed"}

// String returns the outcome's name for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Message is what a Planner is told. The set of messages is sealed.
type Message interface{ message() }

// Configured tells what operators ask for.
type Configured struct {
	Operations document.Operations
}

// Submitted tells of an accepted job. Terms are those of its queue when it was
// accepted, nil if they were not recorded. Progress is what an earlier owner
// recorded, nil for a job that none has recorded. Inherited tells that an
// earlier owner may have started tasks of it. Accepted is when it was accepted.
type Submitted struct {
	Job       document.StagedJob
	Terms     *document.Queue
	Progress  *Progress
	Inherited bool
	Accepted  clock.Time
}

// Cancelled tells that a job's cancellation is durable.
type Cancelled struct {
	Job string
}

// WorkerListed tells of a worker that the platform lists.
type WorkerListed struct {
	Worker Worker
}

// WorkerInherited tells of a worker that an earlier owner recorded as in use. If the
// record is exact, Held names all tasks that may be there.
type WorkerInherited struct {
	Worker Worker
	Exact  bool
	Held   []TaskID
}

// WorkerUnlisted tells that the platform no longer lists a worker.
type WorkerUnlisted struct {
	Worker string
}

// Renewed ends a Renew order that was answered.
type Renewed struct {
	Worker   string
	Report   Report
	Received clock.Time
	Extra    bool
}

// RenewFailed ends a Renew order that failed. Address is where it was sent.
type RenewFailed struct {
	Worker  string
	Address string
	Outcome Outcome
	Extra   bool
}

// StartEnded ends a Start order. Reading is the worker's clock if it answered.
// Late answers come after the order has ended as unknown.
type StartEnded struct {
	Worker     string
	Task       TaskID
	Attempt    int
	Outcome    Outcome
	WorkerTime clock.Time
	Late       bool
}

// StopEnded ends a Stop order. Reading is the worker's clock if it answered.
type StopEnded struct {
	Worker     string
	Task       TaskID
	Attempt    int
	Outcome    Outcome
	WorkerTime clock.Time
}

// Committed tells that the changes taken up to a number are durable.
type Committed struct {
	Number uint64
}

// Ticked lets time pass.
type Ticked struct{}

func (Configured) message()      {}
func (Submitted) message()       {}
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

// Order is what a worker has to be told. The set of orders is sealed.
type Order interface{ order() }

// Target is the worker that an order is for. Incarnation is 0 if any life of
// the worker may carry the order out.
type Target struct {
	Worker      string
	Address     string
	Incarnation int64
}

// Start tells a worker to start an attempt. Deadline is a reading of the
// worker's clock after which it may not start any more.
type Start struct {
	Target
	Task       TaskID
	Attempt    int
	Payload    string
	Deadline   clock.Time
	Checkpoint string
	Ticket     string
}

// Stop tells a worker to end an attempt, or never to start it.
type Stop struct {
	Target
	Task    TaskID
	Attempt int
}

// Throttle tells a worker to let an attempt work at a share of its speed.
type Throttle struct {
	Target
	Task    TaskID
	Attempt int
	Percent int
}

// Renew extends the lease on all that runs on a worker to a reading of its
// clock, 0 for no extension, lets it forget the ends up to Acked, and asks for
// its lists. The worker may wait up to Wait for an attempt to end.
type Renew struct {
	Target
	Deadline clock.Time
	Acked    uint64
	Wait     clock.Span
	// Extra renewals look at the lists beside the one that is under way.
	Extra bool
}

func (Start) order()    {}
func (Stop) order()     {}
func (Throttle) order() {}
func (Renew) order()    {}

// LogEntry is one decision, for the log.
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
