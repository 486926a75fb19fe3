package acceptor

import (
	"errors"
	"sync"

	"marjoramstack/pkg/clock"
)

// errBreakerOpen is returned for calls that were not sent because the platform is not
// answering.
var errBreakerOpen = errors.New("circuit breaker open: the platform is not answering")

// probeInterval is the minimum time between two probes while the breaker is open.
const probeInterval = 250 * clock.Millisecond

// breaker is a circuit breaker. It opens when a call is not answered, then lets one
// call per probeInterval through, and closes when a call is answered.
type breaker struct {
	mu        sync.Mutex
	open      bool
	lastProbe clock.Time
}

func (b *breaker) allow(now clock.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if now.Sub(b.lastProbe) < probeInterval {
		return false
	}
	b.lastProbe = now
	return true
}

func (b *breaker) record(now clock.Time, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if answered {
		b.open = false
		return
	}
	if !b.open {
		b.lastProbe = now
	}
	b.open = true
}
