package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryLimitMb = 284 // memLimitMb of a small deployment
	restartDelay  = 1 * time.Second
	memoryCheck   = 50 * time.Millisecond
)

// VM is an entry VM: one process of the system, which is started again when it ends.
type VM struct {
	Name, Zone    string
	Front, Ready  string
	store, advice string
	log           string
	record        *Record

	mu       sync.Mutex
	cmd      *exec.Cmd
	closed   bool
	ended    chan struct{} // closed when Run returns
	overruns int           // how often it was killed for its memory
	peakMb   int
	starts   int
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Run keeps the process running until Close. The process ends with this one, however that
// ends; for that its parent has to be one thread.
func (v *VM) Run() {
	runtime.LockOSThread()
	defer close(v.ended)
	for {
		v.mu.Lock()
		if v.closed {
			v.mu.Unlock()
			return
		}
		cmd, err := v.start()
		v.mu.Unlock()
		if err != nil {
			v.record.Line("vm %s: %v", v.Name, err)
			return
		}
		done := make(chan struct{})
		go v.watchMemory(cmd.Process.Pid, done)
		err = cmd.Wait()
		close(done)
		v.record.Line("vm %s: its process has ended: %v", v.Name, err)
		if !v.isClosed() {
			time.Sleep(restartDelay)
		}
	}
}

// start starts the process with the command and the settings of the deploy file.
func (v *VM) start() (*exec.Cmd, error) {
	logFile, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command("target/marjoram", "serve")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"),
		"HOME=" + os.Getenv("HOME"),
		"MARJORAM_VM=" + v.Name,
		"MARJORAM_ZONE=" + v.Zone,
		"MARJORAM_CALLER_ADDRESS=" + v.Front,
		"MARJORAM_READY_ADDRESS=" + v.Ready,
		"MARJORAM_ADVICE_ADDRESS=" + v.advice,
		"MARJORAM_STORE_ADDRESS=" + v.store,
		"MARJORAM_PROCESSOR_SHARE=0.16",
		"MARJORAM_MEMORY_LIMIT_MB=" + strconv.Itoa(memoryLimitMb),
		"MARJORAM_DESCRIPTOR_LIMIT=4100",
		"MARJORAM_LEASE_MAX_MS=6000",
		"MARJORAM_STOP_GRACE_MS=200",
		"MARJORAM_RETENTION_S=120",
		"GOMAXPROCS=1",
		"GOGC=200",
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	v.cmd = cmd
	v.starts++
	v.record.Line("vm %s: started, pid %d, callers at %s", v.Name, cmd.Process.Pid, v.Front)
	return cmd, nil
}

// watchMemory kills the process when it exceeds its memory, as the platform does.
func (v *VM) watchMemory(pid int, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memoryCheck):
		}
		mb := residentMb(pid)
		v.mu.Lock()
		v.peakMb = max(v.peakMb, mb)
		if mb > memoryLimitMb && !v.closed {
			v.overruns++
			v.record.Line("vm %s: %d MB of memory, the limit is %d MB: killed", v.Name, mb, memoryLimitMb)
			v.cmd.Process.Kill()
			v.mu.Unlock()
			return
		}
		v.mu.Unlock()
	}
}

func residentMb(pid int) int {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

func (v *VM) isClosed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.closed
}

// Close ends the process, and returns when it has ended.
func (v *VM) Close() {
	v.mu.Lock()
	v.closed = true
	if v.cmd != nil {
		v.cmd.Process.Kill()
	}
	v.mu.Unlock()
	<-v.ended
}

// Overruns returns how often the process was killed for its memory, and its peak in MB.
func (v *VM) Overruns() (count, peakMb int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.overruns, v.peakMb
}
