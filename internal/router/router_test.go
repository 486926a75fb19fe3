package router

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"marjoramstack/pkg/clock"
)

// TestRouter runs the scripts in testdata/router. Each script starts with a new
// router. The commands are
//
//	endpoints ID=SLOTS ...
//	peers ID=FREE ...                       sets peers with a round trip of 2 ms
//	learn id=E class=C ms=N times=N         finishes requests that took N ms
//	arrive id=R class=C due=MS [order] [forwarded]
//	finish id=E [failed]
//	hedge id=R exclude=E [order], retry id=R exclude=E
//	wait ms=N                               advances the clock and calls Fill
//	load
//
// With order, the request is not idempotent.
func TestRouter(t *testing.T) {
	datadriven.Walk(t, "testdata/router", func(t *testing.T, path string) {
		h := &harness{
			router: New(Options{Seed: 1}),
			now:    1000,
		}
		datadriven.RunTest(t, path, h.run)
	})
}

type harness struct {
	router *Router
	now    clock.Time
}

func (h *harness) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "endpoints":
		var list []Endpoint
		for _, arg := range d.CmdArgs {
			list = append(list, Endpoint{ID: arg.Key, Slots: slotCount(arg)})
		}
		h.router.SetEndpoints(h.now, list)
		return format(h.router.Fill(h.now))
	case "peers":
		var list []Peer
		for _, arg := range d.CmdArgs {
			list = append(list, Peer{ID: arg.Key, Free: slotCount(arg), Delay: 2, Heard: h.now})
		}
		h.router.SetPeers(list)
	case "learn":
		h.learn(t, d)
	case "arrive":
		return format([]Decision{h.router.Arrive(h.now, h.request(t, d))})
	case "finish":
		id, _ := h.scanArgs(t, d)
		return format(h.router.Finish(h.now, Done{Endpoint: id, Class: "quote", Span: 10, Failed: d.HasArg("failed")}))
	case "hedge", "retry":
		return h.hedgeOrRetry(t, d)
	case "wait":
		_, ms := h.scanArgs(t, d)
		h.now = h.now.Add(clock.Span(ms))
		return format(h.router.Fill(h.now))
	case "load":
		l := h.router.Load()
		return fmt.Sprintf("slots %d free %d queued %d\n", l.Slots, l.Free, l.Queued)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func slotCount(arg datadriven.CmdArg) int {
	n := 0
	if _, err := fmt.Sscan(arg.Vals[0], &n); err != nil {
		panic(err)
	}
	return n
}

func (h *harness) scanArgs(t *testing.T, d *datadriven.TestData) (id string, ms int) {
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "ms", &ms)
	return id, ms
}

func (h *harness) request(t *testing.T, d *datadriven.TestData) Request {
	class, due := "quote", 1000
	d.MaybeScanArgs(t, "class", &class)
	d.MaybeScanArgs(t, "due", &due)
	id, _ := h.scanArgs(t, d)
	return Request{
		ID:         id,
		Class:      class,
		Arrived:    h.now,
		Deadline:   h.now.Add(clock.Span(due)),
		Idempotent: !d.HasArg("order"),
		Forwarded:  d.HasArg("forwarded"),
	}
}

// learn finishes a number of requests at the endpoint, one after the other.
func (h *harness) learn(t *testing.T, d *datadriven.TestData) {
	id, ms := h.scanArgs(t, d)
	times := 1
	d.MaybeScanArgs(t, "times", &times)
	for range times {
		s := h.router.endpoints[id]
		s.used++
		h.router.updateFree(s)
		h.router.Finish(h.now, Done{Endpoint: id, Class: "quote", Span: clock.Span(ms)})
	}
}

func (h *harness) hedgeOrRetry(t *testing.T, d *datadriven.TestData) string {
	exclude := ""
	d.MaybeScanArgs(t, "exclude", &exclude)
	var dec Dispatch
	var ok bool
	if d.Cmd == "hedge" {
		dec, ok = h.router.Hedge(h.now, h.request(t, d), exclude)
	} else {
		dec, ok = h.router.Retry(h.now, h.request(t, d), exclude)
	}
	if !ok {
		return "no\n"
	}
	return format([]Decision{dec})
}

func format(decisions []Decision) string {
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
