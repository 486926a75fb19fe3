package conductor

import (
	"context"
	"log/slog"

	"marjoramstack/internal/planner"
)

// maxEventAttrs is the number of attributes of an event of the planner.
const maxEventAttrs = 8

// logPlannerEvent writes an event of the planner to the log. Empty texts are left out.
func logPlannerEvent(log *slog.Logger, entry planner.LogEntry, epoch uint64) {
	var buf [maxEventAttrs]slog.Attr
	attrs := buf[:0]
	addText := func(name, text string) {
		if text != "" {
			attrs = append(attrs, slog.String(name, text))
		}
	}
	addText("job", entry.Job)
	addText("task", entry.Task)
	attrs = append(attrs, slog.Int("attempt", entry.Attempt))
	addText("worker", entry.Worker)
	addText("second", entry.Second)
	addText("reason", entry.Reason)
	attrs = append(attrs, slog.Int64("age-ms", int64(entry.Age)), slog.Uint64("epoch", epoch))
	log.LogAttrs(context.Background(), slog.LevelInfo, entry.Event, attrs...)
}
