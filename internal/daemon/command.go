package daemon

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"sparnotch/internal/config"
	"sparnotch/internal/httpapi"
	"sparnotch/internal/process"
	"sparnotch/internal/schema"
)

// Command is a daemon that a program runs as a subcommand.
type Command struct {
	Name     string
	Synopsis string
	Role     schema.Role
}

// checkPrefix precedes a daemon's name in the name of the subcommand that only checks
// the daemon's settings.
const checkPrefix = "check-"

// Main registers the subcommands of a program's daemons, runs the subcommand on the
// command line, and exits with its exit code.
func Main(program string, commands ...Command) {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, command := range commands {
		subcommands.Register(&daemonCommand{Command: command, program: program}, "")
		subcommands.Register(&daemonCommand{Command: command, program: program, isCheck: true}, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// daemonCommand implements subcommands.Command for a daemon, or for the check of its
// settings.
type daemonCommand struct {
	Command
	program string
	isCheck bool
	flags   config.Flags
}

func (c *daemonCommand) Name() string {
	if c.isCheck {
		return checkPrefix + c.Command.Name
	}
	return c.Command.Name
}

func (c *daemonCommand) Synopsis() string {
	if c.isCheck {
		return "check the settings of a " + c.Command.Name + " and start nothing"
	}
	return c.Command.Synopsis
}

func (c *daemonCommand) Usage() string {
	return fmt.Sprintf("%s %s -cell CELL -inner IP:PORT -outer IP:PORT -seeds A,B,C [flags]\n  %s.\n  Exit codes: 0 if a signal shut the daemon down, 1 if it failed, 2 if a setting is invalid (the error names it) or the data directory can't be used.\n",
		c.program, c.Name(), c.Synopsis())
}

func (c *daemonCommand) SetFlags(set *flag.FlagSet) {
	c.flags.Register(set, c.Role == schema.Role_ROLE_SERVER)
}

func (c *daemonCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := c.load(set)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", c.program, err)
		return ExitInvalidSettings
	}
	if c.isCheck {
		fmt.Println("settings are valid")
		return subcommands.ExitSuccess
	}
	return Serve(c.program, settings, c.flags.WatchFile(set, settings), c.Role, func(node *process.Node, log *zap.Logger) (Server, error) {
		return httpapi.Serve(node, log)
	})
}

func (c *daemonCommand) load(set *flag.FlagSet) (*schema.Settings, error) {
	settings, err := c.flags.Load(set)
	if err != nil {
		return nil, err
	}
	if c.Role == schema.Role_ROLE_CONTROLLER && settings.DataDir != "" {
		return nil, config.Invalid.New("data: a %s stores nothing, so it takes no data directory", c.Command.Name)
	}
	return settings, nil
}
