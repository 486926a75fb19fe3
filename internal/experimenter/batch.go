package experimenter

import (
	"fmt"
	"math/rand/v2"

	"marjoramstack/internal/platform"
	"marjoramstack/internal/scheduler"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// BatchPlan describes a batch experiment: the real scheduler of one cell for
// each zone against worker stand-ins in virtual time, and the same with first
// fit and no learning.
type BatchPlan struct {
	Zones          int `yaml:"zones"`
	WorkersPerZone int `yaml:"workers-per-zone"`
	Processors     int `yaml:"processors"`
	MemoryMB       int `yaml:"memory-mb"`
	Seconds        int `yaml:"seconds"`
	// JobsPerMinute arrive over the whole time; Declared run times are off by
	// factors from a third to three.
	JobsPerMinute float64      `yaml:"jobs-per-minute"`
	Classes       []BatchClass `yaml:"classes"`
	Slowdowns     []PairFactor `yaml:"slowdowns,omitempty"`
	// Policy is empty for marjoramstack's, or first-fit to run the baseline in
	// its place and see stated outcomes fail.
	Policy string `yaml:"policy,omitempty"`
	// LeaveAt and ReturnAt take the first zone out and in, in seconds.
	LeaveAt  int `yaml:"leave-at,omitempty"`
	ReturnAt int `yaml:"return-at,omitempty"`
}

// BatchClass is a class of jobs.
type BatchClass struct {
	Name       string `yaml:"name"`
	FinishBy   string `yaml:"finish-by"`
	Tasks      int    `yaml:"tasks"`
	Processors int    `yaml:"processors"`
	WorkS      int    `yaml:"work-s"`
	Share      int    `yaml:"share"`
}

// PairFactor says what speed a neighbour leaves to a task.
type PairFactor struct {
	Class    string `yaml:"class"`
	Other    string `yaml:"other"`
	Permille int    `yaml:"permille"`
}

const (
	batchStep    = 100 * clock.Millisecond
	batchStart   = clock.Time(1_000_000)
	commitDelay  = 30 * clock.Millisecond
	loadEvery    = 2 * clock.Second
	seriesEvery  = 5 * clock.Second
	batchTeam    = "team"
	declaredMost = 3.0
)

// estate is cells with their workers in virtual time.
type estate struct {
	plan    BatchPlan
	now     *clock.Manual
	cells   []*scheduler.Cell
	zones   []string
	workers map[string]*standin.Worker
	vms     []platform.VM
	doc     *document.Document
	version uint64
	gone    bool
	commits []*pendingCommit
	told    clock.Time
	series  []float64
	charted clock.Time
}

// pendingCommit is a batch on its way into the table.
type pendingCommit struct {
	cell  *scheduler.Cell
	batch scheduler.Batch
	sent  clock.Time
}

func runBatch(plan BatchPlan, seed uint64, report *Report) error {
	own := newEstate(plan, plan.Policy == "first-fit")
	own.run(seed)
	base := newEstate(plan, true)
	base.run(seed)
	report.Series["work per second, marjoramstack"] = own.series
	report.Series["work per second, first fit"] = base.series
	if plan.LeaveAt > 0 {
		report.Steps = []Step{
			{At: float64(plan.LeaveAt), What: "zone leaves"},
			{At: float64(plan.ReturnAt), What: "zone returns"},
		}
	}
	ownWork, ownLost, ownEvicted := own.sums()
	baseWork, baseLost, baseEvicted := base.sums()
	report.Figures = map[string]float64{
		"work-s":                 ownWork,
		"first-fit-work-s":       baseWork,
		"work-vs-first-fit":      ownWork / baseWork,
		"evictions":              float64(ownEvicted),
		"first-fit-evictions":    float64(baseEvicted),
		"evictions-vs-first-fit": float64(ownEvicted) / max(float64(baseEvicted), 1),
		"lost-share":             ownLost / max(ownWork, 1),
		"first-fit-lost-share":   baseLost / max(baseWork, 1),
		"work-vs-capacity":       ownWork / own.capacity(),
		"late-share":             own.lateShare(),
		"first-fit-late-share":   base.lateShare(),
		"broken":                 float64(len(own.broken())),
	}
	return nil
}

func newEstate(plan BatchPlan, baseline bool) *estate {
	e := &estate{
		plan:    plan,
		now:     clock.NewManual(batchStart),
		workers: map[string]*standin.Worker{},
		version: 1,
	}
	for z := range plan.Zones {
		e.zones = append(e.zones, fmt.Sprintf("zone-%d", z))
	}
	e.doc = e.document()
	for _, zone := range e.zones {
		e.addWorkers(zone)
	}
	for i, zone := range e.zones {
		cell := scheduler.New(scheduler.Options{
			ID:       zone + "-0",
			Zone:     zone,
			Epoch:    1,
			Takeover: e.now.Now(),
			Seed:     uint64(i + 1),
			Baseline: baseline,
		})
		e.cells = append(e.cells, cell)
		e.configure(cell)
		cell.Handle(e.now.Now(), scheduler.Listed{VMs: e.vms})
	}
	return e
}

func (e *estate) document() *document.Document {
	doc := &document.Document{
		Schema:  document.Schema,
		Service: "batch",
		Zones:   e.zones,
		Teams: []document.Team{{
			Name: batchTeam,
			Quota: document.Size{
				Processors: 1 << 20,
				Memory:     1 << 30,
			},
		}},
	}
	for _, c := range e.plan.Classes {
		doc.Classes = append(doc.Classes, document.Class{
			Name:     c.Name,
			Kind:     document.KindBatch,
			FinishBy: c.FinishBy,
		})
	}
	return doc
}

func (e *estate) addWorkers(zone string) {
	var slow []standin.Slowdown
	for _, s := range e.plan.Slowdowns {
		slow = append(slow, standin.Slowdown(s))
	}
	for i := range e.plan.WorkersPerZone {
		id := fmt.Sprintf("%s-w%02d", zone, i)
		size := document.Size{
			Processors: e.plan.Processors,
			Memory:     e.plan.MemoryMB,
		}
		e.workers[id] = standin.NewWorker(standin.WorkerOptions{
			ID:        id,
			Size:      size,
			Clock:     e.now,
			Slowdowns: slow,
			Lag:       5 * clock.Second,
		})
		e.vms = append(e.vms, platform.VM{
			ID:         id,
			Kind:       platform.KindWorker,
			Zone:       zone,
			Rack:       fmt.Sprintf("%s-r%d", zone, i/8),
			Address:    "127.0.0.1:1",
			Processors: size.Processors,
			Memory:     size.Memory,
		})
	}
}

func (e *estate) configure(cell *scheduler.Cell) {
	cell.Handle(e.now.Now(), scheduler.Configured{
		Version:     e.version,
		Document:    e.doc,
		ZoneLeaving: map[string]bool{e.zones[0]: e.gone},
	})
}

func (e *estate) run(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 17))
	end := batchStart.Add(clock.Span(e.plan.Seconds) * clock.Second)
	due := batchStart
	jobs := 0
	for e.now.Now().Before(end) {
		e.now.Advance(batchStep)
		e.changeZone()
		for !due.After(e.now.Now()) {
			jobs++
			e.submit(jobs, random)
			due = due.Add(clock.Span(random.ExpFloat64() / e.plan.JobsPerMinute * float64(clock.Minute)))
		}
		e.step()
		e.chart()
	}
}

