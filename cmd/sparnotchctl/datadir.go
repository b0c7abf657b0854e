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

// exitInconsistent is the exit code for data that can be read but is inconsistent.
const exitInconsistent = 1

// openDataDir reads the data directory of a stopped process, without writing to it. The
// directory must be the only argument of the command. It prints an error if this fails.
func openDataDir(set *flag.FlagSet, command string) (*storage.State, subcommands.ExitStatus) {
	if set.NArg() != 1 {
		fmt.Fprintf(os.Stderr, "sparnotchctl: %s takes exactly one argument, a data directory\n", command)
		return nil, exitUsage
	}
	store, err := storage.OpenReadOnly(set.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotchctl:", err)
		return nil, exitUsage
	}
	return store.State(), subcommands.ExitSuccess
}

// verifyCommand checks that a data directory is intact and that its content is consistent.
type verifyCommand struct{}

func (*verifyCommand) Name() string { return "verify" }
func (*verifyCommand) Synopsis() string {
	return "check that a data directory is intact and consistent"
}
func (*verifyCommand) Usage() string {
	return `sparnotchctl verify DIRECTORY
  Reads the data of a stopped process and writes nothing. Checks each group: its log
  has no gaps, terms never decrease, the snapshot can be restored, and the commands
  can be applied. Corruption is reported with file and offset.
  Exit codes: 0 intact, 1 inconsistent, 2 corrupt, in use, or not a data directory.
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

// verifyGroup checks that a group's log has no gaps and no decreasing terms, and that its
// snapshot and commands can be applied to the group's state machine.
func verifyGroup(group string, groupContent *storage.GroupState) error {
	index, term := groupContent.Snapshot.GetIndex(), groupContent.Snapshot.GetTerm()
	for _, entry := range groupContent.Entries {
		if entry.Index != index+1 {
			return fmt.Errorf("entry %d follows entry %d, but indexes must be consecutive", entry.Index, index)
		}
		if entry.Term < term {
			return fmt.Errorf("entry %d has term %d, but the entry before it has term %d", entry.Index, entry.Term, term)
		}
		index, term = entry.Index, entry.Term
	}
	if term > groupContent.HardState.GetTerm() {
		return fmt.Errorf("entry %d has term %d, but the hard state has term %d, which is lower", index, term, groupContent.HardState.GetTerm())
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

// replay restores a queue's state machine from the snapshot and applies the log to it, up to
// the entry with index lastIndex, or to the end if lastIndex is 0. It returns the state machine
// and the index of the last applied entry. If visit is not nil, it is called after each
// command has been applied.
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

// replayCommand prints the commands in a queue's log and their effects on jobs and tasks.
type replayCommand struct {
	queue, job string
	lastIndex  uint64
}

func (*replayCommand) Name() string { return "replay" }
func (*replayCommand) Synopsis() string {
	return "apply a queue's log to its state machine, and show the effects of each entry"
}
func (*replayCommand) Usage() string {
	return `sparnotchctl replay -queue QUEUE [-job NAME] [-to INDEX] DIRECTORY
  Reads the data of a stopped process and writes nothing. Shows each command after
  the queue's snapshot and its effects on jobs and tasks; with -job, only commands
  that affect this job. Ends with the digest of the state. On a running node at the
  same index, sparnotchctl state shows the same digest. The last entries may not have
  been committed.
  Exit codes: 0 shown, 1 an entry can't be applied, 2 corrupt, in use, not a data
  directory, or no such queue or index.
`
}

func (c *replayCommand) SetFlags(set *flag.FlagSet) {
	set.StringVar(&c.queue, "queue", "", "name of the queue")
	set.StringVar(&c.job, "job", "", "name of a job; show only commands that affect it")
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
		fmt.Fprintf(os.Stderr, "sparnotchctl: queue: %q is not one of the queues in the data directory: %s\n", c.queue, strings.Join(queues, ", "))
		return exitUsage
	}
	groupContent := content.Groups[group]
	if c.lastIndex > 0 && (c.lastIndex < groupContent.Snapshot.GetIndex() || c.lastIndex > groupContent.Snapshot.GetIndex()+uint64(len(groupContent.Entries))) {
		fmt.Fprintf(os.Stderr, "sparnotchctl: to: the directory holds the entries of %s from index %d to %d\n", group, groupContent.Snapshot.GetIndex(), groupContent.Snapshot.GetIndex()+uint64(len(groupContent.Entries)))
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

// statusTexts maps the new status of a task in an event to the text that is printed for it.
var statusTexts = map[queue.Status]string{queue.Inactive: "is inactive", queue.Ready: "is ready", queue.CheckedOut: "is checked out", queue.Stopping: "is stopping"}

// printEntry prints a command and its effects on jobs and tasks. If the flag -job is set, it
// prints only commands that affect this job.
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

// describeCommand returns the type of a command and, for a Return command, its cause.
func describeCommand(command *schema.QueueCommand) string {
	description := strings.TrimPrefix(fmt.Sprintf("%T", command.Body), "*schema.QueueCommand_")
	if returned := command.GetReturn(); returned != nil {
		description += " " + strings.ToLower(strings.TrimPrefix(returned.Cause.String(), "RETURN_CAUSE_"))
	}
	return description
}

// describeEffects returns one line for each effect of a command on the jobs that are shown.
func (c *replayCommand) describeEffects(command *schema.QueueCommand, effects *queue.Effects) []string {
	var lines []string
	if enqueue := command.GetEnqueue(); enqueue != nil && c.isShown(enqueue.Name) {
		lines = append(lines, fmt.Sprintf("  %s, number %d of %s", enqueue.Name, enqueue.Number, enqueue.Session.GetClient()))
	}
	for _, result := range effects.SubmitResults {
		if view := result.View; view != nil && c.isShown(view.Name) {
			lines = append(lines, fmt.Sprintf("  %s answered %d, %s", view.Name, result.Code, view.State))
		}
	}
	for _, event := range effects.Events {
		if !c.isShown(event.Name) {
			continue
		}
		line := fmt.Sprintf("  %s %s/%d %s", event.Name, event.Spec.GetName(), event.Key.Task, statusTexts[event.Status])
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

// isShown reports whether commands that affect a job are shown.
func (c *replayCommand) isShown(job string) bool { return c.job == "" || c.job == job }
