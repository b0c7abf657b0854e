package clusterstate

import (
	"flag"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sparnotch/internal/schema"
)

// replaceModel is the reference model of TestReplaceIsCompareAndSet. It remembers all updates
// that were ever sent and their results, and predicts the result of the next update. The maps
// are keyed by updateKey, unless stated otherwise.
type replaceModel struct {
	machine         *StateMachine // the state machine under test
	sent            []*schema.ConfigurationUpdate
	wasSent         map[string]bool
	rejected        map[string]bool   // updates that got a final rejection
	applied         map[string]uint64 // revision that each accepted update created
	appliedOnBase   map[string]string // update that was accepted on each base, by baseKey
	version         uint64            // current version
	appliedVersions []uint64          // versions of all accepted updates in order; 0: an edit without a version
	serial          int               // makes documents and rows distinct
}

// newReplaceModel returns a model with an empty state machine.
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

// baseKey identifies the base of an update.
func baseKey(update *schema.ConfigurationUpdate) string {
	if update.Version == 0 {
		return fmt.Sprint("revision ", update.GetBaseRevision())
	}
	return fmt.Sprint("version ", update.BaseVersion)
}

// appliedCount returns the number of accepted updates, which is also the current revision.
func (model *replaceModel) appliedCount() uint64 { return uint64(len(model.appliedVersions)) }

// newDocument returns a document that differs from all earlier ones.
func (model *replaceModel) newDocument() []byte {
	model.serial++
	return []byte(fmt.Sprint("content ", model.serial))
}

// newRows returns valid rows that change with each new document.
func (model *replaceModel) newRows() []*schema.ConfigurationRow {
	return []*schema.ConfigurationRow{row("queue", "quotes", "urgency", fmt.Sprint(model.serial%100))}
}

