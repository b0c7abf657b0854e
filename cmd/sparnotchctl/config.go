package main

import (
	"bytes"
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"strings"

	"github.com/google/subcommands"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/schema"
)

// The sheet: a first line with the generation it was built on, a head, rows. The
// author's edition stands beside the generation where there is one, to be seen;
// a sheet is sent back by its generation alone.
const (
	revisionHeader = "#generation"
	versionHeader  = "#edition"
)

var columns = []string{"kind", "name", "key", "value"}

func writeConfigCSV(out io.Writer, config *schema.Configuration) error {
	w := csv.NewWriter(out)
	first := []string{revisionHeader, strconv.FormatUint(config.Revision, 10), "", ""}
	if config.Version > 0 {
		first[2], first[3] = versionHeader, strconv.FormatUint(config.Version, 10)
	}
	if err := w.Write(first); err != nil {
		return err
	}
	if err := w.Write(columns); err != nil {
		return err
	}
	for _, row := range config.Rows {
		if err := w.Write([]string{row.Kind, row.Name, row.Key, row.Value}); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}

// parseUpdate reads CSV, as a spreadsheet writes it, or JSON.
func parseUpdate(data []byte) (*schema.ConfigurationUpdate, error) {
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	if trimmed := bytes.TrimSpace(data); len(trimmed) > 0 && trimmed[0] == '{' {
		update := &schema.ConfigurationUpdate{}
		err := protojson.Unmarshal(trimmed, update)
		if update.BaseRevision != nil {
			// An edit of what plan-get has shown. Under the edition shown with it, it
			// would pass for that edition sent again, and nothing of it be taken.
			update.Version, update.BaseVersion, update.Document = 0, 0, nil
		}
		return update, err
	}
	reader := csv.NewReader(bytes.NewReader(data))
	reader.FieldsPerRecord = -1
	if first, _, _ := strings.Cut(string(data), "\n"); strings.Count(first, ";") > strings.Count(first, ",") {
		reader.Comma = ';' // what spreadsheets write where the comma is the decimal sign
	}
	update := &schema.ConfigurationUpdate{}
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return update, nil
		}
		if err != nil {
			return nil, err
		}
		line, _ := reader.FieldPos(0)
		for k := range fields {
			fields[k] = strings.TrimSpace(fields[k])
		}
		for len(fields) > 4 && fields[len(fields)-1] == "" {
			fields = fields[:len(fields)-1]
		}
		switch {
		case strings.Join(fields, "") == "" || strings.Join(fields, ",") == strings.Join(columns, ","):
		case fields[0] == revisionHeader:
			if len(fields) < 2 {
				return nil, fmt.Errorf("line %d: the generation is missing", line)
			}
			number, err := strconv.ParseUint(fields[1], 10, 64)
			if err != nil {
				return nil, fmt.Errorf("line %d: %q is no generation", line, fields[1])
			}
			update.BaseRevision = proto.Uint64(number)
		case len(fields) != 4:
			return nil, fmt.Errorf("line %d: %d fields, a row has kind, name, key and value", line, len(fields))
		default:
			update.Rows = append(update.Rows, &schema.ConfigurationRow{Kind: fields[0], Name: fields[1], Key: fields[2], Value: fields[3]})
		}
	}
}

func loadUpdate(set *flag.FlagSet) (*schema.ConfigurationUpdate, subcommands.ExitStatus) {
	if set.NArg() != 1 {
		printError("one sheet is needed, - for standard input")
		return nil, exitUsage
	}
	var data []byte
	var err error
	if set.Arg(0) == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(set.Arg(0))
	}
	if err != nil {
		printError("%v", err)
		return nil, exitUsage
	}
	update, err := parseUpdate(data)
	if err != nil {
		printError("%s: %v", set.Arg(0), err)
		return nil, exitRejected
	}
	if fault := clusterstate.ValidateRows(update.Rows); fault != nil {
		printError("%s: %s [%s]", set.Arg(0), fault.Message, fault.Field)
		return nil, exitRejected
	}
	return update, subcommands.ExitSuccess
}

func (n *nodeClient) getConfig() (*schema.Configuration, subcommands.ExitStatus) {
	data, status := n.call("GET", "/v1/plan", nil)
	if status != subcommands.ExitSuccess {
		return nil, status
	}
	plan := &schema.Configuration{}
	if err := protojson.Unmarshal(data, plan); err != nil {
		printError("%v", err)
		return nil, exitFailed
	}
	return plan, status
}

// formatVersions are a plan's generation, and its edition if its author has them.
func formatVersions(config *schema.Configuration) string {
	if config.Version == 0 {
		return fmt.Sprintf("generation %d", config.Revision)
	}
	return fmt.Sprintf("generation %d, edition %d", config.Revision, config.Version)
}

// --- get ---

type configGetCommand struct {
	nodeClient
	isJSON bool
}

