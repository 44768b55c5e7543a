package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"

	"github.com/google/subcommands"

	"skylarkport/internal/job"
	"skylarkport/internal/operator/api"
	"skylarkport/internal/result"
)

// jobCommand returns the command for the jobs of one kind.
func jobCommand(e *Env, name string, kind job.Kind) *commandGroup {
	j := &jobCommands{env: e, kind: kind}
	return &commandGroup{env: e, name: name, synopsis: "create, list, show and cancel " + plural(name), verbs: []verb{
		{name: "create", args: "FILE", synopsis: "create from a JSON file, or - for standard input; safe to repeat", run: j.create},
		{name: "list", synopsis: "list all", run: j.list},
		{name: "show", args: "ID", synopsis: "show one and its tasks", run: j.show},
		{name: "cancel", args: "ID...", synopsis: "cancel one or more", run: j.cancel},
	}}
}

func plural(name string) string {
	if name == "watch" {
		return "watches"
	}
	return name + "s"
}

type jobCommands struct {
	env  *Env
	kind job.Kind
}

func (j *jobCommands) create(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return j.env.usageError("create: want exactly one file name, or - for standard input")
	}
	spec := job.Spec{Kind: j.kind}
	if err := j.env.decodeInput(f.Arg(0), &spec, result.JobBad); err != nil {
		return j.env.fail(err)
	}
	if spec.Kind != j.kind {
		return j.env.fail(result.Errorf(result.JobBad, "kind: the file contains a job of kind %s", spec.Kind))
	}
	if err := spec.Validate(); err != nil {
		return j.env.fail(err)
	}
	var stored job.Spec
	err := j.env.run(ctx, func(ctx context.Context, c *Client) error { return c.Post(ctx, api.PathJobs, spec, &stored) })
	if err != nil {
		return j.env.fail(err)
	}
	return j.env.print(stored, "ID\tKIND\tTASKS", func(w io.Writer) {
		fmt.Fprintf(w, "%s\t%s\t%d\n", stored.ID, stored.Kind, stored.Tasks)
	})
}

func (j *jobCommands) list(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
	var l api.JobList
	err := j.env.run(ctx, func(ctx context.Context, c *Client) error {
		return c.Get(ctx, api.PathJobs, url.Values{"kind": {string(j.kind)}}, &l)
	})
	if err != nil {
		return j.env.fail(err)
	}
	return j.env.print(l, "ID\tTENANT\tTASKS\tRUNNING\tWAITING\tFINISHED\tFAILED\tCANCELLED", func(w io.Writer) {
		for i := range l.Jobs {
			writeJobRow(w, &l.Jobs[i])
		}
		writeIncomplete(w, l.Incomplete)
	})
}

func writeJobRow(w io.Writer, j *api.Job) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%t\n", j.Spec.ID, j.Spec.Organisation, j.Spec.Tasks,
		j.Count(api.TaskRunning), j.Count(api.TaskWaiting)+j.Count(api.TaskSetAside),
		j.Count(api.TaskFinished), j.Count(api.TaskFailed), j.Cancelled)
}

func writeIncomplete(w io.Writer, isIncomplete bool) {
	if isIncomplete {
		fmt.Fprintln(w, "(incomplete: a shard owner did not answer)")
	}
}

func (j *jobCommands) show(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return j.env.usageError("show: want exactly one job id")
	}
	var v api.Job
	err := j.env.run(ctx, func(ctx context.Context, c *Client) error {
		return c.Get(ctx, api.PathJobs+"/"+url.PathEscape(f.Arg(0)), nil, &v)
	})
	if err != nil {
		return j.env.fail(err)
	}
	return j.env.print(v, "TASK\tSTATE\tWORKER\tATTEMPT\tPROGRESS\tEVICTIONS\tFAILURES\tREASON", func(w io.Writer) {
		for _, t := range v.Tasks {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", t.Task, t.State, t.Worker, t.Attempt, t.Progress, t.Evictions, t.Failures, t.Reason)
		}
		writeIncomplete(w, v.Incomplete)
	})
}

func (j *jobCommands) cancel(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return j.env.usageError("cancel: want at least one job id")
	}
	var reply api.CancelReply
	err := j.env.run(ctx, func(ctx context.Context, c *Client) error {
		return c.Post(ctx, api.PathCancel, api.CancelRequest{IDs: f.Args()}, &reply)
	})
	if err != nil {
		return j.env.fail(err)
	}
	status := j.env.print(reply, "ID\tRESULT\tDETAIL", func(w io.Writer) {
		for _, r := range reply.Results {
			fmt.Fprintf(w, "%s\t%d %s\t%s\n", r.ID, r.Code, result.Code(r.Code), r.Detail)
		}
	})
	return max(status, firstFailure(reply))
}

// firstFailure returns the exit code of the first id that was not cancelled, or
// success.
func firstFailure(reply api.CancelReply) subcommands.ExitStatus {
	for _, r := range reply.Results {
		if c := result.Code(r.Code); c != result.OK {
			return exitCode(result.Errorf(c, "%s", r.Detail))
		}
	}
	return subcommands.ExitSuccess
}
