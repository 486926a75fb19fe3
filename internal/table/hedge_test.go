package table

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
)

func TestHedge(t *testing.T) {
	refused := errors.New("refused")
	for _, test := range []struct {
		name      string
		durations []time.Duration // of the first and the second call
		errs      []error
		calls     int32
		err       error
	}{
		{"at once", []time.Duration{0, 0}, []error{nil, nil}, 1, nil},
		{"first silent", []time.Duration{time.Hour, 0}, []error{nil, nil}, 2, nil},
		{"both slow, the first answers", []time.Duration{60 * time.Millisecond, time.Hour}, []error{nil, nil}, 2, nil},
		{"first refused", []time.Duration{0, 0}, []error{refused, nil}, 2, nil},
		{"both refused", []time.Duration{0, 0}, []error{refused, refused}, 2, refused},
		{"first unknown, second refused", []time.Duration{0, 0}, []error{ErrUnknown, refused}, 2, ErrUnknown},
		{"first refused, second unknown", []time.Duration{0, 0}, []error{refused, ErrUnknown}, 2, ErrUnknown},
		{"both silent", []time.Duration{time.Hour, time.Hour}, []error{nil, nil}, 2, ErrUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			var calls atomic.Int32
			_, err := Hedge(context.Background(), 20, 200, func(ctx context.Context) (int, error) {
				n := calls.Add(1) - 1
				select {
				case <-time.After(test.durations[n]):
					return 0, test.errs[n]
				case <-ctx.Done():
					return 0, ErrUnknown
				}
			})
			assert.Equal(t, calls.Load(), test.calls)
			assert.Assert(t, errors.Is(err, test.err) || err == nil && test.err == nil, "%v", err)
		})
	}
}

// TestPace checks that the hedge delay grows with the latency, so that the load on a slow
// store does not double, and shrinks again afterwards.
func TestPace(t *testing.T) {
	var estimate LatencyEstimate
	assert.Equal(t, estimate.HedgeDelay(200), clock.Span(200))
	for range 10 {
		estimate.Observe(300)
	}
	assert.Assert(t, estimate.HedgeDelay(200) > 700)
	for range 20 {
		estimate.Observe(10)
	}
	assert.Equal(t, estimate.HedgeDelay(200), clock.Span(200))
}