// expectedCode returns the result code that the update must get if it is applied now.
func (model *replaceModel) expectedCode(update *schema.ConfigurationUpdate) int32 {
	if revision, accepted := model.applied[updateKey(update)]; accepted {
		if revision+maxRememberedUpdates > model.appliedCount() {
			return 200
		}
		return 504
	}
	base, current := update.BaseVersion, model.version
	forgotten := model.appliedCount() > maxRememberedUpdates && base < model.oldestRememberedVersion()
	if update.Version == 0 {
		base, current = update.GetBaseRevision(), model.appliedCount()
		forgotten = base+maxRememberedUpdates < model.appliedCount()
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

// oldestRememberedVersion returns the lowest version among the remembered updates, or the next
// version if none of them has a version.
func (model *replaceModel) oldestRememberedVersion() uint64 {
	for _, version := range model.appliedVersions[max(0, len(model.appliedVersions)-maxRememberedUpdates):] {
		if version > 0 {
			return version
		}
	}
	return model.version + 1
}

// apply applies a copy of an update to the state machine and compares the result with the
// expected one.
func (model *replaceModel) apply(t *rapid.T, update *schema.ConfigurationUpdate) {
	key, wanted := updateKey(update), model.expectedCode(update)
	data, err := proto.Marshal(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_UpdateConfiguration{UpdateConfiguration: &schema.UpdateConfiguration{Update: update}}})
	if err != nil {
		t.Fatal(err)
	}
	result, err := model.machine.Apply(1, data)
	if err != nil {
		t.Fatal(err)
	}
	if result.Code != wanted {
		t.Fatalf("update %s got code %d, want %d", key, result.Code, wanted)
	}
	if !model.wasSent[key] {
		model.wasSent[key] = true
		model.sent = append(model.sent, update)
	}
	model.recordResult(t, update, result.Code)
}

// recordResult checks that the result of an update doesn't contradict earlier results, and
// records it.
func (model *replaceModel) recordResult(t *rapid.T, update *schema.ConfigurationUpdate, code int32) {
	key := updateKey(update)
	_, accepted := model.applied[key]
	switch {
	case code == 412 || code == 422:
		if accepted {
			t.Fatalf("update %s was accepted earlier but is now rejected with code %d", key, code)
		}
		model.rejected[key] = true
	case code == 200 && model.rejected[key]:
		t.Fatalf("update %s was rejected earlier but is now accepted", key)
	case code == 200 && !accepted:
		if other, exists := model.appliedOnBase[baseKey(update)]; exists {
			t.Fatalf("updates %s and %s of the same base were both accepted", other, key)
		}
		model.appliedOnBase[baseKey(update)] = key
		model.appliedVersions = append(model.appliedVersions, update.Version)
		model.applied[key], model.version = model.appliedCount(), max(model.version, update.Version)
	}
}

// checkState compares the state of the state machine with the accepted updates.
func (model *replaceModel) checkState(t *rapid.T) {
	if configuration := model.machine.Configuration(); configuration.Revision != model.appliedCount() || configuration.Version != model.version {
		t.Fatalf("revision %d and version %d, want %d and %d", configuration.Revision, configuration.Version, model.appliedCount(), model.version)
	}
	if len(model.machine.state.AcceptedVersions) > maxRememberedUpdates {
		t.Fatalf("the state machine remembers %d updates, more than maxRememberedUpdates", len(model.machine.state.AcceptedVersions))
	}
}

// drawSent draws one of the updates sent so far. If there is none, it skips the action.
func (model *replaceModel) drawSent(t *rapid.T) *schema.ConfigurationUpdate {
	if len(model.sent) == 0 {
		t.Skip()
	}
	return rapid.SampledFrom(model.sent).Draw(t, "update")
}

// TestReplaceIsCompareAndSet checks that for any sequence of updates, with retries and restarts
// from snapshots, the results are those of a compare-and-set that remembers all updates, or 504
// for an update that may have been forgotten.
func TestReplaceIsCompareAndSet(t *testing.T) {
	fixSeed()
	rapid.Check(t, func(t *rapid.T) {
		model := newReplaceModel()
		// In some runs more updates are accepted than the state machine remembers.
		for range rapid.SampledFrom([]int{0, 3, maxRememberedUpdates - 2, maxRememberedUpdates + 3}).Draw(t, "accepted before") {
			model.apply(t, &schema.ConfigurationUpdate{Version: model.version + 2, BaseVersion: model.version, Document: model.newDocument(), Rows: model.newRows()})
		}
		draw := func(low, high uint64) uint64 { return rapid.Uint64Range(low, high).Draw(t, "number") }
		t.Repeat(map[string]func(*rapid.T){
			"": model.checkState,
			"based on the current version": func(t *rapid.T) {
				model.apply(t, &schema.ConfigurationUpdate{Version: model.version + draw(1, 3), BaseVersion: model.version, Document: model.newDocument(), Rows: model.newRows()})
			},
			"based on any version": func(t *rapid.T) {
				base := draw(0, model.version+5)
				model.apply(t, &schema.ConfigurationUpdate{Version: max(1, base+draw(0, 3)), BaseVersion: base, Document: model.newDocument(), Rows: model.newRows()})
			},
			"the same version with other content": func(t *rapid.T) {
				other := proto.Clone(model.drawSent(t)).(*schema.ConfigurationUpdate)
				if other.Version == 0 {
					t.Skip()
				}
				other.Document = model.newDocument()
				model.apply(t, other)
			},
			"edit without a version": func(t *rapid.T) {
				// Each edit must differ from the others, because edits with the same content are the same update.
				model.serial++
				revision := draw(model.appliedCount()-min(model.appliedCount(), 3), model.appliedCount()+2)
				model.apply(t, &schema.ConfigurationUpdate{BaseRevision: &revision, Rows: []*schema.ConfigurationRow{row("rack", fmt.Sprint("r", model.serial), "weight", "50")}})
			},
			"invalid": func(t *rapid.T) {
				model.apply(t, &schema.ConfigurationUpdate{Version: model.version + 1, BaseVersion: draw(model.version-min(model.version, 1), model.version+1), Document: model.newDocument(), Rows: []*schema.ConfigurationRow{row("queue", "x", "pool", "none")}})
			},
			"retried": func(t *rapid.T) {
				model.apply(t, model.drawSent(t))
			},
			"restart from the snapshot": func(t *rapid.T) {
				restored, err := Restore(model.machine.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				model.machine = restored
			},
		})
	})
}

// fixSeed sets a fixed seed, which makes runs repeatable, unless -rapid.seed gives another one.
func fixSeed() {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
		_ = flag.Set("rapid.nofailfile", "true")
	}
}
