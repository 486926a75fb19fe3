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
		Usage: "drain availability zones, return them to service, and show them",
		Commands: []*cli.Command{
			changeCommand("leave", "drain an availability zone", "ZONE", "/v1/zones/"),
			changeCommand("return", "return an availability zone to service", "ZONE", "/v1/zones/"),
			{
				Name:   "show",
				Usage:  "show the availability zones",
				Flags:  clientFlags(),
				Action: showZones,
			},
		},
	})
}

// changeCommand returns the command leave or return for the zone or VM that its
// argument names. path is the URL path of the zones or VMs.
func changeCommand(name, usage, args, path string) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: args,
		Flags:     clientFlags(authorFlag()),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.NArg() != 1 {
				return result.New(result.BadSettings, "expected one %s", args)
			}
			target := path + url.PathEscape(cmd.Args().First()) + "/" + name + "?author=" + url.QueryEscape(cmd.String("author"))
			return sendChange(ctx, cmd, target, struct{}{})
		},
	}
}

func showZones(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var zones []operator.Zone
	if err := c.Get(ctx, "/v1/zones", &zones); err != nil {
		return err
	}
	return printResult(cmd, zones, func(w io.Writer) {
		printRow(w, "ZONE", "STATE", "IN-FORCE", "ENTRY-VMS", "WORKERS", "RUNNING", "WAITING")
		for _, z := range zones {
			state := "serving"
			if z.Leaving {
				state = "leaving"
			}
			workers, running, waiting := 0, 0, 0
			for _, load := range z.Cells {
				workers += load.Workers
				running += load.Running
				waiting += load.Waiting
			}
			printRow(w, z.Name, state, z.InForce, len(z.Versions), workers, running, waiting)
		}
	})
}
