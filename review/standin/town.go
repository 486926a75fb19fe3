package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

var zones = []string{"mtkvari-press", "mtkvari-lab", "mtkvari-office"}

// town is a small deployment: the platform's table, executors and VMs.
type town struct {
	record    *record
	folder    string
	store     *store
	doors     []*door // to the store, one for each VM
	executors []*executor
	vms       []*vm
	adviser   *adviser
	gangs     *gangs
	client    *client
}

const firstVersion = 7

type route struct {
	Name      string      `json:"name"`
	Host      string      `json:"host"`
	Prefix    string      `json:"prefix"`
	Kind      string      `json:"kind"`
	TimeoutMs int         `json:"timeoutMs"`
	SloMs     int         `json:"sloMs"`
	Priority  int         `json:"priority"`
	Service   string      `json:"service"`
	Attempts  int         `json:"maxAttempts"`
	Stretch   float64     `json:"stretch"`
	Advice    *adviceTime `json:"advice,omitempty"`
}

// configure writes a configuration, with the route that has advice or without it.
func (t *town) configure(version int, advised bool) {
	plain := route{
		Name: "r-3hwrr6x", Host: host, Prefix: prefix, Kind: "unsafe", TimeoutMs: 3000, SloMs: 1000,
		Service: service, Attempts: 4, Stretch: 2,
	}
	routes := []route{plain}
	if advised {
		second := plain
		second.Name, second.Prefix, second.Advice = "r-73d3zji", advisedPrefix, &adviceTimes
		routes = append(routes, second)
	}
	t.store.put("op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "admissionCheck": false, "spare": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	t.record.add("the operator writes configuration %d with %d routes", version, len(routes))
}

const (
	executorCPU = 64000
	executorMem = 256000
)

// newTown starts VMs in each zone, and waits until all are ready and one owns the cell.
func newTown(rec *record, vmsPerZone int) (*town, error) {
	t := &town{record: rec, client: newClient(rec), gangs: newGangs()}
	var err error
	if t.folder, err = os.MkdirTemp("", "review"); err != nil {
		return t, err
	}
	started.Lock()
	started.folder = t.folder
	started.Unlock()
	t.store = newStore(rec)
	if t.adviser, err = newAdviser(); err != nil {
		return t, err
	}
	t.configure(firstVersion, false)
	for _, zone := range zones {
		for n := range vmsPerZone {
			door, err := newDoor(t.store)
			if err != nil {
				return t, err
			}
			t.doors = append(t.doors, door)
			v, err := newVM(fmt.Sprintf("edge-%s-%d", zone, n+1), zone, door.address, t.adviser.address, t.folder, rec)
			if err != nil {
				return t, err
			}
			t.vms = append(t.vms, v)
		}
	}
	if !t.waitReady(15 * time.Second) {
		return t, fmt.Errorf("the VMs are not ready")
	}
	return t, nil
}

// addExecutors starts executors in a zone, all in one rack.
func (t *town) addExecutors(zone string, count int) error {
	for range count {
		id := fmt.Sprintf("i-%04x", 0x7f30+len(t.executors))
		e, err := newExecutor(id, service, zone, "r-"+zone, executorCPU, executorMem, t.store, t.adviser, t.gangs, t.record)
		if err != nil {
			return err
		}
		e.run()
		t.executors = append(t.executors, e)
	}
	return nil
}

// waitReady waits until all VMs are ready and one owns the cell.
func (t *town) waitReady(limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range t.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(t.vms) && t.owner() != nil {
			return true
		}
	}
	return false
}

// owner returns the VM that owns the cell, nil if there is none.
func (t *town) owner() *vm {
	for _, v := range t.vms {
		if v.owns() {
			return v
		}
	}
	return nil
}

// usage is what the executors are doing.
type usage struct {
	share        float64 // of the processors of all executors
	roomiest     int     // free processors on the executor with the second most of them
	runs, atWork map[string]int
}

func (t *town) usage() usage {
	u := usage{runs: map[string]int{}, atWork: map[string]int{}}
	used, first, second := 0, 0, 0
	for _, e := range t.executors {
		cpu, runs, atWork := e.used()
		used += cpu
		free := e.cpu - cpu
		if free > first {
			first, second = free, first
		} else if free > second {
			second = free
		}
		for id, n := range runs {
			u.runs[id] += n
		}
		for id, n := range atWork {
			u.atWork[id] += n
		}
	}
	u.share = float64(used) / float64(len(t.executors)*executorCPU)
	u.roomiest = second
	return u
}

// close ends all processes and removes the temporary folder.
func (t *town) close() {
	for _, v := range t.vms {
		for _, line := range v.logged("msg=cell-", "msg=owner-doubted", "msg=jobs-unread", "panic") {
			t.record.add("log of %s: %s", v.name, line)
		}
	}
	for _, v := range t.vms {
		select {
		case <-v.exited:
		default:
			v.signal(syscall.SIGKILL)
		}
	}
	for _, e := range t.executors {
		e.close()
	}
	for _, d := range t.doors {
		d.server.Close()
	}
	if t.adviser != nil {
		t.adviser.server.Close()
	}
	os.RemoveAll(t.folder)
}
