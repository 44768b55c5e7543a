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

// statusCommand shows the deployment as one instance sees it.
func statusCommand(e *Env) *single {
	return &single{env: e, verb: verb{name: "status", synopsis: "show shards, owners, peers and the bundle in force", run: func(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
		var s api.Status
		err := e.run(ctx, func(ctx context.Context, c *Client) error { return c.Get(ctx, api.PathStatus, nil, &s) })
		if err != nil {
			return e.fail(err)
		}
		return e.print(s, fmt.Sprintf("instance %s, zone %s, bundle %d", s.Instance, s.Zone, s.BundleVersion), func(w io.Writer) { statusRows(w, &s) })
	}}}
}

func statusRows(w io.Writer, s *api.Status) {
	fmt.Fprintln(w, "SHARD\tOWNER\tEPOCH\tWORKERS\tRUNNING\tWAITING\tPLATFORM")
	for _, h := range s.Shards {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", h.Shard, h.Owner, h.Epoch, h.Workers, h.Running, h.Waiting, h.Platform)
	}
	fmt.Fprintln(w, "PEER\tZONE\tSTATE")
	for _, p := range s.Peers {
		fmt.Fprintf(w, "%s\t%s\t%s\n", p.ID, p.Zone, p.State)
	}
	incomplete(w, s.Incomplete)
}

// workersCommand lists the workers.
func workersCommand(e *Env) *single {
	return &single{env: e, verb: verb{name: "workers", synopsis: "list the workers, their capacity and what is committed", run: func(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
		var l api.WorkerList
		err := e.run(ctx, func(ctx context.Context, c *Client) error { return c.Get(ctx, api.PathWorkers, nil, &l) })
		if err != nil {
			return e.fail(err)
		}
		return e.print(l, "WORKER\tZONE\tRACK\tSHARD\tHEALTH\tRUNS\tMILLI_CPU\tMEMORY_MB\tACCELERATORS\tQUARANTINED", func(w io.Writer) {
			for i := range l.Workers {
				workerRow(w, &l.Workers[i])
			}
			incomplete(w, l.Incomplete)
		})
	}}}
}

func workerRow(w io.Writer, v *api.Worker) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d/%d\t%d/%d\t%d/%d\t%t\n", v.ID, v.Zone, v.Rack, v.Shard, v.Health, v.Runs,
		v.Committed.MilliCPU, v.Capacity.MilliCPU, v.Committed.MemoryMB, v.Capacity.MemoryMB,
		v.Committed.Accelerators, v.Capacity.Accelerators, v.Quarantined)
}

// explainCommand shows why a task, job or request is as it is.
func explainCommand(e *Env) *single {
	return &single{env: e, verb: verb{name: "explain", args: "TASK|JOB|REQUEST", synopsis: "say why a task is where it is or waits, or why a request was refused", run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
		if f.NArg() != 1 {
			return e.usage("explain: want one task, job or request id")
		}
		var x api.Explanation
		err := e.run(ctx, func(ctx context.Context, c *Client) error {
			return c.Get(ctx, api.PathExplain, url.Values{"subject": {f.Arg(0)}}, &x)
		})
		if err != nil {
			return e.fail(err)
		}
		return e.print(x, fmt.Sprintf("%s: %s", x.Subject, x.State), func(w io.Writer) { events(w, &x) })
	}}}
}

func events(w io.Writer, x *api.Explanation) {
	fmt.Fprintln(w, "AGE\tSTEP\tRUN\tWORKER\tSTAGE\tDETAIL")
	for _, v := range x.Events {
		subject := v.Run
		if subject == "" {
			subject = v.Task
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", v.Age.D().Round(ageUnit), v.Step, subject, v.Worker, v.Stage, v.Detail)
	}
	incomplete(w, x.Incomplete)
}
