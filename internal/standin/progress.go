package standin

import (
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
)

// advance lets the attempts work until now, in steps so that a finish or a
// lapse changes the speed of the neighbours from then on.
func (w *Worker) advance() {
	now := w.opts.Clock.Now()
	step := clock.Second / stepsPerSecond
	for w.updated.Before(now) {
		next := w.updated.Add(step)
		if next.After(now) {
			next = now
		}
		w.work(next.Sub(w.updated), next)
		w.updated = next
	}
	for key, at := range w.seen {
		if w.now().Sub(at) > seenRetention {
			if _, held := w.attempts[key]; !held {
				delete(w.seen, key)
			}
		}
	}
}

func (w *Worker) work(span clock.Span, at clock.Time) {
	running := w.running()
	if len(running) == 0 {
		return
	}
	counts := map[string]int{}
	for _, a := range running {
		counts[a.start.Class]++
	}
	for _, a := range running {
		// A paused worker finds its leases run out when it wakes.
		if at.Add(w.opts.Offset).After(a.start.Until) {
			w.lapse(a, at)
			continue
		}
		if w.faults.Paused {
			continue
		}
		w.progress(a, span, w.speed(a, counts), at)
	}
	w.sample(running, counts, at)
}

func (w *Worker) lapse(a *attempt, at clock.Time) {
	if !w.faults.Paused {
		a.checkpoint = a.done
	}
	w.end(a, worker.StateLapsed, "lease-lapsed", at)
}

func (w *Worker) progress(a *attempt, span clock.Span, speed float64, at clock.Time) {
	a.fraction += float64(span) * speed
	whole := clock.Span(a.fraction)
	a.fraction -= float64(whole)
	a.done += whole
	if a.start.Work > 0 && a.done >= a.start.Work {
		a.done = a.start.Work
		a.checkpoint = a.done
		w.end(a, worker.StateFinished, "", at)
	}
}

func (w *Worker) speed(a *attempt, counts map[string]int) float64 {
	speed := 1.0
	for class, n := range counts {
		if class == a.start.Class {
			n--
		}
		permille, ok := w.slow[[2]string{a.start.Class, class}]
		for ; ok && n > 0; n-- {
			speed *= float64(permille) / 1000
		}
	}
	if a.throttled {
		speed *= throttleSpeed
	}
	return max(speed, minimumSpeed)
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
	if at.Sub(w.sampled) < sampleEvery {
		return
	}
	w.sampled = at
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

// takeSamples hands out the samples that are older than the reporting lag.
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
	run := &w.record.Runs[a.run]
	run.End = at
	run.Done = a.done
	run.State = state
}
