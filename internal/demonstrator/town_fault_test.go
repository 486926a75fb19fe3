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

func (h *history) runFaultCommand(t *testing.T, d *datadriven.TestData) string {
	site := h.town.Site
	switch d.Cmd {
	case "endpoint":
		site.Endpoints[textArg(d, "id")].SetFaults(standin.EndpointFaults{
			Silent:   d.HasArg("silent"),
			Reset:    d.HasArg("reset"),
			Truncate: d.HasArg("truncate"),
			FailAll:  d.HasArg("fail-all"),
			Leaving:  d.HasArg("leaving"),
			Slowdown: intArg(d, "slow", 0),
		})
	case "silence":
		if site.Links[textArg(d, "id")].SilenceOpen() == 0 {
			return "no open connection\n"
		}
	case "platform":
		site.Platform.SetFaults(platform.Faults{
			Down:        d.HasArg("down"),
			Slow:        clock.Span(intArg(d, "slow", 0)),
			LoseAnswers: intArg(d, "lose", 0),
			FreezeFleet: d.HasArg("freeze"),
		})
	case "cut", "heal":
		site.PlatformLinks[textArg(d, "zone")].SetFaults(standin.LinkFaults{Cut: d.Cmd == "cut"})
	case "stop":
		h.town.Entries[intArg(d, "entry", 1)-1].Stop()
	case "kill":
		h.town.Entries[intArg(d, "entry", 1)-1].Kill()
	case "unplug":
		site.Links[textArg(d, "id")].Close()
	case "slots":
		return h.checkSlots()
	case "mark":
		h.servedMark = len(site.Endpoints[textArg(d, "id")].Record().Served)
	case "unmoved":
		if n := len(site.Endpoints[textArg(d, "id")].Record().Served); n != h.servedMark {
			return fmt.Sprintf("%d new requests\n", n-h.servedMark)
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

// lateStartGrace is how long after a zone was taken out of service a task may
// still start in it.
const lateStartGrace = 3 * clock.Second

// lateStarts describes the tasks that started in a zone that was out of service.
func (h *history) lateStarts() []string {
	var faults []string
	for zone, gone := range h.absences {
		for id, w := range h.town.Site.Workers {
			for _, r := range w.Record().Runs {
				late := r.Start.After(gone.from.Add(lateStartGrace)) && (gone.to == 0 || r.Start.Before(gone.to))
				if strings.HasPrefix(id, zone+"-") && late {
					faults = append(faults, fmt.Sprintf("task %s started on %s %s after the zone left", r.Task, id, r.Start.Sub(gone.from)))
				}
			}
		}
	}
	return faults
}

// absence is the period for which a zone was out of service; to is 0 while it
// still is.
type absence struct {
	from clock.Time
	to   clock.Time
}

func (h *history) recordZoneChange(path string) {
	parts := strings.Split(path, "/")
	if len(parts) != 5 || parts[2] != "zones" {
		return
	}
	now := clock.NewWall().Now()
	if parts[4] == "leave" {
		h.absences[parts[3]] = absence{from: now}
		return
	}
	h.absences[parts[3]] = absence{from: h.absences[parts[3]].from, to: now}
}

func (h *history) checkSlots() string {
	for id, e := range h.town.Site.Endpoints {
		if r := e.Record(); r.Most > r.Slots {
			return fmt.Sprintf("%s worked on %d requests at once, but has %d slots\n", id, r.Most, r.Slots)
		}
	}
	return "within\n"
}
