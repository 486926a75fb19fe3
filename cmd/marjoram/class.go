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
				Usage:     "check a document locally, without calling an entry VM",
				ArgsUsage: "FILE",
				Flags:     clientFlags(),
				Action:    checkClass,
			},
			{
				Name:      "apply",
				Usage:     "apply a document",
				ArgsUsage: "FILE",
				Flags: clientFlags(authorFlag(), &cli.Uint64Flag{
					Name:  "base",
					Usage: "version that the change is based on; the change is rejected if another one is in force",
				}),
				Action: applyClass,
			},
			{
				Name:   "show",
				Usage:  "print the document in force",
				Flags:  clientFlags(),
				Action: showClass,
			},
			{
				Name:   "history",
				Usage:  "list the newest versions of the configuration",
				Flags:  clientFlags(),
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
	return printResult(cmd, doc, func(w io.Writer) { printClasses(w, doc) })
}

func printClasses(w io.Writer, doc *document.Document) {
	printRow(w, "CLASS", "KIND", "TARGET")
	for _, c := range doc.Classes {
		target := "answer by " + c.AnswerBy
		switch c.Kind {
		case document.KindBatch:
			target = "finish by " + c.FinishBy
		case document.KindWatcher:
			target = fmt.Sprintf("%d alive", c.Alive)
		}
		printRow(w, c.Name, c.Kind, target)
	}
}

func applyClass(ctx context.Context, cmd *cli.Command) error {
	text, err := readFile(cmd)
	if err != nil {
		return err
	}
	return sendChange(ctx, cmd, "/v1/classes", operator.ApplyRequest{
		Text:   string(text),
		Author: cmd.String("author"),
		Base:   cmd.Uint64("base"),
	})
}

// sendChange posts a configuration change and prints its result. It returns an
// error with code Pending if the change is stored but not in force everywhere.
func sendChange(ctx context.Context, cmd *cli.Command, path string, body any) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var answer operator.Change
	pending, err := c.Post(ctx, path, body, &answer)
	if err != nil {
		return err
	}
	err = printResult(cmd, answer, func(w io.Writer) { printChange(w, answer) })
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
		printRow(w, "  lacking", zone, answer.Lacking[zone])
	}
}

func showClass(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var state follower.State
	if err := c.Get(ctx, "/v1/classes", &state); err != nil {
		return err
	}
	return printResult(cmd, state, func(w io.Writer) {
		fmt.Fprintf(w, "# version %d\n%s", state.Version, state.Text)
	})
}

func classHistory(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var states []follower.State
	if err := c.Get(ctx, "/v1/classes/history", &states); err != nil {
		return err
	}
	return printResult(cmd, states, func(w io.Writer) {
		printRow(w, "VERSION", "TIME", "AUTHOR", "CHANGE")
		for _, s := range states {
			printRow(w, s.Version, formatTime(clock.Time(s.At)), s.Author, s.Change)
		}
	})
}
