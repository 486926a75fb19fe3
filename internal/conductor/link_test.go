package conductor

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"marjoramstack/internal/planner"
	"marjoramstack/pkg/clock"
)

// okHandler answers every request with 200.
type okHandler struct{}

func (okHandler) ServeHTTP(http.ResponseWriter, *http.Request) {}

// fakeLink simulates one worker in memory.
type fakeLink struct {
	mu         sync.Mutex
	epoch      uint64
	startCount int
	lastNumber uint64
	running    map[planner.TaskID]int
	ended      []planner.Ended
}

func (l *fakeLink) workerTime() clock.Time {
	return clock.Time(time.Now().UnixMilli() - 1_700_000_000_000)
}

func (l *fakeLink) checkFenced(epoch uint64) bool {
	if epoch < l.epoch {
		return true
	}
	l.epoch = epoch
	return false
}

func (l *fakeLink) Start(_ context.Context, start planner.Start, epoch uint64) (planner.Outcome, clock.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.checkFenced(epoch) {
		return planner.OutcomeFenced, l.workerTime()
	}
	l.startCount++
	l.running[start.Task] = start.Attempt
	return planner.OutcomeTaken, l.workerTime()
}

func (l *fakeLink) Stop(_ context.Context, stop planner.Stop, epoch uint64) (planner.Outcome, clock.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.checkFenced(epoch) {
		return planner.OutcomeFenced, l.workerTime()
	}
	if _, ok := l.running[stop.Task]; ok {
		l.end(stop.Task, planner.EndStopped)
	}
	return planner.OutcomeTaken, l.workerTime()
}

func (l *fakeLink) Throttle(context.Context, planner.Throttle, uint64) planner.Outcome {
	return planner.OutcomeTaken
}

func (l *fakeLink) Renew(ctx context.Context, renew planner.Renew, epoch uint64) (planner.Report, planner.Outcome) {
	select {
	case <-time.After(min(renew.Wait, 50).Duration()):
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.checkFenced(epoch) {
		return planner.Report{}, planner.OutcomeFenced
	}
	report := planner.Report{Incarnation: 1, WorkerTime: l.workerTime()}
	for task, attempt := range l.running {
		report.Running = append(report.Running, planner.Running{Task: task, Attempt: attempt})
	}
	for _, e := range l.ended {
		if e.Number > renew.Acked {
			report.Ended = append(report.Ended, e)
		}
	}
	return report, planner.OutcomeTaken
}

func (l *fakeLink) end(task planner.TaskID, how planner.End) {
	l.lastNumber++
	l.ended = append(l.ended, planner.Ended{Number: l.lastNumber, Task: task, Attempt: l.running[task], How: how})
	delete(l.running, task)
}

// finish ends all running tasks as done.
func (l *fakeLink) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task := range l.running {
		l.end(task, planner.EndDone)
	}
}

func (l *fakeLink) starts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startCount
}

func (l *fakeLink) awaitStarts(t *testing.T, want int) {
	t.Helper()
	for range 200 {
		if l.starts() == want {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("%d starts, expected %d", l.starts(), want)
}
