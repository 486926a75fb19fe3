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
	maxTasks    = 10000
	maxPayload  = 4096
	maxRunTime  = 30 * 24 * time.Hour
	maxFinishBy = 90 * 24 * time.Hour
)

var jobPattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9_-]{0,99}$`)

// Job is a batch job as it is submitted: a number of equal tasks. RunTime is
// what the submitter believes one task takes; it may be far off. FinishBy
// overrides the class's target, as a span from submission. FinishAt, if given, is
// the absolute time in Unix milliseconds by which it must be finished. Payload
// tells the worker what to run.
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

// ValidJobID reports whether id has the form of a job identifier.
func ValidJobID(id string) bool { return jobPattern.MatchString(id) }

// Declared returns the declared run time of one task; 0 means that it never
// ends.
func (j Job) Declared() clock.Span {
	d, err := time.ParseDuration(j.RunTime)
	if err != nil {
		return 0
	}
	return clock.FromDuration(d)
}

// Digest identifies the content of the job, so that a job submitted twice is
// told from another with the same identifier.
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

// Check refuses a job that is malformed, belongs to no batch class or team of
// the document, or whose finish time lies before now. The error is a
// *result.Fault.
func (j Job) Check(doc *Document, now clock.Time) error {
	if err := j.checkForm(); err != nil {
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
		return result.New(result.DeadlineInPast, "finish-at: lies %s in the past", now.Sub(clock.Time(j.FinishAt)))
	}
	return nil
}

func (j Job) checkForm() error {
	if !ValidJobID(j.ID) {
		return result.New(result.MalformedJob, "id: got %q, expected letters, digits, hyphens and underscores, at most 100", j.ID)
	}
	if j.Tasks < 1 || j.Tasks > maxTasks {
		return result.New(result.MalformedJob, "tasks: got %d, expected 1 to %d", j.Tasks, maxTasks)
	}
	if !j.Size.Positive() {
		return result.New(result.MalformedJob, "size: expected processors and memory-mb above zero and accelerators not below")
	}
	if len(j.Payload) > maxPayload {
		return result.New(result.MalformedJob, "payload: got %d bytes, expected at most %d", len(j.Payload), maxPayload)
	}
	if err := checkSpan("run-time", j.RunTime, maxRunTime); err != nil {
		return err
	}
	if j.FinishAt < 0 {
		return result.New(result.DeadlineInPast, "finish-at: got %d, expected a time to come", j.FinishAt)
	}
	if j.FinishBy == "" {
		return nil
	}
	return checkSpan("finish-by", j.FinishBy, maxFinishBy)
}

func checkSpan(field, text string, most time.Duration) error {
	d, err := time.ParseDuration(text)
	if err != nil || d < time.Millisecond || d > most {
		return result.New(result.MalformedJob, "%s: got %q, expected a span from 1ms to %s", field, text, most)
	}
	return nil
}

// Deadline returns when the job must be finished if it was submitted at the
// time.
func (j Job) Deadline(class Class, submitted clock.Time) clock.Time {
	if j.FinishAt != 0 {
		return clock.Time(j.FinishAt)
	}
	if d, err := time.ParseDuration(j.FinishBy); err == nil {
		return submitted.Add(clock.FromDuration(d))
	}
	return submitted.Add(class.Target())
}
