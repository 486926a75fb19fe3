package scheduler

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"marjoramstack/internal/leaser"
	"marjoramstack/internal/platform"
	"marjoramstack/internal/standin"
	"marjoramstack/internal/worker"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// skewedClock is a clock whose rate differs from that of standard by permille
// thousandths.
type skewedClock struct {
	standard *clock.Manual
	permille int64
}

func (s skewedClock) Now() clock.Time {
	now := s.standard.Now()
	return now + (now-modelStart)*clock.Time(s.permille)/1000
}

const modelStart clock.Time = 1_000_000

// modelOwner is a process that acts as owner of the cell. Its lease may have
// expired.
type modelOwner struct {
	cell        *Cell
	epoch       worker.Epoch
	inFlight    *Batch
	sent        clock.Time
	confirmedAt clock.Time
	cut         map[string]bool
}

// delayedRequest is a request that the network delays.
type delayedRequest struct {
	worker  string
	request worker.Request
}

// model simulates one cell with its environment: the platform's table, workers with
// skewed clocks, and any number of owners. The platform accepts only the latest
// owner.
type model struct {
	now            *clock.Manual
	random         *rand.Rand
	workers        map[string]*standin.Worker
	vms            []platform.VM
	owners         []*modelOwner
	epoch          worker.Epoch
	durableEvents  []Stamped
	leaseRenewedAt clock.Time
	configVersion  uint64
	doc            *document.Document
	zoneLeaving    bool
	vmLeaving      map[string]bool
	zoneLeftAt     clock.Time
	platformDown   bool
	delayed        []delayedRequest
	jobs           int
	finished       map[string]clock.Time
	noFence        bool
	noRandomFaults bool
	// loseCommit drops the answer of the next commit.
	loseCommit bool
	// delayNext delays the next request to a worker.
	delayNext map[string]bool
}

const modelDocument = `schema: marjoram/v1
service: model
zones: [press, lab]
teams:
  - name: team
    quota: {processors: 64, memory-mb: 64000}
  - name: small
    quota: {processors: 3, memory-mb: 64000}
classes:
  - name: run
    kind: batch
    finish-by: 10m
  - name: soon
    kind: batch
    finish-by: 7s
  - name: long
    kind: batch
    finish-by: 2h
  - name: hold
    kind: watcher
    alive: 2
    team: team
    size: {processors: 1, memory-mb: 100}
`

func newModel(seed uint64) *model {
	doc, err := document.Parse([]byte(modelDocument))
	if err != nil {
		panic(err)
	}
	m := &model{
		now:           clock.NewManual(modelStart),
		random:        rand.New(rand.NewPCG(seed, 1)),
		workers:       map[string]*standin.Worker{},
		configVersion: 1,
		doc:           doc,
		finished:      map[string]clock.Time{},
		delayNext:     map[string]bool{},
		vmLeaving:     map[string]bool{},
	}
	for i := range 3 {
		id := fmt.Sprintf("w%d", i)
		m.workers[id] = standin.NewWorker(standin.WorkerOptions{
			ID:     id,
			Size:   document.Size{Processors: 4, Memory: 4000},
			Clock:  skewedClock{standard: m.now, permille: int64(i*4 - 4)},
			Offset: clock.Span(i) * 77_777,
			Lag:    clock.Second,
		})
		m.vms = append(m.vms, platform.VM{
			ID:         id,
			Kind:       platform.KindWorker,
			Zone:       "press",
			Rack:       id,
			Address:    "127.0.0.1:1",
			Processors: 4,
			Memory:     4000,
		})
	}
	m.takeover()
	return m
}

// takeover starts a new owner with the next epoch.
func (m *model) takeover() {
	m.epoch++
	m.leaseRenewedAt = m.now.Now()
	cell := New(Options{
		ID:       "press-0",
		Zone:     "press",
		Epoch:    m.epoch,
		Takeover: m.now.Now(),
		Seed:     uint64(m.epoch),
	})
	cell.Replay(m.durableEvents)
	cell.Inherit()
	m.configure(cell)
	cell.Handle(m.now.Now(), Listed{VMs: m.vms})
	m.owners = append(m.owners, &modelOwner{
		cell:  cell,
		epoch: m.epoch,
		cut:   map[string]bool{},
	})
}

func (m *model) mayTakeOver() bool {
	return !m.platformDown && m.now.Now().Sub(m.leaseRenewedAt) >= leaser.CellLease+leaser.Drift(leaser.CellLease)
}

func (m *model) configure(cell *Cell) {
	cell.Handle(m.now.Now(), Configured{
		Version:     m.configVersion,
		Document:    m.doc,
		ZoneLeaving: map[string]bool{"press": m.zoneLeaving},
		VMLeaving:   m.vmLeaving,
	})
}

func (m *model) setZone(leaving bool) {
	if m.zoneLeaving == leaving {
		return
	}
	m.zoneLeaving = leaving
	m.zoneLeftAt = m.now.Now()
	m.configVersion++
}

// step runs one owner once. Messages and commit answers are lost at random unless
// noRandomFaults is set.
func (m *model) step(o *modelOwner) {
	now := m.now.Now()
	if !m.platformDown && (m.noRandomFaults || m.random.IntN(3) == 0) {
		m.configure(o.cell)
	}
	o.cell.Handle(now, Ticked{})
	m.commit(o)
	for _, id := range o.cell.Due(m.now.Now()) {
		m.exchange(o, id)
	}
	o.cell.TakeNotes()
}

