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
const exitBroken = 1

func openFolder(set *flag.FlagSet, name string) (*storage.State, subcommands.ExitStatus) {
	if set.NArg() != 1 {
		fmt.Fprintf(os.Stderr, "sparnotchctl: %s takes one data folder\n", name)
		return nil, exitUsage
	}
	store, err := storage.OpenReadOnly(set.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotchctl:", err)
		return nil, exitUsage
	}
	return store.State(), subcommands.ExitSuccess
}

// folderCheck looks whether what a folder holds fits together.
type folderCheck struct{}

func (*folderCheck) Name() string { return "check" }
func (*folderCheck) Synopsis() string {
	return "see whether a stopped process's data folder is whole"
}
func (*folderCheck) Usage() string {
	return `sparnotchctl check FOLDER
  Reads the store of a process that is stopped and writes nothing. Checks each
  group's records: no gaps, terms that don't fall, a checkpoint that can be
  restored, commands that can be applied. Damage is told with file and offset.
  Exit codes: 0 whole, 1 something doesn't fit, 2 damaged, foreign, or in use.
`
}
func (*folderCheck) SetFlags(*flag.FlagSet) {}

func (c *folderCheck) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	content, code := openFolder(set, c.Name())
	if content == nil {
		return code
	}
	fmt.Printf("store %s, started %d times, belongs to a system: %v\n", content.Identity.GetId(), content.Identity.GetStarts(), content.Identity.GetJoined())
	isBroken := false
	for _, group := range slices.Sorted(maps.Keys(content.Groups)) {
		image := content.Groups[group]
		if err := checkGroup(group, image); err != nil {
			fmt.Printf("%s: %v\n", group, err)
			isBroken = true
			continue
		}
		fmt.Printf("%s: term %d, checkpoint at %d, %d records after it\n", group, image.HardState.GetTerm(), image.Snapshot.GetIndex(), len(image.Entries))
	}
	if isBroken {
		return exitBroken
	}
	return subcommands.ExitSuccess
}

func checkGroup(group string, image *storage.GroupState) error {
	index, term := image.Snapshot.GetIndex(), image.Snapshot.GetTerm()
	for _, record := range image.Entries {
		if record.Index != index+1 {
			return fmt.Errorf("record %d follows record %d", record.Index, index)
		}
		if record.Term < term {
			return fmt.Errorf("record %d is of term %d, the one before it of %d", record.Index, record.Term, term)
		}
		index, term = record.Index, record.Term
	}
	if term > image.HardState.GetTerm() {
		return fmt.Errorf("record %d is of term %d, and the store knows of %d only", index, term, image.HardState.GetTerm())
	}
	if group == clusterstate.Group {
		machine, err := clusterstate.Restore(image.Snapshot.GetData())
		for k := 0; err == nil && k < len(image.Entries); k++ {
			if record := image.Entries[k]; record.Kind == schema.EntryKind_ENTRY_COMMAND {
				if _, err = machine.Apply(record.TimeUs, record.Data); err != nil {
					err = fmt.Errorf("record %d: %w", record.Index, err)
				}
			}
		}
		return err
	}
	_, _, err := replay(group, image, 0, nil)
	return err
}

// replay runs a queue's records through its machine up to an index, 0 for all.
func replay(group string, image *storage.GroupState, to uint64, see func(*schema.Entry, *schema.QueueCommand, *queue.Effects)) (*queue.Machine, uint64, error) {
	machine, err := queue.Restore(replica.QueueName(group), image.Snapshot.GetIndex(), image.Snapshot.GetData())
	if err != nil {
		return nil, 0, fmt.Errorf("checkpoint at %d: %w", image.Snapshot.GetIndex(), err)
	}
	at := image.Snapshot.GetIndex()
	for _, record := range image.Entries {
		if to > 0 && record.Index > to {
			break
		}
		at = record.Index
		if record.Kind != schema.EntryKind_ENTRY_COMMAND {
			continue
		}
		command := &schema.QueueCommand{}
		if err := proto.Unmarshal(record.Data, command); err != nil {
			return nil, 0, fmt.Errorf("record %d: %w", record.Index, err)
		}
		effects, err := machine.Apply(record.Index, record.TimeUs, record.Data)
		if err != nil {
			return nil, 0, fmt.Errorf("record %d: %w", record.Index, err)
		}
		if see != nil {
			see(record, command, effects)
		}
	}
	return machine, at, nil
}

// replayCommand shows what a queue's records did.
type replayCommand struct {
	queue, job string
	to         uint64
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
	set.Uint64Var(&c.to, "to", 0, "index of the last record to apply; 0: all")
}

func (c *replayCommand) Execute(_ context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	content, code := openFolder(set, c.Name())
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
	image := content.Groups[group]
	if c.to > 0 && (c.to < image.Snapshot.GetIndex() || c.to > image.Snapshot.GetIndex()+uint64(len(image.Entries))) {
		fmt.Fprintf(os.Stderr, "sparnotchctl: to: the folder holds %s from %d to %d\n", group, image.Snapshot.GetIndex(), image.Snapshot.GetIndex()+uint64(len(image.Entries)))
		return exitUsage
	}
	fmt.Printf("%s from the checkpoint at %d\n", group, image.Snapshot.GetIndex())
	machine, at, err := replay(group, image, c.to, c.show)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sparnotchctl:", err)
		return exitBroken
	}
	fmt.Printf("at %d: %d live and %d kept jobs, digest %s\n", at, machine.LiveJobs(), machine.RetainedJobs(), replica.Digest(machine.Snapshot(true)))
	return subcommands.ExitSuccess
}

var standings = map[queue.Status]string{queue.Inactive: "is closed", queue.Ready: "is ready", queue.CheckedOut: "is out", queue.Stopping: "is to stop"}

func (c *replayCommand) show(record *schema.Entry, command *schema.QueueCommand, effects *queue.Effects) {
	var lines []string
	if e := command.GetEnqueue(); e != nil && (c.job == "" || c.job == e.Name) {
		lines = append(lines, fmt.Sprintf("  %s, number %d of %s", e.Name, e.Number, e.Session.GetClient()))
	}
	for _, outcome := range effects.Outcomes {
		if view := outcome.View; view != nil && (c.job == "" || c.job == view.Name) {
			lines = append(lines, fmt.Sprintf("  %s answered %d, %s", view.Name, outcome.Code, view.State))
		}
	}
	for _, shift := range effects.Events {
		if c.job != "" && c.job != shift.Name {
			continue
		}
		line := fmt.Sprintf("  %s %s/%d %s", shift.Name, shift.Spec.GetName(), shift.Key.Task, standings[shift.Status])
		if shift.Status == queue.CheckedOut || shift.Status == queue.Stopping {
			line += fmt.Sprintf(" on %s, attempt %d", shift.Worker, shift.Attempt)
		}
		if shift.IsGangStarted {
			line += ", its group begins"
		}
		lines = append(lines, line)
	}
	if c.job != "" && len(lines) == 0 {
		return
	}
	what := strings.TrimPrefix(fmt.Sprintf("%T", command.Body), "*schema.QueueCommand_")
	if back := command.GetReturn(); back != nil {
		what += " " + strings.ToLower(strings.TrimPrefix(back.Cause.String(), "RETURN_CAUSE_"))
	}
	fmt.Printf("%d term %d at %d us: %s\n", record.Index, record.Term, record.TimeUs, what)
	for _, line := range lines {
		fmt.Println(line)
	}
}
