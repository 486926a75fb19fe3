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
		Usage: "mark VMs as leaving or returning, and show them",
		Commands: []*cli.Command{
			changeCommand("leave", "mark a VM as leaving", "VM", "/v1/vms/"),
			changeCommand("return", "take the mark off a VM", "VM", "/v1/vms/"),
			{
				Name:   "show",
				Usage:  "show the VMs of the platform's list",
				Flags:  remoteFlags(),
				Action: showVMs,
			},
		},
	})
}

func showVMs(ctx context.Context, cmd *cli.Command) error {
	c, err := remote(cmd)
	if err != nil {
		return err
	}
	var vms []operator.VM
	if err := c.Get(ctx, "/v1/vms", &vms); err != nil {
		return err
	}
	return show(cmd, vms, func(w io.Writer) {
		row(w, "VM", "KIND", "ZONE", "RACK", "ADDRESS", "STATE")
		for _, vm := range vms {
			state := "live"
			if vm.Leaving {
				state = "leaving (" + vm.Why + ")"
			}
			row(w, vm.ID, vm.Kind, vm.Zone, vm.Rack, vm.Address, state)
		}
	})
}
