package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/follower"
	"marjoramstack/internal/operator"
	"marjoramstack/pkg/clock"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

func init() {
	register(&cli.Command{
		Name:  "class",
		Usage: "check, apply and show the classes of work and their targets",
		Commands: []*cli.Command{
			{
				Name:      "check",
				Usage:     "check a document without an entry VM",
				ArgsUsage: "FILE",
				Flags:     remoteFlags(),
				Action:    checkClass,
			},
			{
				Name:      "apply",
				Usage:     "bring a document into force",
				ArgsUsage: "FILE",
				Flags: remoteFlags(authorFlag(), &cli.Uint64Flag{
					Name:  "base",
					Usage: "refuse the change if the version in force is another",
				}),
				Action: applyClass,
			},
			{
				Name:   "show",
				Usage:  "print the document in force",
				Flags:  remoteFlags(),
				Action: showClass,
			},
			{
				Name:   "history",
				Usage:  "list the latest versions of the configuration",
				Flags:  remoteFlags(),
				Action: classHistory,
			},
		},
	})
}

func readFile(cmd *cli.Command) ([]byte, error) {
	path := cmd.Args().First()
	if path == "" || cmd.NArg() != 1 {
		return nil, result.New(result.BadSettings, "expected one FILE")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, result.New(result.BadSettings, "%v", err)
	}
	return text, nil
}

func checkClass(_ context.Context, cmd *cli.Command) error {
	text, err := readFile(cmd)
	if err != nil {
		return err
	}
	doc, err := document.Parse(text)
	if err != nil {
		return err
	}
	return show(cmd, doc, func(w io.Writer) { printClasses(w, doc) })
}

func printClasses(w io.Writer, doc *document.Document) {
	row(w, "CLASS", "KIND", "TARGET")
	for _, c := range doc.Classes {
		target := "answer by " + c.AnswerBy
		switch c.Kind {
		case document.KindBatch:
			target = "finish by " + c.FinishBy
		case document.KindWatcher:
			target = fmt.Sprintf("%d alive", c.Alive)
		}
		row(w, c.Name, c.Kind, target)
	}
}

func applyClass(ctx context.Context, cmd *cli.Command) error {
	text, err := readFile(cmd)
	if err != nil {
		return err
	}
	return change(ctx, cmd, "/v1/classes", operator.ApplyRequest{
		Text:   string(text),
		Author: cmd.String("author"),
		Base:   cmd.Uint64("base"),
	})
}

// change sends a change and prints whether it is in force.
func change(ctx context.Context, cmd *cli.Command, path string, body any) error {
	c, err := remote(cmd)
	if err != nil {
		return err
	}
	var answer operator.Change
	pending, err := c.Post(ctx, path, body, &answer)
	if err != nil {
		return err
	}
	err = show(cmd, answer, func(w io.Writer) { printChange(w, answer) })
	if err == nil && pending {
		return result.New(result.Pending, "version %d is not in force in every availability zone", answer.Version)
	}
	return err
}

func printChange(w io.Writer, answer operator.Change) {
	fmt.Fprintf(w, "version %d %s in %d ms: %s\n", answer.Version, answer.State, answer.TookMs, answer.Change)
	zones := make([]string, 0, len(answer.Lacking))
	for zone := range answer.Lacking {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	for _, zone := range zones {
		row(w, "  lacking", zone, answer.Lacking[zone])
	}
}

func showClass(ctx context.Context, cmd *cli.Command) error {
	c, err := remote(cmd)
	if err != nil {
		return err
	}
	var state follower.State
	if err := c.Get(ctx, "/v1/classes", &state); err != nil {
		return err
	}
	return show(cmd, state, func(w io.Writer) {
		fmt.Fprintf(w, "# version %d\n%s", state.Version, state.Text)
	})
}

func classHistory(ctx context.Context, cmd *cli.Command) error {
	c, err := remote(cmd)
	if err != nil {
		return err
	}
	var states []follower.State
	if err := c.Get(ctx, "/v1/classes/history", &states); err != nil {
		return err
	}
	return show(cmd, states, func(w io.Writer) {
		row(w, "VERSION", "TIME", "AUTHOR", "CHANGE")
		for _, s := range states {
			row(w, s.Version, stamp(clock.Time(s.At)), s.Author, s.Change)
		}
	})
}
