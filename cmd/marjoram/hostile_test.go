//go:build apart

package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"marjoramstack/internal/planner"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	wirestandin "marjoramstack/platform/standin"
)

// TestHostileClients plays crowds of clients that keep to no limit against one serve process,
// and checks that it lives within its memory and descriptors, and serves others. It is built
// with the tag apart, because nothing else may run beside it.
func TestHostileClients(t *testing.T) {
	datadriven.Walk(t, "testdata/hostile", func(t *testing.T, path string) {
		site := newHostileSite(t)
		datadriven.RunTest(t, path, site.play)
	})
}

// hostileSite is one serve process with stand-ins of the table and a worker.
type hostileSite struct {
	rows     *standin.Rows
	store    string
	worker   *wirestandin.Worker
	cmd      *exec.Cmd
	exited   chan struct{}
	address  map[string]string
	log      *syncBuffer
	caller   *wirestandin.Caller
	jobs     int
	crowds   []*crowd
	memory   int // MiB
	files    int
	maxFiles atomic.Int64
}

const (
	hostileQueue = "q"
	hostilePool  = "s"
	// hangTimeout is the time after which a process counts as hung.
	hangTimeout    = 2 * time.Minute
	sampleInterval = 10 * time.Millisecond
	askInterval    = 50 * time.Millisecond
)

type silentObserver struct{}

func (silentObserver) Begun(string, planner.TaskID, int, document.Size) {}
func (silentObserver) Ended(string, planner.TaskID, int, planner.End)   {}
func (silentObserver) Forgotten(planner.TaskID, int, planner.End)       {}

func newHostileSite(t *testing.T) *hostileSite {
	s := &hostileSite{
		rows:    standin.NewRows(),
		address: map[string]string{},
		log:     &syncBuffer{},
		caller:  wirestandin.NewCaller(&http.Client{}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: wirestandin.NewStore(s.rows)}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	s.store = listener.Addr().String()
	s.worker, err = wirestandin.NewWorker(wirestandin.WorkerOptions{
		ID:        "w0",
		Pool:      hostilePool,
		Zone:      "zone",
		Rack:      "rack",
		Capacity:  document.Size{Processors: 16000, Memory: 16000},
		LeaseMax:  3 * clock.Second,
		StopGrace: 100 * clock.Millisecond,
		Observer:  silentObserver{},
	})
	assert.NilError(t, err)
	t.Cleanup(s.worker.Close)
	wirestandin.RegisterWorker(s.rows, s.worker, s.worker.Address())
	assert.NilError(t, wirestandin.PutConfiguration(s.rows, 1, []document.Queue{{
		Name:        hostileQueue,
		Pool:        hostilePool,
		MaxAttempts: 2,
		Stretch:     2000,
		Slack:       clock.Second,
	}}, nil))
	return s
}

func (s *hostileSite) play(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "start":
		d.ScanArgs(t, "memory-mb", &s.memory)
		d.ScanArgs(t, "descriptors", &s.files)
		s.start(t)
		return s.check(t)
	case "crowd":
		c := newCrowd(t, d, s.address)
		s.crowds = append(s.crowds, c)
		t.Cleanup(func() { s.endCrowds() })
		c.begin()
		return "ok"
	case "check":
		return s.check(t)
	case "disperse":
		s.endCrowds()
		return "ok"
	}
	t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

func (s *hostileSite) endCrowds() {
	for _, c := range s.crowds {
		c.end()
	}
	s.crowds = nil
}

// start starts the process with the limits of its machine, as environment variables, so that a
// build that does not know one of them runs as well.
func (s *hostileSite) start(t *testing.T) {
	for _, name := range []string{"callers", "ready"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s.address[name] = listener.Addr().String()
		assert.NilError(t, listener.Close())
	}
	s.cmd = exec.Command(os.Args[0], "serve", "--vm", "vm-0", "--zone", "zone", "--store-address", s.store,
		"--caller-address", s.address["callers"], "--ready-address", s.address["ready"])
	s.cmd.Env = append(os.Environ(), runAsProgramEnv+"=1", "GOMAXPROCS=1", "GOGC=200",
		"MARJORAM_MEMORY_LIMIT_MB="+strconv.Itoa(s.memory),
		"MARJORAM_DESCRIPTOR_LIMIT="+strconv.Itoa(s.files))
	s.cmd.Stdout = s.log
	s.cmd.Stderr = s.log
	assert.NilError(t, s.cmd.Start())
	s.exited = make(chan struct{})
	go func() {
		s.cmd.Wait()
		close(s.exited)
	}()
	go s.sampleFiles()
	t.Cleanup(func() {
		s.cmd.Process.Kill()
		<-s.exited
	})
}

func (s *hostileSite) sampleFiles() {
	for {
		select {
		case <-s.exited:
			return
		case <-time.After(sampleInterval):
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))
		if err == nil && int64(len(entries)) > s.maxFiles.Load() {
			s.maxFiles.Store(int64(len(entries)))
		}
	}
}

