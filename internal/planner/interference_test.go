package planner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
)

// TestLossRepeats guards against decisions that differ between replays of the same
// messages: the loss to several best-effort images was summed in random order, and its
// rounding with it.
func TestLossRepeats(t *testing.T) {
	const images = 8
	first := sumOfLosses(images)
	for range 100 {
		assert.Equal(t, sumOfLosses(images), first)
	}
}

// sumOfLosses returns the margin that an image loses to best-effort images with different
// effects.
func sumOfLosses(images int) float64 {
	i := newInterference()
	serving := i.id("s")
	var shares imageShares
	for n := range images {
		image := i.id(fmt.Sprint("b", n))
		i.setEffect(image, serving, 1/float64(3+n*n*n), 1)
		shares.add(image, 0.1)
	}
	return i.loss(shares, serving)
}

// TestLessonsHandedOver checks that the next owner of a cell estimates the same effects
// and margins as the one before, whatever images its own jobs have named before, and that
// its lessons are the same.
func TestLessonsHandedOver(t *testing.T) {
	opts := Options{Epoch: 1, Takeover: clock.Time(1_000_000)}
	p := New(opts)
	model := p.interferenceModel
	for n := range 3 {
		serving := model.id(fmt.Sprint("s", n))
		model.update(imageShares{{image: model.id(fmt.Sprint("b", n)), share: 0.5}}, serving, 1.5, 40)
		model.updatePeakMargin(serving, float64(n+2))
	}
	lessons := p.Lessons()
	assert.Equal(t, len(lessons.Effects), 3)
	assert.Equal(t, len(lessons.PeakMargins), 3)

	next := New(opts)
	next.interferenceModel.id("b2")
	next.interferenceModel.id("other")
	next.Learn(lessons)
	assert.DeepEqual(t, next.Lessons(), lessons)
	for _, e := range lessons.Effects {
		learned := next.interferenceModel.estimate(next.interferenceModel.id(e.BestEffort), next.interferenceModel.id(e.Serving))
		assert.Equal(t, learned.mean, e.Loss)
		assert.Equal(t, learned.variance, e.Variance)
	}
	other := next.interferenceModel.id("other")
	assert.Equal(t, next.interferenceModel.effect(other, next.interferenceModel.id("s0")), priorEffect)
	assert.Assert(t, next.interferenceModel.unknown(other, next.interferenceModel.id("s2")))
}
