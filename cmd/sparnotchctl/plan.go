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
	generationMark = "#generation"
	editionMark    = "#edition"
)

var head = []string{"kind", "name", "key", "value"}

func writeSheet(out io.Writer, plan *schema.Configuration) error {
	w := csv.NewWriter(out)
	first := []string{generationMark, strconv.FormatUint(plan.Revision, 10), "", ""}
	if plan.Version > 0 {
		first[2], first[3] = editionMark, strconv.FormatUint(plan.Version, 10)
	}
	if err := w.Write(first); err != nil {
		return err
	}
	if err := w.Write(head); err != nil {
		return err
	}
	for _, row := range plan.Rows {
		if err := w.Write([]string{row.Kind, row.Name, row.Key, row.Value}); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}

// readSheet reads CSV, as a spreadsheet writes it, or JSON.
func readSheet(data []byte) (*schema.ConfigurationUpdate, error) {
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	if trimmed := bytes.TrimSpace(data); len(trimmed) > 0 && trimmed[0] == '{' {
		sheet := &schema.ConfigurationUpdate{}
		err := protojson.Unmarshal(trimmed, sheet)
		if sheet.BaseRevision != nil {
			// An edit of what plan-get has shown. Under the edition shown with it, it
			// would pass for that edition sent again, and nothing of it be taken.
			sheet.Version, sheet.BaseVersion, sheet.Document = 0, 0, nil
		}
		return sheet, err
	}
	reader := csv.NewReader(bytes.NewReader(data))
	reader.FieldsPerRecord = -1
	if first, _, _ := strings.Cut(string(data), "\n"); strings.Count(first, ";") > strings.Count(first, ",") {
		reader.Comma = ';' // what spreadsheets write where the comma is the decimal sign
	}
	sheet := &schema.ConfigurationUpdate{}
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return sheet, nil
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
		case strings.Join(fields, "") == "" || strings.Join(fields, ",") == strings.Join(head, ","):
		case fields[0] == generationMark:
			if len(fields) < 2 {
				return nil, fmt.Errorf("line %d: the generation is missing", line)
			}
			number, err := strconv.ParseUint(fields[1], 10, 64)
			if err != nil {
				return nil, fmt.Errorf("line %d: %q is no generation", line, fields[1])
			}
			sheet.BaseRevision = proto.Uint64(number)
		case len(fields) != 4:
			return nil, fmt.Errorf("line %d: %d fields, a row has kind, name, key and value", line, len(fields))
		default:
			sheet.Rows = append(sheet.Rows, &schema.ConfigurationRow{Kind: fields[0], Name: fields[1], Key: fields[2], Value: fields[3]})
		}
	}
}

func loadSheet(set *flag.FlagSet) (*schema.ConfigurationUpdate, subcommands.ExitStatus) {
	if set.NArg() != 1 {
		complain("one sheet is needed, - for standard input")
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
		complain("%v", err)
		return nil, exitUsage
	}
	sheet, err := readSheet(data)
	if err != nil {
		complain("%s: %v", set.Arg(0), err)
		return nil, exitTurnedAway
	}
	if fault := clusterstate.ValidateRows(sheet.Rows); fault != nil {
		complain("%s: %s [%s]", set.Arg(0), fault.Message, fault.Field)
		return nil, exitTurnedAway
	}
	return sheet, subcommands.ExitSuccess
}

func (n *nodes) plan() (*schema.Configuration, subcommands.ExitStatus) {
	data, status := n.call("GET", "/v1/plan", nil)
	if status != subcommands.ExitSuccess {
		return nil, status
	}
	plan := &schema.Configuration{}
	if err := protojson.Unmarshal(data, plan); err != nil {
		complain("%v", err)
		return nil, exitFailed
	}
	return plan, status
}

// numbers are a plan's generation, and its edition if its author has them.
func numbers(plan *schema.Configuration) string {
	if plan.Version == 0 {
		return fmt.Sprintf("generation %d", plan.Revision)
	}
	return fmt.Sprintf("generation %d, edition %d", plan.Revision, plan.Version)
}

// --- get ---

type planGet struct {
	nodes
	isJSON bool
}

func (*planGet) Name() string     { return "plan-get" }
func (*planGet) Synopsis() string { return "print the plan as a sheet" }
func (*planGet) Usage() string {
	return "sparnotchctl plan-get [-json] > sheet.csv\n  The sheet carries the generation it was built on; edit it and send it back whole with plan-put.\n" + exitHelp
}
func (c *planGet) SetFlags(set *flag.FlagSet) {
	c.register(set)
	set.BoolVar(&c.isJSON, "json", false, "print JSON instead of CSV")
}
func (c *planGet) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	plan, status := c.plan()
	if status != subcommands.ExitSuccess {
		return status
	}
	if c.isJSON {
		fmt.Println(protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Format(plan))
		return status
	}
	if err := writeSheet(os.Stdout, plan); err != nil {
		complain("%v", err)
		return exitFailed
	}
	return status
}

// --- check ---

type planCheck struct{}

