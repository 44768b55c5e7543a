package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"

	"github.com/google/subcommands"

	"skylarkport/internal/operator/api"
)

// statusCommand returns the command that shows the deployment as one instance
// sees it.
func statusCommand(e *Env) *simpleCommand {
	return &simpleCommand{env: e, verb: verb{name: "status", synopsis: "show shards, owners, peers and the bundle in force", run: func(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
		var s api.Status
		err := e.run(ctx, func(ctx context.Context, c *Client) error { return c.Get(ctx, api.PathStatus, nil, &s) })
		if err != nil {
			return e.fail(err)
		}
		return e.print(s, fmt.Sprintf("instance %s, zone %s, bundle %d", s.Instance, s.Zone, s.BundleVersion), func(w io.Writer) { writeStatus(w, &s) })
	}}}
}

func writeStatus(w io.Writer, s *api.Status) {
	fmt.Fprintln(w, "SHARD\tOWNER\tEPOCH\tWORKERS\tRUNNING\tWAITING\tPLATFORM")
	for _, shard := range s.Shards {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", shard.Shard, shard.Owner, shard.Epoch, shard.Workers, shard.Running, shard.Waiting, shard.Platform)
	}
	fmt.Fprintln(w, "PEER\tZONE\tSTATE")
	for _, p := range s.Peers {
		fmt.Fprintf(w, "%s\t%s\t%s\n", p.ID, p.Zone, p.State)
	}
	writeIncomplete(w, s.Incomplete)
}

// workersCommand returns the command that lists the workers.
func workersCommand(e *Env) *simpleCommand {
	return &simpleCommand{env: e, verb: verb{name: "workers", synopsis: "list the workers with their committed resources and capacity", run: func(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
		var l api.WorkerList
		err := e.run(ctx, func(ctx context.Context, c *Client) error { return c.Get(ctx, api.PathWorkers, nil, &l) })
		if err != nil {
			return e.fail(err)
		}
		return e.print(l, "WORKER\tZONE\tRACK\tSHARD\tHEALTH\tRUNS\tMILLI_CPU\tMEMORY_MB\tACCELERATORS\tQUARANTINED", func(w io.Writer) {
			for i := range l.Workers {
				writeWorkerRow(w, &l.Workers[i])
			}
			writeIncomplete(w, l.Incomplete)
		})
	}}}
}

func writeWorkerRow(w io.Writer, v *api.Worker) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d/%d\t%d/%d\t%d/%d\t%t\n", v.ID, v.Zone, v.Rack, v.Shard, v.Health, v.Runs,
		v.Committed.MilliCPU, v.Capacity.MilliCPU, v.Committed.MemoryMB, v.Capacity.MemoryMB,
		v.Committed.Accelerators, v.Capacity.Accelerators, v.Quarantined)
}

// explainCommand returns the command that shows the recorded decisions about a
// task, job or request.
func explainCommand(e *Env) *simpleCommand {
	return &simpleCommand{env: e, verb: verb{name: "explain", args: "TASK|JOB|REQUEST", synopsis: "show why a task was placed or waits, or why a request was refused", run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
		if f.NArg() != 1 {
			return e.usageError("explain: want one task, job or request id")
		}
		var x api.Explanation
		err := e.run(ctx, func(ctx context.Context, c *Client) error {
			return c.Get(ctx, api.PathExplain, url.Values{"subject": {f.Arg(0)}}, &x)
		})
		if err != nil {
			return e.fail(err)
		}
		return e.print(x, fmt.Sprintf("%s: %s", x.Subject, x.State), func(w io.Writer) { writeEvents(w, &x) })
	}}}
}

func writeEvents(w io.Writer, x *api.Explanation) {
	fmt.Fprintln(w, "AGE\tSTEP\tRUN\tWORKER\tSTAGE\tDETAIL")
	for _, v := range x.Events {
		subject := v.Run
		if subject == "" {
			subject = v.Task
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", v.Age.D().Round(ageUnit), v.Step, subject, v.Worker, v.Stage, v.Detail)
	}
	writeIncomplete(w, x.Incomplete)
}
