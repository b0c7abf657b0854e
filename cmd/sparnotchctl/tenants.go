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

// tenantsCommand prints the resources that each tenant uses, the tenant's limits, and the
// reason why its tasks wait.
type tenantsCommand struct {
	nodeClient
}

func (*tenantsCommand) Name() string { return "tenants" }
func (*tenantsCommand) Synopsis() string {
	return "print the resource use and limits of each tenant, and the reason why its tasks wait"
}
func (*tenantsCommand) Usage() string {
	return `sparnotchctl tenants -nodes IP:PORT,...
  The nodes should be all storage nodes of the cluster. Asks each of them and prints the
  response of the node that leads all queues. If no node does, tasks of tenants with a
  limit aren't started, and the command prints the response of each node, which covers
  only the queues that the node leads.
` + exitHelp
}
func (c *tenantsCommand) SetFlags(set *flag.FlagSet) { c.register(set) }

// nodePlacements is the scheduler state that one node reports.
type nodePlacements struct {
	address string
	view    *scheduler.StateView
}

func (c *tenantsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	addresses := strings.FieldsFunc(c.addresses, func(r rune) bool { return r == ',' })
	if len(addresses) == 0 {
		printError("nodes: at least one address is required (set -nodes or $SPARNOTCH_NODES)")
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
	printError("none of the nodes that responded leads every queue; tasks of tenants with a limit aren't started")
	for _, answer := range answers {
		fmt.Println(answer.address + ":")
		printTenants(answer.view.Tenants)
	}
	return subcommands.ExitSuccess
}

// placements requests the state of one node's scheduler.
func (c *tenantsCommand) placements(address string) (*scheduler.StateView, error) {
	code, data, err := sendOnce(min(c.timeout, maxRequestTimeout), "", http.MethodGet, address, "/v1/placements", nil)
	switch {
	case err != nil:
		return nil, err
	case code == http.StatusNotFound:
		return nil, fmt.Errorf("the node is not a storage node")
	case code != http.StatusOK:
		return nil, fmt.Errorf("the node responded with status %d: %s", code, strings.TrimSpace(string(data)))
	}
	view := &scheduler.StateView{}
	return view, json.Unmarshal(data, view)
}

// printTenants prints a table with one line for each tenant.
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

// formatUse returns a text with the amount in use and, if there is one, its limit. Both are
// divided by divisor.
func formatUse(used, limit int64, divisor float64) string {
	text := fmt.Sprintf("%g", float64(used)/divisor)
	if limit > 0 {
		text += fmt.Sprintf("/%g", float64(limit)/divisor)
	}
	return text
}
