package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Town is a small deployment: the store, executors, entry VMs and a client.
type Town struct {
	Record    *Record
	Store     *Store
	Executors []*Executor
	VMs       []*VM
	Client    *Client
	Runs      *Runs
	dir       string
}

const service = "huvo11a"

// Prefixes of the routes: quick jobs, jobs that fill or are scheduled, and jobs that last.
const (
	quoteRoute = "/lohu930/"
	trialRoute = "/pufi791/"
	watchRoute = "/pule252/"
)

var zones = []string{"mtkvari-press", "mtkvari-lab", "mtkvari-office"}

// NewTown starts a deployment and waits until its VMs are ready.
func NewTown(record *Record, executors []*Executor, vms int) (*Town, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	t := &Town{
		Record:    record,
		Store:     NewStore(record),
		Executors: executors,
		Runs:      newRuns(record),
		dir:       dir,
	}
	t.configure()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return t, err
	}
	go http.Serve(listener, t.Store)
	for _, e := range executors {
		if err := e.Serve(t.Runs); err != nil {
			return t, err
		}
		go e.Beat(t.Store)
	}
	advice, err := freeAddress()
	if err != nil {
		return t, err
	}
	for i := range vms {
		vm := &VM{
			Name:   fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1),
			Zone:   zones[i%len(zones)],
			store:  listener.Addr().String(),
			advice: advice, // no queue has advice, so nothing is asked there
			record: record,
			ended:  make(chan struct{}),
		}
		vm.log = filepath.Join(dir, vm.Name+".log")
		if vm.Front, err = freeAddress(); err != nil {
			return t, err
		}
		if vm.Ready, err = freeAddress(); err != nil {
			return t, err
		}
		t.VMs = append(t.VMs, vm)
		go vm.Run()
	}
	t.Client = &Client{
		record: record,
		vms:    t.VMs,
	}
	return t, t.waitReady()
}

func (t *Town) configure() {
	var routes []map[string]any
	for i, prefix := range []string{quoteRoute, trialRoute, watchRoute} {
		routes = append(routes, map[string]any{
			"name":        fmt.Sprintf("r-%d", i),
			"host":        host,
			"prefix":      prefix,
			"kind":        "unsafe",
			"timeoutMs":   3000,
			"sloMs":       []int{250, 1000, 2500}[i],
			"priority":    []int{0, 2, 0}[i],
			"service":     service,
			"maxAttempts": []int{4, 3, 2}[i],
			"stretch":     []float64{1.5, 2, 2.2}[i],
		})
	}
	t.Store.Put("op", "", "config", map[string]any{
		"version":  7,
		"routes":   routes,
		"services": []map[string]any{{"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "admissionCheck": false, "spare": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// waitReady waits until all VMs are ready, and 4 s more for one to own the cell.
func (t *Town) waitReady() error {
	const timeout, settle = 15 * time.Second, 4 * time.Second
	client := http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, vm := range t.VMs {
			if resp, err := client.Get("http://" + vm.Ready + "/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(t.VMs) {
			time.Sleep(settle)
			return nil
		}
	}
	return fmt.Errorf("the VMs are not ready after %s", timeout)
}

// Close ends all processes. It keeps the logs of the system if KEEP_LOGS names a folder.
func (t *Town) Close() {
	for _, vm := range t.VMs {
		vm.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, vm := range t.VMs {
			if text, err := os.ReadFile(vm.log); err == nil {
				os.WriteFile(filepath.Join(keep, vm.Name+".log"), text, 0o644)
			}
		}
	}
	os.RemoveAll(t.dir)
}

// Runs is what the executors have run. It is safe for concurrent use.
type Runs struct {
	record *Record
	mu     sync.Mutex
	// running counts the runs at work, by task, done the ends "done".
	running map[string]int
	done    map[string]int
	begun   map[string]int // by job
	work    map[string]int // runs at work, by job
	starts  int
	// twice are the starts of tasks that had ended done.
	twice []string
	// forbiddenOn is the executor on which no task may start any more, forbidden how many did.
	forbiddenOn string
	forbidden   int
}

func newRuns(record *Record) *Runs {
	return &Runs{
		record:  record,
		running: map[string]int{},
		done:    map[string]int{},
		begun:   map[string]int{},
		work:    map[string]int{},
	}
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// Begun implements Observer.
func (r *Runs) Begun(executor, task string, attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done[task] > 0 || r.running[task] > 0 {
		r.twice = append(r.twice, task)
		r.record.Line("executor %s: %s starts again, attempt %d, after %d ends done, %d runs at work", executor, task, attempt, r.done[task], r.running[task])
	}
	if executor == r.forbiddenOn {
		r.forbidden++
		r.record.Line("executor %s: %s starts without the label that it needs", executor, task)
	}
	r.running[task]++
	r.begun[jobOf(task)]++
	r.work[jobOf(task)]++
	r.starts++
	r.record.Line("executor %s: starts %s, attempt %d", executor, task, attempt)
}

// Ended implements Observer.
func (r *Runs) Ended(executor, task string, attempt int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[task]--
	r.work[jobOf(task)]--
	if how == "done" {
		r.done[task]++
	}
	r.record.Line("executor %s: %s has ended, attempt %d: %s", executor, task, attempt, how)
}

// JobBegun reports whether a task of the job has begun, JobIdle whether none is at work.
func (r *Runs) JobBegun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun[id] > 0
}

// JobIdle reports whether no task of the job is at work.
func (r *Runs) JobIdle(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.work[id] == 0
}

// Done returns how many tasks of the job have ended done.
func (r *Runs) Done(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for task, count := range r.done {
		if count > 0 && jobOf(task) == id {
			n++
		}
	}
	return n
}

// Forbid notes that no task may start on an executor any more.
func (r *Runs) Forbid(executor string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forbiddenOn = executor
}

// Forbidden returns how many starts there were that Forbid rules out.
func (r *Runs) Forbidden() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forbidden
}

// Twice returns how many starts followed an end done or a run at work.
func (r *Runs) Twice() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.twice)
}

// jobID returns an identifier of a job.
func jobID(group, n int) string {
	id := strconv.FormatUint(uint64(n)*0x9e3779b97f4a7c15^uint64(group)*0xc2b2ae3d27d4eb4f, 16)
	return strings.Repeat("0", 16-len(id)) + id
}
