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

// pressure is how the requests at the endpoints of one worker do against their
// targets: a share of the target, in thousandths, that rises at once with a
// slow answer and falls slowly.
type pressure struct {
	permille float64
	seen     int
}

const (
	pressureRise = 0.2
	pressureFall = 0.02
)

// press learns from the span that a request held a slot.
func (d *Dispatcher) press(dec router.Dispatch, span clock.Span) {
	target := dec.Request.Deadline.Sub(dec.Request.Arrived)
	if target <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	worker := d.stations[dec.Endpoint].Worker
	if worker == "" {
		return
	}
	p := d.pressure[worker]
	if p == nil {
		p = &pressure{}
		d.pressure[worker] = p
	}
	share := 1000 * float64(span) / float64(target)
	weight := pressureFall
	if share > p.permille {
		weight = pressureRise
	}
	p.permille += weight * (share - p.permille)
	p.seen++
}

// Pressure is how the endpoints hosted on a worker do against their targets.
type Pressure struct {
	Worker   string
	Permille int
}

// TakePressure returns the workers whose endpoints have answered since the last
// call.
func (d *Dispatcher) TakePressure() []Pressure {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Pressure
	for worker, p := range d.pressure {
		if p.seen == 0 {
			continue
		}
		p.seen = 0
		list = append(list, Pressure{
			Worker:   worker,
			Permille: int(p.permille),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Worker < list[j].Worker })
	return list
}

// digest identifies the content of an order.
func digest(req Request) string {
	h := xxhash.New()
	for _, part := range []string{req.Class, req.Method, req.Path} {
		h.WriteString(part)
		h.WriteString("\x00")
	}
	h.Write(req.Body)
	return strconv.FormatUint(h.Sum64(), 16)
}

func (d *Dispatcher) count(req Request, reply Reply, span clock.Span) {
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
