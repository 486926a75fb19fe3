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

// vm is an entry VM in a process of its own. It is started again whenever it ends,
// unless it is held down.
type vm struct {
	name   string
	zone   string
	caller string
	ready  string
	store  *standin.Link
	opts   Options

	mu      sync.Mutex
	process *os.Process
	held    bool
	closed  bool
	ended   chan struct{} // closed when the present process has ended
	exits   []string      // of processes that nobody ended
	ending  bool          // somebody has told the process to end
	born    time.Time     // of the present process
	log     bytes.Buffer
}

const (
	leaseMax  = 3000 // ms, of the stand-in workers
	stopGrace = 100  // ms
	lameDuck  = 600  // ms
	retention = 3600 // s, longer than any run
	// logBytes bounds the log that is kept of a VM.
	logBytes = 32 << 20
)

func newVM(opts Options, name, zone, store string) (*vm, error) {
	link, err := standin.NewLink(store)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	v := &vm{
		name:  name,
		zone:  zone,
		store: link,
		opts:  opts,
	}
	for _, address := range []*string{&v.caller, &v.ready} {
		*address, err = freeAddress()
		if err != nil {
			return nil, err
		}
	}
	return v, nil
}

// Ports of VMs lie below those that the system gives to connections, so that none is
// taken while its process is down.
const (
	leastPort = 12000
	mostPort  = 30000
	portTries = 100
)

func freeAddress() (string, error) {
	var err error
	for range portTries {
		port := leastPort + rand.IntN(mostPort-leastPort)
		var listener net.Listener
		listener, err = net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		return listener.Addr().String(), Error.Wrap(listener.Close())
	}
	return "", Error.Wrap(err)
}

// start starts the process, unless it runs.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil || v.held || v.closed {
		return nil
	}
	cmd := exec.Command(v.opts.Program, "serve",
		"--vm", v.name,
		"--zone", v.zone,
		"--caller-address", v.caller,
		"--ready-address", v.ready,
		"--store-address", v.store.Address(),
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
	v.born = time.Now()
	v.ending = false
	v.ended = make(chan struct{})
	go v.wait(cmd, v.ended)
	return nil
}

const (
	restartAfter = 150 * time.Millisecond
	youngFor     = 2 * time.Second
)

func (v *vm) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	v.mu.Lock()
	v.process = nil
	if !v.ending && !v.closed {
		v.exits = append(v.exits, v.name+": "+errText(err))
	}
	v.mu.Unlock()
	close(ended)
	time.Sleep(restartAfter)
	if err := v.start(); err != nil {
		v.mu.Lock()
		v.exits = append(v.exits, v.name+": "+err.Error())
		v.mu.Unlock()
	}
}

func errText(err error) string {
	if err == nil {
		return "ended by itself"
	}
	return err.Error()
}

// signal tells the process something; one that has ended hears nothing.
func (v *vm) signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		v.ending = true
	}
	if v.process == nil {
		return
	}
	if err := v.process.Signal(signal); err != nil {
		v.log.WriteString("soak: " + signal.String() + ": " + err.Error() + "\n")
	}
}

// reload tells a process that has had the time to set itself up that its settings
// have changed.
func (v *vm) reload() {
	v.mu.Lock()
	young := time.Since(v.born) < youngFor
	v.mu.Unlock()
	if !young {
		v.signal(syscall.SIGHUP)
	}
}

// down keeps the process from being started again.
func (v *vm) down(held bool) {
	v.mu.Lock()
	v.held = held
	v.mu.Unlock()
	if held {
		v.signal(syscall.SIGKILL)
		return
	}
	if err := v.start(); err != nil {
		v.mu.Lock()
		v.exits = append(v.exits, v.name+": "+err.Error())
		v.mu.Unlock()
	}
}

// close ends the process for good.
func (v *vm) close() {
	v.mu.Lock()
	v.closed = true
	ended := v.ended
	running := v.process != nil
	v.mu.Unlock()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	if running {
		<-ended
	}
	v.store.Close()
}

// ends tells of processes that have ended by themselves.
func (v *vm) ends() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.exits...)
}

// text returns the log that is kept.
func (v *vm) text() []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]byte(nil), v.log.Bytes()...)
}

// logWriter keeps the beginning of what a VM writes, up to a bound.
type logWriter vm

func (l *logWriter) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.log.Len() < logBytes {
		l.log.Write(text)
	}
	return len(text), nil
}
