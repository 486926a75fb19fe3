package measurer

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"marjoramstack/internal/demonstrator"
	"marjoramstack/internal/loader"
	"marjoramstack/internal/operator"
	"marjoramstack/internal/standin"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
)

const townDocument = `schema: marjoram/v1
service: ring-desk
zones: [press, lab, office]
teams:
  - name: compounds
    quota: {processors: 4000, memory-mb: 16000000}
classes:
  - name: quote
    kind: interactive
    answer-by: 300ms
  - name: cure-test
    kind: batch
    finish-by: 6h
`

// newTown starts a town of three zones and brings a document into force.
func newTown(entriesPerZone, workersPerZone, endpointsPerZone int, service clock.Span) (*demonstrator.Town, error) {
	zones := []string{"press", "lab", "office"}
	town, err := demonstrator.NewTown(standin.Layout{
		Zones:            zones,
		WorkersPerZone:   workersPerZone,
		EndpointsPerZone: endpointsPerZone,
		WorkersPerRack:   8,
		Worker:           document.Size{Processors: 64, Memory: 250_000},
		Slots:            8,
		Service:          service,
		Random:           true,
		Lag:              2 * clock.Second,
		Seed:             1,
	}, io.Discard)
	if err != nil {
		return nil, err
	}
	for _, zone := range zones {
		for range entriesPerZone {
			if _, err := town.Start(zone); err != nil {
				return town, err
			}
		}
	}
	ctx, cancel := timeout()
	defer cancel()
	if _, err := town.Apply(ctx, townDocument); err != nil {
		return town, err
	}
	return town, town.AwaitReady(ctx)
}

// spread measures the time from a change to its being in force in every zone.
func spread(out io.Writer) error {
	header(out, "changes/s", "changes", "median ms", "worst ms", "pending")
	for _, rate := range []float64{0.25, 2.5, 10} {
		if err := spreadAt(out, rate); err != nil {
			return err
		}
	}
	return nil
}

func spreadAt(out io.Writer, rate float64) error {
	town, err := newTown(2, 2, 1, 5)
	if town != nil {
		defer town.Close()
	}
	if err != nil {
		return err
	}
	const span = 12 * time.Second
	var took []int64
	pending := 0
	began := time.Now()
	for i := 0; time.Since(began) < span; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		path := "/v1/vms/lab-w0/leave"
		if i%2 == 1 {
			path = "/v1/vms/lab-w0/return"
		}
		var change operator.Change
		if _, err := town.Entries[i%len(town.Entries)].Client().Post(context.Background(), path, struct{}{}, &change); err != nil {
			return fmt.Errorf("change %d: %w", i, err)
		}
		took = append(took, change.TookMs)
		if len(change.Lacking) > 0 {
			pending++
		}
	}
	slices.Sort(took)
	line(out, rate, len(took), took[len(took)/2], took[len(took)-1], pending)
	return nil
}

// idle measures what a town costs that only keeps itself going.
func idle(out io.Writer) error {
	header(out, "entry VMs", "workers", "running", "% core in all", "commits/s", "reads/s", "peer B/s a VM")
	for _, n := range []struct{ entries, workers int }{{1, 4}, {2, 17}, {4, 34}} {
		town, err := newTown(n.entries, n.workers, 1, 5)
		if err != nil {
			return err
		}
		_, err = town.Entries[0].Client().Post(context.Background(), "/v1/jobs", document.Job{
			ID:      "fill",
			Class:   "cure-test",
			Team:    "compounds",
			Tasks:   n.workers * 3 * 10,
			Size:    document.Size{Processors: 1, Memory: 1000},
			RunTime: "1h",
		}, nil)
		if err != nil {
			return err
		}
		time.Sleep(4 * time.Second)
		const span = 8 * time.Second
		before, record, bytes := cpu(), town.Site.Platform.Record(), peerBytes(town)
		time.Sleep(span)
		used, after := cpu()-before, town.Site.Platform.Record()
		beats := float64(peerBytes(town)-bytes) / span.Seconds() / float64(3*n.entries)
		running := 0
		var status operator.Status
		if err := town.Entries[0].Client().Get(context.Background(), "/v1/status", &status); err != nil {
			return err
		}
		for _, c := range status.Cells {
			running += c.Running
		}
		line(out, 3*n.entries, 3*n.workers, running, 100*used.Seconds()/span.Seconds(),
			float64(after.Commits-record.Commits)/span.Seconds(), float64(after.Reads-record.Reads)/span.Seconds(), beats)
		town.Close()
	}
	return nil
}

// peerBytes sums the bytes of heartbeats over the entry VMs.
func peerBytes(town *demonstrator.Town) int64 {
	var sum int64
	for _, r := range town.Entries {
		var status operator.Status
		if r.Client().Get(context.Background(), "/v1/status", &status) == nil {
			sum += status.PeerBytes
		}
	}
	return sum
}

// added measures the latency that an entry VM adds at half load, with open-loop
// requests that take 10 ms at the endpoint.
func added(out io.Writer) error {
	town, err := newTown(1, 0, 8, 10)
	if town != nil {
		defer town.Close()
	}
	if err != nil {
		return err
	}
	var straight []string
	for _, vm := range town.Site.Fleet().VMs {
		if vm.Zone == "press" {
			straight = append(straight, vm.Address)
		}
	}
	header(out, "path", "requests/s", "sent", "p50 ms", "p99 ms")
	for range 2 {
		for _, path := range []struct {
			name      string
			addresses []string
		}{{"straight", straight}, {"entry VM", []string{town.Entries[0].Caller}}} {
			tally := loader.New(loader.Options{
				Callers: path.addresses,
				Trace: loader.Generate(loader.Plan{
					Class: "quote",
					Rate:  8 * 8 * 100 * 0.5,
					Span:  4 * time.Second,
					Seed:  1,
				}),
			}).Run(context.Background())
			hist := tally.Quotes
			if path.name == "straight" {
				hist = tally.Unmarked
			}
			line(out, path.name, float64(tally.Sent)/4, tally.Sent, loader.Quantile(hist, 50), loader.Quantile(hist, 99))
		}
	}
	return nil
}
