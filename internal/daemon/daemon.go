// Package daemon holds what the long-running programs have in common: the
// commands run, check and version, and the end by signals.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/oklog/run"

	"skylarkport/internal/version"
)

// Daemon is a program that reads a settings file and runs until a signal.
type Daemon struct {
	Name  string
	Check func(file string) error // checks the settings and starts nothing
	Run   func(file string) error
	More  []subcommands.Command // of this program alone
}

// Main runs the command line of the process and returns its exit code: 0 for
// success, 1 for a fault, 2 for a wrong command line.
func (d *Daemon) Main() int {
	c := subcommands.NewCommander(flag.CommandLine, d.Name)
	c.Register(c.HelpCommand(), "")
	c.Register(&command{name: "run", synopsis: "run until SIGTERM; a second signal ends at once", do: d.Run}, "")
	c.Register(&command{name: "check", synopsis: "check a settings file and start nothing", do: d.check}, "")
	c.Register(versionCommand{}, "")
	for _, m := range d.More {
		c.Register(m, "")
	}
	flag.Parse()
	return int(c.Execute(context.Background()))
}

func (d *Daemon) check(file string) error {
	if err := d.Check(file); err != nil {
		return err
	}
	fmt.Println(file + ": ok")
	return nil
}

// command is a command that takes a settings file.
type command struct {
	name, synopsis string
	do             func(file string) error
	file           string
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return fmt.Sprintf("%s -settings FILE: %s\n", c.name, c.synopsis)
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "JSON settings file")
}

// Execute implements subcommands.Command.
func (c *command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.file == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.do(c.file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// versionCommand prints the version.
type versionCommand struct{}

// Name implements subcommands.Command.
func (versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (versionCommand) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (versionCommand) Usage() string { return "version: print the version\n" }

// SetFlags implements subcommands.Command.
func (versionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println(version.String())
	return subcommands.ExitSuccess
}

// ErrSignal is returned by WaitSignal at the first signal.
var ErrSignal = errors.New("signal")

// exitSecondSignal is the exit code after a second signal.
const exitSecondSignal = 3

// WaitSignal returns ErrSignal at the first SIGTERM or SIGINT, or nil when ctx
// ends. From the first signal on, a second one ends the process at once.
func WaitSignal(ctx context.Context) error {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-ctx.Done():
		signal.Stop(c)
		return nil
	case <-c:
	}
	go func() {
		<-c
		os.Exit(exitSecondSignal)
	}()
	return ErrSignal
}

// Actor adds f to g with a context that ends when any actor of g returns.
func Actor(g *run.Group, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}
