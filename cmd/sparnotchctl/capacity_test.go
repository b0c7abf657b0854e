package main

import (
	"context"
	"flag"
	"testing"

	"github.com/google/subcommands"
	. "github.com/smartystreets/goconvey/convey"
)

func runCapacity(args ...string) subcommands.ExitStatus {
	c := &capacityCommand{}
	set := flag.NewFlagSet("capacity", flag.ContinueOnError)
	c.SetFlags(set)
	if err := set.Parse(args); err != nil {
		return exitUsage
	}
	return c.Execute(context.Background(), set)
}

func TestCapacityCommand(t *testing.T) {
	Convey("sparnotchctl capacity estimates a deployment, and exits with 2 for bad fields", t, func() {
		So(runCapacity("-workers", "48", "-queues", "4", "-starts", "20"), ShouldEqual, subcommands.ExitSuccess)
		So(runCapacity("-queues", "4", "-starts", "20"), ShouldEqual, exitUsage)
		So(runCapacity("-workers", "48", "-queues", "4", "-starts", "-1"), ShouldEqual, exitUsage)
		So(runCapacity("-workers", "48", "-queues", "4", "-slopes", "none.csv"), ShouldEqual, exitUsage)
		So(runCapacity("-workers", "48", "-queues", "4", "more"), ShouldEqual, exitUsage)
	})
}
