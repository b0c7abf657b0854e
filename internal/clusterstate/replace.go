package clusterstate

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// Replacing the configuration is a compare-and-set on its number: the version that its
// author gave it or, for edits without one, the revision. Both only rise, so a final answer
// to an update holds whenever another copy of the update is applied:
//
//   - 200: this very update was accepted, now or before;
//   - 412: a number above its base is current and another update brought it, so this one
//     can't be accepted any more;
//   - 422: it is invalid by itself, whatever is current; a patch (patch.go) is judged
//     together with its base.
//
// Else the outcome is said to be open, and the update may be sent again:
//
//   - 503: its base hasn't been accepted yet, as when updates are sent one after the other
//     without waiting; once it has, this one may be;
//   - 504: its base is older than what is remembered, so it may have been accepted.
//
// In the API's fields and messages the version is called edition, the revision generation,
// and the configuration plan or, in an update, sheet.

// The state has a bounded size, for each snapshot contains the whole of it: previous
// configurations are kept without their documents, accepted updates as digests.
const (
	maxHistory           = 20        // previous configurations
	maxHistoryBytes      = 512 << 10 // of previous configurations, without the last one
	maxRememberedUpdates = 1024      // accepted updates that are recognized when they are sent again
	maxDocumentBytes     = 256 << 10
	digestBytes          = 16
)

// replaceConfiguration replaces the configuration by an update that is based on it.
func (m *StateMachine) replaceConfiguration(update *schema.ConfigurationUpdate) *Result {
	if update.Version > 0 {
		return m.replaceByVersion(update)
	}
	return m.replaceByRevision(update)
}

// replaceByRevision takes an edit without a version of its author.
func (m *StateMachine) replaceByRevision(update *schema.ConfigurationUpdate) *Result {
	current := m.state.Configuration
	if update.BaseRevision == nil {
		return &Result{Code: http.StatusPreconditionRequired, Error: &schema.Error{
			Code: "generation_missing", Message: "the sheet must say which generation it was built on",
			Field: "generation", Current: current.Revision,
		}}
	}
	given, digest := update.GetBaseRevision(), revisionDigest(update)
	if m.isAccepted(0, digest) {
		return &Result{Code: http.StatusOK, Configuration: current}
	}
	if given < current.Revision {
		return baseSuperseded("generation", given, current.Revision, given >= m.oldestRememberedRevision())
	}
	complete, rejection := m.completeUpdate(update, baseReference{field: "generation", given: given, current: current.Revision})
	if rejection != nil {
		return rejection
	}
	// The version and its document stay: the edit is made on top of them.
	document := complete.Document
	if len(document) == 0 {
		document = current.Document
	}
	return m.applyUpdate(complete, current.Version, document, &schema.AcceptedVersion{Digest: digest})
}

// replaceByVersion takes an update whose author numbers the versions.
func (m *StateMachine) replaceByVersion(update *schema.ConfigurationUpdate) *Result {
	current := m.state.Configuration
	digest := versionDigest(update)
	if m.isAccepted(update.Version, digest) {
		// A retry after a timeout; others may have been accepted since.
		return &Result{Code: http.StatusOK, Configuration: current}
	}
	if update.BaseVersion < current.Version {
		return baseSuperseded("base_edition", update.BaseVersion, current.Version, m.remembersVersionsAbove(update.BaseVersion))
	}
	if update.Version <= update.BaseVersion {
		return &Result{Code: http.StatusUnprocessableEntity, Error: &schema.Error{
			Code: "bad_edition", Message: "an edition's number must be higher than that of the one before",
			Field: "edition", Given: update.Version, Current: current.Version,
		}}
	}
	complete, rejection := m.completeUpdate(update, baseReference{field: "base_edition", given: update.BaseVersion, current: current.Version})
	if rejection != nil {
		return rejection
	}
	return m.applyUpdate(complete, update.Version, complete.Document, &schema.AcceptedVersion{Version: update.Version, Digest: digest})
}

// baseReference is what an update names as its base, beside what is current.
type baseReference struct {
	field          string // of the update
	given, current uint64
}

func (r baseReference) isAhead() bool { return r.given > r.current }

// completeUpdate returns a valid update with the rows and the document that will be in force:
// the update itself, or for a patch the current configuration with the patch applied. Else
// it returns the rejection.
func (m *StateMachine) completeUpdate(update *schema.ConfigurationUpdate, base baseReference) (*schema.ConfigurationUpdate, *Result) {
	if update.IsPatch && base.isAhead() {
		// Whether a patch is valid depends on its base.
		return nil, baseNotAccepted(base.field, base.given, base.current)
	}
	complete, invalid := update, (*schema.Error)(nil)
	if update.IsPatch {
		complete, invalid = applyPatch(m.state.Configuration, update)
	}
	if invalid == nil {
		invalid = validateUpdate(complete)
	}
	switch {
	case invalid != nil:
		return nil, &Result{Code: http.StatusUnprocessableEntity, Error: invalid}
	case base.isAhead():
		return nil, baseNotAccepted(base.field, base.given, base.current)
	}
	return complete, nil
}

