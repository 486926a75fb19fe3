package measurer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"marjoramstack/internal/demonstrator"
	"marjoramstack/internal/estimator"
	"marjoramstack/internal/follower"
	"marjoramstack/internal/peer"
	"marjoramstack/internal/peer/peerpb"
	"marjoramstack/internal/placer"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/scheduler"
	"marjoramstack/internal/standin"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const httpOverhead = 260 // bytes of request line and headers, both ways

// exchangeCost measures one exchange with a worker stand-in that runs a number
// of tasks, without the network.
func exchangeCost(out io.Writer) error {
	const rounds = 2000
	header(out, "tasks", "request B", "answer B", "B/s at 1/s", "us owner", "us worker")
	for _, tasks := range []int{2, 22, 88} {
		manual := clock.NewManual(start)
		w := standin.NewWorker(standin.WorkerOptions{
			ID:    "w",
			Size:  document.Size{Processors: 1 << 20, Memory: 1 << 40},
			Clock: manual,
		})
		request := worker.Request{
			Cell:  "z-0",
			Epoch: 1,
			Boot:  "w.0",
		}
		for i := range tasks {
			request.Starts = append(request.Starts, worker.Start{
				Task:     fmt.Sprintf("compound-run-%d.%d", i, i),
				Attempt:  1,
				Class:    "cure-test",
				Size:     document.Size{Processors: 1, Memory: 1000},
				Until:    start.Add(clock.Hour),
				NotAfter: start.Add(clock.Hour),
			})
		}
		if _, err := w.Exchange(request); err != nil {
			return err
		}
		request.Starts = nil
		request.Until = start.Add(2 * clock.Hour)
		var asked, told []byte
		var answer worker.Answer
		var ownerTime, workerTime time.Duration
		for range rounds {
			began := time.Now()
			asked, _ = json.Marshal(request)
			ownerTime += time.Since(began)
			began = time.Now()
			var got worker.Request
			if err := json.Unmarshal(asked, &got); err != nil {
				return err
			}
			reply, err := w.Exchange(got)
			if err != nil {
				return err
			}
			told, _ = json.Marshal(reply)
			workerTime += time.Since(began)
			began = time.Now()
			if err := json.Unmarshal(told, &answer); err != nil {
				return err
			}
			ownerTime += time.Since(began)
		}
		line(out, tasks, len(asked), len(told), len(asked)+len(told)+httpOverhead, micros(ownerTime, rounds), micros(workerTime, rounds))
	}
	return nil
}

// heartbeatCost measures a heartbeat of a member that knows a number of entry
// VMs and cells.
func heartbeatCost(out io.Writer) error {
	const rounds = 5000
	header(out, "entry VMs", "cells", "bytes", "with loads", "and members", "us encode+decode")
	for _, n := range []struct{ members, cells, view int }{{7, 3, 3}, {70, 10, 7}, {210, 30, 21}} {
		beat := &peerpb.Heartbeat{
			From:          member(0),
			SentMs:        1796370000000,
			EchoMs:        1796370000000,
			ConfigVersion: 21000,
			Slots:         60,
			Free:          30,
			MembersDigest: 1 << 60,
		}
		for i := range n.view {
			beat.View = append(beat.View, member(i).GetId())
		}
		for i := range n.cells {
			beat.Cells = append(beat.Cells, peer.ToLoad(scheduler.Load{
				Cell:  fmt.Sprintf("zone-%d-0", i),
				Zone:  fmt.Sprintf("zone-%d", i),
				Owner: member(i).GetId(),
				Total: document.Size{Processors: 44160, Memory: 172500000, Accelerators: 1300},
				Free:  document.Size{Processors: 4160, Memory: 17250000, Accelerators: 130},
			}))
		}
		loads := beat.GetCells()
		beat.Cells = nil
		plain := proto.Size(beat)
		beat.Cells = loads
		withLoads := proto.Size(beat)
		for i := range n.members {
			beat.Members = append(beat.Members, member(i))
		}
		full := proto.Size(beat)
		beat.Members = nil
		began := time.Now()
		for range rounds {
			data, err := proto.Marshal(beat)
			if err != nil {
				return err
			}
			var got peerpb.Heartbeat
			if err := proto.Unmarshal(data, &got); err != nil {
				return err
			}
		}
		line(out, n.members, n.cells, plain, withLoads, full, micros(time.Since(began), rounds))
	}
	return nil
}

func member(i int) *peerpb.Member {
	return &peerpb.Member{
		Id:      fmt.Sprintf("entry-%d.1a23fbf4405", i),
		Zone:    fmt.Sprintf("zone-%d", i%10),
		Address: "10.11.12.13:7030",
	}
}

