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

const awaitTimeout = 40 * time.Second

// await waits until the condition named by the argument holds.
func (h *history) await(ctx context.Context, d *datadriven.TestData) string {
	conditions := map[string]func() bool{
		"settled": func() bool {
			var counts ledger.Counts
			return h.liveEntry().Client().Get(ctx, "/v1/orders", &counts) == nil && counts.Claimed == 0
		},
		"finished": func() bool {
			var job operator.Job
			return h.liveEntry().Client().Get(ctx, "/v1/jobs/"+textArg(d, "finished"), &job) == nil && job.State == "finished"
		},
		"running": func() bool {
			var job operator.Job
			err := h.liveEntry().Client().Get(ctx, "/v1/jobs/"+textArg(d, "running"), &job)
			return err == nil && job.State == "running" && hasStartedTask(job)
		},
		"empty": func() bool { return h.runningTasksIn(textArg(d, "empty")) == 0 },
		"version": func() bool {
			return h.allHaveVersion(ctx, uint64(intArg(d, "version", 0)))
		},
		"owner": func() bool {
			return h.ownerOf(ctx, textArg(d, "cell")) == fmt.Sprintf("entry-%d", intArg(d, "owner", 0))
		},
		"view": func() bool {
			var status operator.Status
			return h.liveEntry().Client().Get(ctx, "/v1/status", &status) == nil && len(status.View) == intArg(d, "view", 0)
		},
	}
	for name, condition := range conditions {
		if d.HasArg(name) {
			return errText(Await(ctx, awaitTimeout, name, condition))
		}
	}
	return "no known condition to wait for\n"
}

// ownerOf returns the name of the entry VM that owns a cell, without the suffix
// that identifies the incarnation of the process.
func (h *history) ownerOf(ctx context.Context, cell string) string {
	var status operator.Status
	if h.liveEntry().Client().Get(ctx, "/v1/status", &status) != nil {
		return ""
	}
	for _, c := range status.Cells {
		if c.Cell == cell {
			name, _, _ := strings.Cut(c.Owner, ".")
			return name
		}
	}
	return ""
}

func hasStartedTask(job operator.Job) bool {
	for _, p := range job.Parts {
		for _, place := range p.Running {
			if place.Started {
				return true
			}
		}
	}
	return false
}

func (h *history) runningTasksIn(zone string) int {
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

func (h *history) allHaveVersion(ctx context.Context, version uint64) bool {
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
