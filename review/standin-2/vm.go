package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// vm is one VM of the system: a process with the command of the deploy file.
type vm struct {
	rec     *recorder
	name    string
	zone    string
	front   string
	ready   string
	env     []string
	logs    string
	program string

	ownEnds int // how often the process has exceeded its memory limit

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	closed  bool // no process is started any more
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func newVM(rec *recorder, root, logs, name, zone, storeAddr string, leaseMax time.Duration) (*vm, error) {
	front, err := freeAddress()
	if err != nil {
		return nil, err
	}
	ready, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return &vm{
		rec:     rec,
		name:    name,
		zone:    zone,
		front:   front,
		ready:   ready,
		logs:    logs,
		program: filepath.Join(root, "target", "marjoram"),
		env: []string{
			"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8",
			"MARJORAM_VM=" + name, "MARJORAM_ZONE=" + zone,
			"MARJORAM_CALLER_ADDRESS=" + front, "MARJORAM_READY_ADDRESS=" + ready,
			"MARJORAM_STORE_ADDRESS=" + storeAddr,
			"MARJORAM_PROCESSOR_SHARE=0.4", "MARJORAM_MEMORY_LIMIT_MB=" + strconv.Itoa(memoryLimitMB),
			"MARJORAM_LEASE_MAX_MS=" + strconv.FormatInt(leaseMax.Milliseconds(), 10),
			"MARJORAM_STOP_GRACE_MS=200", "MARJORAM_RETENTION_S=120",
			"GOMAXPROCS=1", "GOGC=200",
		},
	}, nil
}

func (v *vm) start() error {
	log, err := os.OpenFile(filepath.Join(v.logs, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return errClosed
	}
	cmd := exec.Command(v.program, "serve")
	cmd.Env = v.env
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	v.rec.log("vm "+v.name, "starts")
	done := make(chan struct{})
	v.process, v.done = cmd, done
	go func() {
		err := cmd.Wait()
		v.rec.log("vm "+v.name, "ends: %v", err)
		close(done)
	}()
	return nil
}

// close ends the process for good.
func (v *vm) close() {
	v.mu.Lock()
	v.closed = true
	v.mu.Unlock()
	v.signal(syscall.SIGKILL)
	v.wait(time.Second)
}

func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return
	}
	select {
	case <-v.done:
		return
	default:
	}
	v.rec.log("vm "+v.name, "gets %v", sig)
	v.process.Process.Signal(sig)
}

// wait waits until the process has ended, and kills it after a while.
func (v *vm) wait(grace time.Duration) {
	v.mu.Lock()
	done, process := v.done, v.process
	v.mu.Unlock()
	if process == nil {
		return
	}
	select {
	case <-done:
	case <-time.After(grace):
		process.Process.Kill()
		<-done
	}
}

// owns reports whether the VM says that it owns the cell.
func (v *vm) owns() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + v.ready + "/owner")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// residentMB returns the memory that the process has resident, in MiB.
func (v *vm) residentMB() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(status), "VmRSS:")
	if !found {
		return 0
	}
	kb := 0
	fmt.Sscan(rest, &kb)
	return kb / 1024
}

// step is a step of a job as clients send it.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu,omitempty"`
	MemMb       int    `json:"memMb,omitempty"`
	GPU         int    `json:"gpu,omitempty"`
	EstimateMs  int    `json:"estimateMs,omitempty"`
	After       []int  `json:"after,omitempty"`
	Checkpoint  bool   `json:"checkpoint,omitempty"`
	Constraints string `json:"constraints,omitempty"`
}

// client submits jobs and asks for their states, and tries again at other VMs.
type client struct {
	rec    *recorder
	vms    []*vm
	host   string
	prefix string
	http   http.Client
	tries  int
}

func newClient(rec *recorder, vms []*vm, host, prefix string) *client {
	return &client{
		rec:    rec,
		vms:    vms,
		host:   host,
		prefix: prefix,
		http:   http.Client{Timeout: 3 * time.Second},
	}
}

var errClosed = errors.New("the case has ended")

var errNoAnswer = errors.New("no answer")

func (c *client) call(method, path string, body []byte) (int, []byte, error) {
	v := c.vms[c.tries%len(c.vms)]
	c.tries++
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = c.host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, errNoAnswer
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// submit hands a job in, and repeats that until it is accepted or the time is over.
func (c *client) submit(id string, steps []step, p program, within time.Duration) error {
	spec, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return c.submitBody(id, map[string]any{"spec": string(spec), "steps": steps}, within)
}

// submitBody hands in a job with the given body.
func (c *client) submitBody(id string, job map[string]any, within time.Duration) error {
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(within)
	for {
		status, _, err := c.call(http.MethodPost, c.prefix+id, body)
		c.rec.log("client", "POST %s: %d %v", id, status, err)
		if err == nil && status/100 == 2 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("job %s was not accepted: %d %v", id, status, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// state asks for the state of a job, at most once at each VM.
func (c *client) state(id string) string {
	for range c.vms {
		status, data, err := c.call(http.MethodGet, c.prefix+id, nil)
		if err != nil || status/100 != 2 && status != http.StatusGone {
			continue
		}
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusGone {
			body.State = "410"
		} else if json.Unmarshal(data, &body) != nil {
			body.State = "unreadable"
		}
		c.rec.log("client", "GET %s: %s", id, body.State)
		return body.State
	}
	c.rec.log("client", "GET %s: no answer", id)
	return ""
}

// await asks for a job's state until it is one of those wanted or the time is over.
func (c *client) await(id string, within time.Duration, wanted ...string) string {
	deadline := time.Now().Add(within)
	for {
		state := c.state(id)
		for _, w := range wanted {
			if state == w {
				return state
			}
		}
		if time.Now().After(deadline) {
			return state
		}
		time.Sleep(500 * time.Millisecond)
	}
}
