package clusterstate

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// Replacing the plan is a compare-and-set on its number, edition or generation,
// which only rises. So each answer holds for good, whenever a copy of the order
// is still applied:
//
//   - 200: this very order was taken, now or before;
//   - 412: a number above its base is current and this order didn't bring it,
//     so it never will;
//   - 422: it is invalid by itself, whatever is current.
//
// What isn't certain for good is said to be unclear, and may be sent again:
//
//   - 503: its base has yet to be taken, as when orders follow each other
//     without waiting; once that is done this one may be taken;
//   - 504: its base is older than what is remembered, so it may have been taken.

// replaceConfiguration replaces the plan by a sheet if that is built on it.
func (m *StateMachine) replaceConfiguration(update *schema.ConfigurationUpdate) *Result {
	current := m.state.Configuration
	if update.Version > 0 {
		return m.replaceByVersion(update)
	}
	if update.BaseRevision == nil {
		return &Result{Code: 428, Error: &schema.Error{Code: "generation_missing", Message: "the sheet must say which generation it was built on", Field: "generation", Current: current.Revision}}
	}
	given, digest := update.GetBaseRevision(), revisionDigest(update)
	if m.isApplied(0, digest) {
		return &Result{Code: 200, Configuration: current}
	}
	if given < current.Revision {
		isRemembered := given >= m.oldestRememberedRevision()
		return conflict("generation", given, current.Revision, isRemembered)
	}
	if fault := validateUpdate(update); fault != nil {
		return &Result{Code: 422, Error: fault}
	}
	if given > current.Revision {
		return baseNotApplied("generation", given, current.Revision)
	}
	// The author's edition goes on: what is changed by hand is changed on top of it.
	document := update.Document
	if len(document) == 0 {
		document = current.Document
	}
	return m.applyUpdate(update, current.Version, document, &schema.AcceptedVersion{Digest: digest})
}

// replaceByVersion takes a sheet of an author who numbers editions.
func (m *StateMachine) replaceByVersion(update *schema.ConfigurationUpdate) *Result {
	current := m.state.Configuration
	digest := versionDigest(update)
	if m.isApplied(update.Version, digest) {
		// It took effect and is sent again after a silence, maybe when another
		// has followed it.
		return &Result{Code: 200, Configuration: current}
	}
	if update.BaseVersion < current.Version {
		return conflict("base_edition", update.BaseVersion, current.Version, m.remembersVersionsFrom(update.BaseVersion))
	}
	if update.Version <= update.BaseVersion {
		return &Result{Code: 422, Error: &schema.Error{
			Code: "bad_edition", Message: "an edition's number must be higher than that of the one before",
			Field: "edition", Given: update.Version, Current: current.Version,
		}}
	}
	if fault := validateUpdate(update); fault != nil {
		return &Result{Code: 422, Error: fault}
	}
	if update.BaseVersion > current.Version {
		return baseNotApplied("base_edition", update.BaseVersion, current.Version)
	}
	return m.applyUpdate(update, update.Version, update.Document, &schema.AcceptedVersion{Version: update.Version, Digest: digest})
}

// conflict answers an order whose base has been replaced by another order.
func conflict(field string, given, current uint64, remembered bool) *Result {
	if !remembered {
		return &Result{Code: 504, Error: &schema.Error{
			Code: "unknown", Message: "so much has followed that whether this took effect is not known any more: get the plan and see",
			Field: field, Given: given, Current: current,
		}}
	}
	return &Result{Code: 412, Error: &schema.Error{
		Code: "outdated", Message: "the plan has changed since this sheet was made: get it anew and repeat the edit",
		Field: field, Given: given, Current: current,
	}}
}

// baseNotApplied answers an order whose base isn't there yet. It isn't refused: a copy
// of it that is still on its way may be applied after its base.
func baseNotApplied(field string, given, current uint64) *Result {
	return &Result{Code: 503, Error: &schema.Error{
		Code: "base_ahead", Message: "what this sheet was built on has not been taken yet: send it again as it is",
		Field: field, Given: given, Current: current,
	}}
}

// --- what has been taken ---

func (m *StateMachine) isApplied(version uint64, digest []byte) bool {
	for _, applied := range m.state.AcceptedVersions {
		if applied.Version == version && bytes.Equal(applied.Digest, digest) {
			return true
		}
	}
	return false
}

// oldestRememberedRevision is the lowest generation of which it is remembered what was
// taken on top of it: each order taken makes one generation and one entry.
func (m *StateMachine) oldestRememberedRevision() uint64 {
	return m.state.Configuration.Revision - min(uint64(len(m.state.AcceptedVersions)), m.state.Configuration.Revision)
}

// remembersVersionsFrom tells whether every edition above a base is remembered.
func (m *StateMachine) remembersVersionsFrom(base uint64) bool {
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

// versionDigest tells editions of one number apart: by the document, for it is
// what the author gave, or by the rows where there is none.
func versionDigest(update *schema.ConfigurationUpdate) []byte {
	hash := sha256.New()
	hash.Write(update.Document)
	if len(update.Document) == 0 {
		hash.Write([]byte(strings.Join(canonicalRows(update.Rows), "\n")))
	}
	return hash.Sum(nil)[:digestBytes]
}

// revisionDigest tells sheets apart that have no edition, by all they say.
func revisionDigest(update *schema.ConfigurationUpdate) []byte {
	hash := sha256.New()
	hash.Write([]byte(strconv.FormatUint(update.GetBaseRevision(), 10) + "\n" + strings.Join(canonicalRows(update.Rows), "\n") + "\n"))
	hash.Write(update.Document)
	return hash.Sum(nil)[:digestBytes]
}

// --- the change itself ---

// validateUpdate finds what makes a sheet invalid, whatever is current.
func validateUpdate(update *schema.ConfigurationUpdate) *schema.Error {
	if len(update.Document) > maxDocumentBytes {
		return &schema.Error{Code: "bad_document", Message: fmt.Sprintf("at most %d bytes", maxDocumentBytes), Field: "document"}
	}
	return ValidateRows(update.Rows)
}

// applyUpdate makes a sheet the plan, and remembers that it was taken.
func (m *StateMachine) applyUpdate(update *schema.ConfigurationUpdate, version uint64, document []byte, applied *schema.AcceptedVersion) *Result {
	m.state.PreviousConfigurations = trimHistory(append(m.state.PreviousConfigurations, WithoutDocument(m.state.Configuration)))
	m.changed = true
	m.state.Configuration = &schema.Configuration{Revision: m.state.Configuration.Revision + 1, Rows: update.Rows, Version: version, Document: document}
	m.state.AcceptedVersions = append(m.state.AcceptedVersions, applied)
	if len(m.state.AcceptedVersions) > maxRememberedUpdates {
		m.state.AcceptedVersions = m.state.AcceptedVersions[1:]
	}
	return &Result{Code: 200, Configuration: m.state.Configuration}
}

// trimHistory is what is kept of old plans: the last one however large, so that what a
// change has undone can be looked up, and others while they are few and small.
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
