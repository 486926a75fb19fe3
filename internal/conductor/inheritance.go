package conductor

import (
	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
)

// inheritance tells which jobs an earlier owner may have started, by the versions of their
// rows. The time at which a row arrives tells nothing: reads take as long as the table lets
// them.
type inheritance struct {
	// until is the time from which no earlier owner acts.
	until clock.Time
	// bound is a version that the table had reached when no earlier owner acted any more, 0
	// while none is known.
	bound uint64
	// read is the version up to which all rows of jobs have been read, 0 before the first read.
	read uint64
	// reported is true once the planner knows that it has all inherited jobs.
	reported bool
}

// newInheritance returns the inheritance of an owner that took the cell at a version. Until
// the time given, an earlier owner may act, if overlaps is set.
func newInheritance(takenVersion uint64, until clock.Time, overlaps bool) inheritance {
	if overlaps {
		return inheritance{until: until}
	}
	return inheritance{
		until: until,
		bound: takenVersion,
	}
}

// observe notes that a write sent at the given time brought the table to a version. It reports
// whether that is the bound, which was not known before.
func (i *inheritance) observe(sent clock.Time, version uint64) (found bool) {
	if i.bound != 0 || sent.Before(i.until) {
		return false
	}
	i.bound = version
	return true
}

// covers reports whether an earlier owner may have started the job whose row has the given
// version.
func (i *inheritance) covers(version uint64) bool { return i.bound == 0 || version <= i.bound }

// reach notes that all rows of jobs up to a version have been read.
func (i *inheritance) reach(version uint64) { i.read = max(i.read, version) }

// complete reports whether all jobs that an earlier owner may have started have been read.
func (i *inheritance) complete() bool { return i.bound != 0 && i.read >= i.bound }

// reportJobsRead tells the planner, once, that it has all jobs that an earlier owner may have
// started.
func (t *tenure) reportJobsRead(now clock.Time) {
	if t.inheritance.reported || !t.inheritance.complete() {
		return
	}
	t.inheritance.reported = true
	t.c.opts.Log.Info("inherited-jobs-read", "epoch", t.head.Epoch, "version", t.inheritance.read, "age-ms", int64(now.Sub(t.planner.Takeover())))
	t.planner.Handle(now, planner.JobsRead{})
}
