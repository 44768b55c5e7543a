package standin

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/google/subcommands"
	"github.com/oklog/run"

	"skylarkport/internal/settings"
)

// Commands returns the commands of skylark-standin.
func Commands() []subcommands.Command {
	return []subcommands.Command{&runCommand{}, &checkCommand{}, versionCommand{}}
}

type runCommand struct{ file string }

func (*runCommand) Name() string               { return "run" }
func (*runCommand) Synopsis() string           { return "run the stand-in" }
func (*runCommand) Usage() string              { return "run -settings FILE\n" }
func (c *runCommand) SetFlags(f *flag.FlagSet) { f.StringVar(&c.file, "settings", "", "settings file") }

func (c *runCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	cfg, err := Load(c.file)
	if err != nil {
		return failed(err)
	}
	if err := runGroup(cfg); err != nil {
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
	log.Infof("standin: listening on %s", cfg.Listen)
	err := g.Run()
	if errors.As(err, &run.SignalError{}) || errors.Is(err, run.ErrSignal) {
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
	if _, err := Load(c.file); err != nil {
		return failed(err)
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}

type versionCommand struct{}

func (versionCommand) Name() string           { return "version" }
func (versionCommand) Synopsis() string       { return "print the version" }
func (versionCommand) Usage() string          { return "version\n" }
func (versionCommand) SetFlags(*flag.FlagSet) {}

func (versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return subcommands.ExitFailure
	}
	fmt.Println("skylark-standin", info.Main.Version)
	return subcommands.ExitSuccess
}

func failed(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}
