package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"sparnotch/internal/scheduler"
)

// tenantsCommand prints what each tenant uses, may use and waits for.
type tenantsCommand struct {
	nodeClient
}

func (*tenantsCommand) Name() string { return "tenants" }
func (*tenantsCommand) Synopsis() string {
	return "print what each tenant uses, its limits, and what its tasks wait for"
}
func (*tenantsCommand) Usage() string {
	return `sparnotchctl tenants -nodes IP:PORT,...
  Asks all the nodes, which should be the storage nodes, and prints the answer of the
  one that leads every queue. Without one, tasks of tenants with a limit aren't started,
  and what each node knows of its own queues is printed.
` + exitHelp
}
func (c *tenantsCommand) SetFlags(set *flag.FlagSet) { c.register(set) }

// nodePlacements is what one node answers.
type nodePlacements struct {
	address string
	view    *scheduler.StateView
}

func (c *tenantsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	addresses := strings.FieldsFunc(c.addresses, func(r rune) bool { return r == ',' })
	if len(addresses) == 0 {
		printError("nodes: at least one address is needed (-nodes or $SPARNOTCH_NODES)")
		return exitUsage
	}
	var answers []nodePlacements
	for _, address := range addresses {
		view, err := c.placements(address)
		if err != nil {
			printError("%s: %v", address, err)
			continue
		}
		answers = append(answers, nodePlacements{address, view})
	}
	if len(answers) == 0 {
		return exitFailed
	}
	leader := slices.IndexFunc(answers, func(answer nodePlacements) bool { return answer.view.LeadsAllQueues })
	if leader >= 0 {
		printTenants(answers[leader].view.Tenants)
		return subcommands.ExitSuccess
	}
	printError("none of the nodes that answer leads every queue: tasks of tenants with a limit aren't started")
	for _, answer := range answers {
		fmt.Println(answer.address + ":")
		printTenants(answer.view.Tenants)
	}
	return subcommands.ExitSuccess
}

// placements asks one node for its scheduler's state.
func (c *tenantsCommand) placements(address string) (*scheduler.StateView, error) {
	code, data, err := sendOnce(min(c.timeout, maxRequestTimeout), "", http.MethodGet, address, "/v1/placements", nil)
	switch {
	case err != nil:
		return nil, err
	case code == http.StatusNotFound:
		return nil, fmt.Errorf("it is no storage node")
	case code != http.StatusOK:
		return nil, fmt.Errorf("answers %d: %s", code, strings.TrimSpace(string(data)))
	}
	view := &scheduler.StateView{}
	return view, json.Unmarshal(data, view)
}

// printTenants prints a table of tenants, a line each.
func printTenants(tenants []*scheduler.TenantView) {
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "TENANT\tWEIGHT\tCORES\tMEMORY_MB\tACCELERATORS\tRUNNING\tREADY\tWAITING\tWAITS FOR")
	for _, t := range tenants {
		used, limit := t.Used, t.Limit
		wait := "-"
		if t.WaitingUs > 0 {
			wait = (time.Duration(t.WaitingUs) * time.Microsecond).Round(100 * time.Millisecond).String()
		}
		fmt.Fprintf(writer, "%s\t%g\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", t.Tenant, float64(t.WeightMilli)/1000,
			formatUse(used.CoresMilli, limit.CoresMilli, 1000), formatUse(used.MemoryMB, limit.MemoryMB, 1), formatUse(used.Accelerators, limit.Accelerators, 1),
			t.TasksRunning, t.TasksReady, wait, t.WaitsFor)
	}
	writer.Flush()
}

// formatUse is an amount in use, and its limit where there is one.
func formatUse(used, limit int64, divisor float64) string {
	text := fmt.Sprintf("%g", float64(used)/divisor)
	if limit > 0 {
		text += fmt.Sprintf("/%g", float64(limit)/divisor)
	}
	return text
}
