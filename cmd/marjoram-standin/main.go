// Command marjoram-standin runs a small stand-in of the platform, of a worker
// or of an endpoint, for tests and experiments only.
//
// # Usage
//
//	marjoram-standin platform --address 127.0.0.1:7000 --fleet fleet.json
//	marjoram-standin worker --id w1 --address 127.0.0.1:7100
//	marjoram-standin endpoint --id e1 --address 127.0.0.1:7200
//
// Each has a door below /fault/ that sets its fault switches, and a record of
// what it did at /record.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/commander"
	"marjoramstack/internal/settings"
)

// commands is filled by the file of each command.
var commands []*cli.Command

func register(command *cli.Command) { commands = append(commands, command) }

func main() {
	os.Exit(commander.Run("marjoram-standin", "stand in for the platform, a worker or an endpoint", commands))
}

func addressFlag(value string) cli.Flag {
	return &cli.StringFlag{
		Name:    "address",
		Usage:   "IP number and port to listen at",
		Value:   value,
		Sources: cli.EnvVars(settings.Variable("address")),
	}
}

// serve answers at the listener until ctx ends.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	fmt.Println("listening at", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
