// Command marjoramstack-review-2 plays the scripted cases of the second review: VMs of the
// system as separate processes, and stand-ins of the platform's store, executors and clients in
// this process.
//
// It exits with 0 if the rule of the case held, with 1 if it was broken, and with 2 if the case
// could not run.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// world is a small deployment.
type world struct {
	rec       *recorder
	judge     *judge
	store     *store
	adviser   *adviser
	vms       []*vm
	executors []*executor
	client    *client
	trouble   bool
	closing   atomic.Bool
}

const (
	routeHost   = "press.example"
	routePrefix = "/jobs/"
	service     = "ring-desk"

	firstVersion = 3

	// maxRun is when a case that has not ended is given up.
	maxRun = 110 * time.Second
)

var zones = []string{"press", "lab", "office"}

func newWorld(rec *recorder, root, logs string, leaseMax time.Duration, trouble bool) (*world, error) {
	w := &world{
		rec:     rec,
		judge:   newJudge(rec),
		store:   newStore(rec),
		trouble: trouble,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go http.Serve(listener, w.store)
	w.configure(firstVersion, route{
		name:   "cure-trial",
		prefix: routePrefix,
	})
	for i, zone := range zones {
		v, err := newVM(rec, root, logs, fmt.Sprintf("edge-%d", i+1), zone, listener.Addr().String(), leaseMax)
		if err != nil {
			return nil, err
		}
		w.vms = append(w.vms, v)
	}
	w.client = newClient(rec, w.vms, routeHost, routePrefix)
	return w, nil
}

// route is a queue of the configuration.
type route struct {
	name   string
	prefix string
	advice map[string]any // nil if the queue has none
}

// configure writes a version of the configuration.
func (w *world) configure(version int, routes ...route) {
	entries := []map[string]any{}
	for _, r := range routes {
		entry := map[string]any{
			"name": r.name, "host": routeHost, "prefix": r.prefix, "service": service,
			"priority": 1, "maxAttempts": 3, "stretch": 2.0, "sloMs": 1000, "timeoutMs": 3000,
		}
		if r.advice != nil {
			entry["advice"] = r.advice
		}
		entries = append(entries, entry)
	}
	w.store.put("op", "config", map[string]any{
		"version":  version,
		"routes":   entries,
		"services": []map[string]any{{"name": service, "admissionCheck": false, "healthPath": "/healthz", "maxConns": 64}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	w.rec.log("operator", "configuration %d: %v", version, routes)
}

// addExecutor adds an executor and starts it.
func (w *world) addExecutor(id, zone, kind, rack string, capacity size, holdMax time.Duration) (*executor, error) {
	e := &executor{
		rec:      w.rec,
		judge:    w.judge,
		store:    w.store,
		adviser:  w.adviser,
		id:       id,
		service:  service,
		zone:     zone,
		kind:     kind,
		rack:     rack,
		capacity: capacity,
		holdMax:  holdMax,
	}
	w.executors = append(w.executors, e)
	return e, e.start(0)
}

func (w *world) startVMs() error {
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// owner waits for a VM that owns the cell.
func (w *world) owner(within time.Duration) *vm {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, v := range w.vms {
			if v.owns() {
				return v
			}
		}
	}
	return nil
}

func (w *world) close() {
	w.closing.Store(true)
	for _, v := range w.vms {
		v.close()
	}
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for the record")
	root := flag.String("root", ".", "root of the repository")
	keep := flag.String("logs", "", "folder for the logs of the VMs; a temporary one by default")
	flag.Parse()
	os.Exit(run(*name, *record, *root, *keep))
}

func run(name, record, root, logs string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if logs == "" {
		if logs, err = os.MkdirTemp("", "review-2-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer os.RemoveAll(logs)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case", "%s, trouble %v", name, trouble)
	w, err := newWorld(rec, root, logs, play.leaseMax, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxRun):
			rec.log("case", "not ended after %v", maxRun)
		}
		w.close()
		os.Exit(2)
	}()
	err = play.play(w)
	w.close()
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	rec.log("case", "%d runs began, %d ended; broken: %v; %v", w.judge.started, w.judge.finished, w.judge.breaks, err)
	fmt.Println("broken:", w.judge.breaks, "error:", err)
	switch {
	case err != nil:
		return 2
	case w.judge.breaks[play.rule] > 0:
		return 1
	}
	return 0
}
