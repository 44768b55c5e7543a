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

// jobNoun returns the commands for one kind of work.
func jobNoun(e *Env, name string, kind job.Kind) *noun {
	j := &jobs{env: e, kind: kind}
	return &noun{env: e, name: name, synopsis: "create, list, show and cancel " + plural(name), verbs: []verb{
		{name: "create", args: "FILE", synopsis: "create from a JSON file, - for standard input; repeating it is safe", run: j.create},
		{name: "list", synopsis: "list all", run: j.list},
		{name: "show", args: "ID", synopsis: "show one with its tasks", run: j.show},
		{name: "cancel", args: "ID...", synopsis: "cancel one or more", run: j.cancel},
	}}
}

func plural(name string) string {
	if name == "watch" {
		return "watches"
	}
	return name + "s"
}

type jobs struct {
	env  *Env
	kind job.Kind
}

func (j *jobs) create(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return j.env.usage("create: want one file, or - for standard input")
	}
	spec := job.Spec{Kind: j.kind}
	if err := j.env.input(f.Arg(0), &spec, result.JobBad); err != nil {
		return j.env.fail(err)
	}
	if spec.Kind != j.kind {
		return j.env.fail(result.Errorf(result.JobBad, "kind: the file holds a %s", spec.Kind))
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

func (j *jobs) list(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
	var l api.JobList
	err := j.env.run(ctx, func(ctx context.Context, c *Client) error {
		return c.Get(ctx, api.PathJobs, url.Values{"kind": {string(j.kind)}}, &l)
	})
	if err != nil {
		return j.env.fail(err)
	}
	return j.env.print(l, "ID\tTENANT\tTASKS\tRUNNING\tWAITING\tFINISHED\tFAILED\tCANCELLED", func(w io.Writer) {
		for i := range l.Jobs {
			summary(w, &l.Jobs[i])
		}
		incomplete(w, l.Incomplete)
	})
}

func summary(w io.Writer, j *api.Job) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%t\n", j.Spec.ID, j.Spec.Organisation, j.Spec.Tasks,
		j.Count(api.TaskRunning), j.Count(api.TaskWaiting)+j.Count(api.TaskSetAside),
		j.Count(api.TaskFinished), j.Count(api.TaskFailed), j.Cancelled)
}

func incomplete(w io.Writer, yes bool) {
	if yes {
		fmt.Fprintln(w, "(incomplete: an owner did not answer)")
	}
}

func (j *jobs) show(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return j.env.usage("show: want one id")
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
		incomplete(w, v.Incomplete)
	})
}

func (j *jobs) cancel(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return j.env.usage("cancel: want at least one id")
	}
	var rep api.CancelReply
	err := j.env.run(ctx, func(ctx context.Context, c *Client) error {
		return c.Post(ctx, api.PathCancel, api.CancelRequest{IDs: f.Args()}, &rep)
	})
	if err != nil {
		return j.env.fail(err)
	}
	status := j.env.print(rep, "ID\tRESULT\tDETAIL", func(w io.Writer) {
		for _, r := range rep.Results {
			fmt.Fprintf(w, "%s\t%d %s\t%s\n", r.ID, r.Code, result.Code(r.Code), r.Detail)
		}
	})
	return max(status, worst(rep))
}

// worst returns the exit code of the first id that was not cancelled.
func worst(rep api.CancelReply) subcommands.ExitStatus {
	for _, r := range rep.Results {
		if c := result.Code(r.Code); c != result.OK {
			return exitOf(result.Errorf(c, "%s", r.Detail))
		}
	}
	return subcommands.ExitSuccess
}
