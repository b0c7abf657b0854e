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

// exitInconsistent is the exit code for data that can be read and doesn't fit together.
const exitInconsistent = 1

// openDataDir opens the data directory of a stopped process, and writes nothing there.
func openDataDir(set *flag.FlagSet, command string) (*storage.State, subcommands.ExitStatus) {
	if set.NArg() != 1 {
		fmt.Fprintf(os.Stderr, "sparnotchctl: %s takes one data directory\n", command)
		return nil, exitUsage
	}
	store, err := storage.OpenReadOnly(set.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotchctl:", err)
		return nil, exitUsage
	}
	return store.State(), subcommands.ExitSuccess
}

// verifyCommand checks that the content of a data directory is consistent.
type verifyCommand struct{}

func (*verifyCommand) Name() string { return "verify" }
func (*verifyCommand) Synopsis() string {
	return "check that a data directory is intact and consistent"
}
func (*verifyCommand) Usage() string {
	return `sparnotchctl verify DIRECTORY
  Reads the data of a process that is stopped and writes nothing. Checks each
  group's log: no gaps, terms that don't fall, a snapshot that can be restored,
  commands that can be applied. Corruption is reported with file and offset.
  Exit codes: 0 intact, 1 inconsistent, 2 corrupt, foreign, or in use.
`
}
func (*verifyCommand) SetFlags(*flag.FlagSet) {}

func (c *verifyCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	content, code := openDataDir(set, c.Name())
	if content == nil {
		return code
	}
	fmt.Printf("node %s, started %d times, belongs to a system: %v\n", content.Identity.GetId(), content.Identity.GetStarts(), content.Identity.GetJoined())
	inconsistent := false
	for _, group := range slices.Sorted(maps.Keys(content.Groups)) {
		groupContent := content.Groups[group]
		if err := verifyGroup(group, groupContent); err != nil {
			fmt.Printf("%s: %v\n", group, err)
			inconsistent = true
			continue
		}
		fmt.Printf("%s: term %d, snapshot at %d, %d entries after it\n", group, groupContent.HardState.GetTerm(), groupContent.Snapshot.GetIndex(), len(groupContent.Entries))
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
			return fmt.Errorf("entry %d follows entry %d", entry.Index, index)
		}
		if entry.Term < term {
			return fmt.Errorf("entry %d is of term %d, the one before it of %d", entry.Index, entry.Term, term)
		}
		index, term = entry.Index, entry.Term
	}
	if term > groupContent.HardState.GetTerm() {
		return fmt.Errorf("entry %d is of term %d, and the hard state of %d", index, term, groupContent.HardState.GetTerm())
	}
	if group == clusterstate.GroupName {
		machine, err := clusterstate.Restore(groupContent.Snapshot.GetData())
		for k := 0; err == nil && k < len(groupContent.Entries); k++ {
			if entry := groupContent.Entries[k]; entry.Kind == schema.EntryKind_ENTRY_COMMAND {
				if _, err = machine.Apply(entry.TimeUs, entry.Data); err != nil {
					err = fmt.Errorf("entry %d: %w", entry.Index, err)
				}
			}
		}
		return err
	}
	_, _, err := replay(group, groupContent, 0, nil)
	return err
}

// replay applies a queue's log to its state machine up to an index, 0 for all, and
// returns the machine with the index that it has applied. It calls visit, if given,
// for each command.
func replay(group string, groupContent *storage.GroupState, lastIndex uint64, visit func(*schema.Entry, *schema.QueueCommand, *queue.Effects)) (*queue.Machine, uint64, error) {
	machine, err := queue.Restore(replica.QueueName(group), groupContent.Snapshot.GetIndex(), groupContent.Snapshot.GetData())
	if err != nil {
		return nil, 0, fmt.Errorf("snapshot at %d: %w", groupContent.Snapshot.GetIndex(), err)
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
			return nil, 0, fmt.Errorf("entry %d: %w", entry.Index, err)
		}
		effects, err := machine.Apply(entry.Index, entry.TimeUs, entry.Data)
		if err != nil {
			return nil, 0, fmt.Errorf("entry %d: %w", entry.Index, err)
		}
		if visit != nil {
			visit(entry, command, effects)
		}
	}
	return machine, appliedIndex, nil
}

