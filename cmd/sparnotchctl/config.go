package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/google/subcommands"
	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/schema"
)

// loadUpdate reads the configuration update from the file that is the command's only argument
// and validates it. It prints an error if this fails.
func loadUpdate(set *flag.FlagSet) (*schema.ConfigurationUpdate, subcommands.ExitStatus) {
	update, status := readUpdate(set)
	if status != subcommands.ExitSuccess {
		return nil, status
	}
	if fault := clusterstate.ValidateRows(update.Rows); fault != nil {
		printError("%s: %s [%s]", set.Arg(0), fault.Message, fault.Field)
		return nil, exitRejected
	}
	return update, status
}

// readUpdate reads the configuration update from the file that is the command's only argument,
// without validating its rows. It prints an error if this fails.
func readUpdate(set *flag.FlagSet) (*schema.ConfigurationUpdate, subcommands.ExitStatus) {
	if set.NArg() != 1 {
		printError("exactly one file is required (- for standard input)")
		return nil, exitUsage
	}
	data, err := readFile(set.Arg(0))
	if err != nil {
		printError("%v", err)
		return nil, exitUsage
	}
	update, err := parseUpdate(data)
	if err != nil {
		printError("%s: %v", set.Arg(0), err)
		return nil, exitRejected
	}
	return update, subcommands.ExitSuccess
}

// getConfig requests the current configuration from the nodes. It prints an error if this fails.
func (n *nodeClient) getConfig() (*schema.Configuration, subcommands.ExitStatus) {
	data, status := n.call("GET", "/v1/plan", nil)
	if status != subcommands.ExitSuccess {
		return nil, status
	}
	return parseConfig(data)
}

// parseConfig decodes a configuration that a node has sent. It prints an error if this fails.
func parseConfig(data []byte) (*schema.Configuration, subcommands.ExitStatus) {
	config := &schema.Configuration{}
	if err := protojson.Unmarshal(data, config); err != nil {
		printError("%v", err)
		return nil, exitFailed
	}
	return config, subcommands.ExitSuccess
}

// formatVersions returns a text with a configuration's revision ("generation" in the interface)
// and, if the configuration has one, its author's version ("edition").
func formatVersions(config *schema.Configuration) string {
	if config.Version == 0 {
		return fmt.Sprintf("generation %d", config.Revision)
	}
	return fmt.Sprintf("generation %d, edition %d", config.Revision, config.Version)
}

// configGetCommand prints the current configuration as CSV or JSON.
type configGetCommand struct {
	nodeClient
	isJSON bool
}

func (*configGetCommand) Name() string     { return "config-get" }
func (*configGetCommand) Synopsis() string { return "print the configuration as CSV" }
func (*configGetCommand) Usage() string {
	return "sparnotchctl config-get [-json] > config.csv\n  The output contains the generation of the configuration. Edit the file and send\n  the whole file back with config-apply.\n" + exitHelp
}
func (c *configGetCommand) SetFlags(set *flag.FlagSet) {
	c.register(set)
	set.BoolVar(&c.isJSON, "json", false, "print JSON instead of CSV")
}
func (c *configGetCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	config, status := c.getConfig()
	if status != subcommands.ExitSuccess {
		return status
	}
	if c.isJSON {
		fmt.Println(protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Format(config))
		return status
	}
	if err := writeConfigCSV(os.Stdout, config); err != nil {
		printError("%v", err)
		return exitFailed
	}
	return status
}

// configCheckCommand validates a configuration file without sending it.
type configCheckCommand struct{}

func (*configCheckCommand) Name() string           { return "config-check" }
func (*configCheckCommand) Synopsis() string       { return "check a configuration without sending it" }
func (*configCheckCommand) Usage() string          { return "sparnotchctl config-check FILE\n" + exitHelp }
func (*configCheckCommand) SetFlags(*flag.FlagSet) {}
func (c *configCheckCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	update, status := loadUpdate(set)
	if status != subcommands.ExitSuccess {
		return status
	}
	if update.Version > 0 {
		fmt.Printf("valid: %d rows, edition %d built on %d, queues %s\n", len(update.Rows), update.Version, update.BaseVersion, strings.Join(clusterstate.QueueNames(&schema.Configuration{Rows: update.Rows}), " "))
		return status
	}
	if update.BaseRevision == nil {
		printError("%s: the line %q is missing; create the file with config-get", set.Arg(0), revisionHeader)
		return exitRejected
	}
	fmt.Printf("valid: %d rows, built on generation %d, queues %s\n", len(update.Rows), update.GetBaseRevision(), strings.Join(clusterstate.QueueNames(&schema.Configuration{Rows: update.Rows}), " "))
	return status
}

// configApplyCommand replaces the configuration with a complete configuration from a file.
type configApplyCommand struct{ nodeClient }

