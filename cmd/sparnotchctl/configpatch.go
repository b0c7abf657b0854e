package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"sparnotch/internal/schema"
)

// configPatchCommand changes some rows of the configuration and keeps all others.
type configPatchCommand struct {
	nodeClient
	removed itemsFlag
}

func (*configPatchCommand) Name() string     { return "config-patch" }
func (*configPatchCommand) Synopsis() string { return "change some rows of the configuration" }
func (*configPatchCommand) Usage() string {
	return "sparnotchctl config-patch [-remove KIND/NAME]... FILE\n  FILE has the form that config-apply reads, but holds only the rows to set. All rows of\n  the removed queues, racks, pools and tenants are deleted first; all other rows are kept.\n  The patch is rejected if the configuration has changed since the generation in the file.\n" + exitHelp
}
func (c *configPatchCommand) SetFlags(set *flag.FlagSet) {
	c.register(set)
	set.Var(&c.removed, "remove", "KIND/NAME of a queue, rack, pool or tenant to remove; may be given more than once")
}
func (c *configPatchCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	update, status := readUpdate(set)
	if status != subcommands.ExitSuccess {
		return status
	}
	update.IsPatch, update.Removed = true, append(update.Removed, c.removed...)
	return c.sendUpdate("PATCH", update)
}

// itemsFlag is a repeatable flag. Each use names one item of the configuration.
type itemsFlag []*schema.ConfigurationItem

// String returns the items as KIND/NAME, separated by spaces. It implements flag.Value.
func (f *itemsFlag) String() string {
	var names []string
	for _, item := range *f {
		names = append(names, item.Kind+"/"+item.Name)
	}
	return strings.Join(names, " ")
}

// Set adds the item KIND/NAME. It implements flag.Value.
func (f *itemsFlag) Set(text string) error {
	kind, name, found := strings.Cut(text, "/")
	if !found || kind == "" || name == "" {
		return fmt.Errorf("%q does not have the form KIND/NAME", text)
	}
	*f = append(*f, &schema.ConfigurationItem{Kind: kind, Name: name})
	return nil
}
