package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"syscall"
	"time"
)

// playable is a case: the rule that it holds the system to, and what happens.
type playable struct {
	rule     string
	leaseMax time.Duration
	play     func(*world) error
}

var cases = map[string]*playable{
	"failed-for-room": {rule: "LOST", leaseMax: 6 * time.Second, play: playFailedForRoom},
	"start-in-doubt":  {rule: "LOST", leaseMax: 6 * time.Second, play: playStartInDoubt},
	"many-times":      {rule: "LOST", leaseMax: 6 * time.Second, play: playManyTimes},
	"slow-advice":     {rule: "LOST", leaseMax: 6 * time.Second, play: playSlowAdvice},
	"earlier-born":    {rule: "LOST", leaseMax: 6 * time.Second, play: playEarlierBorn},
	"other-kind":      {rule: "ROUTE", leaseMax: 6 * time.Second, play: playOtherKind},
}

// Bounds of the small sites.
const (
	holdMax       = 6 * time.Second
	recovery      = 12 * time.Second
	finish        = 14 * time.Second
	memoryLimitMB = 284
	restartDelay  = 500 * time.Millisecond
	// idleBound is how long a job may have nothing running while a task's turn has come and
	// there is room for it.
	idleBound = 3 * time.Second
	// entryLag is how long after its start an executor's entry appears.
	entryLag = 800 * time.Millisecond
	// entryExpiry is after how long a silence the store removes an executor's entry.
	entryExpiry = 3 * heartbeat
)

var errNoOwner = errors.New("no VM owns the cell")

func jobName(number int) string { return fmt.Sprintf("%016x", number) }

func rackName(number int) string { return fmt.Sprintf("r%d", number) }

// begin starts the VMs and waits for an owner.
func (w *world) begin() error {
	if err := w.startVMs(); err != nil {
		return err
	}
	if w.owner(10*time.Second) == nil {
		return errNoOwner
	}
	time.Sleep(2 * time.Second)
	return nil
}

// usedShare returns the share of the executors' processors that is in use.
func (w *world) usedShare() float64 {
	used, capacity := 0, 0
	for _, e := range w.executors {
		_, u := e.load()
		used += u.CPU
		capacity += e.capacity.CPU
	}
	return float64(used) / float64(capacity)
}

const (
	chainSteps  = 6
	chainWidth  = 2
	chainTaskMs = 1000
	chainCPU    = 1000
)