// baseSuperseded rejects an update whose base has been replaced: 412, or 504 if it isn't
// remembered whether by this very update.
func baseSuperseded(field string, given, current uint64, remembered bool) *Result {
	if !remembered {
		return &Result{Code: http.StatusGatewayTimeout, Error: &schema.Error{
			Code: "unknown", Message: "so much has followed that whether this took effect is not known any more: get the plan and see",
			Field: field, Given: given, Current: current,
		}}
	}
	return &Result{Code: http.StatusPreconditionFailed, Error: &schema.Error{
		Code: "outdated", Message: "the plan has changed since this sheet was made: get it anew and repeat the edit",
		Field: field, Given: given, Current: current,
	}}
}

// baseNotAccepted answers an update whose base hasn't been accepted yet. That is no final
// rejection: a copy of it that is still in flight may be applied after its base.
func baseNotAccepted(field string, given, current uint64) *Result {
	return &Result{Code: http.StatusServiceUnavailable, Error: &schema.Error{
		Code: "base_ahead", Message: "what this sheet was built on has not been taken yet: send it again as it is",
		Field: field, Given: given, Current: current,
	}}
}

// validateUpdate returns why an update is invalid by itself, whatever is current; nil if it
// is valid.
func validateUpdate(update *schema.ConfigurationUpdate) *schema.Error {
	if len(update.Document) > maxDocumentBytes {
		return &schema.Error{Code: "bad_document", Message: fmt.Sprintf("at most %d bytes", maxDocumentBytes), Field: "document"}
	}
	return ValidateRows(update.Rows)
}

// applyUpdate makes an update the current configuration, and remembers that it was accepted.
func (m *StateMachine) applyUpdate(update *schema.ConfigurationUpdate, version uint64, document []byte, accepted *schema.AcceptedVersion) *Result {
	previous := m.state.Configuration
	m.state.PreviousConfigurations = trimHistory(append(m.state.PreviousConfigurations, WithoutDocument(previous)))
	m.state.Configuration = &schema.Configuration{
		Revision: previous.Revision + 1, Rows: update.Rows, Version: version, Document: document,
		FormerTenants: formerTenants(previous, update.Rows),
	}
	m.state.AcceptedVersions = append(m.state.AcceptedVersions, accepted)
	if len(m.state.AcceptedVersions) > maxRememberedUpdates {
		m.state.AcceptedVersions = m.state.AcceptedVersions[1:]
	}
	m.changed = true
	return &Result{Code: http.StatusOK, Configuration: m.state.Configuration}
}

// trimHistory returns the previous configurations to keep: the last one however large it is,
// so that a change can be undone, and older ones within the bounds.
func trimHistory(history []*schema.Configuration) []*schema.Configuration {
	size := 0
	for k := len(history) - 2; k >= 0; k-- {
		size += proto.Size(history[k])
		if len(history)-k > maxHistory || size > maxHistoryBytes {
			return history[k+1:]
		}
	}
	return history
}

// isAccepted reports whether an update is among the remembered ones; edits without a version
// have version 0.
func (m *StateMachine) isAccepted(version uint64, digest []byte) bool {
	for _, accepted := range m.state.AcceptedVersions {
		if accepted.Version == version && bytes.Equal(accepted.Digest, digest) {
			return true
		}
	}
	return false
}

// oldestRememberedRevision returns the lowest revision of which it is remembered which update
// replaced it: each accepted update makes one revision and one entry.
func (m *StateMachine) oldestRememberedRevision() uint64 {
	return m.state.Configuration.Revision - min(uint64(len(m.state.AcceptedVersions)), m.state.Configuration.Revision)
}

// remembersVersionsAbove reports whether every accepted version above a base is remembered.
func (m *StateMachine) remembersVersionsAbove(base uint64) bool {
	if m.oldestRememberedRevision() == 0 {
		return true
	}
	for _, applied := range m.state.AcceptedVersions {
		if applied.Version > 0 {
			return base >= applied.Version
		}
	}
	return false
}

// versionDigest distinguishes updates of the same version by their document, for that is what
// the author gave, or by their rows if they have none.
func versionDigest(update *schema.ConfigurationUpdate) []byte {
	hash := sha256.New()
	hash.Write(update.Document)
	if len(update.Document) == 0 {
		hash.Write([]byte(strings.Join(canonicalRows(update.Rows), "\n")))
	}
	hashPatch(hash, update)
	return hash.Sum(nil)[:digestBytes]
}

// revisionDigest distinguishes edits without a version by their base and all their content.
func revisionDigest(update *schema.ConfigurationUpdate) []byte {
	hash := sha256.New()
	hash.Write([]byte(strconv.FormatUint(update.GetBaseRevision(), 10) + "\n"))
	hash.Write([]byte(strings.Join(canonicalRows(update.Rows), "\n") + "\n"))
	hash.Write(update.Document)
	hashPatch(hash, update)
	return hash.Sum(nil)[:digestBytes]
}
