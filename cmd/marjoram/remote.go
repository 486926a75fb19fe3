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

// remoteFlags are the settings of every command that talks to an entry VM.
func remoteFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name:    "entry",
			Usage:   "operator addresses of entry VMs, tried in turn",
			Value:   []string{"127.0.0.1:7020"},
			Sources: cli.EnvVars("MARJORAM_ENTRY"),
		},
		&cli.StringFlag{
			Name:    "output",
			Usage:   "text or json",
			Value:   "text",
			Sources: cli.EnvVars("MARJORAM_OUTPUT"),
		},
	}, more...)
}

func authorFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "author",
		Usage:   "who makes the change, for the history",
		Value:   os.Getenv("USER"),
		Sources: cli.EnvVars("MARJORAM_AUTHOR"),
	}
}

// remote checks the settings of a command that talks to an entry VM.
func remote(cmd *cli.Command) (*client.Client, error) {
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

// show prints value as JSON if that was asked for, else by text.
func show(cmd *cli.Command, value any, text func(w io.Writer)) error {
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

func stamp(t clock.Time) string {
	return time.UnixMilli(int64(t)).UTC().Format("2006-01-02 15:04:05.000")
}

func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}
