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

// ageUnit is the resolution in which ages are shown.
const ageUnit = 100 * time.Millisecond

const helpText = `skylarkctl talks to the operator API of any scheduler of the deployment.
Name one or more of them, comma-separated, with -server or $SKYLARK_SERVERS.

  skylarkctl service create reservations.json
  skylarkctl job show renewals-2026-12
  skylarkctl explain renewals-2026-12/3

Exit codes: 0 done; 1 failed; 2 bad command line or input; 3 conflict;
4 not found; 5 no server answered or outcome unknown, repeat it; 6 refused.
`

// Register adds every command to c.
func Register(c *subcommands.Commander, e *Env) {
	c.Register(c.HelpCommand(), "help")
	c.Register(c.CommandsCommand(), "help")
	c.Register(versionCommand(e), "help")
	c.Register(jobNoun(e, "service", job.Service), "work")
	c.Register(jobNoun(e, "job", job.Batch), "work")
	c.Register(jobNoun(e, "watch", job.Watch), "work")
	c.Register(bundleNoun(e), "configuration")
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

func versionCommand(e *Env) *single {
	return &single{env: e, verb: verb{name: "version", synopsis: "print the version", run: func(context.Context, *flag.FlagSet) subcommands.ExitStatus {
		fmt.Fprintln(e.Out, version.String())
		return subcommands.ExitSuccess
	}}}
}
