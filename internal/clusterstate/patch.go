package clusterstate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"sparnotch/internal/schema"
)

// A patch changes the configuration that it is based on, whereas a whole update replaces it.
// Each replica applies the patch to the rows and to the document when it applies the log
// entry. The result is deterministic, so all replicas store the same bytes.

// documentPatch holds the list changes of a document's patch. The document must be a JSON
// object. Items of its lists are added, replaced and removed by name; all other members of
// the patch replace the document's members of the same name.
type documentPatch struct {
	Upsert map[string][]json.RawMessage `json:"upsert"` // items to add or replace, by list
	Remove map[string][]string          `json:"remove"` // names of the items to remove, by list
}

const (
	upsertMember = "upsert"
	removeMember = "remove"
)

// applyPatch converts a patch of the current configuration into the equivalent whole update.
// Removing an item that doesn't exist has no effect.
func applyPatch(current *schema.Configuration, patch *schema.ConfigurationUpdate) (*schema.ConfigurationUpdate, *schema.Error) {
	document := current.Document
	if len(patch.Document) > 0 {
		merged, err := patchDocument(current.Document, patch.Document)
		if err != nil {
			return nil, &schema.Error{Code: "bad_document", Message: err.Error(), Field: "document"}
		}
		document = merged
	}
	return &schema.ConfigurationUpdate{
		BaseRevision: patch.BaseRevision, Version: patch.Version, BaseVersion: patch.BaseVersion,
		Rows: patchRows(current.Rows, patch), Document: document,
	}, nil
}

// patchRows returns rows without the rows of removed items and with the rows of the patch.
// A row of the patch takes the place of the row with the same kind, name and key, or is
// appended. If the patch sets a row twice, the result contains both, which validation rejects.
func patchRows(rows []*schema.ConfigurationRow, patch *schema.ConfigurationUpdate) []*schema.ConfigurationRow {
	removed := map[[2]string]bool{}
	for _, item := range patch.Removed {
		removed[[2]string{item.GetKind(), item.GetName()}] = true
	}
	replacements := map[rowID][]*schema.ConfigurationRow{}
	for _, row := range patch.Rows {
		id := rowID{row.GetKind(), row.GetName(), row.GetKey()}
		replacements[id] = append(replacements[id], row)
	}
	var merged []*schema.ConfigurationRow
	for _, row := range rows {
		id := rowID{row.Kind, row.Name, row.Key}
		if removed[[2]string{row.Kind, row.Name}] {
			continue
		}
		if replacement, isSet := replacements[id]; isSet {
			merged = append(merged, replacement...)
			delete(replacements, id)
			continue
		}
		merged = append(merged, row)
	}
	for _, row := range patch.Rows {
		id := rowID{row.GetKind(), row.GetName(), row.GetKey()}
		merged = append(merged, replacements[id]...)
		delete(replacements, id)
	}
	return merged
}

// patchDocument returns a document with a patch applied. The result is deterministic: members
// are sorted by name, unchanged items keep their bytes and their positions in their list, and
// new items are appended.
func patchDocument(document, patch []byte) ([]byte, error) {
	members, err := decodeMembers(document)
	if err != nil {
		return nil, fmt.Errorf("the current document is not a JSON object and can't be patched: %w", err)
	}
	changes, err := decodeMembers(patch)
	if err != nil {
		return nil, err
	}
	lists := documentPatch{}
	if err := json.Unmarshal(patch, &lists); err != nil {
		return nil, err
	}
	for name, value := range changes {
		if name != upsertMember && name != removeMember {
			members[name] = value
		}
	}
	for _, list := range lists.names() {
		if len(members[list]) == 0 && len(lists.Upsert[list]) == 0 {
			// A document that lacks a list may differ in meaning from one with an empty list.
			continue
		}
		patched, err := patchList(members[list], lists.Upsert[list], lists.Remove[list])
		if err != nil {
			return nil, fmt.Errorf("list %s can't be patched: %w", list, err)
		}
		members[list] = patched
	}
	return encodeCompact(members)
}

// names returns the sorted names of the lists that the patch changes.
func (p documentPatch) names() []string {
	var names []string
	for name := range p.Upsert {
		names = append(names, name)
	}
	for name := range p.Remove {
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// patchList replaces, adds and removes items of a JSON list, which it identifies by name, and
// returns the resulting JSON. A list that is missing counts as empty.
func patchList(list json.RawMessage, upserted []json.RawMessage, removed []string) (json.RawMessage, error) {
	var items []json.RawMessage
	if len(list) > 0 {
		if err := json.Unmarshal(list, &items); err != nil {
			return nil, err
		}
	}
	replacements := map[string]json.RawMessage{}
	var order []string
	for _, item := range upserted {
		name, err := itemName(item)
		if err != nil {
			return nil, err
		}
		if _, isDouble := replacements[name]; isDouble || slices.Contains(removed, name) {
			return nil, fmt.Errorf("the patch names item %q more than once", name)
		}
		replacements[name] = item
		order = append(order, name)
	}
	patched := []json.RawMessage{}
	for _, item := range items {
		name, err := itemName(item)
		if err != nil {
			return nil, err
		}
		if replacement, isReplaced := replacements[name]; isReplaced {
			patched = append(patched, replacement)
			delete(replacements, name)
		} else if !slices.Contains(removed, name) {
			patched = append(patched, item)
		}
	}
	for _, name := range order {
		if item, isNew := replacements[name]; isNew {
			patched = append(patched, item)
		}
	}
	return encodeCompact(patched)
}

// itemName returns the name of a list item. An item without a name is an error.
func itemName(item json.RawMessage) (string, error) {
	named := struct {
		Name string `json:"name"`
	}{}
	if err := json.Unmarshal(item, &named); err != nil {
		return "", err
	}
	if named.Name == "" {
		return "", fmt.Errorf("a list item has no name")
	}
	return named.Name, nil
}

// decodeMembers returns the members of a JSON object, still encoded. Other JSON is an error.
func decodeMembers(data []byte) (map[string]json.RawMessage, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(data, &members); err != nil {
		return nil, err
	}
	if members == nil {
		return nil, fmt.Errorf("expected a JSON object, got null")
	}
	return members, nil
}

// encodeCompact encodes a value as JSON without white space and without escaping '<', '>' and
// '&'.
func encodeCompact(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), nil
}

// hashPatch adds the base and the removed items of a patch to its digest, because the same
// patch on another base is a different update. It adds nothing for whole updates, which keep
// the digest that they had before patches were introduced.
func hashPatch(hash io.Writer, update *schema.ConfigurationUpdate) {
	if !update.IsPatch {
		return
	}
	fmt.Fprintf(hash, "\npatch of %d\n", update.BaseVersion)
	for _, item := range update.Removed {
		fmt.Fprintf(hash, "%q %q\n", item.GetKind(), item.GetName())
	}
}
