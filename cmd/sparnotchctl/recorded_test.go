package main

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/replica"
	"sparnotch/internal/schema"
	"sparnotch/internal/storage"
)

// These constants are digests of the state machines in the data directories under
// testdata/recorded, which were written by commit 355bea5. The directories hold 72 jobs in two
// queues, one job of them scheduled and one cancelled, and a configuration with two rows.
// log-only holds all data in its first log; slot-and-log holds a snapshot slot and a log that
// follows it.
const (
	recordedQuotesDigest       = "706caa84097aa8b1"
	recordedExportsDigest      = "01acef331d8f8315"
	recordedClusterStateDigest = "9079846476e2cda9"
)

// copyRecorded copies a recorded data directory to a temporary one and returns its path. The
// copy is needed because opening a directory locks a file in it. This lock file is empty and
// isn't recorded, so copyRecorded creates it.
func copyRecorded(t *testing.T, name string) string {
	path := t.TempDir()
	So(os.CopyFS(path, os.DirFS(filepath.Join("testdata", "recorded", name))), ShouldBeNil)
	So(os.WriteFile(filepath.Join(path, "lock"), nil, 0o600), ShouldBeNil)
	return path
}

// TestRecordedDataDirs checks that data stored by an earlier version is read back to the same
// state.
func TestRecordedDataDirs(t *testing.T) {
	for _, name := range []string{"log-only", "slot-and-log"} {
		Convey(name+" is whole, and its queues replay to the recorded digests", t, func() {
			path := copyRecorded(t, name)
			code, text := runCommand(&verifyCommand{}, path)
			So(text, ShouldContainSubstring, "quotes#2: term 5")
			So(code, ShouldEqual, 0)
			code, text = runCommand(&replayCommand{}, "-queue", "quotes", path)
			So(code, ShouldEqual, 0)
			So(text, ShouldContainSubstring, "at 462: 1 live and 70 retained jobs, digest "+recordedQuotesDigest)
			code, text = runCommand(&replayCommand{}, "-queue", "exports", path)
			So(code, ShouldEqual, 0)
			So(text, ShouldContainSubstring, "at 16: 0 live and 2 retained jobs, digest "+recordedExportsDigest)
		})
		Convey(name+" holds the recorded configuration and cluster state", t, func() {
			store, err := storage.OpenReadOnly(copyRecorded(t, name))
			So(err, ShouldBeNil)
			So(store.State().Identity.Joined, ShouldBeTrue)
			group := store.State().Groups[clusterstate.GroupName]
			machine, err := clusterstate.Restore(group.Snapshot.GetData())
			So(err, ShouldBeNil)
			for _, entry := range group.Entries {
				if entry.Kind == schema.EntryKind_ENTRY_COMMAND {
					_, err := machine.Apply(entry.TimeUs, entry.Data)
					So(err, ShouldBeNil)
				}
			}
			configuration := machine.Configuration()
			So(configuration.Revision, ShouldEqual, 2)
			So(len(configuration.Rows), ShouldEqual, 2)
			So(replica.Digest(machine.Snapshot()), ShouldEqual, recordedClusterStateDigest)
		})
	}
}