// check hands a job in, awaits its end and asks for its state once more; then it states
// whether the process has kept its limits since its start.
func (s *hostileSite) check(t *testing.T) string {
	var out bytes.Buffer
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	fmt.Fprintln(&out, s.runJob(ctx))
	select {
	case <-s.exited:
		fmt.Fprintln(&out, "process ended: "+s.cmd.ProcessState.String())
		return out.String()
	default:
		fmt.Fprintln(&out, "process lives")
	}
	peak := s.peakMemory(t)
	files := s.maxFiles.Load()
	t.Logf("peak memory %d MiB of %d, descriptors %d of %d", peak, s.memory, files, s.files)
	if peak > s.memory {
		fmt.Fprintf(&out, "memory: %d MiB, limit %d\n", peak, s.memory)
	}
	if int(files) > s.files {
		fmt.Fprintf(&out, "descriptors: %d, limit %d\n", files, s.files)
	}
	return out.String()
}

// runJob hands a job in until it is accepted, and asks for its state until it is completed.
func (s *hostileSite) runJob(ctx context.Context) string {
	s.jobs++
	job := document.StagedJob{
		ID:      fmt.Sprintf("%016x", s.jobs),
		Queue:   hostileQueue,
		Payload: wirestandin.Script{Steps: []wirestandin.ScriptStep{{Span: 100 * clock.Millisecond}}}.Encode(),
		Steps: []document.Step{{
			Tasks:    1,
			Demand:   document.Size{Processors: 100, Memory: 100},
			Estimate: 100 * clock.Millisecond,
		}},
	}
	if !s.retry(ctx, func(ctx context.Context) bool {
		status, err := s.caller.Submit(ctx, s.address["callers"], job)
		return err == nil && status == http.StatusOK
	}) {
		return "job not accepted"
	}
	if !s.retry(ctx, func(ctx context.Context) bool {
		state, status, err := s.caller.State(ctx, s.address["callers"], job)
		return err == nil && status == http.StatusOK && state == string(planner.StateCompleted)
	}) {
		return "job not completed"
	}
	return "job completed"
}

// retry calls a request of a well-behaved client until it succeeds or the process has ended.
func (s *hostileSite) retry(ctx context.Context, call func(context.Context) bool) bool {
	for ctx.Err() == nil {
		once, cancel := context.WithTimeout(ctx, 3*time.Second)
		done := call(once)
		cancel()
		if done {
			return true
		}
		select {
		case <-s.exited:
			return false
		case <-time.After(askInterval):
		}
	}
	return false
}

// peakMemory returns the largest resident set of the process so far, in MiB.
func (s *hostileSite) peakMemory(t *testing.T) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "VmHWM:" {
			kib, err := strconv.Atoi(fields[1])
			assert.NilError(t, err)
			return (kib + 1023) / 1024
		}
	}
	t.Fatal("no VmHWM")
	return 0
}
