package entry

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"skylarkport/internal/settings"
	"skylarkport/internal/version"
)

// Commands returns the commands of skylark-entry.
func Commands() []subcommands.Command {
	return []subcommands.Command{&runCommand{}, &checkCommand{}, versionCommand{}}
}

type runCommand struct{ file string }

func (*runCommand) Name() string               { return "run" }
func (*runCommand) Synopsis() string           { return "run the entry" }
func (*runCommand) Usage() string              { return "run -settings FILE\n" }
func (c *runCommand) SetFlags(f *flag.FlagSet) { f.StringVar(&c.file, "settings", "", "settings file") }

func (c *runCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	cfg, err := settings.LoadEntry(c.file)
	if err != nil {
		return failed(err)
	}
	if err := Run(cfg); err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}

type checkCommand struct{ file string }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings file" }
func (*checkCommand) Usage() string    { return "check -settings FILE\n" }
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings file")
}

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := settings.LoadEntry(c.file); err != nil {
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
	fmt.Println(version.String())
	return subcommands.ExitSuccess
}

func failed(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}
