package planner

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"

	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// startLoad is a load on a startLimiter, read from testdata/startlimit.yaml.
type startLoad struct {
	Name            string     `yaml:"name"`
	RoundTripMs     clock.Span `yaml:"round-trip-ms"`
	Rate            float64    `yaml:"rate"`
	Offered         float64    `yaml:"offered"`
	CarriedPermille float64    `yaml:"carried-permille"`
	WaitMs          float64    `yaml:"wait-ms"`
}

// startLink sends starts one after the other and answers each after the round trip.
type startLink struct {
	load    startLoad
	limiter startLimiter
	freeAt  float64 // when the last start that was sent leaves
	answers []sentStart
	waited  float64 // sum of the waits of short tasks' starts
	short   int
	sent    int
}

type sentStart struct {
	ordered, answered clock.Time
}

// send sends a start and returns false if the limit does not allow it.
func (l *startLink) send(now clock.Time, s *step) bool {
	if l.limiter.full(s) {
		return false
	}
	l.limiter.sent()
	l.freeAt = max(l.freeAt, float64(now)) + 1000/l.load.Rate
	l.answers = append(l.answers, sentStart{ordered: now, answered: clock.Time(l.freeAt) + clock.Time(l.load.RoundTripMs)})
	l.sent++
	if !s.spec.BestEffort {
		l.short++
		l.waited += l.freeAt - float64(now)
	}
	return true
}

func (l *startLink) answer(now clock.Time) {
	for len(l.answers) > 0 && !l.answers[0].answered.After(now) {
		l.limiter.ended()
		l.limiter.answered(now, now.Sub(l.answers[0].ordered))
		l.answers = l.answers[1:]
	}
}

// run offers starts for a span, a fifth of them of short tasks. Others wait until the limit
// allows them.
func (l *startLink) run(now clock.Time, span clock.Span) clock.Time {
	short := &step{spec: &document.Step{}}
	bestEffort := &step{spec: &document.Step{BestEffort: true}}
	var dueShort, dueBestEffort float64
	for until := now.Add(span); now.Before(until); now++ {
		l.answer(now)
		dueShort += l.load.Offered / 5 / 1000
		dueBestEffort += l.load.Offered * 4 / 5 / 1000
		for dueShort >= 1 && l.send(now, short) {
			dueShort--
		}
		for dueBestEffort >= 1 && l.send(now, bestEffort) {
			dueBestEffort--
		}
	}
	return now
}

// TestStartLimit guards against starts that wait for a fixed number of others, however far
// the workers are, and against short tasks that wait behind all the starts that the owner has
// ordered and cannot send.
func TestStartLimit(t *testing.T) {
	data, err := os.ReadFile("testdata/startlimit.yaml")
	assert.NilError(t, err)
	var loads []startLoad
	assert.NilError(t, yaml.Unmarshal(data, &loads))
	for _, load := range loads {
		t.Run(load.Name, func(t *testing.T) {
			link := &startLink{load: load, limiter: newStartLimiter()}
			now := link.run(1_000_000, 10*clock.Second)
			link.sent, link.short, link.waited = 0, 0, 0
			const span = 20 * clock.Second
			link.run(now, span)
			possible := min(load.Offered, load.Rate) * float64(span) / float64(clock.Second)
			assert.Assert(t, float64(link.sent)*1000 >= possible*load.CarriedPermille, "%d starts of %.0f", link.sent, possible)
			wait := link.waited / float64(link.short)
			assert.Assert(t, wait <= load.WaitMs, "short tasks wait %.0f ms", wait)
		})
	}
}

// TestFewSlowWorkers checks that one worker in 25 that answers late does not slow down the
// starts on all others.
func TestFewSlowWorkers(t *testing.T) {
	limiter := newStartLimiter()
	now := clock.Time(1_000_000)
	for i := range 5000 {
		now++
		limiter.inFlight = int(limiter.limit)
		took := 6 * clock.Millisecond
		if i%25 == 0 {
			took = 2 * clock.Second
		}
		limiter.answered(now, took)
	}
	assert.Assert(t, limiter.limit > initialStartLimit, "the limit is %.0f", limiter.limit)
}
