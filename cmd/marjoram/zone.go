package main

import (
	"context"
	"io"
	"net/url"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/operator"
	"marjoramstack/pkg/result"
)

func init() {
	register(&cli.Command{
		Name:  "zone",
		Usage: "take availability zones out and in, and show them",
		Commands: []*cli.Command{
			changeCommand("leave", "take an availability zone out", "ZONE", "/v1/zones/"),
			changeCommand("return", "take an availability zone in again", "ZONE", "/v1/zones/"),
			{
				Name:   "show",
				Usage:  "show the availability zones",
				Flags:  remoteFlags(),
				Action: showZones,
			},
		},
	})
}

// changeCommand makes a command that marks what its argument names.
func changeCommand(name, usage, args, path string) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: args,
		Flags:     remoteFlags(authorFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.NArg() != 1 {
				return result.New(result.BadSettings, "expected one %s", args)
			}
			target := path + url.PathEscape(cmd.Args().First()) + "/" + name + "?author=" + url.QueryEscape(cmd.String("author"))
			return change(ctx, cmd, target, struct{}{})
		},
	}
}

func showZones(ctx context.Context, cmd *cli.Command) error {
	c, err := remote(cmd)
	if err != nil {
		return err
	}
	var zones []operator.Zone
	if err := c.Get(ctx, "/v1/zones", &zones); err != nil {
		return err
	}
	return show(cmd, zones, func(w io.Writer) {
		row(w, "ZONE", "STATE", "IN-FORCE", "ENTRY-VMS", "WORKERS", "RUNNING", "WAITING")
		for _, z := range zones {
			state := "serving"
			if z.Leaving {
				state = "leaving"
			}
			workers, running, waiting := 0, 0, 0
			for _, l := range z.Cells {
				workers += l.Workers
				running += l.Running
				waiting += l.Waiting
			}
			row(w, z.Name, state, z.InForce, len(z.Versions), workers, running, waiting)
		}
	})
}
