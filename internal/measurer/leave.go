package measurer

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"marjoramstack/internal/demonstrator"
	"marjoramstack/internal/operator"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

// leave takes a zone out while tasks start in it all the time, and measures how
// long after the command was given the last one starts there.
func leave(out io.Writer) error {
	const trials = 3
	header(out, "trial", "accepted ms", "last start ms", "starts after", "in 2 s before")
	town, err := newTown(1, 8, 1, 5)
	if town != nil {
		defer town.Close()
	}
	if err != nil {
		return err
	}
	for trial := range trials {
		if err := leaveOnce(out, town, trial); err != nil {
			return err
		}
	}
	return nil
}

func leaveOnce(out io.Writer, town *demonstrator.Town, trial int) error {
	ctx := context.Background()
	client := town.Entries[0].Client()
	var jobs []string
	for i := range 3 {
		id := fmt.Sprintf("flow-%d-%d", trial, i)
		jobs = append(jobs, id)
		_, err := client.Post(ctx, "/v1/jobs", document.Job{
			ID:      id,
			Class:   "cure-test",
			Team:    "compounds",
			Tasks:   8000,
			Size:    document.Size{Processors: 1, Memory: 1000},
			RunTime: "1s",
		}, nil)
		if err != nil {
			return err
		}
		// The next job goes to another cell once this one's load is known.
		time.Sleep(2 * time.Second)
	}
	began := clock.NewWall().Now()
	if _, err := client.Post(ctx, "/v1/zones/press/leave", struct{}{}, nil); err != nil {
		return err
	}
	accepted := clock.NewWall().Now().Sub(began)
	time.Sleep(4 * time.Second)
	last, after := lastStart(town, "press-", began)
	_, before := lastStart(town, "press-", began.Add(-2*clock.Second))
	line(out, trial+1, int64(accepted), int64(last), after, before-after)
	if _, err := client.Post(ctx, "/v1/zones/press/return", struct{}{}, nil); err != nil {
		return err
	}
	_, err := client.Post(ctx, "/v1/jobs/cancel", operator.CancelRequest{Jobs: jobs}, nil)
	time.Sleep(2 * time.Second)
	return err
}

// lastStart returns how long after a time the last task started on the workers
// of a zone, and how many did.
func lastStart(town *demonstrator.Town, prefix string, from clock.Time) (clock.Span, int) {
	var last clock.Span
	after := 0
	for id, w := range town.Site.Workers {
		if !strings.HasPrefix(id, prefix) {
			continue
		}
		for _, r := range w.Record().Runs {
			if r.Start.After(from) {
				after++
				last = max(last, r.Start.Sub(from))
			}
		}
	}
	return last, after
}
