// Command marjoram-standin runs a fake platform, worker or endpoint. It is for
// tests and experiments only.
//
// # Usage
//
//	marjoram-standin platform --address 127.0.0.1:7000 --fleet fleet.json
//	marjoram-standin worker --id w1 --address 127.0.0.1:7100
//	marjoram-standin endpoint --id e1 --address 127.0.0.1:7200
//
// Each serves URLs below /fault/ that inject faults, and /record, which returns
// what it did.
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

// commands is filled by the init function of each command's file.
var commands []*cli.Command

func register(command *cli.Command) { commands = append(commands, command) }

func main() {
	os.Exit(commander.Run("marjoram-standin", "run a fake platform, worker or endpoint for tests", commands))
}

func addressFlag(value string) cli.Flag {
	return &cli.StringFlag{
		Name:    "address",
		Usage:   "IP address and port to listen on",
		Value:   value,
		Sources: cli.EnvVars(settings.Variable("address")),
	}
}

// serve serves HTTP requests on the listener until ctx is done.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	fmt.Println("listening on", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
