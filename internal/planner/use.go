package planner

// useState is what the record of workers in use says of a worker.
type useState int

const (
	// useNone: not named. Nothing may be started on it.
	useNone useState = iota
	// useReached: anything may have been started on it.
	useReached
	// useUnreached: it did not answer, and the record names all that may be on
	// it. Nothing may be started on it.
	useUnreached
	// useChanging: the record is being written. Nothing may be started on it.
	useChanging
)

// unreachedAfter is how many renewals in a row must fail for a worker to be
// recorded as unreached.
const unreachedAfter = 2

// wantedUse returns what the record should say.
func (w *worker) wantedUse() useState {
	switch {
	case w.synced && w.failures == 0:
		return useReached
	case w.synced && w.use == useReached && w.failures >= unreachedAfter:
		return useUnreached
	}
	return w.use
}

// useRecord is the worker's record in a state. A worker that does not answer is
// given no starts, so what is on it now is all that there will be.
func (w *worker) useRecord(state useState) Use {
	use := Use{Worker: w.info}
	if state != useUnreached {
		return use
	}
	use.Unreached = true
	for _, r := range w.sortedRuns() {
		use.Held = append(use.Held, r.key.task)
	}
	return use
}
