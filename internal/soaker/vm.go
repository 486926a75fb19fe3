package soaker

import (
	"bytes"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"marjoramstack/internal/standin"
)

// Error is the class of this package's errors.
var Error = errs.Class("soaker")

// vm is an entry VM that runs as a separate process. The process is restarted whenever
// it exits, unless keptDown is set.
type vm struct {
	name          string
	zone          string
	callerAddress string
	readyAddress  string
	storeLink     *standin.Link
	opts          Options

	mu            sync.Mutex
	process       *os.Process
	keptDown      bool
	closed        bool
	exited        chan struct{} // closed when the current process has exited
	unexpected    []string      // exits that were not requested, and failures to start
	exitRequested bool          // the process was told to exit or killed
	startedAt     time.Time     // start of the current process
	log           bytes.Buffer
}

const (
	leaseMax  = 3000 // ms, of the stand-in workers
	stopGrace = 100  // ms
	lameDuck  = 600  // ms
	retention = 3600 // s, longer than any run
	// maxLogBytes bounds the log that is kept for each VM.
	maxLogBytes = 32 << 20
)

func newVM(opts Options, name, zone, store string) (*vm, error) {
	link, err := standin.NewLink(store)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	v := &vm{
		name:      name,
		zone:      zone,
		storeLink: link,
		opts:      opts,
	}
	for _, address := range []*string{&v.callerAddress, &v.readyAddress} {
		*address, err = freeAddress()
		if err != nil {
			return nil, err
		}
	}
	return v, nil
}

// The ports of VMs lie below the ephemeral port range, so that no connection takes one
// while its process is down.
const (
	minPort         = 12000
	maxPort         = 30000
	maxPortAttempts = 100
)

func freeAddress() (string, error) {
	var err error
	for range maxPortAttempts {
		port := minPort + rand.IntN(maxPort-minPort)
		var listener net.Listener
		listener, err = net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		return listener.Addr().String(), Error.Wrap(listener.Close())
	}
	return "", Error.Wrap(err)
}

// start starts the process unless it is running, kept down or closed.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil || v.keptDown || v.closed {
		return nil
	}
	cmd := exec.Command(v.opts.Program, "serve",
		"--vm", v.name,
		"--zone", v.zone,
		"--caller-address", v.callerAddress,
		"--ready-address", v.readyAddress,
		"--store-address", v.storeLink.Address(),
		"--lease-max-ms", strconv.Itoa(leaseMax),
		"--stop-grace-ms", strconv.Itoa(stopGrace),
		"--lame-duck-ms", strconv.Itoa(lameDuck),
		"--retention-s", strconv.Itoa(retention))
	cmd.Env = append(os.Environ(), v.opts.Environment...)
	cmd.Stdout = (*logWriter)(v)
	cmd.Stderr = (*logWriter)(v)
	if err := cmd.Start(); err != nil {
		return Error.Wrap(err)
	}
	v.process = cmd.Process
	v.startedAt = time.Now()
	v.exitRequested = false
	v.exited = make(chan struct{})
	go v.wait(cmd, v.exited)
	return nil
}

const (
	// A process is restarted restartDelay after it exited, and takes up to setupTime until
	// it handles signals.
	restartDelay = 150 * time.Millisecond
	setupTime    = 2 * time.Second
)

func (v *vm) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	v.mu.Lock()
	v.process = nil
	if !v.exitRequested && !v.closed {
		v.unexpected = append(v.unexpected, v.name+": "+exitText(err))
	}
	v.mu.Unlock()
	close(exited)
	time.Sleep(restartDelay)
	if err := v.start(); err != nil {
		v.mu.Lock()
		v.unexpected = append(v.unexpected, v.name+": "+err.Error())
		v.mu.Unlock()
	}
}

func exitText(err error) string {
	if err == nil {
		return "ended with status 0 without being told to"
	}
	return err.Error()
}

// signal sends a signal to the process, if it is running.
func (v *vm) signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		v.exitRequested = true
	}
	if v.process == nil {
		return
	}
	if err := v.process.Signal(signal); err != nil {
		v.log.WriteString("soak: sending signal " + signal.String() + ": " + err.Error() + "\n")
	}
}

// reload sends SIGHUP to the process to make it reload its settings, unless it started
// less than setupTime ago and may not be set up yet.
func (v *vm) reload() {
	v.mu.Lock()
	young := time.Since(v.startedAt) < setupTime
	v.mu.Unlock()
	if !young {
		v.signal(syscall.SIGHUP)
	}
}

// setDown kills the process and keeps it down, or starts it again.
func (v *vm) setDown(keepDown bool) {
	v.mu.Lock()
	v.keptDown = keepDown
	v.mu.Unlock()
	if keepDown {
		v.signal(syscall.SIGKILL)
		return
	}
	if err := v.start(); err != nil {
		v.mu.Lock()
		v.unexpected = append(v.unexpected, v.name+": "+err.Error())
		v.mu.Unlock()
	}
}

// close kills the process and does not restart it.
func (v *vm) close() {
	v.mu.Lock()
	v.closed = true
	exited := v.exited
	running := v.process != nil
	v.mu.Unlock()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	if running {
		<-exited
	}
	v.storeLink.Close()
}

// unexpectedExits describes the exits that were not requested and the failures to start
// a process.
func (v *vm) unexpectedExits() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.unexpected...)
}

// logCopy returns a copy of the log kept so far.
func (v *vm) logCopy() []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]byte(nil), v.log.Bytes()...)
}

// logWriter keeps about the first maxLogBytes of the output of a VM.
type logWriter vm

func (l *logWriter) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.log.Len() < maxLogBytes {
		l.log.Write(text)
	}
	return len(text), nil
}
