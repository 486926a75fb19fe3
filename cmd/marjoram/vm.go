package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/operator"
)

func init() {
	register(&cli.Command{
		Name:  "vm",
		Usage: "drain VMs, return them to service, and show them",
		Commands: []*cli.Command{
			changeCommand("leave", "mark a VM as leaving, which drains it", "VM", "/v1/vms/"),
			changeCommand("return", "remove the leaving mark from a VM", "VM", "/v1/vms/"),
			{
				Name:   "show",
				Usage:  "show the VMs in the platform's list",
				Flags:  clientFlags(),
				Action: showVMs,
			},
		},
	})
}

func showVMs(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var vms []operator.VM
	if err := c.Get(ctx, "/v1/vms", &vms); err != nil {
		return err
	}
	return printResult(cmd, vms, func(w io.Writer) {
		printRow(w, "VM", "KIND", "ZONE", "RACK", "ADDRESS", "STATE")
		for _, vm := range vms {
			state := "live"
			if vm.Leaving {
				state = "leaving (" + vm.Why + ")"
			}
			printRow(w, vm.ID, vm.Kind, vm.Zone, vm.Rack, vm.Address, state)
		}
	})
}
