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
		Usage:  "show the system as one entry VM sees it",
		Flags:  remoteFlags(),
		Action: showStatus,
	})
}

func showStatus(ctx context.Context, cmd *cli.Command) error {
	c, err := remote(cmd)
	if err != nil {
		return err
	}
	var s operator.Status
	if err := c.Get(ctx, "/v1/status", &s); err != nil {
		return err
	}
	return show(cmd, s, func(w io.Writer) { printStatus(w, s) })
}

func printStatus(w io.Writer, s operator.Status) {
	row(w, "VM", "ZONE", "READY", "VERSION", "PLATFORM", "SLOTS", "FREE", "QUEUED")
	row(w, s.VM, s.Zone, s.Ready, s.Version, s.Platform, s.Slots, s.Free, s.Queued)
	row(w)
	row(w, "PEER", "ZONE", "SILENT-MS", "DELAY-MS", "VERSION", "LEAVING")
	for _, p := range s.Peers {
		row(w, p.ID, p.Zone, p.SilentMs, p.DelayMs, p.Version, p.Leaving)
	}
	row(w)
	row(w, "CELL", "OWNER", "WORKERS", "RUNNING", "WAITING", "FREE-PROCESSORS", "OF")
	for _, l := range s.Cells {
		row(w, l.Cell, l.Owner, l.Workers, l.Running, l.Waiting, l.Free.Processors, l.Total.Processors)
	}
}
