package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/operator"
)

func init() {
	register(&cli.Command{
		Name:   "status",
		Usage:  "show the state of the system as seen by one entry VM",
		Flags:  clientFlags(),
		Action: showStatus,
	})
}

func showStatus(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var s operator.Status
	if err := c.Get(ctx, "/v1/status", &s); err != nil {
		return err
	}
	return printResult(cmd, s, func(w io.Writer) { printStatus(w, s) })
}

func printStatus(w io.Writer, s operator.Status) {
	printRow(w, "VM", "ZONE", "READY", "VERSION", "PLATFORM", "SLOTS", "FREE", "QUEUED")
	printRow(w, s.VM, s.Zone, s.Ready, s.Version, s.Platform, s.Slots, s.Free, s.Queued)
	printRow(w)
	printRow(w, "PEER", "ZONE", "SILENT-MS", "DELAY-MS", "VERSION", "LEAVING")
	for _, p := range s.Peers {
		printRow(w, p.ID, p.Zone, p.SilentMs, p.DelayMs, p.Version, p.Leaving)
	}
	printRow(w)
	printRow(w, "CELL", "OWNER", "WORKERS", "RUNNING", "WAITING", "FREE-PROCESSORS", "OF")
	for _, load := range s.Cells {
		printRow(w, load.Cell, load.Owner, load.Workers, load.Running, load.Waiting, load.Free.Processors, load.Total.Processors)
	}
}
