package standin

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"syscall"

	"github.com/google/subcommands"
	"github.com/oklog/run"

	"skylarkport/internal/history"
	"skylarkport/internal/obs"
	"skylarkport/internal/settings"
	"skylarkport/internal/version"
)

// Commands returns the commands of skylark-standin.
func Commands() []subcommands.Command {
	return []subcommands.Command{&runCommand{}, &checkCommand{}, &verifyCommand{}, versionCommand{}}
}

type runCommand struct{ file string }

func (*runCommand) Name() string               { return "run" }
func (*runCommand) Synopsis() string           { return "run the stand-in" }
func (*runCommand) Usage() string              { return "run -settings FILE\n" }
func (c *runCommand) SetFlags(f *flag.FlagSet) { f.StringVar(&c.file, "settings", "", "settings file") }

func (c *runCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	cfg, err := settings.LoadStandin(c.file)
	if err != nil {
		return failed(err)
	}
	if err := obs.Setup(os.Stderr, cfg.Log.Format, cfg.Log.Level); err != nil {
		return failed(err)
	}
	if err := runGroup(*cfg); err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}

// runGroup serves until a signal ends it.
func runGroup(cfg settings.Standin) error {
	var g run.Group
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return New(cfg).Serve(ctx) }, func(error) { cancel() })
	g.Add(run.SignalHandler(ctx, syscall.SIGINT, syscall.SIGTERM))
	obs.Logger("standin").Infof("listening on %s", cfg.Listen)
	err := g.Run()
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}

type checkCommand struct{ file string }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings file" }
func (*checkCommand) Usage() string    { return "check -settings FILE\n" }
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings file")
}

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := settings.LoadStandin(c.file); err != nil {
		return failed(err)
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}

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

// report prints the counters and every violation.
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

type versionCommand struct{}

func (versionCommand) Name() string           { return "version" }
func (versionCommand) Synopsis() string       { return "print the version" }
func (versionCommand) Usage() string          { return "version\n" }
func (versionCommand) SetFlags(*flag.FlagSet) {}

func (versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println(version.String())
	return subcommands.ExitSuccess
}

func failed(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}
