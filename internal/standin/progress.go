package standin

import (
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
)

// advance simulates the attempts up to now. It does so in short steps, so that an
// attempt that finishes or loses its lease stops slowing down its neighbours from
// then on.
func (w *Worker) advance() {
	now := w.opts.Clock.Now()
	step := clock.Second / stepsPerSecond
	for w.lastAdvance.Before(now) {
		next := w.lastAdvance.Add(step)
		if next.After(now) {
			next = now
		}
		w.runUntil(next.Sub(w.lastAdvance), next)
		w.lastAdvance = next
	}
	for key, at := range w.seen {
		if w.now().Sub(at) > seenRetention {
			if _, present := w.attempts[key]; !present {
				delete(w.seen, key)
			}
		}
	}
}

func (w *Worker) runUntil(elapsed clock.Span, at clock.Time) {
	running := w.running()
	if len(running) == 0 {
		return
	}
	counts := map[string]int{}
	for _, a := range running {
		counts[a.start.Class]++
	}
	for _, a := range running {
		// Leases also expire while a worker is paused, since its clock runs on.
		if at.Add(w.opts.Offset).After(a.start.Until) {
			w.expireLease(a, at)
			continue
		}
		if w.faults.Paused {
			continue
		}
		w.addProgress(a, elapsed, w.speed(a, counts), at)
	}
	w.sample(running, counts, at)
}

// expireLease ends an attempt whose lease expired. The worker checkpoints it first,
// unless the worker is paused.
func (w *Worker) expireLease(a *attempt, at clock.Time) {
	if !w.faults.Paused {
		a.checkpoint = a.done
	}
	w.end(a, worker.StateLapsed, "lease-lapsed", at)
}

func (w *Worker) addProgress(a *attempt, elapsed clock.Span, speed float64, at clock.Time) {
	a.fraction += float64(elapsed) * speed
	whole := clock.Span(a.fraction)
	a.fraction -= float64(whole)
	a.done += whole
	if a.start.Work > 0 && a.done >= a.start.Work {
		a.done = a.start.Work
		a.checkpoint = a.done
		w.end(a, worker.StateFinished, "", at)
	}
}

// speed returns the share of full speed at which an attempt runs next to the
// running attempts, which counts gives by class.
func (w *Worker) speed(a *attempt, counts map[string]int) float64 {
	speed := 1.0
	for class, n := range counts {
		if class == a.start.Class {
			n--
		}
		permille, ok := w.slowdowns[[2]string{a.start.Class, class}]
		for ; ok && n > 0; n-- {
			speed *= float64(permille) / 1000
		}
	}
	if a.throttled {
		speed *= throttleSpeed
	}
	return max(speed, minSpeed)
}

func (w *Worker) running() []*attempt {
	var running []*attempt
	for _, a := range w.attempts {
		if a.state == worker.StateRunning {
			running = append(running, a)
		}
	}
	return running
}

func (w *Worker) sample(running []*attempt, counts map[string]int, at clock.Time) {
	if at.Sub(w.lastSample) < sampleInterval {
		return
	}
	w.lastSample = at
	for _, a := range running {
		if a.state != worker.StateRunning || a.throttled {
			continue
		}
		w.samples = append(w.samples, worker.Sample{
			Task:  a.start.Task,
			Class: a.start.Class,
			Taken: at.Add(w.opts.Offset),
			Speed: int(1000 * w.speed(a, counts)),
			Used:  a.start.Size,
		})
	}
}

// takeSamples removes and returns the samples that are at least as old as the
// reporting lag.
func (w *Worker) takeSamples() []worker.Sample {
	var ready, kept []worker.Sample
	for _, s := range w.samples {
		if w.now().Sub(s.Taken) >= w.opts.Lag {
			ready = append(ready, s)
		} else {
			kept = append(kept, s)
		}
	}
	w.samples = kept
	return ready
}

func (w *Worker) end(a *attempt, state worker.State, reason string, at clock.Time) {
	a.state = state
	a.reason = reason
	run := &w.record.Runs[a.runIndex]
	run.End = at
	run.Done = a.done
	run.State = state
}
