package measurer

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"marjoramstack/internal/platform"
	"marjoramstack/internal/scheduler"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const (
	tasksPerWorker = 22
	acceleratorGap = 2
)

const start clock.Time = 1_000_000

// bigDocument has a team for each tenant and a few classes.
func bigDocument(teams int) *document.Document {
	doc := &document.Document{
		Schema:  document.Schema,
		Service: "measure",
		Zones:   []string{"z"},
	}
	for i := range teams {
		doc.Teams = append(doc.Teams, document.Team{
			Name: fmt.Sprintf("team-%d", i),
			Quota: document.Size{
				Processors:   1 << 24,
				Memory:       1 << 40,
				Accelerators: 1 << 20,
			},
		})
	}
	for i := range 8 {
		doc.Classes = append(doc.Classes, document.Class{
			Name:     fmt.Sprintf("run-%d", i),
			Kind:     document.KindBatch,
			FinishBy: "6h",
		})
	}
	return doc
}

// bench is a cell with workers that obey at once and never finish.
type bench struct {
	cell *scheduler.Cell
	now  clock.Time
	held map[string][]worker.Report
	jobs int
}

func newBench(workers, teams int) *bench {
	b := &bench{
		cell: scheduler.New(scheduler.Options{
			ID:       "z-0",
			Zone:     "z",
			Epoch:    1,
			Takeover: start,
			Seed:     1,
		}),
		now:  start,
		held: map[string][]worker.Report{},
	}
	b.cell.Handle(b.now, scheduler.Configured{
		Version:  1,
		Document: bigDocument(teams),
	})
	b.cell.Handle(b.now, scheduler.Listed{VMs: vms(workers)})
	b.exchangeAll()
	return b
}

func vms(workers int) []platform.VM {
	list := make([]platform.VM, 0, workers)
	for i := range workers {
		vm := platform.VM{
			ID:         fmt.Sprintf("w%05d", i),
			Kind:       platform.KindWorker,
			Zone:       "z",
			Rack:       fmt.Sprintf("r%04d", i/11),
			Address:    "127.0.0.1:1",
			Processors: 64,
			Memory:     250_000,
		}
		if i%acceleratorGap == 0 {
			vm.Accelerators = 4
		}
		list = append(list, vm)
	}
	return list
}

// exchangeAll exchanges once with every worker that is due.
func (b *bench) exchangeAll() {
	for _, id := range b.cell.Due(b.now) {
		b.exchange(id)
	}
}

func (b *bench) exchange(id string) {
	request, ok := b.cell.Plan(b.now, id)
	if !ok {
		return
	}
	for _, s := range request.Starts {
		b.held[id] = append(b.held[id], worker.Report{
			Task:    s.Task,
			Attempt: s.Attempt,
			State:   worker.StateRunning,
		})
	}
	b.cell.Handle(b.now, scheduler.Answered{
		Worker: id,
		Answer: worker.Answer{
			Worker:  id,
			Boot:    "1",
			Now:     b.now,
			Epoch:   1,
			Reports: b.held[id],
		},
		Received: b.now,
	})
}

func (b *bench) submit(tasks int) {
	b.jobs++
	b.cell.Handle(b.now, scheduler.Submitted{Job: document.Job{
		ID:    fmt.Sprintf("job-%d", b.jobs),
		Class: fmt.Sprintf("run-%d", b.jobs%8),
		Team:  fmt.Sprintf("team-%d", b.jobs%10),
		Tasks: tasks,
		Size: document.Size{
			Processors: 1 + b.jobs%3,
			Memory:     1000 + 500*(b.jobs%4),
		},
		RunTime: "1h",
	}})
}

// settle makes everything decided durable at once.
func (b *bench) settle() (events int, bytes int) {
	batch, ok := b.cell.TakeBatch()
	if !ok {
		return 0, 0
	}
	data, err := json.Marshal(batch.Events)
	if err != nil {
		panic(err)
	}
	b.cell.Handle(b.now, scheduler.Committed{
		Seq:  batch.Seq,
		Sent: b.now,
	})
	b.cell.TakeNotes()
	return len(batch.Events), len(data)
}

