package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"

	"skylarkport/internal/job"
	"skylarkport/internal/version"
)

// ageUnit is the resolution of the ages in tables.
const ageUnit = 100 * time.Millisecond

const helpText = `skylarkctl calls the operator API of any scheduler of the deployment.
Give the base URLs of one or more schedulers, comma-separated, with -server or
$SKYLARK_SERVERS.

  skylarkctl service create reservations.json
  skylarkctl job show renewals-2026-12
  skylarkctl explain renewals-2026-12/3

Exit codes: 0 success; 1 failed; 2 invalid command line or input; 3 conflict;
4 not found; 5 no server answered or outcome unknown, safe to repeat;
6 refused, nothing was done.
`

// Register adds every command to c.
func Register(c *subcommands.Commander, e *Env) {
	c.Register(c.HelpCommand(), "help")
	c.Register(c.CommandsCommand(), "help")
	c.Register(versionCommand(e), "help")
	c.Register(jobCommand(e, "service", job.Service), "work")
	c.Register(jobCommand(e, "job", job.Batch), "work")
	c.Register(jobCommand(e, "watch", job.Watch), "work")
	c.Register(bundleCommand(e), "configuration")
	c.Register(keysCommand(e), "configuration")
	c.Register(statusCommand(e), "deployment")
	c.Register(workersCommand(e), "deployment")
	c.Register(explainCommand(e), "deployment")
	explain := c.Explain
	c.Explain = func(w io.Writer) {
		explain(w)
		fmt.Fprint(w, helpText)
	}
}

func versionCommand(e *Env) *simpleCommand {
	return &simpleCommand{env: e, verb: verb{name: "version", synopsis: "print the version", run: func(context.Context, *flag.FlagSet) subcommands.ExitStatus {
		fmt.Fprintln(e.Out, version.String())
		return subcommands.ExitSuccess
	}}}
}
