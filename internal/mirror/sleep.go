package mirror

import (
	"context"
	"time"

	"marjoramstack/pkg/clock"
)

// sleep waits for a span of time or until ctx ends.
func sleep(ctx context.Context, span clock.Span) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