func (*planCheck) Name() string           { return "plan-check" }
func (*planCheck) Synopsis() string       { return "check a sheet without sending it" }
func (*planCheck) Usage() string          { return "sparnotchctl plan-check SHEET\n" + exitHelp }
func (*planCheck) SetFlags(*flag.FlagSet) {}
func (c *planCheck) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sheet, status := loadSheet(set)
	if status != subcommands.ExitSuccess {
		return status
	}
	if sheet.Version > 0 {
		fmt.Printf("good: %d rows, edition %d built on %d, queues %s\n", len(sheet.Rows), sheet.Version, sheet.BaseVersion, strings.Join(clusterstate.QueueNames(&schema.Configuration{Rows: sheet.Rows}), " "))
		return status
	}
	if sheet.BaseRevision == nil {
		complain("%s: the line %q is missing: get the sheet with plan-get", set.Arg(0), generationMark)
		return exitTurnedAway
	}
	fmt.Printf("good: %d rows, built on generation %d, queues %s\n", len(sheet.Rows), sheet.GetBaseRevision(), strings.Join(clusterstate.QueueNames(&schema.Configuration{Rows: sheet.Rows}), " "))
	return status
}

// --- put ---

type planPut struct{ nodes }

func (*planPut) Name() string     { return "plan-put" }
func (*planPut) Synopsis() string { return "send a sheet back whole" }
func (*planPut) Usage() string {
	return "sparnotchctl plan-put SHEET\n  Turned away when the plan has changed since the sheet was made. Sending the\n  sheet that has just taken effect again does no harm.\n" + exitHelp
}
func (c *planPut) SetFlags(set *flag.FlagSet) { c.register(set) }
func (c *planPut) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sheet, status := loadSheet(set)
	if status != subcommands.ExitSuccess {
		return status
	}
	body, err := protojson.Marshal(sheet)
	if err != nil {
		complain("%v", err)
		return exitFailed
	}
	data, status := c.call("PUT", "/v1/plan", body)
	if status != subcommands.ExitSuccess {
		return status
	}
	plan := &schema.Configuration{}
	if err := protojson.Unmarshal(data, plan); err != nil {
		complain("%v", err)
		return exitFailed
	}
	fmt.Printf("taken: %s, %d rows\n", numbers(plan), len(plan.Rows))
	return status
}

// --- diff ---

type planDiff struct{ nodes }

func (*planDiff) Name() string     { return "plan-diff" }
func (*planDiff) Synopsis() string { return "say how a sheet differs from the plan" }
func (*planDiff) Usage() string {
	return "sparnotchctl plan-diff SHEET\n  Exits with 4 when they differ.\n" + exitHelp
}
func (c *planDiff) SetFlags(set *flag.FlagSet) { c.register(set) }
func (c *planDiff) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sheet, status := loadSheet(set)
	if status != subcommands.ExitSuccess {
		return status
	}
	plan, status := c.plan()
	if status != subcommands.ExitSuccess {
		return status
	}
	if sheet.Version > 0 {
		fmt.Printf("the sheet is edition %d built on %d, the plan is at %s\n", sheet.Version, sheet.BaseVersion, numbers(plan))
	} else if sheet.BaseRevision == nil || sheet.GetBaseRevision() != plan.Revision {
		fmt.Printf("the sheet was built on generation %d, the plan is at %d\n", sheet.GetBaseRevision(), plan.Revision)
	}
	if lines := diff(plan.Rows, sheet.Rows); len(lines) > 0 {
		fmt.Println(strings.Join(lines, "\n"))
		return exitDiffers
	}
	return status
}

func diff(old, fresh []*schema.ConfigurationRow) []string {
	values := func(rows []*schema.ConfigurationRow) map[string]string {
		m := map[string]string{}
		for _, row := range rows {
			m[row.Kind+","+row.Name+","+row.Key] = row.Value
		}
		return m
	}
	x, y := values(old), values(fresh)
	var lines []string
	for key, value := range x {
		if other, isThere := y[key]; !isThere {
			lines = append(lines, "- "+key+","+value)
		} else if other != value {
			lines = append(lines, "~ "+key+": "+value+" -> "+other)
		}
	}
	for key, value := range y {
		if _, isThere := x[key]; !isThere {
			lines = append(lines, "+ "+key+","+value)
		}
	}
	sort.Slice(lines, func(a, b int) bool { return lines[a][2:] < lines[b][2:] })
	return lines
}

// --- history ---

type planHistory struct{ nodes }

func (*planHistory) Name() string                 { return "plan-history" }
func (*planHistory) Synopsis() string             { return "say what each kept generation changed" }
func (*planHistory) Usage() string                { return "sparnotchctl plan-history\n" + exitHelp }
func (c *planHistory) SetFlags(set *flag.FlagSet) { c.register(set) }
func (c *planHistory) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	data, status := c.call("GET", "/v1/plan/history", nil)
	if status != subcommands.ExitSuccess {
		return status
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(data, &parts); err != nil {
		complain("%v", err)
		return exitFailed
	}
	last := &schema.Configuration{}
	for k, part := range parts {
		plan := &schema.Configuration{}
		if err := protojson.Unmarshal(part, plan); err != nil {
			complain("%v", err)
			return exitFailed
		}
		fmt.Printf("%s, %d rows\n", numbers(plan), len(plan.Rows))
		if k > 0 {
			for _, line := range diff(last.Rows, plan.Rows) {
				fmt.Println("  " + line)
			}
		}
		last = plan
	}
	return status
}

// --- form ---

type planForm struct{}

func (*planForm) Name() string { return "plan-form" }
func (*planForm) Synopsis() string {
	return "list every key of the plan, its default, bounds and meaning"
}
func (*planForm) Usage() string          { return "sparnotchctl plan-form\n" }
func (*planForm) SetFlags(*flag.FlagSet) {}
func (*planForm) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println(strings.Join(clusterstate.DescribeKeys(), "\n"))
	return subcommands.ExitSuccess
}