func (*configApplyCommand) Name() string     { return "config-apply" }
func (*configApplyCommand) Synopsis() string { return "send a complete configuration" }
func (*configApplyCommand) Usage() string {
	return "sparnotchctl config-apply FILE\n  The file is rejected if the configuration has changed since the file was created.\n  It is safe to send a file again after it has taken effect.\n" + exitHelp
}
func (c *configApplyCommand) SetFlags(set *flag.FlagSet) { c.register(set) }
func (c *configApplyCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	update, status := loadUpdate(set)
	if status != subcommands.ExitSuccess {
		return status
	}
	return c.sendUpdate("PUT", update)
}

// sendUpdate sends an update to the nodes and prints the versions and the number of rows of the
// resulting configuration.
func (n *nodeClient) sendUpdate(method string, update *schema.ConfigurationUpdate) subcommands.ExitStatus {
	body, err := protojson.Marshal(update)
	if err != nil {
		printError("%v", err)
		return exitFailed
	}
	data, status := n.call(method, "/v1/plan", body)
	if status != subcommands.ExitSuccess {
		return status
	}
	config, status := parseConfig(data)
	if status != subcommands.ExitSuccess {
		return status
	}
	fmt.Printf("applied: %s, %d rows\n", formatVersions(config), len(config.Rows))
	return status
}

// configDiffCommand compares a configuration file with the current configuration.
type configDiffCommand struct{ nodeClient }

func (*configDiffCommand) Name() string     { return "config-diff" }
func (*configDiffCommand) Synopsis() string { return "show how a file differs from the configuration" }
func (*configDiffCommand) Usage() string {
	return "sparnotchctl config-diff FILE\n  The exit code is 4 if they differ.\n" + exitHelp
}
func (c *configDiffCommand) SetFlags(set *flag.FlagSet) { c.register(set) }
func (c *configDiffCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	update, status := loadUpdate(set)
	if status != subcommands.ExitSuccess {
		return status
	}
	config, status := c.getConfig()
	if status != subcommands.ExitSuccess {
		return status
	}
	if update.Version > 0 {
		fmt.Printf("the file is edition %d built on %d, the configuration is at %s\n", update.Version, update.BaseVersion, formatVersions(config))
	} else if update.BaseRevision == nil || update.GetBaseRevision() != config.Revision {
		fmt.Printf("the file was built on generation %d, the configuration is at %d\n", update.GetBaseRevision(), config.Revision)
	}
	if lines := diffRows(config.Rows, update.Rows); len(lines) > 0 {
		fmt.Println(strings.Join(lines, "\n"))
		return exitDiffers
	}
	return status
}

// diffRows returns one line for each row that was removed (-), changed (~) or added (+), sorted
// by kind, name and key.
func diffRows(old, updated []*schema.ConfigurationRow) []string {
	values := func(rows []*schema.ConfigurationRow) map[string]string {
		m := map[string]string{}
		for _, row := range rows {
			m[row.Kind+","+row.Name+","+row.Key] = row.Value
		}
		return m
	}
	oldValues, updatedValues := values(old), values(updated)
	var lines []string
	for key, value := range oldValues {
		if other, found := updatedValues[key]; !found {
			lines = append(lines, "- "+key+","+value)
		} else if other != value {
			lines = append(lines, "~ "+key+": "+value+" -> "+other)
		}
	}
	for key, value := range updatedValues {
		if _, found := oldValues[key]; !found {
			lines = append(lines, "+ "+key+","+value)
		}
	}
	sort.Slice(lines, func(a, b int) bool { return lines[a][2:] < lines[b][2:] })
	return lines
}

// configHistoryCommand prints the retained revisions of the configuration, and the rows that
// each revision changed.
type configHistoryCommand struct{ nodeClient }

func (*configHistoryCommand) Name() string                 { return "config-history" }
func (*configHistoryCommand) Synopsis() string             { return "show what each retained generation changed" }
func (*configHistoryCommand) Usage() string                { return "sparnotchctl config-history\n" + exitHelp }
func (c *configHistoryCommand) SetFlags(set *flag.FlagSet) { c.register(set) }
func (c *configHistoryCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	data, status := c.call("GET", "/v1/plan/history", nil)
	if status != subcommands.ExitSuccess {
		return status
	}
	var revisions []json.RawMessage
	if err := json.Unmarshal(data, &revisions); err != nil {
		printError("%v", err)
		return exitFailed
	}
	previous := &schema.Configuration{}
	for k, revision := range revisions {
		config, status := parseConfig(revision)
		if status != subcommands.ExitSuccess {
			return status
		}
		fmt.Printf("%s, %d rows\n", formatVersions(config), len(config.Rows))
		if k > 0 {
			for _, line := range diffRows(previous.Rows, config.Rows) {
				fmt.Println("  " + line)
			}
		}
		previous = config
	}
	return status
}

// configKeysCommand lists all keys that a configuration row may have.
type configKeysCommand struct{}

func (*configKeysCommand) Name() string { return "config-keys" }
func (*configKeysCommand) Synopsis() string {
	return "list every key of the configuration, its default, bounds and meaning"
}
func (*configKeysCommand) Usage() string          { return "sparnotchctl config-keys\n" }
func (*configKeysCommand) SetFlags(*flag.FlagSet) {}
func (*configKeysCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println(strings.Join(clusterstate.DescribeKeys(), "\n"))
	return subcommands.ExitSuccess
}
