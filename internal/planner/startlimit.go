package planner

import "marjoramstack/pkg/clock"

const (
	// initialStartLimit is the limit of a new owner, minStartLimit and maxStartLimit bound it.
	initialStartLimit = 96
	minStartLimit     = 8
	maxStartLimit     = 1024
	// maxAnswerDelay is how much longer than the fastest ones answers to starts may take
	// before the limit is lowered. Short tasks wait for as long behind other starts.
	maxAnswerDelay = 25 * clock.Millisecond
	// startLimitStep is by how much the limit grows each time that as many starts as it
	// allows have been answered in time. startLimitDecrease is the factor by which it is
	// lowered, at most once per startLimitInterval and the time that answers take.
	startLimitStep     = 16
	startLimitDecrease = 0.8
	startLimitInterval = 200 * clock.Millisecond
	// answerTimeWeight is the weight of one answer in the mean, and maxAnswerTime the
	// longest that counts, so that a few slow workers do not lower the limit.
	answerTimeWeight = 1.0 / 32
	maxAnswerTime    = 400 * clock.Millisecond
	// fastestAnswerTTL is how long the fastest answer counts.
	fastestAnswerTTL = 10 * clock.Second
	// bestEffortStartsPermille is the share of the limit that best-effort tasks may use.
	bestEffortStartsPermille = 750
)

// startLimiter bounds the starts in flight by how long their answers take: it lets more
// starts be in flight while the answers come in time, and fewer once they take longer, be
// it because of the network, of the workers, or of this VM, whose processor is shared by
// decisions, calls and answers. It follows additive increase, multiplicative decrease.
type startLimiter struct {
	inFlight int
	limit    float64
	mean     float64 // of the answer times, in milliseconds
	// fastest is the shortest answer time of the last fastestAnswerTTL, about.
	fastest   clock.Span
	fastestAt clock.Time
	loweredAt clock.Time
}

func newStartLimiter() startLimiter { return startLimiter{limit: initialStartLimit} }

// sent counts a start that is sent.
func (l *startLimiter) sent() { l.inFlight++ }

// ended counts a start that was answered or given up.
func (l *startLimiter) ended() { l.inFlight-- }

// full reports whether no further start may be sent for a step.
func (l *startLimiter) full(s *step) bool {
	if s.spec.BestEffort {
		return float64(l.inFlight) >= l.limit*bestEffortStartsPermille/milliScale
	}
	return float64(l.inFlight) >= l.limit
}

// bestEffortRoom returns how many more starts of best-effort tasks may be sent.
func (l *startLimiter) bestEffortRoom() int {
	return int(l.limit*bestEffortStartsPermille/milliScale) - l.inFlight
}

// fullForRestarts reports whether no further start may be sent for tasks that are restarted.
func (l *startLimiter) fullForRestarts() bool {
	return float64(l.inFlight) >= l.limit+extraRestarts
}

// answered adjusts the limit to how long an answer took, from the decision to start the task
// until the answer was processed.
func (l *startLimiter) answered(now clock.Time, took clock.Span) {
	took = min(took, maxAnswerTime)
	if l.fastestAt == 0 || took <= l.fastest || now.Sub(l.fastestAt) > fastestAnswerTTL {
		l.fastest = took
		l.fastestAt = now
	}
	if l.mean == 0 {
		l.mean = float64(took)
	}
	l.mean += (float64(took) - l.mean) * answerTimeWeight
	switch {
	case l.mean <= float64(l.fastest+maxAnswerDelay):
		if float64(l.inFlight) >= l.limit/2 {
			l.limit = min(l.limit+startLimitStep/l.limit, maxStartLimit)
		}
	case now.Sub(l.loweredAt) >= startLimitInterval+clock.Span(l.mean):
		l.limit = max(l.limit*startLimitDecrease, minStartLimit)
		l.loweredAt = now
	}
}