func (*configGetCommand) Name() string     { return "plan-get" }
func (*configGetCommand) Synopsis() string { return "print the plan as a sheet" }
func (*configGetCommand) Usage() string {
	return "sparnotchctl plan-get [-json] > sheet.csv\n  The sheet carries the generation it was built on; edit it and send it back whole with plan-put.\n" + exitHelp
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

// --- check ---

type configCheckCommand struct{}

func (*configCheckCommand) Name() string           { return "plan-check" }
func (*configCheckCommand) Synopsis() string       { return "check a sheet without sending it" }
func (*configCheckCommand) Usage() string          { return "sparnotchctl plan-check SHEET\n" + exitHelp }
func (*configCheckCommand) SetFlags(*flag.FlagSet) {}
func (c *configCheckCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	update, status := loadUpdate(set)
	if status != subcommands.ExitSuccess {
		return status
	}
	if update.Version > 0 {
		fmt.Printf("good: %d rows, edition %d built on %d, queues %s\n", len(update.Rows), update.Version, update.BaseVersion, strings.Join(clusterstate.QueueNames(&schema.Configuration{Rows: update.Rows}), " "))
		return status
	}
	if update.BaseRevision == nil {
		printError("%s: the line %q is missing: get the sheet with plan-get", set.Arg(0), revisionHeader)
		return exitRejected
	}
	fmt.Printf("good: %d rows, built on generation %d, queues %s\n", len(update.Rows), update.GetBaseRevision(), strings.Join(clusterstate.QueueNames(&schema.Configuration{Rows: update.Rows}), " "))
	return status
}

// --- put ---

type configApplyCommand struct{ nodeClient }

func (*configApplyCommand) Name() string     { return "plan-put" }
func (*configApplyCommand) Synopsis() string { return "send a sheet back whole" }
func (*configApplyCommand) Usage() string {
	return "sparnotchctl plan-put SHEET\n  Turned away when the plan has changed since the sheet was made. Sending the\n  sheet that has just taken effect again does no harm.\n" + exitHelp
}
func (c *configApplyCommand) SetFlags(set *flag.FlagSet) { c.register(set) }
func (c *configApplyCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	update, status := loadUpdate(set)
	if status != subcommands.ExitSuccess {
		return status
	}
	body, err := protojson.Marshal(update)
	if err != nil {
		printError("%v", err)
		return exitFailed
	}
	data, status := c.call("PUT", "/v1/plan", body)
	if status != subcommands.ExitSuccess {
		return status
	}
	config := &schema.Configuration{}
	if err := protojson.Unmarshal(data, config); err != nil {
		printError("%v", err)
		return exitFailed
	}
	fmt.Printf("taken: %s, %d rows\n", formatVersions(config), len(config.Rows))
	return status
}

// --- diff ---

type configDiffCommand struct{ nodeClient }

func (*configDiffCommand) Name() string     { return "plan-diff" }
func (*configDiffCommand) Synopsis() string { return "say how a sheet differs from the plan" }
func (*configDiffCommand) Usage() string {
	return "sparnotchctl plan-diff SHEET\n  Exits with 4 when they differ.\n" + exitHelp
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
		fmt.Printf("the sheet is edition %d built on %d, the plan is at %s\n", update.Version, update.BaseVersion, formatVersions(config))
	} else if update.BaseRevision == nil || update.GetBaseRevision() != config.Revision {
		fmt.Printf("the sheet was built on generation %d, the plan is at %d\n", update.GetBaseRevision(), config.Revision)
	}
	if lines := diffRows(config.Rows, update.Rows); len(lines) > 0 {
		fmt.Println(strings.Join(lines, "\n"))
		return exitDiffers
	}
	return status
}

func diffRows(old, updated []*schema.ConfigurationRow) []string {
	values := func(rows []*schema.ConfigurationRow) map[string]string {
		m := map[string]string{}
		for _, row := range rows {
			m[row.Kind+","+row.Name+","+row.Key] = row.Value
		}
		return m
	}
	x, y := values(old), values(updated)
	var lines []string
	for key, value := range x {
		if other, found := y[key]; !found {
			lines = append(lines, "- "+key+","+value)
		} else if other != value {
			lines = append(lines, "~ "+key+": "+value+" -> "+other)
		}
	}
	for key, value := range y {
		if _, found := x[key]; !found {
			lines = append(lines, "+ "+key+","+value)
		}
	}
	sort.Slice(lines, func(a, b int) bool { return lines[a][2:] < lines[b][2:] })
	return lines
}

// --- history ---

type configHistoryCommand struct{ nodeClient }

func (*configHistoryCommand) Name() string                 { return "plan-history" }
func (*configHistoryCommand) Synopsis() string             { return "say what each kept generation changed" }
func (*configHistoryCommand) Usage() string                { return "sparnotchctl plan-history\n" + exitHelp }
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
		config := &schema.Configuration{}
		if err := protojson.Unmarshal(revision, config); err != nil {
			printError("%v", err)
			return exitFailed
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

// --- form ---

type configKeysCommand struct{}

func (*configKeysCommand) Name() string { return "plan-form" }
func (*configKeysCommand) Synopsis() string {
	return "list every key of the plan, its default, bounds and meaning"
}
func (*configKeysCommand) Usage() string          { return "sparnotchctl plan-form\n" }
func (*configKeysCommand) SetFlags(*flag.FlagSet) {}
func (*configKeysCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println(strings.Join(clusterstate.DescribeKeys(), "\n"))
	return subcommands.ExitSuccess
}
