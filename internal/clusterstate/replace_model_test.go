package clusterstate

import (
	"flag"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sparnotch/internal/schema"
)

// replaceModel is the reference of TestReplaceIsCompareAndSet: every update that
// was ever sent, how each was answered, and which were accepted.
type replaceModel struct {
	machine         *StateMachine
	sent            []*schema.ConfigurationUpdate
	wasSent         map[string]bool
	rejected        map[string]bool   // by update
	applied         map[string]uint64 // by update: the revision it made
	appliedOnBase   map[string]string // by base: the update that was accepted
	version         uint64            // the current one
	appliedVersions []uint64          // of all accepted updates in order; 0: an edit without a version
	serial          int
}

func newReplaceModel() *replaceModel {
	return &replaceModel{machine: New(), wasSent: map[string]bool{}, rejected: map[string]bool{}, applied: map[string]uint64{}, appliedOnBase: map[string]string{}}
}

// updateKey identifies an update by its version, base and content.
func updateKey(update *schema.ConfigurationUpdate) string {
	if update.Version == 0 {
		return fmt.Sprint("edit of ", update.GetBaseRevision(), canonicalRows(update.Rows))
	}
	if update.IsPatch {
		return fmt.Sprintf("%d on %d: patch %v", update.Version, update.BaseVersion, canonicalRows(update.Rows))
	}
	return fmt.Sprintf("%d on %d: %s", update.Version, update.BaseVersion, update.Document)
}

func baseKey(update *schema.ConfigurationUpdate) string {
	if update.Version == 0 {
		return fmt.Sprint("revision ", update.GetBaseRevision())
	}
	return fmt.Sprint("version ", update.BaseVersion)
}

func (o *replaceModel) appliedCount() uint64 { return uint64(len(o.appliedVersions)) }

func (o *replaceModel) newDocument() []byte {
	o.serial++
	return []byte(fmt.Sprint("content ", o.serial))
}

func (o *replaceModel) newRows() []*schema.ConfigurationRow {
	return []*schema.ConfigurationRow{row("queue", "quotes", "urgency", fmt.Sprint(o.serial%100))}
}

// expectedCode is the code that an update would have to get now.
func (o *replaceModel) expectedCode(update *schema.ConfigurationUpdate) int32 {
	if at, accepted := o.applied[updateKey(update)]; accepted {
		if at+maxRememberedUpdates > o.appliedCount() {
			return 200
		}
		return 504
	}
	base, current := update.BaseVersion, o.version
	forgotten := o.appliedCount() > maxRememberedUpdates && base < o.oldestRememberedVersion()
	if update.Version == 0 {
		base, current = update.GetBaseRevision(), o.appliedCount()
		forgotten = base+maxRememberedUpdates < o.appliedCount()
	}
	invalid := ValidateRows(update.Rows) != nil || update.Version > 0 && update.Version <= update.BaseVersion
	switch {
	case base < current && forgotten:
		return 504
	case base < current:
		return 412
	case invalid:
		return 422
	case base > current:
		return 503
	}
	return 200
}

// oldestRememberedVersion is the lowest version among the remembered updates.
func (o *replaceModel) oldestRememberedVersion() uint64 {
	for _, version := range o.appliedVersions[max(0, len(o.appliedVersions)-maxRememberedUpdates):] {
		if version > 0 {
			return version
		}
	}
	return o.version + 1
}

// apply applies a copy of an update and compares the answer with the model's.
func (o *replaceModel) apply(t *rapid.T, update *schema.ConfigurationUpdate) {
	key, wanted := updateKey(update), o.expectedCode(update)
	data, err := proto.Marshal(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: update}}})
	if err != nil {
		t.Fatal(err)
	}
	result, err := o.machine.Apply(1, data)
	if err != nil {
		t.Fatal(err)
	}
	if result.Code != wanted {
		t.Fatalf("%s is answered %d, want %d", key, result.Code, wanted)
	}
	if !o.wasSent[key] {
		o.wasSent[key] = true
		o.sent = append(o.sent, update)
	}
	o.recordResult(t, update, result.Code)
}

