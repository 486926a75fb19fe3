package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/platform"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// TestArrivalIsTakenOnce guards against taking over a handover twice: a scan that
// began before the row was deleted can return it again. A later handover under the
// same key must be taken over.
func TestArrivalIsTakenOnce(t *testing.T) {
	cell := New(Options{ID: "press-0", Zone: "press", Epoch: 1})
	arrive := func(row platform.Version) {
		cell.Handle(1000, Arrived{
			Key: "handover/press-0/job1.0",
			Row: row,
			Taken: TaskTaken{Origin: Origin{Spec: document.Job{
				ID:    "job1",
				Tasks: 1,
				Size:  document.Size{Processors: 1, Memory: 1},
			}}},
		})
	}
	arrive(5)
	assert.Equal(t, waiting(cell), 1)
	arrive(5)
	assert.Equal(t, waiting(cell), 1)
	cell.ForgetArrival("handover/press-0/job1.0")
	arrive(5)
	assert.Equal(t, waiting(cell), 1)
	arrive(9)
	assert.Equal(t, waiting(cell), 2)
	cell.ForgetArrival("handover/press-0/job1.0")
	cell.pruneTakenOver(clock.Time(10 * clock.Minute))
	assert.Equal(t, len(cell.takenOver), 0)
}

func waiting(cell *Cell) int {
	view, _ := cell.View("job1", false)
	return view.Waiting
}
