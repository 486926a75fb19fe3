package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"marjoramstack/internal/caller"
	"marjoramstack/internal/demonstrator"
	"marjoramstack/internal/ledger"
	"marjoramstack/internal/operator"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/client"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// runAsProgramEnv is an environment variable that makes the test binary run main,
// so that tests can stop and kill real processes.
const runAsProgramEnv = "MARJORAM_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is an entry VM that runs as a separate process. caller, operator and
// peer are its addresses.
type process struct {
	cmd      *exec.Cmd
	caller   string
	operator string
	peer     string
	log      *syncBuffer
}

type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func startEntry(t *testing.T, vm string, site *standin.Site, peers ...string) *process {
	t.Helper()
	p := &process{log: &syncBuffer{}}
	p.cmd = exec.Command(os.Args[0], "entry", "--vm", vm, "--zone", "press",
		"--platform", site.PlatformLinks["press"].Address(),
		"--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0",
		"--peers", strings.Join(peers, ","))
	p.cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	if len(peers) == 0 {
		p.cmd.Args = p.cmd.Args[:len(p.cmd.Args)-2]
	}
	out, err := p.cmd.StderrPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.cmd.Start())
	lines := bufio.NewScanner(out)
	for p.peer == "" && lines.Scan() {
		p.readAddresses(lines.Text())
	}
	go func() {
		for lines.Scan() {
			fmt.Fprintln(p.log, lines.Text())
		}
	}()
	t.Cleanup(func() {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		p.cmd.Wait()
	})
	return p
}

func (p *process) readAddresses(line string) {
	if !strings.Contains(line, "msg=started") {
		return
	}
	for _, field := range strings.Fields(line) {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "caller":
			p.caller = value
		case "operator":
			p.operator = value
		case "peer":
			p.peer = value
		}
	}
}

func (p *process) client() *client.Client { return client.New([]string{p.operator}) }

func (p *process) order(key string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.caller+"/order", strings.NewReader("one"))
	if err != nil {
		return err.Error()
	}
	req.Header.Set(caller.HeaderClass, "quote")
	req.Header.Set(caller.HeaderKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	return resp.Header.Get(caller.HeaderOutcome)
}

const processDocument = `schema: marjoram/v1
service: desk
zones: [press]
teams:
  - name: team
    quota: {processors: 64, memory-mb: 64000}
classes:
  - name: quote
    kind: interactive
    answer-by: 1s
  - name: run
    kind: batch
    finish-by: 10m
`

func newSite(t *testing.T, service clock.Span) *standin.Site {
	t.Helper()
	site, err := standin.NewSite(standin.Layout{
		Zones:            []string{"press"},
		WorkersPerZone:   2,
		EndpointsPerZone: 1,
		WorkersPerRack:   1,
		Worker:           document.Size{Processors: 8, Memory: 8000},
		Slots:            8,
		Service:          service,
	})
	assert.NilError(t, err)
	t.Cleanup(site.Close)
	return site
}

func await(t *testing.T, what string, cond func() bool) {
	t.Helper()
	assert.NilError(t, demonstrator.Await(context.Background(), 40*time.Second, what, cond))
}

func startTwoEntries(t *testing.T, site *standin.Site) (a, b *process) {
	t.Helper()
	a = startEntry(t, "entry-1", site)
	b = startEntry(t, "entry-2", site, a.peer)
	_, err := a.client().Post(context.Background(), "/v1/classes", operator.ApplyRequest{Text: processDocument}, nil)
	assert.NilError(t, err)
	await(t, "ready", func() bool {
		slots := 0
		for _, p := range []*process{a, b} {
			var s operator.Status
			if p.client().Get(context.Background(), "/v1/status", &s) != nil || !s.Ready || len(s.View) != 2 || len(s.Cells) != 1 {
				return false
			}
			slots += s.Slots
		}
		return slots == 8
	})
	return a, b
}