// replayCommand shows what each entry of a queue's log did.
type replayCommand struct {
	queue, job string
	lastIndex  uint64
}

func (*replayCommand) Name() string { return "replay" }
func (*replayCommand) Synopsis() string {
	return "apply a queue's log to its state machine, and show what each entry did"
}
func (*replayCommand) Usage() string {
	return `sparnotchctl replay -queue QUEUE [-job NAME] [-to INDEX] DIRECTORY
  Reads the data of a process that is stopped and writes nothing. Shows each
  command after the queue's snapshot, and how it changed jobs and tasks; with -job
  of that job alone. Ends with the digest of the state, which sparnotchctl state
  shows of a running node at the same index. The last entries may not have been
  committed.
  Exit codes: 0 shown, 1 an entry can't be applied, 2 corrupt, foreign, in use, or
  no such queue or index.
`
}

func (c *replayCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.queue, "queue", "", "which queue")
	set.StringVar(&c.job, "job", "", "show this job alone")
	set.Uint64Var(&c.lastIndex, "to", 0, "index of the last entry to apply; 0: all")
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
		fmt.Fprintf(os.Stderr, "sparnotchctl: to: the directory has %s from %d to %d\n", group, groupContent.Snapshot.GetIndex(), groupContent.Snapshot.GetIndex()+uint64(len(groupContent.Entries)))
		return exitUsage
	}
	fmt.Printf("%s from the snapshot at %d\n", group, groupContent.Snapshot.GetIndex())
	machine, appliedIndex, err := replay(group, groupContent, c.lastIndex, c.printEntry)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotchctl:", err)
		return exitInconsistent
	}
	fmt.Printf("at %d: %d live and %d retained jobs, digest %s\n", appliedIndex, machine.LiveJobs(), machine.RetainedJobs(), replica.Digest(machine.Snapshot(true)))
	return subcommands.ExitSuccess
}

// stateTexts describe the status that an event sets.
var stateTexts = map[queue.Status]string{queue.Inactive: "is inactive", queue.Ready: "is ready", queue.CheckedOut: "is checked out", queue.Stopping: "is stopping"}

// printEntry prints a command and how it changed jobs and tasks; with a job given,
// only if it is about that job.
func (c *replayCommand) printEntry(entry *schema.Entry, command *schema.QueueCommand, effects *queue.Effects) {
	lines := c.describeEffects(command, effects)
	if c.job != "" && len(lines) == 0 {
		return
	}
	fmt.Printf("%d term %d at %d us: %s\n", entry.Index, entry.Term, entry.TimeUs, describeCommand(command))
	for _, line := range lines {
		fmt.Println(line)
	}
}

func describeCommand(command *schema.QueueCommand) string {
	description := strings.TrimPrefix(fmt.Sprintf("%T", command.Body), "*schema.QueueCommand_")
	if returned := command.GetReturn(); returned != nil {
		description += " " + strings.ToLower(strings.TrimPrefix(returned.Cause.String(), "RETURN_CAUSE_"))
	}
	return description
}

func (c *replayCommand) describeEffects(command *schema.QueueCommand, effects *queue.Effects) []string {
	var lines []string
	if e := command.GetEnqueue(); e != nil && c.isShown(e.Name) {
		lines = append(lines, fmt.Sprintf("  %s, number %d of %s", e.Name, e.Number, e.Session.GetClient()))
	}
	for _, outcome := range effects.SubmitResults {
		if view := outcome.View; view != nil && c.isShown(view.Name) {
			lines = append(lines, fmt.Sprintf("  %s answered %d, %s", view.Name, outcome.Code, view.State))
		}
	}
	for _, event := range effects.Events {
		if !c.isShown(event.Name) {
			continue
		}
		line := fmt.Sprintf("  %s %s/%d %s", event.Name, event.Spec.GetName(), event.Key.Task, stateTexts[event.Status])
		if event.Status == queue.CheckedOut || event.Status == queue.Stopping {
			line += fmt.Sprintf(" on %s, attempt %d", event.Worker, event.Attempt)
		}
		if event.IsGangStarted {
			line += ", its gang starts"
		}
		lines = append(lines, line)
	}
	return lines
}

func (c *replayCommand) isShown(job string) bool { return c.job == "" || c.job == job }
