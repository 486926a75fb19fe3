package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is what the deploy file builds and starts, from the repository's root.
const program = "target/marjoram"

// The ports of VMs lie below those that the system hands out, so that no connection takes one
// while its process is down.
const (
	minPort = 12000
	maxPort = 30000
)

// vm is an entry VM: a process of the project's program, started as the deploy file says.
type vm struct {
	name, zone   string
	front, ready string
	store        string
	advice       string
	logPath      string
	record       *record
	process      *exec.Cmd
	exited       chan struct{}
	expected     bool // the process was told to end
}

// portTries is how often other ports are tried if a process can't listen on those found free.
const portTries = 5

// newVM starts a VM on free ports.
func newVM(name, zone, store, advice, folder string, rec *record) (*vm, error) {
	v := &vm{name: name, zone: zone, store: store, advice: advice, record: rec, logPath: filepath.Join(folder, name+".log")}
	for range portTries {
		v.front, v.ready = freeAddress(), freeAddress()
		if err := v.start(); err != nil {
			return v, err
		}
		select {
		case <-v.exited:
		case <-time.After(50 * time.Millisecond):
			return v, nil
		}
	}
	return v, fmt.Errorf("%s finds no free ports", name)
}

func freeAddress() string {
	for {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort)))
		if err == nil {
			listener.Close()
			return listener.Addr().String()
		}
	}
}

func (v *vm) start() error {
	log, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, "serve")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"MARJORAM_VM=" + v.name, "MARJORAM_ZONE=" + v.zone,
		"MARJORAM_CALLER_ADDRESS=" + v.front, "MARJORAM_READY_ADDRESS=" + v.ready,
		"MARJORAM_ADVICE_ADDRESS=" + v.advice, "MARJORAM_STORE_ADDRESS=" + v.store,
		"MARJORAM_PROCESSOR_SHARE=0.16", "MARJORAM_MEMORY_LIMIT_MB=284",
		"MARJORAM_LEASE_MAX_MS=6000", "MARJORAM_STOP_GRACE_MS=200", "MARJORAM_RETENTION_S=120",
		"GOMAXPROCS=1", "GOGC=200",
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := begin(cmd); err != nil {
		return err
	}
	v.process, v.expected, v.exited = cmd, false, make(chan struct{})
	v.record.add("%s starts, front %s", v.name, v.front)
	go func(exited chan struct{}) {
		err := cmd.Wait()
		started.Lock()
		delete(started.processes, cmd.Process)
		started.Unlock()
		v.record.add("%s ended: %v", v.name, err)
		close(exited)
	}(v.exited)
	return nil
}

// started holds the processes that run and the folder of their logs, so that both can be removed
// when the case is broken off. No process starts after that.
var started struct {
	sync.Mutex
	processes map[*os.Process]bool
	folder    string
	ended     bool
}

func endAll() {
	started.Lock()
	defer started.Unlock()
	started.ended = true
	for process := range started.processes {
		process.Kill()
	}
	if started.folder != "" {
		os.RemoveAll(started.folder)
	}
}

// begin starts a process and notes it.
func begin(cmd *exec.Cmd) error {
	started.Lock()
	defer started.Unlock()
	if started.ended {
		return fmt.Errorf("the case is broken off")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	if started.processes == nil {
		started.processes = map[*os.Process]bool{}
	}
	started.processes[cmd.Process] = true
	return nil
}

func (v *vm) signal(signal syscall.Signal) {
	v.record.add("%s gets %v", v.name, signal)
	v.expected = v.expected || signal == syscall.SIGKILL || signal == syscall.SIGTERM
	v.process.Process.Signal(signal)
	if signal == syscall.SIGKILL {
		<-v.exited
	}
}

// endedItself reports whether the process has ended without being told to.
func (v *vm) endedItself() bool {
	select {
	case <-v.exited:
		return !v.expected
	default:
		return false
	}
}

func (v *vm) isReady() bool { return v.probe("/ready") }

// owns reports whether the VM says that it owns the cell and its writes are confirmed.
func (v *vm) owns() bool { return v.probe("/owner") }

func (v *vm) probe(path string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.ready + path)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logged returns the lines of the VM's log that hold one of the texts.
func (v *vm) logged(texts ...string) []string {
	data, err := os.ReadFile(v.logPath)
	if err != nil {
		return nil
	}
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		for _, text := range texts {
			if strings.Contains(line, text) {
				lines = append(lines, line)
				break
			}
		}
	}
	return lines
}
