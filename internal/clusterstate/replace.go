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

// Replacing the configuration is a compare-and-set on its version, which its author assigns,
// or, for edits without a version, on its revision. Both numbers only increase. Three results
// are final, that is, they also hold when another copy of the update is applied later:
//
//   - 200: this update was accepted, now or earlier;
//   - 412: another update has replaced the base of this one, which therefore can't be
//     accepted any more;
//   - 422: the update is invalid whatever the current configuration is; a patch (patch.go)
//     is validated together with its base.
//
// The other results leave the outcome open, and the update may be sent again:
//
//   - 503: the base of the update hasn't been accepted yet, as happens when a client sends
//     updates one after the other without waiting for the responses; the update may be
//     accepted once its base is;
//   - 504: the base is older than the remembered updates, so it isn't known whether this
//     update was accepted.
//
// In the fields of the API the version is called edition and the revision generation; the
// path of the configuration's endpoint calls the configuration plan.

// These limits bound the size of the state, because each snapshot contains the whole state.
// For the same reason previous configurations are kept without their documents, and accepted
// updates as digests.
const (
	maxHistory           = 20        // previous configurations
	maxHistoryBytes      = 512 << 10 // total of the previous configurations, not counting the latest one
	maxRememberedUpdates = 1024      // accepted updates that are recognized when they are sent again
	maxDocumentBytes     = 256 << 10
	digestBytes          = 16
)

// replaceConfiguration replaces the current configuration with an update that is based on it.
func (m *StateMachine) replaceConfiguration(update *schema.ConfigurationUpdate) *Result {
	if update.Version > 0 {
		return m.replaceByVersion(update)
	}
	return m.replaceByRevision(update)
}

// replaceByRevision applies an edit without a version, which is based on a revision.
func (m *StateMachine) replaceByRevision(update *schema.ConfigurationUpdate) *Result {
	current := m.state.Configuration
	if update.BaseRevision == nil {
		return &Result{Code: http.StatusPreconditionRequired, Error: &schema.Error{
			Code: "generation_missing", Message: "the update must give the generation that it is based on",
			Field: "generation", Current: current.Revision,
		}}
	}
	base, digest := update.GetBaseRevision(), updateDigest(update)
	if m.isAccepted(0, digest) {
		return &Result{Code: http.StatusOK, Configuration: current}
	}
	if base < current.Revision {
		return baseSuperseded("generation", base, current.Revision, base >= m.oldestRememberedRevision())
	}
	complete, rejection := m.completeUpdate(update, baseReference{field: "generation", number: base, current: current.Revision})
	if rejection != nil {
		return rejection
	}
	// An edit changes the revision but not the version. The document stays too, unless the edit
	// has a document of its own.
	document := complete.Document
	if len(document) == 0 {
		document = current.Document
	}
	return m.applyUpdate(complete, current.Version, document, &schema.AcceptedVersion{Digest: digest})
}

// replaceByVersion applies an update whose author numbers the versions.
func (m *StateMachine) replaceByVersion(update *schema.ConfigurationUpdate) *Result {
	current := m.state.Configuration
	digest := updateDigest(update)
	if m.isAccepted(update.Version, digest) {
		// This is a retry after a timeout; other updates may have been accepted since.
		return &Result{Code: http.StatusOK, Configuration: current}
	}
	if update.BaseVersion < current.Version {
		return baseSuperseded("base_edition", update.BaseVersion, current.Version, m.remembersVersionsAbove(update.BaseVersion))
	}
	if update.Version <= update.BaseVersion {
		return &Result{Code: http.StatusUnprocessableEntity, Error: &schema.Error{
			Code: "bad_edition", Message: "the edition must be higher than base_edition, the one that it is based on",
			Field: "edition", Given: update.Version, Current: current.Version,
		}}
	}
	complete, rejection := m.completeUpdate(update, baseReference{field: "base_edition", number: update.BaseVersion, current: current.Version})
	if rejection != nil {
		return rejection
	}
	return m.applyUpdate(complete, update.Version, complete.Document, &schema.AcceptedVersion{Version: update.Version, Digest: digest})
}

// baseReference compares the base of an update with the current configuration, by their
// versions or by their revisions.
type baseReference struct {
	field           string // field of the update that names the base
	number, current uint64 // versions or revisions of the base and of the current configuration
}

// isAhead reports whether the base hasn't been accepted yet.
func (r baseReference) isAhead() bool { return r.number > r.current }

// completeUpdate returns the whole update that will replace the configuration: the update
// itself or, for a patch, the current configuration with the patch applied. If the update is
// invalid or its base hasn't been accepted yet, completeUpdate returns the rejection instead.
func (m *StateMachine) completeUpdate(update *schema.ConfigurationUpdate, base baseReference) (*schema.ConfigurationUpdate, *Result) {
	if update.IsPatch && base.isAhead() {
		// Whether a patch is valid depends on its base, which isn't known yet.
		return nil, baseNotAccepted(base.field, base.number, base.current)
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
		return nil, baseNotAccepted(base.field, base.number, base.current)
	}
	return complete, nil
}

