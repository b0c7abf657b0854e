package main

import (
	"context"
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/subcommands"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/queue"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// runCommand runs a command and returns its exit code and its output, which includes standard
// error.
func runCommand(command subcommands.Command, args ...string) (subcommands.ExitStatus, string) {
	set := flag.NewFlagSet(command.Name(), flag.ContinueOnError)
	command.SetFlags(set)
	So(set.Parse(args), ShouldBeNil)
	reader, writer, err := os.Pipe()
	So(err, ShouldBeNil)
	out, errs := os.Stdout, os.Stderr
	os.Stdout, os.Stderr = writer, writer
	code := command.Execute(context.Background(), set)
	os.Stdout, os.Stderr = out, errs
	writer.Close()
	text, err := io.ReadAll(reader)
	So(err, ShouldBeNil)
	return code, string(text)
}

// writeTestStorage writes a data directory with one queue, in which a task fails and is retried.
// The function change may change the entries of the log before they are written.
func writeTestStorage(path string, change func([]*schema.Entry) []*schema.Entry) (*storage.Dir, *queue.Machine) {
	key := &schema.TaskKey{Job: 1}
	checkout := &schema.QueueCommand{Body: &schema.QueueCommand_Checkout{Checkout: &schema.Checkout{Placements: []*schema.Placement{{Key: key, Worker: "w1", Incarnation: 1}}}}}
	commands := []*schema.QueueCommand{
		{Body: &schema.QueueCommand_Enqueue{Enqueue: &schema.Enqueue{
			Session: &schema.Session{Gateway: "f", Incarnation: 1, Client: "c"}, Number: 1, LowestUnconfirmed: 1, Name: "first", Digest: []byte("d"),
			Job: &schema.Job{Text: "x", Steps: []*schema.Step{{Name: "s", Tasks: 1, CoresMilli: 1, AllowedFailures: 1}}},
		}}},
		checkout,
		{Body: &schema.QueueCommand_Return{Return: &schema.Return{Key: key, Attempt: 1, Cause: schema.ReturnCause_RETURN_CAUSE_FAILED}}},
		checkout,
		{Body: &schema.QueueCommand_Settle{Settle: &schema.Settle{Key: key, Attempt: 2}}},
	}
	machine := queue.New("quotes")
	entries := []*schema.Entry{{Index: 1, Term: 1, Kind: schema.EntryKind_ENTRY_NO_OP}}
	for k, command := range commands {
		data, err := proto.Marshal(command)
		So(err, ShouldBeNil)
		entry := &schema.Entry{Index: uint64(k + 2), Term: 1, TimeUs: int64(k+1) * 1000, Data: data}
		entries = append(entries, entry)
		_, err = machine.Apply(entry.Index, entry.TimeUs, entry.Data)
		So(err, ShouldBeNil)
	}
	dir, err := storage.OpenDir(path)
	So(err, ShouldBeNil)
	store, err := storage.Open(dir)
	So(err, ShouldBeNil)
	So(store.Commit([]*schema.StoreChange{
		{Identity: &schema.StoreIdentity{Id: "a", Starts: 1, Joined: true}},
		{Group: "quotes#2", HardState: &schema.HardState{Term: 1}, Entries: change(entries)},
	}), ShouldBeNil)
	// A second commit ensures that corruption of the first one can't be mistaken for a torn
	// write at the end of the log.
	So(store.Commit([]*schema.StoreChange{{Identity: &schema.StoreIdentity{Id: "a", Starts: 2, Joined: true}}}), ShouldBeNil)
	return dir, machine
}

// readFiles returns the contents of the files in a directory, by name.
func readFiles(path string) map[string]string {
	files := map[string]string{}
	names, err := os.ReadDir(path)
	So(err, ShouldBeNil)
	for _, name := range names {
		data, err := os.ReadFile(filepath.Join(path, name.Name()))
		So(err, ShouldBeNil)
		files[name.Name()] = string(data)
	}
	return files
}

func TestDataDirs(t *testing.T) {
	intact := func(entries []*schema.Entry) []*schema.Entry { return entries }
	Convey("An intact directory is reported as such and replayed to its state, and not written to", t, func() {
		path := t.TempDir()
		dir, machine := writeTestStorage(path, intact)
		code, text := runCommand(&verifyCommand{}, path)
		So(code, ShouldEqual, 2)
		So(text, ShouldContainSubstring, "in use")
		dir.Close()
		before := readFiles(path)
		code, text = runCommand(&verifyCommand{}, path)
		So(text, ShouldContainSubstring, "quotes#2: term 1, snapshot at 0, 6 entries")
		So(code, ShouldEqual, 0)
		code, text = runCommand(&replayCommand{}, "-queue", "quotes", path)
		So(code, ShouldEqual, 0)
		So(text, ShouldContainSubstring, "Return failed")
		So(text, ShouldContainSubstring, "first s/0 is checked out on w1, attempt 2")
		So(text, ShouldContainSubstring, "digest "+replica.Digest(machine.Snapshot(true)))
		code, text = runCommand(&replayCommand{}, "-queue", "quotes", "-to", "3", path)
		So(code, ShouldEqual, 0)
		So(text, ShouldContainSubstring, "at 3: 1 live and 0 retained")
		code, text = runCommand(&replayCommand{}, "-queue", "quotes", "-job", "nobody", path)
		So(code, ShouldEqual, 0)
		So(text, ShouldNotContainSubstring, "first")
		So(readFiles(path), ShouldResemble, before)
		Convey("and bad flags are named", func() {
			code, text = runCommand(&replayCommand{}, "-queue", "nope", path)
			So(code, ShouldEqual, 2)
			So(text, ShouldContainSubstring, `queue: "nope" is not one of the queues in the data directory: quotes`)
			code, text = runCommand(&replayCommand{}, "-queue", "quotes", "-to", "99", path)
			So(code, ShouldEqual, 2)
			So(text, ShouldContainSubstring, "to:")
			code, _ = runCommand(&verifyCommand{})
			So(code, ShouldEqual, 2)
		})
		Convey("and corruption is reported with file and offset", func() {
			log := filepath.Join(path, "log-0")
			data, err := os.ReadFile(log)
			So(err, ShouldBeNil)
			data[20] ^= 1
			So(os.WriteFile(log, data, 0o600), ShouldBeNil)
			code, text = runCommand(&verifyCommand{}, path)
			So(code, ShouldEqual, 2)
			So(text, ShouldContainSubstring, "log-0 at offset 0")
			So(readFiles(path)["log-0"], ShouldEqual, string(data))
		})
	})
	Convey("Inconsistent entries are found", t, func() {
		for message, change := range map[string]func([]*schema.Entry) []*schema.Entry{
			"follows entry":                         func(list []*schema.Entry) []*schema.Entry { return append(list[:2:2], list[3:]...) },
			"entry 4":                               func(list []*schema.Entry) []*schema.Entry { list[3].Data = []byte("x"); return list },
			"hard state has term 1, which is lower": func(list []*schema.Entry) []*schema.Entry { list[5].Term = 9; return list },
		} {
			path := t.TempDir()
			dir, _ := writeTestStorage(path, change)
			dir.Close()
			code, text := runCommand(&verifyCommand{}, path)
			So(code, ShouldEqual, 1)
			So(text, ShouldContainSubstring, message)
		}
	})
	Convey("A foreign directory is reported as such, and left alone", t, func() {
		path := t.TempDir()
		code, text := runCommand(&verifyCommand{}, path)
		So(code, ShouldEqual, 2)
		So(text, ShouldContainSubstring, "no data directory")
		So(readFiles(path), ShouldBeEmpty)
	})
}
