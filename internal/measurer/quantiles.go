package measurer

import (
	"context"
	"slices"
	"time"
)

const setUpWithin = 30 * time.Second

func timeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), setUpWithin)
}

func quantiles(latencies []time.Duration) (p50, p99 time.Duration) {
	if len(latencies) == 0 {
		return 0, 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2], latencies[len(latencies)*99/100]
}
