package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
)

// fault is one planned disturbance: inject causes it, and heal undoes it after duration.
type fault struct {
	at          time.Duration
	duration    time.Duration
	description string
	inject      func()
	heal        func()
	// planned marks planned work, which callers must not notice. It does not end a calm
	// period.
	planned bool
}

const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// Planned work starts plannedWorkDelay into a calm period and repeats every
	// plannedWorkInterval.
	plannedWorkDelay    = 5 * time.Second
	plannedWorkInterval = 3 * time.Second
)

// plan draws the faults of a run: series of overlapping faults, each followed by a calm
// period with planned work only. The same seed gives the same plan.
func (s *soak) plan() []fault {
	rng := s.faultRNG
	var faults []fault
	cycle := s.opts.Series + maxFaultDuration + s.opts.Calm
	for n := range s.opts.Cycles {
		cycleStart := time.Duration(n) * cycle
		for at := cycleStart; at < cycleStart+s.opts.Series; {
			f := s.drawFault(rng)
			f.at = at
			faults = append(faults, f)
			at += time.Duration(rng.Int64N(int64(2 * s.opts.Gap)))
		}
		for at := cycleStart + s.opts.Series + maxFaultDuration + plannedWorkDelay; at < cycleStart+cycle; at += plannedWorkInterval {
			f := s.drawPlannedWork(rng)
			f.at = at
			faults = append(faults, f)
		}
	}
	return faults
}

// planDuration returns how long a plan takes.
func (o Options) planDuration() time.Duration {
	return time.Duration(o.Cycles) * (o.Series + maxFaultDuration + o.Calm)
}

func (s *soak) drawPlannedWork(rng *rand.Rand) fault {
	v := s.vms[rng.IntN(len(s.vms))]
	f := fault{planned: true}
	switch rng.IntN(4) {
	case 0:
		f.description = "told to reload: " + v.name
		f.inject = v.reload
	case 1:
		slack := clock.Span(200 + rng.IntN(200))
		f.description = "configuration changed"
		f.inject = func() {
			if err := s.configure(slack); err != nil {
				s.addEvent("configuration change failed: " + err.Error())
			}
		}
	default:
		f.description = "told to stop: " + v.name
		f.inject = func() { v.signal(syscall.SIGTERM) }
	}
	return f
}

func (s *soak) drawFault(rng *rand.Rand) fault {
	duration := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
	v := s.vms[rng.IntN(len(s.vms))]
	w := s.workers[rng.IntN(len(s.workers))]
	switch rng.IntN(15) {
	case 0:
		return fault{
			duration:    duration,
			description: "killed: " + v.name,
			inject:      func() { v.setDown(true) },
			heal:        func() { v.setDown(false) },
		}
	case 1, 2:
		f := s.drawPlannedWork(rng)
		f.planned = false // other faults are active around it
		return f
	case 3, 4:
		return fault{
			duration:    duration,
			description: "paused: " + v.name,
			inject:      func() { v.signal(syscall.SIGSTOP) },
			heal:        func() { v.signal(syscall.SIGCONT) },
		}
	case 5:
		return s.killAllVMs()
	case 6, 7, 8:
		return s.tableFault(rng, duration)
	case 9, 10:
		return linkFault(rng, v.storeLink, "table of "+v.name, duration, s.tableLinkFaults)
	case 11, 12:
		return linkFault(rng, w.link, "worker "+w.name, duration, standin.LinkFaults{})
	default:
		renamed := rng.IntN(2) == 0
		return fault{
			duration:    duration,
			description: fmt.Sprintf("worker %s crashes, new identifier: %v", w.name, renamed),
			inject:      func() { w.standin.Crash(duration/4, renamed) },
			heal:        func() {},
		}
	}
}

func (s *soak) tableFault(rng *rand.Rand, duration time.Duration) fault {
	f := fault{duration: duration}
	switch rng.IntN(3) {
	case 0:
		f.description = "table down"
		f.inject = func() { s.rows.SetDown(true) }
		f.heal = func() { s.rows.SetDown(false) }
	case 1:
		f.description = "table silent"
		f.inject = func() { s.rows.SetSilent(true) }
		f.heal = func() { s.rows.SetSilent(false) }
	default:
		lost := 1 + rng.IntN(8)
		f.description = fmt.Sprintf("table loses %d answers and its history", lost)
		f.inject = func() {
			s.rows.LoseAnswers(lost)
			s.rows.ForgetHistory()
		}
		f.heal = func() { s.rows.LoseAnswers(0) }
	}
	return f
}

func (s *soak) killAllVMs() fault {
	return fault{
		duration:    time.Second,
		description: "all VMs killed",
		inject: func() {
			for _, v := range s.vms {
				v.setDown(true)
			}
		},
		heal: func() {
			for _, v := range s.vms {
				v.setDown(false)
			}
		},
	}
}

// linkFault draws a fault of a link. Healing it sets the faults of the link to normal.
func linkFault(rng *rand.Rand, link *standin.Link, name string, duration time.Duration, normal standin.LinkFaults) fault {
	f := fault{
		duration: duration,
		heal:     func() { link.SetFaults(normal) },
	}
	switch rng.IntN(4) {
	case 0:
		f.description = "cut: " + name
		f.inject = func() { link.SetFaults(standin.LinkFaults{Cut: true}) }
	case 1:
		f.description = "one direction lost: " + name
		f.inject = func() { link.SetFaults(standin.LinkFaults{Mute: true}) }
	case 2:
		delay := clock.Span(20 + rng.IntN(300))
		f.description = fmt.Sprintf("delayed by %s: %s", delay, name)
		f.inject = func() { link.SetFaults(delayed(delay)) }
	default:
		f.description = "open connections silent: " + name
		f.inject = func() { link.SilenceOpen() }
	}
	return f
}

// delayed returns link faults that only delay traffic, with a jitter of half the delay.
func delayed(delay clock.Span) standin.LinkFaults {
	return standin.LinkFaults{
		Delay:  delay,
		Jitter: delay / 2,
	}
}

// injectFaults injects the faults of a plan at their times until the plan or ctx ends,
// and waits until all of them are healed.
func (s *soak) injectFaults(ctx context.Context, faults []fault) {
	defer s.healing.Wait()
	startedAt := time.Now()
	for _, f := range faults {
		select {
		case <-time.After(time.Until(startedAt.Add(f.at))):
		case <-ctx.Done():
			return
		}
		s.addEvent(f.description)
		if f.planned {
			f.inject()
			continue
		}
		s.disturbances.begin()
		f.inject()
		s.healing.Add(1)
		time.AfterFunc(f.duration, func() {
			defer s.healing.Done()
			defer s.disturbances.end()
			if f.heal != nil {
				f.heal()
			}
		})
	}
}
