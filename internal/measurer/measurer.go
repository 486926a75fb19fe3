// Package measurer measures the slopes that docs/CAPACITY.md is worked out from:
// how time, memory and bytes of each role grow with the size of the system. It
// drives the real decision code and protocols against stand-ins, each at three
// sizes or more.
//
// # Usage
//
//	for _, m := range measurer.All() { m.Run(os.Stdout) }
package measurer

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"
)

// Measure is one measurement: a name, what it tells, and how it is taken.
type Measure struct {
	Name string
	What string
	Run  func(out io.Writer) error
}

// All returns every measurement, in the order of docs/CAPACITY.md.
func All() []Measure {
	return []Measure{
		{
			Name: "placement",
			What: "cost of a placement and memory of a task against the number of workers",
			Run:  placement,
		},
		{
			Name: "recovery",
			What: "time to rebuild a cell against the number of tasks",
			Run:  recovery,
		},
		{
			Name: "takeover",
			What: "time from an owner's death to the next job's end under its successor, with real workers",
			Run:  takeover,
		},
		{
			Name: "exchange",
			What: "bytes and processor time of an exchange with a worker against its tasks",
			Run:  exchangeCost,
		},
		{
			Name: "commit",
			What: "transactions and bytes a second of a cell against its starts a second",
			Run:  commitCost,
		},
		{
			Name: "heartbeat",
			What: "bytes and processor time of a heartbeat against the number of entry VMs and cells",
			Run:  heartbeatCost,
		},
		{
			Name: "configuration",
			What: "bytes and processor time of taking a version against the number of classes",
			Run:  configCost,
		},
		{
			Name: "fleet",
			What: "memory and processor time of the list of VMs against its length",
			Run:  fleetCost,
		},
		{
			Name: "request",
			What: "processor time of a request through an entry VM against one straight to the endpoint",
			Run:  requestCost,
		},
		{
			Name: "added",
			What: "latency that an entry VM adds at half load, in one run with requests straight to the endpoints",
			Run:  added,
		},
		{
			Name: "spread",
			What: "time from a change to its being in force in three zones against the changes a second",
			Run:  spread,
		},
		{
			Name: "leave",
			What: "time from zone leave to the last start in the zone, with tasks of a second starting all the time",
			Run:  leave,
		},
		{
			Name: "idle",
			What: "processor time and platform calls of a whole town, stand-ins included, that only keeps itself going",
			Run:  idle,
		},
	}
}

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func header(out io.Writer, columns ...string) {
	for i, c := range columns {
		if i > 0 {
			fmt.Fprint(out, "  ")
		}
		fmt.Fprintf(out, "%14s", c)
	}
	fmt.Fprintln(out)
}

func line(out io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(out, "  ")
		}
		switch v := c.(type) {
		case float64:
			fmt.Fprintf(out, "%14.2f", v)
		default:
			fmt.Fprintf(out, "%14v", v)
		}
	}
	fmt.Fprintln(out)
}

func micros(d time.Duration, n int) float64 {
	return float64(d.Nanoseconds()) / 1000 / float64(max(n, 1))
}
