package demonstrator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"marjoramstack/internal/platform"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
)

func (h *history) playFault(t *testing.T, d *datadriven.TestData) string {
	site := h.town.Site
	switch d.Cmd {
	case "endpoint":
		site.Endpoints[text(d, "id")].SetFaults(standin.EndpointFaults{
			Silent:   d.HasArg("silent"),
			Reset:    d.HasArg("reset"),
			Truncate: d.HasArg("truncate"),
			FailAll:  d.HasArg("fail-all"),
			Leaving:  d.HasArg("leaving"),
			Slowdown: number(d, "slow", 0),
		})
	case "silence":
		if site.Links[text(d, "id")].SilenceOpen() == 0 {
			return "no open connection\n"
		}
	case "platform":
		site.Platform.SetFaults(platform.Faults{
			Down:        d.HasArg("down"),
			Slow:        clock.Span(number(d, "slow", 0)),
			LoseAnswers: number(d, "lose", 0),
			FreezeFleet: d.HasArg("freeze"),
		})
	case "cut", "heal":
		site.PlatformLinks[text(d, "zone")].SetFaults(standin.LinkFaults{Cut: d.Cmd == "cut"})
	case "stop":
		h.town.Entries[number(d, "entry", 1)-1].Stop()
	case "kill":
		h.town.Entries[number(d, "entry", 1)-1].Kill()
	case "unplug":
		site.Links[text(d, "id")].Close()
	case "slots":
		return h.slots()
	case "mark":
		h.mark = len(site.Endpoints[text(d, "id")].Record().Served)
	case "unmoved":
		if n := len(site.Endpoints[text(d, "id")].Record().Served); n != h.mark {
			return fmt.Sprintf("%d new requests\n", n-h.mark)
		}
		return "unmoved\n"
	case "holds":
		if faults := append(site.Violations(), h.lateStarts()...); len(faults) > 0 {
			return strings.Join(faults, "\n") + "\n"
		}
		return "holds\n"
	}
	return ""
}

// startsWithin is how long after a zone was taken out a task may still start
// in it.
const startsWithin = 3 * clock.Second

// lateStarts returns the tasks that workers started in a zone that had left.
func (h *history) lateStarts() []string {
	var faults []string
	for zone, span := range h.left {
		for id, w := range h.town.Site.Workers {
			for _, r := range w.Record().Runs {
				late := r.Start.After(span.from.Add(startsWithin)) && (span.to == 0 || r.Start.Before(span.to))
				if strings.HasPrefix(id, zone+"-") && late {
					faults = append(faults, fmt.Sprintf("task %s started on %s %s after the zone left", r.Task, id, r.Start.Sub(span.from)))
				}
			}
		}
	}
	return faults
}

// absence is the time for which a zone was out; to is 0 while it is.
type absence struct {
	from clock.Time
	to   clock.Time
}

func (h *history) noteZone(path string) {
	parts := strings.Split(path, "/")
	if len(parts) != 5 || parts[2] != "zones" {
		return
	}
	now := clock.NewWall().Now()
	if parts[4] == "leave" {
		h.left[parts[3]] = absence{from: now}
		return
	}
	h.left[parts[3]] = absence{from: h.left[parts[3]].from, to: now}
}

func (h *history) slots() string {
	for id, e := range h.town.Site.Endpoints {
		if r := e.Record(); r.Most > r.Slots {
			return fmt.Sprintf("%s worked on %d at once, it has %d slots\n", id, r.Most, r.Slots)
		}
	}
	return "within\n"
}