// configCost measures taking one version of the configuration.
func configCost(out io.Writer) error {
	const rounds = 200
	header(out, "classes", "teams", "bytes", "us to take")
	for _, n := range []struct{ classes, teams int }{{5, 5}, {50, 50}, {200, 140}} {
		state := follower.State{Text: documentText(n.classes, n.teams)}
		size := 0
		began := time.Now()
		for i := range rounds {
			f := follower.New()
			state.Version = uint64(i + 1)
			data, err := json.Marshal(state)
			if err != nil {
				return err
			}
			size = len(data)
			var got follower.State
			if err := json.Unmarshal(data, &got); err != nil {
				return err
			}
			if _, err := f.Offer(got); err != nil {
				return err
			}
		}
		line(out, n.classes, n.teams, size, micros(time.Since(began), rounds))
	}
	return nil
}

func documentText(classes, teams int) string {
	var b strings.Builder
	b.WriteString("schema: marjoram/v1\nservice: desk\nzones: [press, lab, office]\nteams:\n")
	for i := range teams {
		fmt.Fprintf(&b, "  - name: team-%d\n    quota: {processors: 640, memory-mb: 2000000}\n", i)
	}
	b.WriteString("classes:\n")
	for i := range classes {
		fmt.Fprintf(&b, "  - name: class-%d\n    kind: interactive\n    answer-by: 300ms\n", i)
	}
	return b.String()
}

// fleetCost measures holding the list of VMs and the workers as the placer does.
func fleetCost(out io.Writer) error {
	header(out, "VMs", "list KB", "decode ms", "held KB", "placer KB")
	for _, n := range []int{690, 2070, 6900} {
		list := vms(n)
		data, err := json.Marshal(list)
		if err != nil {
			return err
		}
		before := heap()
		began := time.Now()
		var held []platform.VM
		if err := json.Unmarshal(data, &held); err != nil {
			return err
		}
		decode := time.Since(began)
		afterList := heap()
		index := placer.New(estimator.NewSlowdowns())
		for _, vm := range held {
			size := document.Size{Processors: vm.Processors, Memory: vm.Memory}
			index.Set(placer.Host{ID: vm.ID, Rack: vm.Rack, Total: size, Free: size, Open: true})
		}
		afterIndex := heap()
		line(out, n, float64(len(data))/1000, millis(decode), kilobytes(before, afterList), kilobytes(afterList, afterIndex))
		runtime.KeepAlive(held)
		runtime.KeepAlive(index)
	}
	return nil
}

func kilobytes(before, after uint64) float64 { return (float64(after) - float64(before)) / 1000 }

const requestDocument = `schema: marjoram/v1
service: desk
zones: [press]
classes:
  - name: quote
    kind: interactive
    answer-by: 2s
`

// requestCost compares requests through an entry VM with requests straight to
// the endpoint, in one run, with the decision log on. Client, entry VM and
// endpoint share this process's processors, so the differences between the two
// rows are the entry VM's.
func requestCost(out io.Writer) error {
	town, err := demonstrator.NewTown(standin.Layout{
		Zones:            []string{"press"},
		EndpointsPerZone: 8,
		Slots:            8,
	}, io.Discard)
	if err != nil {
		return err
	}
	defer town.Close()
	entry, err := town.Start("press")
	if err != nil {
		return err
	}
	ctx, cancel := timeout()
	defer cancel()
	if _, err := town.Apply(ctx, requestDocument); err != nil {
		return err
	}
	if err := town.AwaitReady(ctx); err != nil {
		return err
	}
	var straight []string
	for _, vm := range town.Site.Fleet().VMs {
		straight = append(straight, vm.Address)
	}
	header(out, "path", "clients", "requests/s", "us CPU/request", "p50 us", "p99 us")
	for _, clients := range []int{1, 8, 32} {
		for range 2 {
			closedLoop(out, "straight", straight, clients)
			closedLoop(out, "entry VM", []string{entry.Caller}, clients)
		}
	}
	return nil
}

// closedLoop sends requests from a number of clients, each waiting for its
// answer, and prints throughput, processor time and latency.
func closedLoop(out io.Writer, path string, addresses []string, clients int) {
	const span = 2 * time.Second
	var mu sync.Mutex
	var latencies []time.Duration
	before := cpu()
	began := time.Now()
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			mine := clientLoop(addresses[i%len(addresses)], began.Add(span))
			mu.Lock()
			latencies = append(latencies, mine...)
			mu.Unlock()
		})
	}
	group.Wait()
	took := time.Since(began)
	used := cpu() - before
	p50, p99 := quantiles(latencies)
	line(out, path, clients, float64(len(latencies))/took.Seconds(), micros(used, len(latencies)), micros(p50, 1), micros(p99, 1))
}

func clientLoop(address string, end time.Time) []time.Duration {
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	defer client.CloseIdleConnections()
	var latencies []time.Duration
	for time.Now().Before(end) {
		began := time.Now()
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/r", bytes.NewReader(nil))
		if err != nil {
			return latencies
		}
		req.Header.Set("Marjoram-Class", "quote")
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			latencies = append(latencies, time.Since(began))
		}
	}
	return latencies
}
