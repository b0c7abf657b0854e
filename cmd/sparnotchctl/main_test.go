package main

import (
	"bytes"
	"context"
	"flag"
	"testing"

	"github.com/google/subcommands"
	. "github.com/smartystreets/goconvey/convey"
)

func TestAliases(t *testing.T) {
	// help runs the help command and returns its output.
	help := func(args ...string) string {
		flags := flag.NewFlagSet("sparnotchctl", flag.ContinueOnError)
		commander := newCommander(flags, "sparnotchctl")
		out := &bytes.Buffer{}
		commander.Output = out
		So(flags.Parse(append([]string{"help"}, args...)), ShouldBeNil)
		So(commander.Execute(context.Background()), ShouldEqual, subcommands.ExitSuccess)
		return out.String()
	}
	Convey("Every earlier name of a command still runs it, and help names it as an alias", t, func() {
		list := help()
		for name, alias := range aliases {
			So(list, ShouldContainSubstring, "(alias: "+alias+")")
			So(help(alias), ShouldEqual, help(name))
			So(help(name), ShouldStartWith, "sparnotchctl "+name)
		}
	})
	Convey("No name stands for two commands", t, func() {
		seen := map[string]bool{}
		for _, group := range groups {
			for _, command := range group.commands {
				for _, name := range []string{command.Name(), aliases[command.Name()]} {
					So(name != "" && seen[name], ShouldBeFalse)
					seen[name] = true
				}
			}
		}
		for name := range aliases {
			So(seen[name], ShouldBeTrue)
		}
	})
	Convey("An alias takes the command's flags", t, func() {
		flags := flag.NewFlagSet("sparnotchctl", flag.ContinueOnError)
		commander := newCommander(flags, "sparnotchctl")
		So(flags.Parse([]string{"size", "-workers", "48", "-queues", "4", "-starts", "20"}), ShouldBeNil)
		So(commander.Execute(context.Background()), ShouldEqual, subcommands.ExitSuccess)
	})
}
