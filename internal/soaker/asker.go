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
	pollInterval = 20 * time.Millisecond
	pollTimeout  = 5 * time.Second
	// closeTolerance is how long after a request a connection may close without an
	// answer: the server can have closed it before the request arrived.
	closeTolerance = 200 * clock.Millisecond
	// visibleWithin is how long after its acceptance a job may be unknown to a VM.
	visibleWithin = 3 * clock.Second
)

// statePoller polls one VM for the states of accepted jobs. It sends all requests on one
// connection and keeps that connection until the VM closes it, even while the process
// shuts down.
type statePoller struct {
	vm       *vm
	soak     *soak
	rng      *rand.Rand
	conn     net.Conn
	reader   *bufio.Reader
	answered int
}

func (p *statePoller) run(ctx context.Context) {
	defer p.disconnect()
	for ctx.Err() == nil {
		time.Sleep(pollInterval)
		sub := p.soak.submissions.pick(p.rng)
		if sub == nil || !p.ensureConnected() {
			continue
		}
		p.poll(sub)
	}
}

func (p *statePoller) ensureConnected() bool {
	if p.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", p.vm.callerAddress, pollTimeout)
	if err != nil {
		return false
	}
	p.conn = conn
	p.reader = bufio.NewReader(conn)
	return true
}

func (p *statePoller) disconnect() {
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}

func (p *statePoller) poll(sub *submission) {
	sent := p.soak.clock.Now()
	state, status, err := p.roundTrip(sub)
	if err != nil {
		p.disconnect()
		p.checkCut(sub, sent, err)
		return
	}
	p.answered++
	visibleBy := clock.Time(sub.accepted.Load()).Add(visibleWithin)
	switch {
	case status == http.StatusOK:
		p.soak.checker.checkState(sub, state)
	case status == http.StatusGone && sent.After(visibleBy):
		p.soak.checker.reportUnknown(sub, p.vm.name)
	}
}

// roundTrip sends one request and reads its answer. It does not use http.Client, which
// may resend a request on its own.
func (p *statePoller) roundTrip(sub *submission) (planner.State, int, error) {
	req, err := p.soak.caller.StateRequest(p.vm.callerAddress, sub.job)
	if err != nil {
		return "", 0, Error.Wrap(err)
	}
	if err := p.conn.SetDeadline(time.Now().Add(pollTimeout)); err != nil {
		return "", 0, Error.Wrap(err)
	}
	if err := req.Write(p.conn); err != nil {
		return "", 0, Error.Wrap(err)
	}
	resp, err := http.ReadResponse(p.reader, req)
	if err != nil {
		return "", 0, Error.Wrap(err)
	}
	state, err := p.soak.caller.ReadState(resp)
	if resp.Close {
		p.disconnect()
	}
	return planner.State(state), resp.StatusCode, err
}

// checkCut reports a breach for a request without a complete answer, unless a disturbance
// is active or ended less than recoveryTime ago, or the connection closed within
// closeTolerance.
func (p *statePoller) checkCut(sub *submission, sent clock.Time, err error) {
	calmFrom, calm := p.soak.disturbances.calmSince()
	elapsed := p.soak.clock.Now().Sub(sent)
	if !calm || sent.Before(calmFrom) || elapsed <= closeTolerance {
		return
	}
	var netErr net.Error
	how := "was cut off"
	if errors.As(err, &netErr) && netErr.Timeout() {
		how = "got no answer"
	}
	p.soak.checker.reportBreach("LOST: a state request for %s at %s %s after %s: %v", sub.job.ID, p.vm.name, how, elapsed, err)
}
