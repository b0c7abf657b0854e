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

// put replaces the plan by a sheet if that is built on it.
func (m *Machine) put(sheet *schema.ConfigurationUpdate) *Result {
	current := m.state.Configuration
	if sheet.Version > 0 {
		return m.putEdition(sheet)
	}
	if sheet.BaseRevision == nil {
		return &Result{Code: 428, Fault: &schema.Error{Code: "generation_missing", Message: "the sheet must say which generation it was built on", Field: "generation", Current: current.Revision}}
	}
	given, digest := sheet.GetBaseRevision(), generationDigest(sheet)
	if m.isTaken(0, digest) {
		return &Result{Code: 200, Plan: current}
	}
	if given < current.Revision {
		isRemembered := given >= m.firstRemembered()
		return outdated("generation", given, current.Revision, isRemembered)
	}
	if fault := checkSheet(sheet); fault != nil {
		return &Result{Code: 422, Fault: fault}
	}
	if given > current.Revision {
		return ahead("generation", given, current.Revision)
	}
	// The author's edition goes on: what is changed by hand is changed on top of it.
	document := sheet.Document
	if len(document) == 0 {
		document = current.Document
	}
	return m.take(sheet, current.Version, document, &schema.AcceptedVersion{Digest: digest})
}

// putEdition takes a sheet of an author who numbers editions.
func (m *Machine) putEdition(sheet *schema.ConfigurationUpdate) *Result {
	current := m.state.Configuration
	digest := editionDigest(sheet)
	if m.isTaken(sheet.Version, digest) {
		// It took effect and is sent again after a silence, maybe when another
		// has followed it.
		return &Result{Code: 200, Plan: current}
	}
	if sheet.BaseVersion < current.Version {
		return outdated("base_edition", sheet.BaseVersion, current.Version, m.remembersEditionsFrom(sheet.BaseVersion))
	}
	if sheet.Version <= sheet.BaseVersion {
		return &Result{Code: 422, Fault: &schema.Error{
			Code: "bad_edition", Message: "an edition's number must be higher than that of the one before",
			Field: "edition", Given: sheet.Version, Current: current.Version,
		}}
	}
	if fault := checkSheet(sheet); fault != nil {
		return &Result{Code: 422, Fault: fault}
	}
	if sheet.BaseVersion > current.Version {
		return ahead("base_edition", sheet.BaseVersion, current.Version)
	}
	return m.take(sheet, sheet.Version, sheet.Document, &schema.AcceptedVersion{Version: sheet.Version, Digest: digest})
}

// outdated answers an order whose base has been replaced by another order.
func outdated(field string, given, current uint64, isRemembered bool) *Result {
	if !isRemembered {
		return &Result{Code: 504, Fault: &schema.Error{
			Code: "unknown", Message: "so much has followed that whether this took effect is not known any more: get the plan and see",
			Field: field, Given: given, Current: current,
		}}
	}
	return &Result{Code: 412, Fault: &schema.Error{
		Code: "outdated", Message: "the plan has changed since this sheet was made: get it anew and repeat the edit",
		Field: field, Given: given, Current: current,
	}}
}

// ahead answers an order whose base isn't there yet. It isn't refused: a copy
// of it that is still on its way may be applied after its base.
func ahead(field string, given, current uint64) *Result {
	return &Result{Code: 503, Fault: &schema.Error{
		Code: "base_ahead", Message: "what this sheet was built on has not been taken yet: send it again as it is",
		Field: field, Given: given, Current: current,
	}}
}

// --- what has been taken ---

func (m *Machine) isTaken(edition uint64, digest []byte) bool {
	for _, taken := range m.state.AcceptedVersions {
		if taken.Version == edition && bytes.Equal(taken.Digest, digest) {
			return true
		}
	}
	return false
}

// firstRemembered is the lowest generation of which it is remembered what was
// taken on top of it: each order taken makes one generation and one entry.
func (m *Machine) firstRemembered() uint64 {
	return m.state.Configuration.Revision - min(uint64(len(m.state.AcceptedVersions)), m.state.Configuration.Revision)
}

// remembersEditionsFrom tells whether every edition above a base is remembered.
func (m *Machine) remembersEditionsFrom(base uint64) bool {
	if m.firstRemembered() == 0 {
		return true
	}
	for _, taken := range m.state.AcceptedVersions {
		if taken.Version > 0 {
			return base >= taken.Version
		}
	}
	return false
}

// editionDigest tells editions of one number apart: by the document, for it is
// what the author gave, or by the rows where there is none.
func editionDigest(sheet *schema.ConfigurationUpdate) []byte {
	hash := sha256.New()
	hash.Write(sheet.Document)
	if len(sheet.Document) == 0 {
		hash.Write([]byte(strings.Join(lines(sheet.Rows), "\n")))
	}
	return hash.Sum(nil)[:digestBytes]
}

// generationDigest tells sheets apart that have no edition, by all they say.
func generationDigest(sheet *schema.ConfigurationUpdate) []byte {
	hash := sha256.New()
	hash.Write([]byte(strconv.FormatUint(sheet.GetBaseRevision(), 10) + "\n" + strings.Join(lines(sheet.Rows), "\n") + "\n"))
	hash.Write(sheet.Document)
	return hash.Sum(nil)[:digestBytes]
}

// --- the change itself ---

// checkSheet finds what makes a sheet invalid, whatever is current.
func checkSheet(sheet *schema.ConfigurationUpdate) *schema.Error {
	if len(sheet.Document) > maxDocument {
		return &schema.Error{Code: "bad_document", Message: fmt.Sprintf("at most %d bytes", maxDocument), Field: "document"}
	}
	return CheckRows(sheet.Rows)
}

// take makes a sheet the plan, and remembers that it was taken.
func (m *Machine) take(sheet *schema.ConfigurationUpdate, edition uint64, document []byte, taken *schema.AcceptedVersion) *Result {
	m.state.PreviousConfigurations = recent(append(m.state.PreviousConfigurations, Bare(m.state.Configuration)))
	m.isChanged = true
	m.state.Configuration = &schema.Configuration{Revision: m.state.Configuration.Revision + 1, Rows: sheet.Rows, Version: edition, Document: document}
	m.state.AcceptedVersions = append(m.state.AcceptedVersions, taken)
	if len(m.state.AcceptedVersions) > keptEditions {
		m.state.AcceptedVersions = m.state.AcceptedVersions[1:]
	}
	return &Result{Code: 200, Plan: m.state.Configuration}
}

// recent is what is kept of old plans: the last one however large, so that what a
// change has undone can be looked up, and others while they are few and small.
func recent(history []*schema.Configuration) []*schema.Configuration {
	bytes := 0
	for k := len(history) - 2; k >= 0; k-- {
		bytes += proto.Size(history[k])
		if len(history)-k > keptPlans || bytes > keptBytes {
			return history[k+1:]
		}
	}
	return history
}
