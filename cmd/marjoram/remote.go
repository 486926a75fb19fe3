package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/settings"
	"marjoramstack/pkg/client"
	"marjoramstack/pkg/clock"
)

// clientFlags returns the flags of every command that calls an entry VM, followed
// by more.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name:    "entry",
			Usage:   "operator addresses of entry VMs, tried in order",
			Value:   []string{"127.0.0.1:7020"},
			Sources: cli.EnvVars("MARJORAM_ENTRY"),
		},
		&cli.StringFlag{
			Name:    "output",
			Usage:   "output format: text or json",
			Value:   "text",
			Sources: cli.EnvVars("MARJORAM_OUTPUT"),
		},
	}, more...)
}

func authorFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "author",
		Usage:   "name that the history records for the change",
		Value:   os.Getenv("USER"),
		Sources: cli.EnvVars("MARJORAM_AUTHOR"),
	}
}

// newClient validates the flags of a command that calls an entry VM and returns a
// client for it.
func newClient(cmd *cli.Command) (*client.Client, error) {
	var check settings.Checker
	check.Addresses("entry", cmd.StringSlice("entry"))
	if o := cmd.String("output"); o != "text" && o != "json" {
		check.Fault("output", "got %q, expected text or json", o)
	}
	if err := check.Err(); err != nil {
		return nil, err
	}
	return client.New(cmd.StringSlice("entry")), nil
}

// printResult prints value as JSON if --output is json, and calls text to print it
// as a table otherwise.
func printResult(cmd *cli.Command, value any, text func(w io.Writer)) error {
	out := cmd.Root().Writer
	if cmd.String("output") == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	text(table)
	return table.Flush()
}

// formatTime formats a time in UTC with milliseconds.
func formatTime(t clock.Time) string {
	return time.UnixMilli(int64(t)).UTC().Format("2006-01-02 15:04:05.000")
}

// printRow writes the cells of one table row, separated by tabs.
func printRow(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}
