package standin

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/oklog/run"

	"skylarkport/internal/daemon"
	"skylarkport/internal/history"
	"skylarkport/internal/obs"
	"skylarkport/internal/settings"
)

// CheckSettings validates the settings file of a stand-in.
func CheckSettings(file string) error {
	_, err := settings.LoadStandin(file)
	return err
}

// RunProcess runs a stand-in process until a signal ends it.
func RunProcess(file string) error {
	cfg, err := settings.LoadStandin(file)
	if err != nil {
		return err
	}
	if err := obs.Setup(os.Stderr, cfg.Log.Format, cfg.Log.Level); err != nil {
		return err
	}
	return runGroup(*cfg)
}

func runGroup(cfg settings.Standin) error {
	var g run.Group
	daemon.AddActor(&g, New(cfg).Serve)
	daemon.AddActor(&g, daemon.WaitSignal)
	obs.Logger("standin").Infof("listening on %s", cfg.Listen)
	if err := g.Run(); !errors.Is(err, daemon.ErrSignal) {
		return err
	}
	return nil
}

// VerifyCommand returns the command that checks the record of a running stand-in against
// the rules in internal/history.
func VerifyCommand() subcommands.Command { return &verifyCommand{} }

type verifyCommand struct{ url string }

func (*verifyCommand) Name() string     { return "verify" }
func (*verifyCommand) Synopsis() string { return "check what a running stand-in recorded" }
func (*verifyCommand) Usage() string    { return "verify -url URL\n" }
func (c *verifyCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.url, "url", "http://127.0.0.1:17000", "URL of the stand-in")
}

func (c *verifyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	record, err := NewAdmin(c.url).History(ctx)
	if err != nil {
		return failed(err)
	}
	if !report(os.Stdout, record) {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// report prints the counters and every violation. It returns false if there is a violation.
func report(w io.Writer, record history.Record) bool {
	t := record.Totals
	fmt.Fprintf(w, "runs: %d started, %d ended, %d refused\n", t.RunsStarted, t.RunsEnded, t.RunsRefused)
	fmt.Fprintf(w, "requests at upstreams: %d\n", t.Executions)
	fmt.Fprintf(w, "tables: %d commits, %d rows written, %d rows read, %d conflicts\n", t.Commits, t.RowsWritten, t.RowsRead, t.Conflicts)
	fmt.Fprintf(w, "exchanges: %d, %d refused\n", t.Exchanges, t.ExchangesRefused)
	found := history.Check(history.Input{Record: record})
	for _, v := range found {
		fmt.Fprintf(w, "violation: %s\n", v)
	}
	fmt.Fprintf(w, "violations: %d\n", len(found))
	return len(found) == 0
}

func failed(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}
