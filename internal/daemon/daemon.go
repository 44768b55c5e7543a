// Package daemon provides what the long-running programs share: the subcommands run,
// check and version, and shutdown by signals.
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

// Daemon is a program that reads a settings file and runs until it receives a signal.
type Daemon struct {
	Name        string
	Check       func(file string) error // validates the settings without starting anything
	Run         func(file string) error // runs the program until a signal
	Subcommands []subcommands.Command   // additional subcommands of this program
}

// Main runs the subcommand on the command line of the process and returns the exit
// code: 0 for success, 1 for an error, 2 for wrong usage.
func (d *Daemon) Main() int {
	c := subcommands.NewCommander(flag.CommandLine, d.Name)
	c.Register(c.HelpCommand(), "")
	c.Register(&command{name: "run", synopsis: "run until SIGTERM or SIGINT; a second signal exits immediately", action: d.Run}, "")
	c.Register(&command{name: "check", synopsis: "validate a settings file without starting anything", action: d.check}, "")
	c.Register(versionCommand{}, "")
	for _, m := range d.Subcommands {
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

// command is a subcommand that takes a settings file.
type command struct {
	name, synopsis string
	action         func(file string) error
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
	if err := c.action(c.file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// versionCommand is the subcommand that prints the version.
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

// ErrSignal is returned by WaitSignal on the first signal.
var ErrSignal = errors.New("signal")

// exitSecondSignal is the exit code on a second signal.
const exitSecondSignal = 3

// WaitSignal returns ErrSignal on the first SIGTERM or SIGINT, or nil when ctx ends.
// After the first signal, a second one exits the process immediately.
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

// AddActor adds f to g with a context that is cancelled when any actor of g returns.
func AddActor(g *run.Group, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}