// submitChain hands in a job of short steps, one after the other, and watches that it
// never has nothing running for longer than idleBound.
func (w *world) submitChain(id string) error {
	var steps []step
	var p program
	for i := range chainSteps {
		s := step{
			Count:      chainWidth,
			CPU:        chainCPU,
			MemMb:      256,
			EstimateMs: chainTaskMs,
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
		p.Ms = append(p.Ms, chainTaskMs)
		p.Size = append(p.Size, size{
			CPU: chainCPU,
			Mem: 256,
		})
	}
	if err := w.client.submit(id, steps, p, 5*time.Second); err != nil {
		return err
	}
	go w.watchChain(id)
	return nil
}

func (w *world) watchChain(id string) {
	idleSince := time.Now()
	for {
		time.Sleep(50 * time.Millisecond)
		done, running := w.judge.progressOf(id)
		if done == chainSteps*chainWidth {
			return
		}
		if running > 0 || w.usedShare() >= 0.5 {
			idleSince = time.Now()
			continue
		}
		if idle := time.Since(idleSince); idle > idleBound {
			w.judge.failed("LOST", "job %s, of which %d of %d tasks are done, has had nothing running for %.1f s; %.0f%% of the processors are in use",
				id, done, chainSteps*chainWidth, idle.Seconds(), 100*w.usedShare())
			idleSince = time.Now()
		}
	}
}

// playFailedForRoom loses the only executor with an accelerator for good, restarts the owner of
// the cell as planned work, and adds a replacement. A job that needs the accelerator must be
// carried out there.
func playFailedForRoom(w *world) error {
	const (
		executors = 16
		perRack   = 8
		jobID     = "00000000000000ac"
	)
	plain := size{
		CPU: 64000,
		Mem: 256000,
	}
	accelerated := size{
		CPU: 64000,
		Mem: 256000,
		GPU: 4,
	}
	for i := range executors - 1 {
		if _, err := w.addExecutor(fmt.Sprintf("x-%02d", i), zones[i%len(zones)], "a", rackName(i/perRack), plain, holdMax); err != nil {
			return err
		}
	}
	lost, err := w.addExecutor("x-gpu-1", zones[0], "a", "r1", accelerated, holdMax)
	if err != nil {
		return err
	}
	if err := w.begin(); err != nil {
		return err
	}
	steps := []step{{Count: 1, CPU: 4000, MemMb: 1000, GPU: 1, EstimateMs: 2000}}
	p := program{
		Ms:   []int{2000},
		Size: []size{{CPU: 4000, Mem: 1000, GPU: 1}},
	}
	if err := w.client.submit("00000000000000ab", steps, p, 5*time.Second); err != nil {
		return err
	}
	if state := w.client.await("00000000000000ab", 10*time.Second, "completed"); state != "completed" {
		return fmt.Errorf("the first job is %q", state)
	}
	if w.trouble {
		lost.crash()
		time.Sleep(entryExpiry)
		w.store.remove("servers", lost.id)
		w.rec.log("store", "removes the entry of %s", lost.id)
		time.Sleep(4 * time.Second)
	}
	owner := w.owner(5 * time.Second)
	if owner == nil {
		return errNoOwner
	}
	if err := w.client.submit(jobID, steps, p, 5*time.Second); err != nil {
		return err
	}
	owner.signal(syscall.SIGTERM)
	owner.wait(6 * time.Second)
	if err := owner.start(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		if _, err := w.addExecutor("x-gpu-2", zones[0], "a", "r1", accelerated, holdMax); err != nil {
			return err
		}
	}
	state := w.client.await(jobID, finish, "completed", "failed")
	if state == "failed" {
		w.judge.failed("LOST", "job %s is shown as failed, though none of its runs ended as failed; %d began", jobID, w.judge.begunOf(jobID))
	} else if state != "completed" {
		w.judge.failed("LOST", "job %s is %q", jobID, state)
	}
	return nil
}

// playOtherKind lets an executor crash and start again under its id as one of another kind.
// Tasks that only run on its earlier kind must not be started there.
func playOtherKind(w *world) error {
	const (
		executors = 16
		perRack   = 8
		special   = "b"
		downtime  = 1 * time.Second
		taskMs    = 60000
		tasks     = 8
	)
	capacity := size{
		CPU: 64000,
		Mem: 256000,
	}
	for i := range executors - 2 {
		if _, err := w.addExecutor(fmt.Sprintf("x-%02d", i), zones[i%len(zones)], "a", rackName(i/perRack), capacity, holdMax); err != nil {
			return err
		}
	}
	changed, err := w.addExecutor("x-b-1", zones[0], special, "r1", capacity, holdMax)
	if err != nil {
		return err
	}
	if _, err := w.addExecutor("x-b-2", zones[1], special, "r1", capacity, holdMax); err != nil {
		return err
	}
	if err := w.begin(); err != nil {
		return err
	}
	// The two executors of the special kind are full.
	steps := []step{{Count: tasks, CPU: 16000, MemMb: 1000, EstimateMs: taskMs, Constraints: special}}
	p := program{
		Ms:    []int{taskMs},
		Size:  []size{{CPU: 16000, Mem: 1000}},
		Label: special,
	}
	if err := w.client.submit("00000000000000ad", steps, p, 5*time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if n := w.judge.begunOf("00000000000000ad"); n != tasks {
		return fmt.Errorf("%d of %d tasks run", n, tasks)
	}
	changed.crash()
	time.Sleep(downtime)
	if w.trouble {
		changed.mu.Lock()
		changed.kind = "a"
		changed.capacity = size{
			CPU: 32000,
			Mem: 128000,
		}
		changed.mu.Unlock()
	}
	if err := changed.start(entryLag); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	return nil
}

// playManyTimes hands in jobs that run once a second for a day. The platform kills a process that
// exceeds its memory limit, and starts it again.
func playManyTimes(w *world) error {
	const (
		executors = 9
		perRack   = 3
		timedJobs = 8
		everyMs   = 1000
		manyTimes = 24 * 60 * 60 // once a second for a day
		fewTimes  = 8            // as in the sites
		taskMs    = 200
		chains    = 4
	)
	for i := range executors {
		if _, err := w.addExecutor(fmt.Sprintf("x-%02d", i), zones[i/perRack], "a", rackName(i/perRack), size{
			CPU: 64000,
			Mem: 256000,
		}, holdMax); err != nil {
			return err
		}
	}
	if err := w.begin(); err != nil {
		return err
	}
	for _, v := range w.vms {
		go w.limitMemory(v)
	}
	times := fewTimes
	if w.trouble {
		times = manyTimes
	}
	spec, err := json.Marshal(program{
		Ms:   []int{taskMs},
		Size: []size{{CPU: 1000, Mem: 100}},
	})
	if err != nil {
		return err
	}
	for i := range timedJobs {
		job := map[string]any{
			"spec":      string(spec),
			"steps":     []step{{Count: 1, CPU: 1000, MemMb: 100, EstimateMs: taskMs}},
			"times":     times,
			"startAtMs": time.Now().Add(time.Second).UnixMilli(),
			"periodMs":  everyMs,
		}
		if err := w.client.submitBody(jobName(0xd00+i), job, 5*time.Second); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(recovery)
	for i := range chains {
		if err := w.submitChain(jobName(0xc00 + i)); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	time.Sleep(finish)
	for i := range chains {
		id := jobName(0xc00 + i)
		state := w.client.state(id)
		done, _ := w.judge.progressOf(id)
		w.rec.log("case", "job %s is %q; %d of its %d tasks are done", id, state, done, chainSteps*chainWidth)
	}
	w.judgeOwnEnds()
	return nil
}

// limitMemory kills the process of a VM while it exceeds its memory limit, and starts it again.
func (w *world) limitMemory(v *vm) {
	for !w.closing.Load() {
		time.Sleep(50 * time.Millisecond)
		if used := v.residentMB(); used > memoryLimitMB {
			w.rec.log("platform", "%s uses %d MB of %d: it is killed", v.name, used, memoryLimitMB)
			v.ownEnds++
			v.signal(syscall.SIGKILL)
			v.wait(time.Second)
			time.Sleep(restartDelay)
			if w.closing.Load() {
				return
			}
			if err := v.start(); err != nil {
				w.rec.log("platform", "%s: %v", v.name, err)
				return
			}
		}
	}
}

// judgeOwnEnds holds the system to the rule that on less than a tenth of the machines, two at
// least, processes end by themselves three times.
func (w *world) judgeOwnEnds() {
	bad := 0
	for _, v := range w.vms {
		w.rec.log("case", "%s has exceeded its memory limit %d times", v.name, v.ownEnds)
		if v.ownEnds >= 3 {
			bad++
		}
	}
	if bad >= 2 {
		w.judge.failed("FAULT", "on %d of %d machines the process ended by itself three times", bad, len(w.vms))
	}
}

// playSlowAdvice adds a route on which the adviser takes longer for each executor that it is asked
// about. Its jobs must be carried out like those of the other route.
func playSlowAdvice(w *world) error {
	const (
		executors   = 120
		perRack     = 8
		decide      = 200 * time.Millisecond
		fast        = 5 * time.Millisecond
		slow        = 20 * time.Millisecond
		valid       = 3 * time.Second
		width       = 24
		taskMs      = 1000
		jobs        = 3
		bound       = 15 * time.Second
		addedPrefix = "/trials/"
	)
	w.adviser = newAdviser(w.rec, w, decide, valid)
	for _, v := range w.vms {
		address, err := w.adviser.listen()
		if err != nil {
			return err
		}
		v.env = append(v.env, "MARJORAM_ADVICE_ADDRESS="+address)
	}
	for i := range executors {
		if _, err := w.addExecutor(fmt.Sprintf("x-%03d", i), zones[i%len(zones)], "a", rackName(i/perRack), size{
			CPU: 64000,
			Mem: 256000,
		}, holdMax); err != nil {
			return err
		}
	}
	advice := func(each time.Duration) map[string]any {
		return map[string]any{"decideMs": decide.Milliseconds(), "eachMs": each.Milliseconds(), "validMs": valid.Milliseconds()}
	}
	first := route{
		name:   "cure-trial",
		prefix: routePrefix,
		advice: advice(fast),
	}
	w.configure(firstVersion+2, first)
	if err := w.begin(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	steps := []step{{Count: width, CPU: 1000, MemMb: 256, EstimateMs: taskMs}}
	p := program{
		Ms:      []int{taskMs},
		Size:    []size{{CPU: 1000, Mem: 256}},
		Advised: true,
	}
	w.adviser.expect(jobName(0xe00), fast)
	if err := w.client.submit(jobName(0xe00), steps, p, 5*time.Second); err != nil {
		return err
	}
	if state := w.client.await(jobName(0xe00), bound, "completed"); state != "completed" {
		return fmt.Errorf("the first job is %q", state)
	}
	c, each := w.client, fast
	if w.trouble {
		w.configure(firstVersion+6, first, route{
			name:   "slow-trial",
			prefix: addedPrefix,
			advice: advice(slow),
		})
		c, each = newClient(w.rec, w.vms, routeHost, addedPrefix), slow
	}
	time.Sleep(4 * time.Second)
	for i := range jobs {
		w.adviser.expect(jobName(0xe10+i), each)
		if err := c.submit(jobName(0xe10+i), steps, p, 5*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(bound)
	for i := range jobs {
		id := jobName(0xe10 + i)
		if begun := w.judge.begunOf(id); begun == 0 {
			w.judge.failed("LOST", "job %s is %q, and nothing of it has run for %v; %.0f%% of the processors are in use", id, c.state(id), bound, 100*w.usedShare())
		}
	}
	w.rec.log("case", "the adviser handled %d calls; the callers of %d had left", w.adviser.answered, w.adviser.left)
	return nil
}

// playEarlierBorn lets an executor go down and up in turn while its time of day is ahead for a
// while, so that it says of its last life that it was born before the one before. Jobs that only
// it can run must still be carried out.
func playEarlierBorn(w *world) error {
	const (
		executors = 16
		perRack   = 8
		special   = "b"
		jump      = 2 * time.Second
		flapPhase = 700 * time.Millisecond // down and up again every 1.4 s
		taskMs    = 1000
		jobs      = 3
		bound     = 20 * time.Second
	)
	capacity := size{
		CPU: 64000,
		Mem: 256000,
	}
	for i := range executors - 1 {
		if _, err := w.addExecutor(fmt.Sprintf("x-%02d", i), zones[i%len(zones)], "a", rackName(i/perRack), capacity, holdMax); err != nil {
			return err
		}
	}
	flapping, err := w.addExecutor("x-b-1", zones[0], special, "r1", capacity, holdMax)
	if err != nil {
		return err
	}
	if err := w.begin(); err != nil {
		return err
	}
	steps := []step{{Count: 2, CPU: 1000, MemMb: 256, EstimateMs: taskMs, Constraints: special}}
	p := program{
		Ms:    []int{taskMs},
		Size:  []size{{CPU: 1000, Mem: 256}},
		Label: special,
	}
	if err := w.client.submit(jobName(0xf00), steps, p, 5*time.Second); err != nil {
		return err
	}
	if state := w.client.await(jobName(0xf00), 10*time.Second, "completed"); state != "completed" {
		return fmt.Errorf("the first job is %q", state)
	}
	if w.trouble {
		flapping.setAhead(jump)
	}
	for range 2 {
		flapping.crash()
		time.Sleep(flapPhase)
		if err := flapping.start(0); err != nil {
			return err
		}
		time.Sleep(flapPhase)
		flapping.setAhead(0)
	}
	before := flapping.calls.Load()
	time.Sleep(3 * time.Second) // contactMs
	for i := range jobs {
		if err := w.client.submit(jobName(0xf10+i), steps, p, 5*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(bound)
	for i := range jobs {
		id := jobName(0xf10 + i)
		if w.judge.begunOf(id) == 0 {
			w.judge.failed("LOST", "job %s is %q, and nothing of it has run for %v; %.0f%% of the processors are in use", id, w.client.state(id), bound, 100*w.usedShare())
		}
	}
	w.rec.log("case", "%s has had %d calls in the last %v", flapping.id, flapping.calls.Load()-before, bound+3*time.Second)
	return nil
}

// playStartInDoubt lets executors leave a share of their orders unanswered, and one of them crash
// and start again under its id. All jobs must be carried out.
func playStartInDoubt(w *world) error {
	const (
		executors = 8
		perRack   = 4
		lateEvery = 17 // a share of 0.059
		jobs      = 250
		jobGap    = 100 * time.Millisecond
		width     = 32
		taskMs    = 400
		crashes   = 3
		firstAt   = 4 * time.Second
		crashGap  = 6 * time.Second
		downtime  = 1 * time.Second
	)
	for i := range executors {
		if _, err := w.addExecutor(fmt.Sprintf("x-%02d", i), zones[i%len(zones)], "a", rackName(i/perRack), size{CPU: 64000, Mem: 256000}, holdMax); err != nil {
			return err
		}
	}
	if err := w.begin(); err != nil {
		return err
	}
	if w.trouble {
		go w.crashInTurn(crashes, firstAt, crashGap, downtime, lateEvery)
	}
	steps := []step{{
		Count:      width,
		CPU:        1000,
		MemMb:      256,
		EstimateMs: taskMs,
	}}
	p := program{
		Ms: []int{taskMs},
		Size: []size{{
			CPU: 1000,
			Mem: 256,
		}},
	}
	for i := range jobs {
		if err := w.client.submit(jobName(0x1000+i), steps, p, 5*time.Second); err != nil {
			return err
		}
		time.Sleep(jobGap)
	}
	time.Sleep(finish)
	for i := range jobs {
		id := jobName(0x1000 + i)
		done, running := w.judge.progressOf(id)
		if done == width {
			continue
		}
		w.judge.failed("LOST", "job %s is %q: %d of %d tasks are done, %d run, %v after the last job was accepted; %.0f%% of the processors are in use",
			id, w.client.state(id), done, width, running, finish, 100*w.usedShare())
	}
	return nil
}

// crashInTurn lets all executors leave orders unanswered for a while before one of them crashes and
// starts again, several times.
func (w *world) crashInTurn(crashes int, firstAt, gap, downtime time.Duration, lateEvery int64) {
	time.Sleep(firstAt)
	for i := range crashes {
		w.setLate(lateEvery)
		time.Sleep(gap / 2)
		e := w.executors[i]
		e.crash()
		w.setLate(0)
		time.Sleep(downtime)
		if err := e.start(entryLag); err != nil {
			w.rec.log("executor "+e.id, "%v", err)
			return
		}
		time.Sleep(gap/2 - downtime)
	}
}

func (w *world) setLate(every int64) {
	for _, e := range w.executors {
		e.lateEvery.Store(every)
	}
}
