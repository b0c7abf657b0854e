package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// A store's folder can be looked into while its process is stopped; nothing is
// written there.
const exitInconsistent = 1

func openDataDir(set *flag.FlagSet, command string) (*storage.State, subcommands.ExitStatus) {
	if set.NArg() != 1 {
		fmt.Fprintf(os.Stderr, "sparnotchctl: %s takes one data folder\n", command)
		return nil, exitUsage
	}
	store, err := storage.OpenReadOnly(set.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotchctl:", err)
		return nil, exitUsage
	}
	return store.State(), subcommands.ExitSuccess
}

// verifyCommand looks whether what a folder holds fits together.
type verifyCommand struct{}

func (*verifyCommand) Name() string { return "check" }
func (*verifyCommand) Synopsis() string {
	return "see whether a stopped process's data folder is whole"
}
func (*verifyCommand) Usage() string {
	return `sparnotchctl check FOLDER
  Reads the store of a process that is stopped and writes nothing. Checks each
  group's records: no gaps, terms that don't fall, a checkpoint that can be
  restored, commands that can be applied. Damage is told with file and offset.
  Exit codes: 0 whole, 1 something doesn't fit, 2 damaged, foreign, or in use.
`
}
func (*verifyCommand) SetFlags(*flag.FlagSet) {}

func (c *verifyCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	content, code := openDataDir(set, c.Name())
	if content == nil {
		return code
	}
	fmt.Printf("store %s, started %d times, belongs to a system: %v\n", content.Identity.GetId(), content.Identity.GetStarts(), content.Identity.GetJoined())
	inconsistent := false
	for _, group := range slices.Sorted(maps.Keys(content.Groups)) {
		groupContent := content.Groups[group]
		if err := verifyGroup(group, groupContent); err != nil {
			fmt.Printf("%s: %v\n", group, err)
			inconsistent = true
			continue
		}
		fmt.Printf("%s: term %d, checkpoint at %d, %d records after it\n", group, groupContent.HardState.GetTerm(), groupContent.Snapshot.GetIndex(), len(groupContent.Entries))
	}
	if inconsistent {
		return exitInconsistent
	}
	return subcommands.ExitSuccess
}

func verifyGroup(group string, groupContent *storage.GroupState) error {
	index, term := groupContent.Snapshot.GetIndex(), groupContent.Snapshot.GetTerm()
	for _, entry := range groupContent.Entries {
		if entry.Index != index+1 {
			return fmt.Errorf("record %d follows record %d", entry.Index, index)
		}
		if entry.Term < term {
			return fmt.Errorf("record %d is of term %d, the one before it of %d", entry.Index, entry.Term, term)
		}
		index, term = entry.Index, entry.Term
	}
	if term > groupContent.HardState.GetTerm() {
		return fmt.Errorf("record %d is of term %d, and the store knows of %d only", index, term, groupContent.HardState.GetTerm())
	}
	if group == clusterstate.Group {
		machine, err := clusterstate.Restore(groupContent.Snapshot.GetData())
		for k := 0; err == nil && k < len(groupContent.Entries); k++ {
			if entry := groupContent.Entries[k]; entry.Kind == schema.EntryKind_ENTRY_COMMAND {
				if _, err = machine.Apply(entry.TimeUs, entry.Data); err != nil {
					err = fmt.Errorf("record %d: %w", entry.Index, err)
				}
			}
		}
		return err
	}
	_, _, err := replay(group, groupContent, 0, nil)
	return err
}

// replay runs a queue's records through its machine up to an index, 0 for all.
func replay(group string, groupContent *storage.GroupState, lastIndex uint64, visit func(*schema.Entry, *schema.QueueCommand, *queue.Effects)) (*queue.Machine, uint64, error) {
	machine, err := queue.Restore(replica.QueueName(group), groupContent.Snapshot.GetIndex(), groupContent.Snapshot.GetData())
	if err != nil {
		return nil, 0, fmt.Errorf("checkpoint at %d: %w", groupContent.Snapshot.GetIndex(), err)
	}
	appliedIndex := groupContent.Snapshot.GetIndex()
	for _, entry := range groupContent.Entries {
		if lastIndex > 0 && entry.Index > lastIndex {
			break
		}
		appliedIndex = entry.Index
		if entry.Kind != schema.EntryKind_ENTRY_COMMAND {
			continue
		}
		command := &schema.QueueCommand{}
		if err := proto.Unmarshal(entry.Data, command); err != nil {
			return nil, 0, fmt.Errorf("record %d: %w", entry.Index, err)
		}
		effects, err := machine.Apply(entry.Index, entry.TimeUs, entry.Data)
		if err != nil {
			return nil, 0, fmt.Errorf("record %d: %w", entry.Index, err)
		}
		if visit != nil {
			visit(entry, command, effects)
		}
	}
	return machine, appliedIndex, nil
}

