package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/platform"
	"marjoramstack/internal/settings"
	"marjoramstack/internal/standin"
)

func init() {
	register(&cli.Command{
		Name:  "platform",
		Usage: "run a fake platform",
		Flags: []cli.Flag{
			addressFlag("127.0.0.1:7000"),
			&cli.StringFlag{
				Name:  "fleet",
				Usage: "JSON file with the list of VMs; empty list by default",
			},
		},
		Action: runPlatform,
	})
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	var check settings.Checker
	listener := check.Listen("address", cmd.String("address"))
	p := standin.NewPlatform()
	if path := cmd.String("fleet"); path != "" {
		fleet, err := readFleet(path)
		if err != nil {
			check.Fault("fleet", "%v", err)
		}
		p.SetFleet(fleet)
	}
	if err := check.Err(); err != nil {
		return err
	}
	return serve(ctx, listener, p)
}

func readFleet(path string) (platform.Fleet, error) {
	var fleet platform.Fleet
	data, err := os.ReadFile(path)
	if err != nil {
		return fleet, err
	}
	return fleet, json.Unmarshal(data, &fleet)
}
