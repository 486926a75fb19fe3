package soaker

import (
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
}

// plan draws the faults of a run. The same seed gives the same plan.
func (s *soak) plan(random *rand.Rand) []fault {
	var faults []fault
	for at := time.Duration(0); at < s.opts.Span; {
		at += time.Duration(random.Int64N(int64(2 * s.opts.Gap)))
		f := s.draw(random)
		f.at = at
		faults = append(faults, f)
	}
	return faults
}

func (s *soak) draw(random *rand.Rand) fault {
	span := time.Duration(200+random.IntN(4000)) * time.Millisecond
	v := s.vms[random.IntN(len(s.vms))]
	w := s.workers[random.IntN(len(s.workers))]
	switch random.IntN(14) {
	case 0:
		return fault{
			lasts:  span,
			what:   "killed: " + v.name,
			strike: func() { v.down(true) },
			heal:   func() { v.down(false) },
		}
	case 1:
		return fault{
			what:   "stopped: " + v.name,
			strike: func() { v.signal(syscall.SIGTERM) },
		}
	case 2, 3:
		return fault{
			lasts:  span,
			what:   "paused: " + v.name,
			strike: func() { v.signal(syscall.SIGSTOP) },
			heal:   func() { v.signal(syscall.SIGCONT) },
		}
	case 4:
		return s.killAll()
	case 5:
		return fault{
			lasts:  span,
			what:   "store down",
			strike: func() { s.rows.SetDown(true) },
			heal:   func() { s.rows.SetDown(false) },
		}
	case 6:
		return fault{
			lasts:  span,
			what:   "store silent",
			strike: func() { s.rows.SetSilent(true) },
			heal:   func() { s.rows.SetSilent(false) },
		}
	case 7:
		lost := 1 + random.IntN(8)
		return fault{
			what:   fmt.Sprintf("store loses %d answers and its history", lost),
			strike: func() { s.rows.LoseAnswers(lost); s.rows.ForgetHistory() },
		}
	case 8, 9:
		return linkFault(random, v.store, "store of "+v.name, span)
	case 10, 11:
		return linkFault(random, w.link, "worker "+w.name, span)
	default:
		renamed := random.IntN(2) == 0
		return fault{
			what:   fmt.Sprintf("worker %s crashes, renamed %v", w.name, renamed),
			strike: func() { w.standin.Crash(span/4, renamed) },
		}
	}
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

func linkFault(random *rand.Rand, link *standin.Link, name string, span time.Duration) fault {
	f := fault{
		lasts: span,
		heal:  func() { link.SetFaults(standin.LinkFaults{}) },
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
		f.strike = func() { link.SetFaults(standin.LinkFaults{Delay: delay, Jitter: delay / 2}) }
	default:
		f.what = "open connections silent: " + name
		f.strike = func() { link.SilenceOpen() }
	}
	return f
}

// play strikes and heals until the plan is over.
func (s *soak) play(faults []fault) {
	began := time.Now()
	for _, f := range faults {
		time.Sleep(time.Until(began.Add(f.at)))
		s.note(f.what)
		f.strike()
		if f.heal != nil {
			s.healing.Add(1)
			time.AfterFunc(f.lasts, func() {
				defer s.healing.Done()
				f.heal()
			})
		}
	}
	s.healing.Wait()
}
