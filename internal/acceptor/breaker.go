package acceptor

import (
	"errors"
	"sync"

	"marjoramstack/pkg/clock"
)

// errAway refuses a call that was not made, since the platform does not answer.
var errAway = errors.New("the platform has not answered of late")

// probeEvery is how often a call is let through while the platform is away.
const probeEvery = 250 * clock.Millisecond

// breaker lets calls through while they are answered. After one that was not,
// it lets one through now and then until one is answered again.
type breaker struct {
	mu     sync.Mutex
	open   bool
	probed clock.Time
}

func (b *breaker) allow(now clock.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if now.Sub(b.probed) < probeEvery {
		return false
	}
	b.probed = now
	return true
}

func (b *breaker) note(now clock.Time, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if answered {
		b.open = false
		return
	}
	if !b.open {
		b.probed = now
	}
	b.open = true
}
