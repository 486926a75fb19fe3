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
		Usage:     "give the history of a job or an order",
		ArgsUsage: "JOB|ORDER",
		Flags:     remoteFlags(),
		Action:    explain,
	})
}

func explain(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 1 {
		return result.New(result.BadSettings, "expected one JOB or ORDER")
	}
	c, err := remote(cmd)
	if err != nil {
		return err
	}
	var e operator.Explanation
	if err := c.Get(ctx, "/v1/explain/"+url.PathEscape(cmd.Args().First()), &e); err != nil {
		return err
	}
	return show(cmd, e, func(w io.Writer) { printExplanation(w, e) })
}

func printExplanation(w io.Writer, e operator.Explanation) {
	if e.Order != nil {
		row(w, "order", e.ID, e.Order.State, "result", e.Order.Code, "endpoint", e.Order.Endpoint, "recorded by", e.Order.Holder)
		return
	}
	row(w, "job", e.ID, e.Job.State)
	row(w, "TIME", "WHAT", "TASK", "WORKER", "SECOND", "REASON")
	for _, n := range e.Notes {
		row(w, stamp(n.At), n.What, n.Task, n.Worker, n.Second, n.Reason)
	}
}
