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
		Name:      "explain",
		Usage:     "show the history of a job or an order",
		ArgsUsage: "JOB|ORDER",
		Flags:     clientFlags(),
		Action:    explain,
	})
}

func explain(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 1 {
		return result.New(result.BadSettings, "expected one JOB or ORDER")
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var e operator.Explanation
	if err := c.Get(ctx, "/v1/explain/"+url.PathEscape(cmd.Args().First()), &e); err != nil {
		return err
	}
	return printResult(cmd, e, func(w io.Writer) { printExplanation(w, e) })
}

func printExplanation(w io.Writer, e operator.Explanation) {
	if e.Order != nil {
		printRow(w, "order", e.ID, e.Order.State, "result", e.Order.Code, "endpoint", e.Order.Endpoint, "recorded by", e.Order.Holder)
		return
	}
	printRow(w, "job", e.ID, e.Job.State)
	printRow(w, "TIME", "WHAT", "TASK", "WORKER", "SECOND", "REASON")
	for _, n := range e.Notes {
		printRow(w, formatTime(n.At), n.What, n.Task, n.Worker, n.Second, n.Reason)
	}
}