func (e *estate) changeZone() {
	if e.plan.LeaveAt == 0 {
		return
	}
	at := e.now.Now().Sub(batchStart) / clock.Second
	gone := at >= clock.Span(e.plan.LeaveAt) && at < clock.Span(e.plan.ReturnAt)
	if gone == e.gone {
		return
	}
	e.gone = gone
	e.version++
	for _, cell := range e.cells {
		e.configure(cell)
	}
}

func (e *estate) submit(n int, random *rand.Rand) {
	class := e.draw(random)
	declared := float64(class.WorkS) * (1/declaredMost + random.Float64()*(declaredMost-1/declaredMost))
	work := float64(class.WorkS) * (0.5 + random.Float64())
	job := document.Job{
		ID:    fmt.Sprintf("job-%d", n),
		Class: class.Name,
		Team:  batchTeam,
		Tasks: class.Tasks,
		Size: document.Size{
			Processors: class.Processors,
			Memory:     1000,
		},
		RunTime: fmt.Sprintf("%dms", int(declared*1000)),
		Payload: fmt.Sprintf("work=%dms", int(work*1000)),
	}
	e.emptiest().Handle(e.now.Now(), scheduler.Submitted{Job: job})
}

func (e *estate) draw(random *rand.Rand) BatchClass {
	all := 0
	for _, c := range e.plan.Classes {
		all += c.Share
	}
	at := random.IntN(all)
	for _, c := range e.plan.Classes {
		if at -= c.Share; at < 0 {
			return c
		}
	}
	return e.plan.Classes[0]
}