// recordResult checks an answer against all that were given before it.
func (o *replaceModel) recordResult(t *rapid.T, update *schema.ConfigurationUpdate, code int32) {
	key := updateKey(update)
	_, accepted := o.applied[key]
	switch {
	case code == 412 || code == 422:
		if accepted {
			t.Fatalf("%s was accepted and is rejected with %d", key, code)
		}
		o.rejected[key] = true
	case code == 200 && o.rejected[key]:
		t.Fatalf("%s was rejected and is accepted", key)
	case code == 200 && !accepted:
		if other, exists := o.appliedOnBase[baseKey(update)]; exists {
			t.Fatalf("%s and %s were both accepted", other, key)
		}
		o.appliedOnBase[baseKey(update)] = key
		o.appliedVersions = append(o.appliedVersions, update.Version)
		o.applied[key], o.version = o.appliedCount(), max(o.version, update.Version)
	}
}

// checkState compares the machine's state with the accepted updates.
func (o *replaceModel) checkState(t *rapid.T) {
	if configuration := o.machine.Configuration(); configuration.Revision != o.appliedCount() || configuration.Version != o.version {
		t.Fatalf("revision %d and version %d, want %d and %d", configuration.Revision, configuration.Version, o.appliedCount(), o.version)
	}
	if len(o.machine.state.AcceptedVersions) > maxRememberedUpdates {
		t.Fatalf("%d updates are remembered", len(o.machine.state.AcceptedVersions))
	}
}

// drawSent draws an update that was sent before; without one the action is skipped.
func (o *replaceModel) drawSent(t *rapid.T) *schema.ConfigurationUpdate {
	if len(o.sent) == 0 {
		t.Skip()
	}
	return rapid.SampledFrom(o.sent).Draw(t, "update")
}

// TestReplaceIsCompareAndSet: for any sequence of updates, with retries and restarts from
// snapshots, the machine answers like a compare-and-set that remembers every update, or says
// that it doesn't remember.
func TestReplaceIsCompareAndSet(t *testing.T) {
	fixSeed()
	rapid.Check(t, func(t *rapid.T) {
		o := newReplaceModel()
		// Also more updates than are remembered.
		for range rapid.SampledFrom([]int{0, 3, maxRememberedUpdates - 2, maxRememberedUpdates + 3}).Draw(t, "accepted before") {
			o.apply(t, &schema.ConfigurationUpdate{Version: o.version + 2, BaseVersion: o.version, Document: o.newDocument(), Rows: o.newRows()})
		}
		draw := func(low, high uint64) uint64 { return rapid.Uint64Range(low, high).Draw(t, "number") }
		t.Repeat(map[string]func(*rapid.T){
			"": o.checkState,
			"based on the current version": func(t *rapid.T) {
				o.apply(t, &schema.ConfigurationUpdate{Version: o.version + draw(1, 3), BaseVersion: o.version, Document: o.newDocument(), Rows: o.newRows()})
			},
			"based on any version": func(t *rapid.T) {
				base := draw(0, o.version+5)
				o.apply(t, &schema.ConfigurationUpdate{Version: max(1, base+draw(0, 3)), BaseVersion: base, Document: o.newDocument(), Rows: o.newRows()})
			},
			"the same version with other content": func(t *rapid.T) {
				other := proto.Clone(o.drawSent(t)).(*schema.ConfigurationUpdate)
				if other.Version == 0 {
					t.Skip()
				}
				other.Document = o.newDocument()
				o.apply(t, other)
			},
			"edit without a version": func(t *rapid.T) {
				// Each edit differs, or two would be the same update.
				o.serial++
				revision := draw(o.appliedCount()-min(o.appliedCount(), 3), o.appliedCount()+2)
				o.apply(t, &schema.ConfigurationUpdate{BaseRevision: &revision, Rows: []*schema.ConfigurationRow{row("rack", fmt.Sprint("r", o.serial), "weight", "50")}})
			},
			"invalid": func(t *rapid.T) {
				o.apply(t, &schema.ConfigurationUpdate{Version: o.version + 1, BaseVersion: draw(o.version-min(o.version, 1), o.version+1), Document: o.newDocument(), Rows: []*schema.ConfigurationRow{row("queue", "x", "pool", "none")}})
			},
			"retried": func(t *rapid.T) {
				o.apply(t, o.drawSent(t))
			},
			"restart from the snapshot": func(t *rapid.T) {
				restored, err := Restore(o.machine.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				o.machine = restored
			},
		})
	})
}

// fixSeed makes runs repeatable, unless -rapid.seed asks for another seed.
func fixSeed() {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
		_ = flag.Set("rapid.nofailfile", "true")
	}
}
