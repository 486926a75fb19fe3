package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/loader"
	"marjoramstack/internal/settings"
	"marjoramstack/internal/standin"
	"marjoramstack/internal/tracer"
	"marjoramstack/pkg/result"
)

const maxRate = 100_000

func init() {
	register(&cli.Command{
		Name:  "generate",
		Usage: "write a trace of open-loop load to standard output",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "class", Usage: "interactive class", Value: "quote"},
			&cli.IntFlag{Name: "rate", Usage: "requests per second", Value: 100},
			&cli.DurationFlag{Name: "span", Usage: "length of the trace", Value: 10 * time.Second},
			&cli.IntFlag{Name: "orders", Usage: "percentage of requests that are orders"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random numbers", Value: 1},
			&cli.StringFlag{Name: "prefix", Usage: "prefix of the orders' keys", Value: "load"},
		},
		Action: generate,
	})
	register(&cli.Command{
		Name:      "replay",
		Usage:     "replay a trace against entry VMs and compare the responses with the endpoints' records",
		ArgsUsage: "TRACE",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "callers", Usage: "caller addresses of entry VMs", Value: []string{"127.0.0.1:7010"}},
			&cli.StringSliceFlag{Name: "endpoints", Usage: "addresses of fake endpoints whose records are compared; no comparison by default"},
		},
		Action: replay,
	})
}

func generate(_ context.Context, cmd *cli.Command) error {
	var check settings.Checker
	check.Range("rate", cmd.Int("rate"), 1, maxRate)
	check.Range("orders", cmd.Int("orders"), 0, 100)
	check.Name("class", cmd.String("class"))
	if err := check.Err(); err != nil {
		return err
	}
	return loader.Generate(loader.Plan{
		Class:      cmd.String("class"),
		Rate:       float64(cmd.Int("rate")),
		Span:       cmd.Duration("span"),
		OrderShare: float64(cmd.Int("orders")) / 100,
		Seed:       cmd.Uint64("seed"),
		Prefix:     cmd.String("prefix"),
	}).Write(cmd.Root().Writer)
}

func replay(ctx context.Context, cmd *cli.Command) error {
	var check settings.Checker
	check.Addresses("callers", cmd.StringSlice("callers"))
	check.Addresses("endpoints", cmd.StringSlice("endpoints"))
	if err := check.Err(); err != nil {
		return err
	}
	if cmd.NArg() != 1 {
		return result.New(result.BadSettings, "expected one TRACE")
	}
	file, err := os.Open(cmd.Args().First())
	if err != nil {
		return result.New(result.BadSettings, "%v", err)
	}
	defer file.Close()
	trace, err := tracer.Read(file)
	if err != nil {
		return result.New(result.MalformedDocument, "%v", err)
	}
	tally := loader.New(loader.Options{
		Callers:  cmd.StringSlice("callers"),
		Trace:    trace,
		Body:     []byte("order"),
		Progress: progressPrinter(os.Stderr),
	}).Run(ctx)
	return reportTally(cmd, tally)
}

// progressPrinter returns a function that prints the share done as a percentage,
// or nil if out is not a terminal.
func progressPrinter(out *os.File) func(float64) {
	info, err := out.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(share float64) { fmt.Fprintf(out, "\r%3.0f%%", 100*share) }
}

func reportTally(cmd *cli.Command, tally *loader.Tally) error {
	out := cmd.Root().Writer
	fmt.Fprintf(out, "sent %d: ran %d, not-run %d, unknown %d, refused %d\n", tally.Sent,
		tally.Outcomes["ran"], tally.Outcomes["not-run"], tally.Outcomes["unknown"], tally.Outcomes["refused"])
	fmt.Fprintf(out, "quotes ms: p50 %.1f p95 %.1f p99 %.1f\n", loader.Quantile(tally.Quotes, 50), loader.Quantile(tally.Quotes, 95), loader.Quantile(tally.Quotes, 99))
	fmt.Fprintf(out, "orders ms: p50 %.1f p95 %.1f p99 %.1f\n", loader.Quantile(tally.Ordered, 50), loader.Quantile(tally.Ordered, 95), loader.Quantile(tally.Ordered, 99))
	endpoints := cmd.StringSlice("endpoints")
	if len(endpoints) == 0 {
		return nil
	}
	ran, err := countRuns(endpoints)
	if err != nil {
		return err
	}
	faults := tally.Verify(ran)
	for _, f := range faults {
		fmt.Fprintln(out, "FAULT:", f)
	}
	if len(faults) > 0 {
		return result.New(result.CountsDisagree, "%d faults", len(faults))
	}
	fmt.Fprintln(out, "every order's outcome matches the endpoints' records")
	return nil
}

// countRuns returns how often each key was run, summed over the fake endpoints.
func countRuns(endpoints []string) (map[string]int, error) {
	ran := map[string]int{}
	for _, address := range endpoints {
		record, err := fetchRecord(address)
		if err != nil {
			return nil, err
		}
		for _, served := range record.Served {
			if served.Key != "" {
				ran[served.Key]++
			}
		}
	}
	return ran, nil
}

// fetchRecord gets the record of the fake endpoint at address.
func fetchRecord(address string) (standin.EndpointRecord, error) {
	var record standin.EndpointRecord
	resp, err := http.Get("http://" + address + "/record")
	if err != nil {
		return record, result.New(result.PeerUnreachable, "%v", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return record, result.New(result.AnswerIncomplete, "%v", err)
	}
	if err := json.Unmarshal(data, &record); err != nil {
		return record, result.New(result.Internal, "%v", err)
	}
	return record, nil
}