func (e *estate) emptiest() *scheduler.Cell {
	var best *scheduler.Cell
	room := 0
	for _, cell := range e.cells {
		load := cell.Load()
		if load.Leaving {
			continue
		}
		if left := load.Free.Processors - load.Wanted.Processors; best == nil || left > room {
			best, room = cell, left
		}
	}
	return best
}

// step lets every cell act for one step of virtual time.
func (e *estate) step() {
	now := e.now.Now()
	if now.Sub(e.told) >= loadEvery {
		e.told = now
		e.tellLoads()
	}
	e.land(now)
	for _, cell := range e.cells {
		cell.Handle(now, scheduler.Ticked{})
		if batch, ok := cell.TakeBatch(); ok {
			e.commits = append(e.commits, &pendingCommit{
				cell:  cell,
				batch: batch,
				sent:  now,
			})
		}
		for _, id := range cell.Due(now) {
			e.exchange(cell, id)
		}
		cell.TakeNotes()
	}
}

func (e *estate) tellLoads() {
	var loads []scheduler.Load
	for _, cell := range e.cells {
		loads = append(loads, cell.Load())
	}
	for _, cell := range e.cells {
		cell.Handle(e.now.Now(), scheduler.CellLoads{Cells: loads})
	}
}

// land makes the batches durable whose way has ended, and hands over the tasks
// that they move.
func (e *estate) land(now clock.Time) {
	var kept []*pendingCommit
	for _, c := range e.commits {
		if now.Sub(c.sent) < commitDelay {
			kept = append(kept, c)
			continue
		}
		c.cell.Handle(now, scheduler.Committed{
			Seq:  c.batch.Seq,
			Sent: c.sent,
		})
		for _, s := range c.batch.Events {
			if moved, ok := s.Event.(scheduler.TaskMoved); ok {
				e.handOver(now, moved)
			}
		}
	}
	e.commits = kept
}

func (e *estate) handOver(now clock.Time, moved scheduler.TaskMoved) {
	for _, cell := range e.cells {
		if cell.ID() == moved.To {
			key := fmt.Sprintf("%s-%d", moved.Task, moved.Taken.Attempt)
			cell.Handle(now, scheduler.Arrived{
				Key:   key,
				Taken: moved.Taken,
			})
			cell.ForgetArrival(key)
		}
	}
}

func (e *estate) exchange(cell *scheduler.Cell, id string) {
	now := e.now.Now()
	request, ok := cell.Plan(now, id)
	if !ok {
		return
	}
	answer, err := e.workers[id].Exchange(request)
	if err != nil {
		cell.Handle(now, scheduler.Unanswered{Worker: id})
		return
	}
	cell.Handle(now, scheduler.Answered{
		Worker:   id,
		Answer:   answer,
		Received: now,
	})
}
