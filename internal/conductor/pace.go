package conductor

import (
	"time"
)

const (
	// lateTickDelay is the delay of a tick that indicates a lack of processor time on
	// the VM.
	lateTickDelay = 250 * time.Millisecond
	// maxLateTicks is how many late ticks, minus the number of timely ones, end a
	// tenure.
	maxLateTicks = 5
)

// tickMonitor detects from the delays of ticks whether the loop keeps up.
type tickMonitor struct {
	lateTicks int
}

// record counts a tick that fired with the given delay.
func (m *tickMonitor) record(delay time.Duration) {
	if delay >= lateTickDelay {
		m.lateTicks++
		return
	}
	m.lateTicks = max(m.lateTicks-1, 0)
}

// behind reports whether the loop has been late recently.
func (m *tickMonitor) behind() bool { return m.lateTicks > 0 }

// overloaded reports whether the loop is late persistently.
func (m *tickMonitor) overloaded() bool { return m.lateTicks >= maxLateTicks }
