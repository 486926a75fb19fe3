package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"

	"github.com/urfave/cli/v3"

	"marjoramstack/internal/operator"
	"marjoramstack/pkg/document"
	"marjoramstack/pkg/result"
)

func init() {
	register(&cli.Command{
		Name:  "job",
		Usage: "submit, cancel and show batch jobs",
		Commands: []*cli.Command{
			{
				Name:      "submit",
				Usage:     "submit a job described by flags or by a JSON FILE",
				ArgsUsage: "[FILE]",
				Flags:     clientFlags(jobFlags()...),
				Action:    submitJob,
			},
			{
				Name:      "cancel",
				Usage:     "cancel jobs",
				ArgsUsage: "JOB...",
				Flags:     clientFlags(),
				Action:    cancelJobs,
			},
			{
				Name:   "list",
				Usage:  "list the jobs",
				Flags:  clientFlags(),
				Action: listJobs,
			},
			{
				Name:      "show",
				Usage:     "show one job",
				ArgsUsage: "JOB",
				Flags:     clientFlags(),
				Action:    showJob,
			},
		},
	})
}

func jobFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "id", Usage: "identifier of the job"},
		&cli.StringFlag{Name: "class", Usage: "batch class"},
		&cli.StringFlag{Name: "team", Usage: "team that owns the job"},
		&cli.IntFlag{Name: "tasks", Usage: "number of identical tasks", Value: 1},
		&cli.IntFlag{Name: "processors", Usage: "processors per task", Value: 1},
		&cli.IntFlag{Name: "memory-mb", Usage: "memory per task, in MiB", Value: 512},
		&cli.IntFlag{Name: "accelerators", Usage: "accelerators per task"},
		&cli.StringFlag{Name: "run-time", Usage: "estimated run time of one task", Value: "1m"},
		&cli.StringFlag{Name: "finish-by", Usage: "maximum time to finish, instead of the target of the class"},
		&cli.StringFlag{Name: "payload", Usage: "data that tells the worker what to run"},
	}
}

func submitJob(ctx context.Context, cmd *cli.Command) error {
	job, err := jobFromArgs(cmd)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var accepted document.Job
	if _, err := c.Post(ctx, "/v1/jobs", job, &accepted); err != nil {
		return err
	}
	return printResult(cmd, accepted, func(w io.Writer) { fmt.Fprintf(w, "job %s accepted\n", accepted.ID) })
}

func jobFromArgs(cmd *cli.Command) (document.Job, error) {
	if cmd.NArg() > 0 {
		return jobFromFile(cmd)
	}
	return document.Job{
		ID:    cmd.String("id"),
		Class: cmd.String("class"),
		Team:  cmd.String("team"),
		Tasks: cmd.Int("tasks"),
		Size: document.Size{
			Processors:   cmd.Int("processors"),
			Memory:       cmd.Int("memory-mb"),
			Accelerators: cmd.Int("accelerators"),
		},
		RunTime:  cmd.String("run-time"),
		FinishBy: cmd.String("finish-by"),
		Payload:  cmd.String("payload"),
	}, nil
}

func jobFromFile(cmd *cli.Command) (document.Job, error) {
	var job document.Job
	file, err := os.Open(cmd.Args().First())
	if err != nil {
		return job, result.New(result.BadSettings, "%v", err)
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&job); err != nil {
		return job, result.New(result.MalformedJob, "%s: %v", cmd.Args().First(), err)
	}
	return job, nil
}

func cancelJobs(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() == 0 {
		return result.New(result.BadSettings, "expected at least one JOB")
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	request := operator.CancelRequest{Jobs: cmd.Args().Slice()}
	if _, err := c.Post(ctx, "/v1/jobs/cancel", request, nil); err != nil {
		return err
	}
	return printResult(cmd, request, func(w io.Writer) { fmt.Fprintf(w, "%d jobs cancelled\n", len(request.Jobs)) })
}

func listJobs(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var jobs []operator.Job
	if err := c.Get(ctx, "/v1/jobs", &jobs); err != nil {
		return err
	}
	return printResult(cmd, jobs, func(w io.Writer) { printJobs(w, jobs) })
}

func printJobs(w io.Writer, jobs []operator.Job) {
	printRow(w, "JOB", "STATE", "CLASS", "TEAM", "TASKS", "WAITING", "PLACED", "FINISHED", "FAILED", "CANCELLED", "REASON")
	for _, j := range jobs {
		var waiting, placed, finished, failed, cancelled int
		reason := ""
		for _, p := range j.Parts {
			waiting += p.Waiting
			placed += p.Placed
			finished += p.Finished
			failed += p.Failed
			cancelled += p.CancelledTasks
			if p.Reason != "" {
				reason = p.Reason
			}
		}
		spec := j.Parts[0].Spec
		printRow(w, j.ID, j.State, spec.Class, spec.Team, spec.Tasks, waiting, placed, finished, failed, cancelled, reason)
	}
}

func showJob(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 1 {
		return result.New(result.BadSettings, "expected one JOB")
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var job operator.Job
	if err := c.Get(ctx, "/v1/jobs/"+url.PathEscape(cmd.Args().First()), &job); err != nil {
		return err
	}
	return printResult(cmd, job, func(w io.Writer) {
		printJobs(w, []operator.Job{job})
		for _, p := range job.Parts {
			for _, place := range p.Running {
				printRow(w, "  "+place.Task, "attempt", place.Attempt, "on", place.Worker, "done", place.Done)
			}
		}
	})
}
