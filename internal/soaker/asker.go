package soaker

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
)

const (
	askEvery  = 20 * time.Millisecond
	askWithin = 5 * time.Second
	// cutSlack is how long after a request a connection may end without an answer:
	// the server can have closed it before the request came.
	cutSlack = 200 * clock.Millisecond
	// knownAfter is how long after its acceptance a job must be known everywhere.
	knownAfter = 3 * clock.Second
)

// asker asks one VM for the states of accepted jobs, all on one connection that it
// keeps as long as the VM does, a process that stops included.
type asker struct {
	vm     *vm
	soak   *soak
	random *rand.Rand
	conn   net.Conn
	reader *bufio.Reader
	asked  int
}

func (a *asker) run(ctx context.Context) {
	defer a.drop()
	for ctx.Err() == nil {
		time.Sleep(askEvery)
		h := a.soak.roster.pick(a.random)
		if h == nil || !a.connected() {
			continue
		}
		a.ask(h)
	}
}

func (a *asker) connected() bool {
	if a.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", a.vm.caller, askWithin)
	if err != nil {
		return false
	}
	a.conn = conn
	a.reader = bufio.NewReader(conn)
	return true
}

func (a *asker) drop() {
	if a.conn != nil {
		a.conn.Close()
		a.conn = nil
	}
}

func (a *asker) ask(h *handedIn) {
	sent := a.soak.clock.Now()
	state, status, err := a.exchange(h)
	if err != nil {
		a.drop()
		a.cut(h, sent, err)
		return
	}
	a.asked++
	known := clock.Time(h.accepted.Load()).Add(knownAfter)
	switch {
	case status == http.StatusOK:
		a.soak.judge.shown(h, state)
	case status == http.StatusGone && sent.After(known):
		a.soak.judge.unknown(h, a.vm.name)
	}
}

// exchange sends one request, of which net/http must not repeat anything by itself.
func (a *asker) exchange(h *handedIn) (planner.State, int, error) {
	req, err := a.soak.caller.StateRequest(a.vm.caller, h.job)
	if err != nil {
		return "", 0, Error.Wrap(err)
	}
	if err := a.conn.SetDeadline(time.Now().Add(askWithin)); err != nil {
		return "", 0, Error.Wrap(err)
	}
	if err := req.Write(a.conn); err != nil {
		return "", 0, Error.Wrap(err)
	}
	resp, err := http.ReadResponse(a.reader, req)
	if err != nil {
		return "", 0, Error.Wrap(err)
	}
	state, err := a.soak.caller.ReadState(resp)
	if resp.Close {
		a.drop()
	}
	return planner.State(state), resp.StatusCode, err
}

// cut judges a request without a complete answer, which is allowed while something is
// disturbed or has just been.
func (a *asker) cut(h *handedIn, sent clock.Time, err error) {
	from, calm := a.soak.calm.from()
	took := a.soak.clock.Now().Sub(sent)
	if !calm || sent.Before(from) || took <= cutSlack {
		return
	}
	var late net.Error
	how := "was cut"
	if errors.As(err, &late) && late.Timeout() {
		how = "got no answer"
	}
	a.soak.judge.report("LOST: a request for %s at %s %s after %s: %v", h.job.ID, a.vm.name, how, took, err)
}
