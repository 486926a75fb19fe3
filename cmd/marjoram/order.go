package main

import (
	"context"
	"io"
	"net/url"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/ledger"
)

func init() {
	register(&cli.Command{
		Name:      "order",
		Usage:     "show the outcome of an order, or the number of orders by outcome",
		ArgsUsage: "[KEY]",
		Flags:     clientFlags(),
		Action:    showOrder,
	})
}

func showOrder(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	if cmd.NArg() == 0 {
		var counts ledger.Counts
		if err := c.Get(ctx, "/v1/orders", &counts); err != nil {
			return err
		}
		return printResult(cmd, counts, func(w io.Writer) {
			printRow(w, "RAN", "NOT-RUN", "UNKNOWN", "IN-PROGRESS")
			printRow(w, counts.Ran, counts.NotRun, counts.Unknown, counts.Claimed)
		})
	}
	var order ledger.Row
	if err := c.Get(ctx, "/v1/orders/"+url.PathEscape(cmd.Args().First()), &order); err != nil {
		return err
	}
	return printResult(cmd, order, func(w io.Writer) {
		printRow(w, "ORDER", "STATE", "CLASS", "RESULT", "ENDPOINT", "HOLDER")
		printRow(w, cmd.Args().First(), order.State, order.Class, order.Code, order.Endpoint, order.Holder)
	})
}