// commit makes the owner's events durable if the platform accepts the owner. If the
// configuration has changed since the decisions, it is applied first and the events
// that follow are added to the batch.
func (m *model) commit(o *modelOwner) {
	now := m.now.Now()
	if o.inFlight == nil {
		batch, ok := o.cell.TakeBatch()
		if !ok && now.Sub(o.confirmedAt) < clock.Second {
			return
		}
		o.inFlight = &batch
		o.sent = now
	}
	if m.platformDown || o.epoch != m.epoch && !m.noFence {
		return
	}
	for len(o.inFlight.Events) > 0 && o.inFlight.Version != m.configVersion {
		m.configure(o.cell)
		added, version := o.cell.Extend()
		o.inFlight.Events = append(o.inFlight.Events, added...)
		o.inFlight.Version = version
		o.sent = now
	}
	m.durableEvents = append(m.durableEvents, o.inFlight.Events...)
	m.recordFinished(o.inFlight.Events)
	m.leaseRenewedAt = now
	if !m.noRandomFaults && m.random.IntN(10) == 0 || m.loseCommit {
		m.loseCommit = false
		// The answer is lost. The retry finds the write already applied.
		o.inFlight.Events = nil
		return
	}
	o.confirmedAt = o.sent
	o.cell.Handle(now, Committed{Seq: o.inFlight.Seq, Sent: o.sent})
	o.inFlight = nil
}

func (m *model) recordFinished(events []Stamped) {
	for _, s := range events {
		if ev, ok := s.Event.(TaskEnded); ok {
			m.finished[ev.Task.String()] = m.now.Now()
		}
	}
}

func (m *model) exchange(o *modelOwner, id string) {
	now := m.now.Now()
	request, ok := o.cell.Plan(now, id)
	if !ok {
		return
	}
	if m.noFence {
		request.Epoch = 1
	}
	outcome := m.random.IntN(20)
	if m.noRandomFaults {
		outcome = 19
	}
	if m.delayNext[id] {
		m.delayNext[id] = false
		outcome = 1
	}
	if o.cut[id] || outcome == 0 {
		o.cell.Handle(now, Unanswered{Worker: id})
		return
	}
	if outcome == 1 {
		m.delayed = append(m.delayed, delayedRequest{worker: id, request: request})
		o.cell.Handle(now, Unanswered{Worker: id})
		return
	}
	answer, err := m.workers[id].Exchange(request)
	if err != nil || outcome == 2 {
		o.cell.Handle(now, Unanswered{Worker: id})
		return
	}
	o.cell.Handle(now, Answered{Worker: id, Answer: answer, Received: now})
}

func (m *model) deliverDelayed() {
	if len(m.delayed) == 0 {
		return
	}
	at := m.random.IntN(len(m.delayed))
	h := m.delayed[at]
	m.delayed = append(m.delayed[:at], m.delayed[at+1:]...)
	if _, err := m.workers[h.worker].Exchange(h.request); err != nil {
		return
	}
}

func (m *model) submit(o *modelOwner, work string) {
	m.jobs++
	o.cell.Handle(m.now.Now(), Submitted{Job: document.Job{
		ID:      fmt.Sprintf("job%d", m.jobs),
		Class:   "run",
		Team:    "team",
		Tasks:   1 + m.random.IntN(3),
		Size:    document.Size{Processors: 1 + m.random.IntN(3), Memory: 500},
		RunTime: "5s",
		Payload: "work=" + work,
	}})
}

// runs returns the attempts of all workers by task, sorted by start time.
func (m *model) runs() map[string][]standin.Run {
	byTask := map[string][]standin.Run{}
	for _, w := range m.workers {
		for _, r := range w.Record().Runs {
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
	for _, runs := range byTask {
		sort.Slice(runs, func(i, j int) bool { return m.startTime(runs[i]) < m.startTime(runs[j]) })
	}
	return byTask
}

// checkInvariants returns a description of a violated invariant, or "".
func (m *model) checkInvariants() string {
	for id, w := range m.workers {
		record := w.Record()
		if record.Overfull > 0 || len(record.Doubled) > 0 {
			return fmt.Sprintf("%s: overfull %d, doubled %v", id, record.Overfull, record.Doubled)
		}
	}
	for task, runs := range m.runs() {
		if violation := m.checkRuns(task, runs); violation != "" {
			return violation
		}
	}
	return ""
}

// clockSlack is the tolerance when times of clocks with different rates are
// compared over the length of a test.
const clockSlack = 20 * clock.Millisecond

func (m *model) checkRuns(task string, runs []standin.Run) string {
	for i, r := range runs {
		start := m.startTime(r)
		if i > 0 {
			last := runs[i-1]
			if last.End == 0 || m.trueTime(last.Worker, last.End) > start.Add(clockSlack) {
				return fmt.Sprintf("task %s ran twice at once: %+v and %+v", task, last, r)
			}
		}
		if ended, ok := m.finished[task]; ok && start > ended.Add(clockSlack) {
			return fmt.Sprintf("task %s was started at %d after it ended at %d", task, start, ended)
		}
		late := m.zoneLeftAt.Add(leaser.StartWindow + clockSlack)
		if m.zoneLeaving && start > late {
			return fmt.Sprintf("task %s started at %d, the zone left at %d", task, start, m.zoneLeftAt)
		}
	}
	return ""
}

// trueTime converts a reading of a worker's clock, without the clock's offset, to
// the time of the model.
func (m *model) trueTime(id string, at clock.Time) clock.Time {
	permille := clock.Time(id[1]-'0')*4 - 4
	return modelStart + (at-modelStart)*1000/(1000+permille)
}

func (m *model) startTime(r standin.Run) clock.Time { return m.trueTime(r.Worker, r.Start) }
