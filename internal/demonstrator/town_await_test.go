package demonstrator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"

	"marjoramstack/internal/ledger"
	"marjoramstack/internal/operator"
)

const awaitWithin = 40 * time.Second

// await waits for a state that must come about.
func (h *history) await(ctx context.Context, d *datadriven.TestData) string {
	held := map[string]func() bool{
		"settled": func() bool {
			var counts ledger.Counts
			return h.alive().Client().Get(ctx, "/v1/orders", &counts) == nil && counts.Claimed == 0
		},
		"finished": func() bool {
			var job operator.Job
			return h.alive().Client().Get(ctx, "/v1/jobs/"+text(d, "finished"), &job) == nil && job.State == "finished"
		},
		"running": func() bool {
			var job operator.Job
			err := h.alive().Client().Get(ctx, "/v1/jobs/"+text(d, "running"), &job)
			return err == nil && job.State == "running" && started(job)
		},
		"empty": func() bool { return h.runningIn(text(d, "empty")) == 0 },
		"version": func() bool {
			return h.everyVersion(ctx, uint64(number(d, "version", 0)))
		},
		"owner": func() bool {
			return h.ownerOf(ctx, text(d, "cell")) == fmt.Sprintf("entry-%d", number(d, "owner", 0))
		},
		"view": func() bool {
			var status operator.Status
			return h.alive().Client().Get(ctx, "/v1/status", &status) == nil && len(status.View) == number(d, "view", 0)
		},
	}
	for name, fn := range held {
		if d.HasArg(name) {
			return errText(Await(ctx, awaitWithin, name, fn))
		}
	}
	return "nothing to wait for\n"
}

// ownerOf returns the name of the entry VM that owns a cell, without its life.
func (h *history) ownerOf(ctx context.Context, cell string) string {
	var status operator.Status
	if h.alive().Client().Get(ctx, "/v1/status", &status) != nil {
		return ""
	}
	for _, l := range status.Cells {
		if l.Cell == cell {
			name, _, _ := strings.Cut(l.Owner, ".")
			return name
		}
	}
	return ""
}

func started(job operator.Job) bool {
	for _, p := range job.Parts {
		for _, place := range p.Running {
			if place.Started {
				return true
			}
		}
	}
	return false
}

func (h *history) runningIn(zone string) int {
	n := 0
	for id, w := range h.town.Site.Workers {
		if !strings.HasPrefix(id, zone+"-") {
			continue
		}
		for _, r := range w.Record().Runs {
			if r.End == 0 {
				n++
			}
		}
	}
	return n
}

func (h *history) everyVersion(ctx context.Context, version uint64) bool {
	for _, r := range h.town.Entries {
		select {
		case <-r.done:
			continue
		default:
		}
		var status operator.Status
		if r.Client().Get(ctx, "/v1/status", &status) != nil || status.Version != version {
			return false
		}
	}
	return true
}