// replayCommand shows what a queue's records did.
type replayCommand struct {
	queue, job string
	lastIndex  uint64
}

func (*replayCommand) Name() string     { return "replay" }
func (*replayCommand) Synopsis() string { return "run a queue's log through its machine and show it" }
func (*replayCommand) Usage() string {
	return `sparnotchctl replay -queue QUEUE [-job NAME] [-to INDEX] FOLDER
  Reads the store of a process that is stopped and writes nothing. Shows each
  command from the queue's checkpoint on, and what became of tasks by it; with -job
  of that job alone. Ends with the state's digest, which belief shows of a running
  node at the same index. The last records may not have been committed.
  Exit codes: 0 shown, 1 a record can't be applied, 2 damaged, foreign, in use, or
  no such queue or index.
`
}

func (c *replayCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.queue, "queue", "", "which queue")
	set.StringVar(&c.job, "job", "", "show this job alone")
	set.Uint64Var(&c.lastIndex, "to", 0, "index of the last record to apply; 0: all")
}

func (c *replayCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	content, code := openDataDir(set, c.Name())
	if content == nil {
		return code
	}
	var group string
	var queues []string
	for _, name := range slices.Sorted(maps.Keys(content.Groups)) {
		if queue := replica.QueueName(name); queue != "" {
			queues = append(queues, queue)
			if queue == c.queue {
				group = name
			}
		}
	}
	if group == "" {
		fmt.Fprintf(os.Stderr, "sparnotchctl: queue: %q is none of %s\n", c.queue, strings.Join(queues, ", "))
		return exitUsage
	}
	groupContent := content.Groups[group]
	if c.lastIndex > 0 && (c.lastIndex < groupContent.Snapshot.GetIndex() || c.lastIndex > groupContent.Snapshot.GetIndex()+uint64(len(groupContent.Entries))) {
		fmt.Fprintf(os.Stderr, "sparnotchctl: to: the folder holds %s from %d to %d\n", group, groupContent.Snapshot.GetIndex(), groupContent.Snapshot.GetIndex()+uint64(len(groupContent.Entries)))
		return exitUsage
	}
	fmt.Printf("%s from the checkpoint at %d\n", group, groupContent.Snapshot.GetIndex())
	machine, appliedIndex, err := replay(group, groupContent, c.lastIndex, c.printEntry)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotchctl:", err)
		return exitInconsistent
	}
	fmt.Printf("at %d: %d live and %d kept jobs, digest %s\n", appliedIndex, machine.LiveJobs(), machine.RetainedJobs(), replica.Digest(machine.Snapshot(true)))
	return subcommands.ExitSuccess
}

var stateTexts = map[queue.Status]string{queue.Inactive: "is closed", queue.Ready: "is ready", queue.CheckedOut: "is out", queue.Stopping: "is to stop"}

func (c *replayCommand) printEntry(entry *schema.Entry, command *schema.QueueCommand, effects *queue.Effects) {
	var lines []string
	if e := command.GetEnqueue(); e != nil && (c.job == "" || c.job == e.Name) {
		lines = append(lines, fmt.Sprintf("  %s, number %d of %s", e.Name, e.Number, e.Session.GetClient()))
	}
	for _, outcome := range effects.Outcomes {
		if view := outcome.View; view != nil && (c.job == "" || c.job == view.Name) {
			lines = append(lines, fmt.Sprintf("  %s answered %d, %s", view.Name, outcome.Code, view.State))
		}
	}
	for _, event := range effects.Events {
		if c.job != "" && c.job != event.Name {
			continue
		}
		line := fmt.Sprintf("  %s %s/%d %s", event.Name, event.Spec.GetName(), event.Key.Task, stateTexts[event.Status])
		if event.Status == queue.CheckedOut || event.Status == queue.Stopping {
			line += fmt.Sprintf(" on %s, attempt %d", event.Worker, event.Attempt)
		}
		if event.IsGangStarted {
			line += ", its group begins"
		}
		lines = append(lines, line)
	}
	if c.job != "" && len(lines) == 0 {
		return
	}
	description := strings.TrimPrefix(fmt.Sprintf("%T", command.Body), "*schema.QueueCommand_")
	if returned := command.GetReturn(); returned != nil {
		description += " " + strings.ToLower(strings.TrimPrefix(returned.Cause.String(), "RETURN_CAUSE_"))
	}
	fmt.Printf("%d term %d at %d us: %s\n", entry.Index, entry.Term, entry.TimeUs, description)
	for _, line := range lines {
		fmt.Println(line)
	}
}