// baseSuperseded returns the rejection of an update whose base has been replaced: 412, or 504
// if the update that replaced the base isn't remembered, since it may have been this one.
func baseSuperseded(field string, base, current uint64, remembered bool) *Result {
	if !remembered {
		return &Result{Code: http.StatusGatewayTimeout, Error: &schema.Error{
			Code: "unknown", Message: "too many updates have followed to know whether this one was accepted: get the current configuration and compare",
			Field: field, Given: base, Current: current,
		}}
	}
	return &Result{Code: http.StatusPreconditionFailed, Error: &schema.Error{
		Code: "outdated", Message: "the configuration has changed since the one that this update is based on: get the current one and repeat the edit",
		Field: field, Given: base, Current: current,
	}}
}

// baseNotAccepted returns the response to an update whose base hasn't been accepted yet. It
// isn't a final rejection, because a copy of the update that is still in flight may be applied
// after the base.
func baseNotAccepted(field string, base, current uint64) *Result {
	return &Result{Code: http.StatusServiceUnavailable, Error: &schema.Error{
		Code: "base_ahead", Message: "the base of this update has not been accepted yet: send the update again unchanged",
		Field: field, Given: base, Current: current,
	}}
}

// validateUpdate returns the reason why an update is invalid whatever the current
// configuration is, or nil if it is valid.
func validateUpdate(update *schema.ConfigurationUpdate) *schema.Error {
	if len(update.Document) > maxDocumentBytes {
		return &schema.Error{Code: "bad_document", Message: fmt.Sprintf("the document must have at most %d bytes", maxDocumentBytes), Field: "document"}
	}
	return ValidateRows(update.Rows)
}

// applyUpdate makes a valid, whole update the current configuration, moves the previous
// configuration to the history and remembers the update as accepted.
func (m *StateMachine) applyUpdate(update *schema.ConfigurationUpdate, version uint64, document []byte, accepted *schema.AcceptedVersion) *Result {
	previous := m.state.Configuration
	m.state.PreviousConfigurations = trimHistory(append(m.state.PreviousConfigurations, WithoutDocument(previous)))
	m.state.Configuration = &schema.Configuration{
		Revision: previous.Revision + 1, Rows: update.Rows, Version: version, Document: document,
		FormerTenants: formerTenants(previous, update.Rows),
	}
	m.updateFormerQueues(previous)
	m.state.AcceptedVersions = append(m.state.AcceptedVersions, accepted)
	if len(m.state.AcceptedVersions) > maxRememberedUpdates {
		m.state.AcceptedVersions = m.state.AcceptedVersions[1:]
	}
	m.changed = true
	return &Result{Code: http.StatusOK, Configuration: m.state.Configuration}
}

// trimHistory returns the previous configurations to keep: always the latest one, whatever its
// size, so that a change can be undone, and older ones within maxHistory and maxHistoryBytes.
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

// isAccepted reports whether an update is among the remembered accepted updates. The version
// is 0 for edits without a version.
func (m *StateMachine) isAccepted(version uint64, digest []byte) bool {
	for _, accepted := range m.state.AcceptedVersions {
		if accepted.Version == version && bytes.Equal(accepted.Digest, digest) {
			return true
		}
	}
	return false
}

// oldestRememberedRevision returns the lowest revision whose replacing update is remembered.
// Each accepted update adds one revision and one entry to AcceptedVersions.
func (m *StateMachine) oldestRememberedRevision() uint64 {
	return m.state.Configuration.Revision - min(uint64(len(m.state.AcceptedVersions)), m.state.Configuration.Revision)
}

// remembersVersionsAbove reports whether all accepted versions above base are remembered.
func (m *StateMachine) remembersVersionsAbove(base uint64) bool {
	if m.oldestRememberedRevision() == 0 {
		return true
	}
	for _, accepted := range m.state.AcceptedVersions {
		if accepted.Version > 0 {
			return base >= accepted.Version
		}
	}
	return false
}

// updateDigest returns a digest of an update as its author submitted it. If the leader has changed
// the update since (AssignNames), the update holds the digest.
func updateDigest(update *schema.ConfigurationUpdate) []byte {
	switch {
	case len(update.SubmittedDigest) > 0:
		return update.SubmittedDigest
	case update.Version > 0:
		return versionDigest(update)
	}
	return revisionDigest(update)
}

// versionDigest returns a digest that distinguishes updates of the same version. It hashes the
// document, which is what the author submitted, or the rows if there is no document.
func versionDigest(update *schema.ConfigurationUpdate) []byte {
	hash := sha256.New()
	hash.Write(update.Document)
	if len(update.Document) == 0 {
		hash.Write([]byte(strings.Join(canonicalRows(update.Rows), "\n")))
	}
	hashPatch(hash, update)
	return hash.Sum(nil)[:digestBytes]
}

// revisionDigest returns a digest that distinguishes edits without a version. It hashes the
// base and all content of the edit.
func revisionDigest(update *schema.ConfigurationUpdate) []byte {
	hash := sha256.New()
	hash.Write([]byte(strconv.FormatUint(update.GetBaseRevision(), 10) + "\n"))
	hash.Write([]byte(strings.Join(canonicalRows(update.Rows), "\n") + "\n"))
	hash.Write(update.Document)
	hashPatch(hash, update)
	return hash.Sum(nil)[:digestBytes]
}
