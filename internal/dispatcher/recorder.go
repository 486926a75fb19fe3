package dispatcher

import (
	"context"
	"log/slog"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"marjoramstack/internal/router"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/result"
)

// workerPressure compares the latency of the requests at the endpoints of one worker
// with their targets. permille is a moving average of latency as a share of the
// target, in thousandths, that rises fast with slow answers and falls slowly. answers
// counts the answers since the last TakePressure.
type workerPressure struct {
	permille float64
	answers  int
}

// Weights of a new sample in the moving average of the pressure, for a sample above
// and below the average.
const (
	pressureRiseWeight = 0.2
	pressureFallWeight = 0.02
)

// recordPressure updates the pressure of the endpoint's worker with the span for
// which a request held a slot.
func (d *Dispatcher) recordPressure(dec router.Dispatch, span clock.Span) {
	target := dec.Request.Deadline.Sub(dec.Request.Arrived)
	if target <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	worker := d.endpoints[dec.Endpoint].Worker
	if worker == "" {
		return
	}
	p := d.pressure[worker]
	if p == nil {
		p = &workerPressure{}
		d.pressure[worker] = p
	}
	share := 1000 * float64(span) / float64(target)
	weight := pressureFallWeight
	if share > p.permille {
		weight = pressureRiseWeight
	}
	p.permille += weight * (share - p.permille)
	p.answers++
}

// Pressure is the average latency at the endpoints hosted on a worker, in
// thousandths of the latency target.
type Pressure struct {
	Worker   string
	Permille int
}

// TakePressure returns the pressure of each worker whose endpoints have answered
// since the last call, sorted by worker.
func (d *Dispatcher) TakePressure() []Pressure {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Pressure
	for worker, p := range d.pressure {
		if p.answers == 0 {
			continue
		}
		p.answers = 0
		list = append(list, Pressure{
			Worker:   worker,
			Permille: int(p.permille),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Worker < list[j].Worker })
	return list
}

// digest returns a hash of the content of an order, by which a reused key is
// detected.
func digest(req Request) string {
	h := xxhash.New()
	for _, part := range []string{req.Class, req.Method, req.Path} {
		h.WriteString(part)
		h.WriteString("\x00")
	}
	h.Write(req.Body)
	return strconv.FormatUint(h.Sum64(), 16)
}

func (d *Dispatcher) recordMetrics(req Request, reply Reply, span clock.Span) {
	if d.opts.Scope == nil {
		return
	}
	scope := d.opts.Scope.Tagged(map[string]string{
		"class": req.Class,
		"code":  reply.Code.String(),
	})
	scope.Counter("requests").Inc(1)
	scope.Timer("answer").Record(span.Duration())
}

func (d *Dispatcher) logDispatch(dec router.Dispatch) {
	d.opts.Log.LogAttrs(context.Background(), slog.LevelInfo, "route",
		slog.String("order", dec.Request.ID),
		slog.String("class", dec.Request.Class),
		slog.String("endpoint", dec.Endpoint),
		slog.String("second", dec.Second),
		slog.Int64("predicted-ms", int64(dec.Predicted)),
		slog.String("reason", dec.Reason))
}

func (d *Dispatcher) logForward(dec router.Forward) {
	d.opts.Log.LogAttrs(context.Background(), slog.LevelInfo, "route",
		slog.String("order", dec.Request.ID),
		slog.String("class", dec.Request.Class),
		slog.String("peer", dec.Peer),
		slog.Int64("predicted-ms", int64(dec.Predicted)),
		slog.String("reason", dec.Reason))
}

func (d *Dispatcher) logRefusal(req Request, code result.Code, reason string) {
	d.opts.Log.LogAttrs(context.Background(), slog.LevelInfo, "refuse",
		slog.String("order", req.ID),
		slog.String("class", req.Class),
		slog.String("code", code.String()),
		slog.String("reason", reason))
}