// TestStoppedThroughAClaim pauses an entry VM while its claim of an order is in
// flight, for long enough that the other one considers it dead, and resumes it.
// The order must run at most once, and the caller's response must not contradict
// the ledger.
func TestStoppedThroughAClaim(t *testing.T) {
	t.Parallel()
	site := newSite(t, 5)
	a, b := startTwoEntries(t, site)
	site.Platform.SetFaults(platform.Faults{Slow: 400})
	answer := make(chan string, 1)
	go func() { answer <- a.order("k1") }()
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, a.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(400 * time.Millisecond)
	site.Platform.SetFaults(platform.Faults{})
	await(t, "order settled by the other", func() bool {
		var row ledger.Row
		return b.client().Get(context.Background(), "/v1/orders/k1", &row) == nil && row.State == ledger.StateUnknown
	})
	assert.Equal(t, b.order("k1"), "unknown")
	assert.NilError(t, a.cmd.Process.Signal(syscall.SIGCONT))
	outcome := <-answer
	var row ledger.Row
	assert.NilError(t, b.client().Get(context.Background(), "/v1/orders/k1", &row))
	assert.Equal(t, row.State, ledger.StateUnknown)
	assert.Assert(t, outcome != "ran", "caller got %s, the ledger says unknown", outcome)
	assert.Assert(t, site.RunsPerKey()["k1"] <= 1)
	if outcome == "not-run" {
		assert.Equal(t, site.RunsPerKey()["k1"], 0)
	}
}

// TestKilledBetweenDispatchAndAnswer kills an entry VM while an endpoint executes
// its order. The outcome must be recorded as unknown, and a retry with the same
// key must not run the order again.
func TestKilledBetweenDispatchAndAnswer(t *testing.T) {
	t.Parallel()
	site := newSite(t, 700)
	a, b := startTwoEntries(t, site)
	answer := make(chan string, 1)
	go func() { answer <- a.order("k1") }()
	await(t, "dispatched", func() bool { return site.RunsPerKey()["k1"] == 1 })
	assert.NilError(t, a.cmd.Process.Kill())
	assert.Equal(t, <-answer, "no answer")
	assert.Equal(t, b.order("k1"), "unknown")
	await(t, "settled", func() bool {
		var row ledger.Row
		return b.client().Get(context.Background(), "/v1/orders/k1", &row) == nil && row.State == ledger.StateUnknown
	})
	assert.Equal(t, b.order("k1"), "unknown")
	assert.Equal(t, site.RunsPerKey()["k1"], 1)
}

// TestOwnerStoppedAndWoken pauses the owner of a cell until its lease expires and
// another owner takes over, and resumes it. No task may run in two places, and
// the job must finish.
func TestOwnerStoppedAndWoken(t *testing.T) {
	t.Parallel()
	site := newSite(t, 5)
	a, b := startTwoEntries(t, site)
	ctx := context.Background()
	_, err := a.client().Post(ctx, "/v1/jobs", document.Job{
		ID: "long", Class: "run", Team: "team", Tasks: 6,
		Size: document.Size{Processors: 1, Memory: 100}, RunTime: "12s",
	}, nil)
	assert.NilError(t, err)
	var status operator.Status
	await(t, "running", func() bool {
		return b.client().Get(ctx, "/v1/status", &status) == nil && status.Cells[0].Running == 6
	})
	owner, other := a, b
	if strings.HasPrefix(status.Cells[0].Owner, "entry-2") {
		owner, other = b, a
	}
	first := status.Cells[0].Epoch
	assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGSTOP))
	await(t, "taken over", func() bool {
		return other.client().Get(ctx, "/v1/status", &status) == nil && len(status.Cells) == 1 && status.Cells[0].Epoch > first
	})
	assert.NilError(t, owner.cmd.Process.Signal(syscall.SIGCONT))
	await(t, "finished", func() bool {
		var job operator.Job
		return other.client().Get(ctx, "/v1/jobs/long", &job) == nil && job.State == "finished"
	})
	assert.DeepEqual(t, site.Violations(), []string(nil))
}

// TestTerminated sends SIGTERM to an entry VM during a request that takes longer
// than the lame-duck period, in which the VM still accepts requests. The request
// must be answered and the exit code must be 0.
func TestTerminated(t *testing.T) {
	t.Parallel()
	site := newSite(t, 2500)
	a, _ := startTwoEntries(t, site)
	answer := make(chan string, 1)
	go func() { answer <- a.order("k1") }()
	await(t, "dispatched", func() bool { return site.RunsPerKey()["k1"] == 1 })
	assert.NilError(t, a.cmd.Process.Signal(syscall.SIGTERM))
	assert.Equal(t, <-answer, "ran")
	assert.NilError(t, a.cmd.Wait())
}