// fill places tasks until the cell holds as many as asked for.
func (b *bench) fill(tasks int) {
	for placed := 0; placed < tasks; placed += 100 {
		b.submit(min(100, tasks-placed))
		b.now = b.now.Add(100)
		b.cell.Handle(b.now, scheduler.Ticked{})
		b.settle()
		b.exchangeAll()
	}
	for range 20 {
		b.now = b.now.Add(100)
		b.cell.Handle(b.now, scheduler.Ticked{})
		b.settle()
		b.exchangeAll()
	}
}

// decide has the cell take 87 tasks every 100 ms and returns the time that the
// decisions took. The exchanges with workers go on beside them, uncounted: they
// cost by worker and second, not by decision.
func (b *bench) decide(rounds int) time.Duration {
	var took time.Duration
	for range rounds {
		b.now = b.now.Add(100)
		began := time.Now()
		b.submit(87)
		b.cell.Handle(b.now, scheduler.Ticked{})
		b.settle()
		took += time.Since(began)
		b.exchangeAll()
	}
	return took
}

// placement measures a cell that holds the letter's tasks per worker and gets
// new ones at 870 a second.
func placement(out io.Writer) error {
	header(out, "workers", "tasks", "us/decision", "decisions/s", "bytes/task", "MB in all")
	for _, workers := range []int{690, 2070, 6900} {
		before := heap()
		b := newBench(workers, 140)
		b.fill(workers * tasksPerWorker)
		used := heap() - before
		const more = 8700
		took := b.decide(more / 87)
		tasks := workers * tasksPerWorker
		line(out, workers, tasks, micros(took, more), float64(more)/took.Seconds(), float64(used)/float64(tasks), float64(used)/1e6)
	}
	return nil
}

// recovery measures what a new owner does before it can decide: read the
// snapshot, and reconcile with what the workers report.
func recovery(out io.Writer) error {
	header(out, "tasks", "snapshot MB", "encode ms", "restore ms", "reconcile ms")
	for _, tasks := range []int{5000, 15000, 45000} {
		workers := tasks / tasksPerWorker
		b := newBench(workers, 140)
		b.fill(tasks)
		began := time.Now()
		data, err := b.cell.Snapshot()
		if err != nil {
			return err
		}
		encode := time.Since(began)
		began = time.Now()
		fresh := scheduler.New(scheduler.Options{
			ID:       "z-0",
			Zone:     "z",
			Epoch:    2,
			Takeover: b.now,
			Seed:     2,
		})
		if err := fresh.Restore(data); err != nil {
			return err
		}
		fresh.Inherit()
		restore := time.Since(began)
		began = time.Now()
		b.cell = fresh
		fresh.Handle(b.now, scheduler.Configured{
			Version:  1,
			Document: bigDocument(140),
		})
		fresh.Handle(b.now, scheduler.Listed{VMs: vms(workers)})
		b.exchangeAll()
		b.exchangeAll()
		reconcile := time.Since(began)
		if got := fresh.Load().Running; got != tasks {
			return fmt.Errorf("recovered %d tasks of %d", got, tasks)
		}
		line(out, tasks, float64(len(data))/1e6, millis(encode), millis(restore), millis(reconcile))
	}
	return nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// commitCost counts the transactions and bytes by which starts are made
// durable, group-committed every commitEvery milliseconds.
func commitCost(out io.Writer) error {
	const commitEvery = 150
	const seconds = 20
	header(out, "starts/s", "txn/s", "events/txn", "KB/s to store", "us/start")
	for _, rate := range []int{10, 87, 870} {
		b := newBench(690*3, 140)
		before := cpu()
		events, bytes, txns := 0, 0, 0
		owed := 0.0
		for elapsed := 0; elapsed < seconds*1000; elapsed += 50 {
			b.now = b.now.Add(50)
			owed += float64(rate) * 0.05
			if n := int(owed); n > 0 {
				owed -= float64(n)
				b.submit(n)
			}
			if elapsed%100 == 0 {
				b.cell.Handle(b.now, scheduler.Ticked{})
			}
			if elapsed%commitEvery == 0 {
				if n, size := b.settle(); n > 0 {
					events += n
					bytes += size
					txns++
				}
			}
		}
		used := cpu() - before
		line(out, rate, float64(txns)/seconds, float64(events)/float64(txns), float64(bytes)/seconds/1000, micros(used, rate*seconds))
	}
	return nil
}
