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

// fault is one disturbance: it strikes, and what it did is healed after a span.
type fault struct {
	at     time.Duration
	lasts  time.Duration
	what   string
	strike func()
	heal   func()
	// planned is work that callers must not notice, so that time stays calm.
	planned bool
}

const (
	leastSpan = 200 * time.Millisecond
	mostSpan  = 4 * time.Second
	// plannedFrom and plannedGap lay planned work into the later part of the calm.
	plannedFrom = 5 * time.Second
	plannedGap  = 3 * time.Second
)

// plan draws the faults of a run: series that overlap, and after each a calm with
// planned work only. The same seed gives the same plan.
func (s *soak) plan() []fault {
	random := s.faults
	var faults []fault
	cycle := s.opts.Series + mostSpan + s.opts.Calm
	for n := range s.opts.Cycles {
		began := time.Duration(n) * cycle
		for at := began; at < began+s.opts.Series; {
			f := s.draw(random)
			f.at = at
			faults = append(faults, f)
			at += time.Duration(random.Int64N(int64(2 * s.opts.Gap)))
		}
		for at := began + s.opts.Series + mostSpan + plannedFrom; at < began+cycle; at += plannedGap {
			f := s.drawPlanned(random)
			f.at = at
			faults = append(faults, f)
		}
	}
	return faults
}

// length is how long a plan takes.
func (o Options) length() time.Duration {
	return time.Duration(o.Cycles) * (o.Series + mostSpan + o.Calm)
}

func (s *soak) drawPlanned(random *rand.Rand) fault {
	v := s.vms[random.IntN(len(s.vms))]
	f := fault{planned: true}
	switch random.IntN(4) {
	case 0:
		f.what = "told to reload: " + v.name
		f.strike = v.reload
	case 1:
		slack := clock.Span(200 + random.IntN(200))
		f.what = "configuration changed"
		f.strike = func() {
			if err := s.configure(slack); err != nil {
				s.note("configuration not changed: " + err.Error())
			}
		}
	default:
		f.what = "told to stop: " + v.name
		f.strike = func() { v.signal(syscall.SIGTERM) }
	}
	return f
}

func (s *soak) draw(random *rand.Rand) fault {
	span := leastSpan + time.Duration(random.Int64N(int64(mostSpan-leastSpan)))
	v := s.vms[random.IntN(len(s.vms))]
	w := s.workers[random.IntN(len(s.workers))]
	switch random.IntN(15) {
	case 0:
		return fault{
			lasts:  span,
			what:   "killed: " + v.name,
			strike: func() { v.down(true) },
			heal:   func() { v.down(false) },
		}
	case 1, 2:
		f := s.drawPlanned(random)
		f.planned = false // faults are near
		return f
	case 3, 4:
		return fault{
			lasts:  span,
			what:   "paused: " + v.name,
			strike: func() { v.signal(syscall.SIGSTOP) },
			heal:   func() { v.signal(syscall.SIGCONT) },
		}
	case 5:
		return s.killAll()
	case 6, 7, 8:
		return s.tableFault(random, span)
	case 9, 10:
		return linkFault(random, v.store, "table of "+v.name, span, s.usual)
	case 11, 12:
		return linkFault(random, w.link, "worker "+w.name, span, standin.LinkFaults{})
	default:
		renamed := random.IntN(2) == 0
		return fault{
			lasts:  span,
			what:   fmt.Sprintf("worker %s crashes, renamed %v", w.name, renamed),
			strike: func() { w.standin.Crash(span/4, renamed) },
			heal:   func() {},
		}
	}
}

func (s *soak) tableFault(random *rand.Rand, span time.Duration) fault {
	f := fault{lasts: span}
	switch random.IntN(3) {
	case 0:
		f.what = "table down"
		f.strike = func() { s.rows.SetDown(true) }
		f.heal = func() { s.rows.SetDown(false) }
	case 1:
		f.what = "table silent"
		f.strike = func() { s.rows.SetSilent(true) }
		f.heal = func() { s.rows.SetSilent(false) }
	default:
		lost := 1 + random.IntN(8)
		f.what = fmt.Sprintf("table loses %d answers and its history", lost)
		f.strike = func() {
			s.rows.LoseAnswers(lost)
			s.rows.ForgetHistory()
		}
		f.heal = func() { s.rows.LoseAnswers(0) }
	}
	return f
}

func (s *soak) killAll() fault {
	return fault{
		lasts: time.Second,
		what:  "all VMs killed",
		strike: func() {
			for _, v := range s.vms {
				v.down(true)
			}
		},
		heal: func() {
			for _, v := range s.vms {
				v.down(false)
			}
		},
	}
}

// linkFault draws a fault of a link, which is as usual again after the span.
func linkFault(random *rand.Rand, link *standin.Link, name string, span time.Duration, usual standin.LinkFaults) fault {
	f := fault{
		lasts: span,
		heal:  func() { link.SetFaults(usual) },
	}
	switch random.IntN(4) {
	case 0:
		f.what = "cut: " + name
		f.strike = func() { link.SetFaults(standin.LinkFaults{Cut: true}) }
	case 1:
		f.what = "one way: " + name
		f.strike = func() { link.SetFaults(standin.LinkFaults{Mute: true}) }
	case 2:
		delay := clock.Span(20 + random.IntN(300))
		f.what = fmt.Sprintf("delayed by %s: %s", delay, name)
		f.strike = func() { link.SetFaults(delayed(delay)) }
	default:
		f.what = "open connections silent: " + name
		f.strike = func() { link.SilenceOpen() }
	}
	return f
}

// delayed is a link on which all takes longer.
func delayed(delay clock.Span) standin.LinkFaults {
	return standin.LinkFaults{
		Delay:  delay,
		Jitter: delay / 2,
	}
}

// strike plays a plan until it is over or ctx ends.
func (s *soak) strike(ctx context.Context, faults []fault) {
	defer s.healing.Wait()
	began := time.Now()
	for _, f := range faults {
		select {
		case <-time.After(time.Until(began.Add(f.at))):
		case <-ctx.Done():
			return
		}
		s.note(f.what)
		if f.planned {
			f.strike()
			continue
		}
		s.calm.disturb()
		f.strike()
		s.healing.Add(1)
		time.AfterFunc(f.lasts, func() {
			defer s.healing.Done()
			defer s.calm.heal()
			if f.heal != nil {
				f.heal()
			}
		})
	}
}
