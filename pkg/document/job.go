package document

import (
	"regexp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

const (
	maxTasks        = 10000
	maxPayloadBytes = 4096
	maxRunTime      = 30 * 24 * time.Hour
	maxFinishBy     = 90 * 24 * time.Hour
)

var jobIDPattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9_-]{0,99}$`)

// Job is a batch job as submitted. It has Tasks identical tasks, each of size
// Size. RunTime is the submitter's estimate of the run time of one task, which
// can be far off. FinishBy is the time from submission within which the job must
// finish; it overrides the target of the class. FinishAt, if not 0, is the
// deadline in Unix milliseconds and overrides both. Payload tells the worker
// what to run.
type Job struct {
	ID       string `json:"id"`
	Class    string `json:"class"`
	Team     string `json:"team"`
	Tasks    int    `json:"tasks"`
	Size     Size   `json:"size"`
	RunTime  string `json:"run-time"`
	FinishBy string `json:"finish-by,omitempty"`
	FinishAt int64  `json:"finish-at,omitempty"`
	Payload  string `json:"payload,omitempty"`
}

// ValidJobID reports whether id is a valid job identifier: 1 to 100 letters,
// digits, hyphens and underscores, starting with a letter or digit.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// Declared returns the run time of one task as declared by the submitter. It
// returns 0 if RunTime is not a valid duration, which means that the task never
// ends, as that of a watcher.
func (j Job) Declared() clock.Span {
	d, err := time.ParseDuration(j.RunTime)
	if err != nil {
		return 0
	}
	return clock.FromDuration(d)
}

// Digest returns a hash of the job's content. It distinguishes a repeated
// submission of the same job from a different job with the same identifier.
func (j Job) Digest() string {
	h := xxhash.New()
	for _, part := range []string{
		j.ID, j.Class, j.Team, strconv.Itoa(j.Tasks),
		strconv.Itoa(j.Size.Processors), strconv.Itoa(j.Size.Memory), strconv.Itoa(j.Size.Accelerators),
		j.RunTime, j.FinishBy, j.Payload, strconv.FormatInt(j.FinishAt, 10),
	} {
		h.WriteString(part)
		h.WriteString("\x00")
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// Check returns a *result.Fault if the job is malformed, if the document does
// not have its team or a batch class of its class name, if one task exceeds the
// quota of the team, or if FinishAt is before now.
func (j Job) Check(doc *Document, now clock.Time) error {
	if err := j.checkFields(); err != nil {
		return err
	}
	class, ok := doc.Class(j.Class)
	if !ok || class.Kind != KindBatch {
		return result.New(result.UnknownClass, "class: got %q, expected a batch class", j.Class)
	}
	team, ok := doc.Team(j.Team)
	if !ok {
		return result.New(result.UnknownTeam, "team: got %q, expected a configured team", j.Team)
	}
	if !j.Size.Fits(team.Quota) {
		return result.New(result.NeverFits, "size: one task exceeds the quota of team %q", j.Team)
	}
	if j.FinishAt != 0 && clock.Time(j.FinishAt).Before(now) {
		return result.New(result.DeadlineInPast, "finish-at: is %s in the past", now.Sub(clock.Time(j.FinishAt)))
	}
	return nil
}

func (j Job) checkFields() error {
	if !ValidJobID(j.ID) {
		return result.New(result.MalformedJob, "id: got %q, expected letters, digits, hyphens and underscores, at most 100", j.ID)
	}
	if j.Tasks < 1 || j.Tasks > maxTasks {
		return result.New(result.MalformedJob, "tasks: got %d, expected 1 to %d", j.Tasks, maxTasks)
	}
	if !j.Size.Positive() {
		return result.New(result.MalformedJob, "size: expected processors and memory-mb above zero and no negative accelerators")
	}
	if len(j.Payload) > maxPayloadBytes {
		return result.New(result.MalformedJob, "payload: got %d bytes, expected at most %d", len(j.Payload), maxPayloadBytes)
	}
	if err := checkDuration("run-time", j.RunTime, maxRunTime); err != nil {
		return err
	}
	if j.FinishAt < 0 {
		return result.New(result.DeadlineInPast, "finish-at: got %d, expected a time in the future", j.FinishAt)
	}
	if j.FinishBy == "" {
		return nil
	}
	return checkDuration("finish-by", j.FinishBy, maxFinishBy)
}

func checkDuration(field, text string, limit time.Duration) error {
	d, err := time.ParseDuration(text)
	if err != nil || d < time.Millisecond || d > limit {
		return result.New(result.MalformedJob, "%s: got %q, expected a duration from 1ms to %s", field, text, limit)
	}
	return nil
}

// Deadline returns the deadline of the job if it was submitted at the given
// time: FinishAt if set, else FinishBy if set, else the target of the class.
func (j Job) Deadline(class Class, submitted clock.Time) clock.Time {
	if j.FinishAt != 0 {
		return clock.Time(j.FinishAt)
	}
	if d, err := time.ParseDuration(j.FinishBy); err == nil {
		return submitted.Add(clock.FromDuration(d))
	}
	return submitted.Add(class.Target())
}