// TestTerminatedLateRequest sends a request on a connection that an entry VM
// accepted before it closed its listener. The request must be answered, even
// after a second SIGTERM.
func TestTerminatedLateRequest(t *testing.T) {
	t.Parallel()
	site := newSite(t, 5)
	a, _ := startTwoEntries(t, site)
	conn, err := net.Dial("tcp", a.caller)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, a.cmd.Process.Signal(syscall.SIGTERM))
	await(t, "no more connections", func() bool {
		other, err := net.Dial("tcp", a.caller)
		if err == nil {
			other.Close()
		}
		return err != nil
	})
	assert.NilError(t, a.cmd.Process.Signal(syscall.SIGTERM))
	req, err := http.NewRequest(http.MethodPost, "http://"+a.caller+"/order", strings.NewReader("one"))
	assert.NilError(t, err)
	req.Header.Set(caller.HeaderClass, "quote")
	req.Header.Set(caller.HeaderKey, "k1")
	assert.NilError(t, req.Write(conn))
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.Header.Get(caller.HeaderOutcome), "ran")
	assert.NilError(t, a.cmd.Wait())
}

// TestBadSettings checks that one error lists all invalid settings.
func TestBadSettings(t *testing.T) {
	t.Parallel()
	cmd := exec.Command(os.Args[0], "entry", "--vm", "No Name", "--zone", "", "--platform", "localhost:7000",
		"--peers", "somewhere:1", "--log-level", "loud", "--lame-duck-ms", "0",
		"--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0", "--peer-address", "nowhere")
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	out, err := cmd.CombinedOutput()
	assert.ErrorContains(t, err, "exit status 2")
	for _, name := range []string{"--vm", "--zone", "--platform", "--peers", "--log-level", "--lame-duck-ms", "--peer-address", "7 invalid settings"} {
		assert.Assert(t, strings.Contains(string(out), name), "%s is missing in %s", name, out)
	}
}

// TestPausedOverVersions pauses an entry VM during three configuration changes,
// with messages waiting in its socket buffers, and resumes it. It must reach the
// newest version, and the version in its responses must never decrease.
func TestPausedOverVersions(t *testing.T) {
	t.Parallel()
	site := newSite(t, 5)
	a, b := startTwoEntries(t, site)
	ctx := context.Background()
	assert.NilError(t, b.cmd.Process.Signal(syscall.SIGSTOP))
	for i, path := range []string{"/v1/vms/press-w0/leave", "/v1/vms/press-w0/return", "/v1/vms/press-w1/leave"} {
		var change operator.Change
		pending, err := a.client().Post(ctx, path, struct{}{}, &change)
		assert.NilError(t, err)
		// After the first change the entry VM is considered dead, and changes no
		// longer wait for it.
		assert.Assert(t, pending || i > 0, "the stopped entry VM cannot have version %d in force", change.Version)
	}
	assert.NilError(t, b.cmd.Process.Signal(syscall.SIGCONT))
	lastVersion := uint64(0)
	await(t, "version 4", func() bool {
		var status operator.Status
		if b.client().Get(ctx, "/v1/status", &status) != nil {
			return false
		}
		assert.Assert(t, status.Version >= lastVersion, "version went back from %d to %d", lastVersion, status.Version)
		lastVersion = status.Version
		return lastVersion == 4
	})
}

// TestDoors checks that an entry VM without configuration reports that it is alive
// but not ready, and rejects requests with an outcome of not-run.
func TestDoors(t *testing.T) {
	t.Parallel()
	site := newSite(t, 5)
	p := startEntry(t, "entry-1", site)
	assert.Equal(t, status(t, p.operator, "/healthz"), http.StatusOK)
	assert.Equal(t, status(t, p.operator, "/readyz"), http.StatusServiceUnavailable)
	assert.Equal(t, status(t, p.operator, "/metrics"), http.StatusOK)
	assert.Equal(t, p.order("k1"), "not-run")
	_, err := p.client().Post(context.Background(), "/v1/classes", operator.ApplyRequest{Text: processDocument}, nil)
	assert.NilError(t, err)
	await(t, "ready", func() bool { return status(t, p.operator, "/readyz") == http.StatusOK })
}

func status(t *testing.T, address, path string) int {
	t.Helper()
	resp, err := http.Get("http://" + address + path)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}
