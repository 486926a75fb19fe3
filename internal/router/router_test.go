package router

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"marjoramstack/pkg/clock"
)

// TestRouter plays testdata/router. Each case begins with a fresh router; the
// commands are
//
//	endpoints ID=SLOTS ...
//	peers ID=FREE ...                       each 2 ms away
//	learn id=E class=C ms=N times=N         answers that took N ms
//	arrive id=R class=C due=MS [order] [forwarded]
//	finish id=E [failed]
//	hedge id=R exclude=E [order], retry id=R exclude=E
//	wait ms=N                               lets time pass and decides about the waiting
//	load
func TestRouter(t *testing.T) {
	datadriven.Walk(t, "testdata/router", func(t *testing.T, path string) {
		p := &player{
			router: New(Options{Seed: 1}),
			now:    1000,
		}
		datadriven.RunTest(t, path, p.play)
	})
}

type player struct {
	router *Router
	now    clock.Time
}

func (p *player) play(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "endpoints":
		var list []Endpoint
		for _, arg := range d.CmdArgs {
			list = append(list, Endpoint{ID: arg.Key, Slots: value(arg)})
		}
		p.router.SetEndpoints(p.now, list)
		return show(p.router.Fill(p.now))
	case "peers":
		var list []Peer
		for _, arg := range d.CmdArgs {
			list = append(list, Peer{ID: arg.Key, Free: value(arg), Delay: 2, Heard: p.now})
		}
		p.router.SetPeers(list)
	case "learn":
		p.learn(t, d)
	case "arrive":
		return show([]Decision{p.router.Arrive(p.now, p.request(t, d))})
	case "finish":
		id, _ := p.scan(t, d)
		return show(p.router.Finish(p.now, Done{Endpoint: id, Class: "quote", Span: 10, Failed: d.HasArg("failed")}))
	case "hedge", "retry":
		return p.again(t, d)
	case "wait":
		_, ms := p.scan(t, d)
		p.now = p.now.Add(clock.Span(ms))
		return show(p.router.Fill(p.now))
	case "load":
		l := p.router.Load()
		return fmt.Sprintf("slots %d free %d queued %d\n", l.Slots, l.Free, l.Queued)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func value(arg datadriven.CmdArg) int {
	n := 0
	if _, err := fmt.Sscan(arg.Vals[0], &n); err != nil {
		panic(err)
	}
	return n
}

func (p *player) scan(t *testing.T, d *datadriven.TestData) (id string, ms int) {
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "ms", &ms)
	return id, ms
}

func (p *player) request(t *testing.T, d *datadriven.TestData) Request {
	class, due := "quote", 1000
	d.MaybeScanArgs(t, "class", &class)
	d.MaybeScanArgs(t, "due", &due)
	id, _ := p.scan(t, d)
	return Request{
		ID:         id,
		Class:      class,
		Arrived:    p.now,
		Deadline:   p.now.Add(clock.Span(due)),
		Idempotent: !d.HasArg("order"),
		Forwarded:  d.HasArg("forwarded"),
	}
}

// learn has the endpoint answer some requests, one after the other.
func (p *player) learn(t *testing.T, d *datadriven.TestData) {
	id, ms := p.scan(t, d)
	times := 1
	d.MaybeScanArgs(t, "times", &times)
	for range times {
		s := p.router.endpoints[id]
		s.used++
		p.router.relist(s)
		p.router.Finish(p.now, Done{Endpoint: id, Class: "quote", Span: clock.Span(ms)})
	}
}

func (p *player) again(t *testing.T, d *datadriven.TestData) string {
	exclude := ""
	d.MaybeScanArgs(t, "exclude", &exclude)
	var dec Dispatch
	var ok bool
	if d.Cmd == "hedge" {
		dec, ok = p.router.Hedge(p.now, p.request(t, d), exclude)
	} else {
		dec, ok = p.router.Retry(p.now, p.request(t, d), exclude)
	}
	if !ok {
		return "no\n"
	}
	return show([]Decision{dec})
}

func show(decisions []Decision) string {
	var b strings.Builder
	for _, decision := range decisions {
		switch d := decision.(type) {
		case Dispatch:
			fmt.Fprintf(&b, "%s to %s: %s\n", d.Request.ID, d.Endpoint, d.Reason)
		case Queue:
			fmt.Fprintf(&b, "%s waits\n", d.Request.ID)
		case Forward:
			fmt.Fprintf(&b, "%s to peer %s: %s\n", d.Request.ID, d.Peer, d.Reason)
		case Refuse:
			fmt.Fprintf(&b, "%s refused: %s, %s\n", d.Request.ID, d.Code, d.Reason)
		}
	}
	return b.String()
}
