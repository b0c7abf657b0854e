package clusterstate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"sparnotch/internal/schema"
)

// A patch changes the configuration it is based on, where a whole update replaces it. It is
// applied to the rows and to the document when the log entry is, so that every replica
// makes the same bytes of it.

// A documentPatch is a patch of a document, which must be a JSON object. Lists of the document
// are changed by their items' names; all other members of the patch replace those of the
// document.
type documentPatch struct {
	Upsert map[string][]json.RawMessage `json:"upsert"` // by list: items to add, or to replace
	Remove map[string][]string          `json:"remove"` // by list: names of the items to remove
}

const (
	upsertMember = "upsert"
	removeMember = "remove"
)

// applyPatch returns the whole update that a patch of the current configuration stands for.
// Removing an item that doesn't exist changes nothing.
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

// patchRows returns rows without those of the removed items and with the patch's rows set:
// in the place of the row with the same key, or at the end. A row that a patch sets twice
// stands twice, which validation rejects.
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

// patchDocument returns a document with a patch applied. The result is deterministic: its
// members are sorted, and items keep their bytes and their places; new ones follow.
func patchDocument(document, patch []byte) ([]byte, error) {
	members, err := decodeMembers(document)
	if err != nil {
		return nil, fmt.Errorf("the current document can't be patched: %w", err)
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
			// A document without a list may mean something else than one with an empty list.
			continue
		}
		patched, err := patchList(members[list], lists.Upsert[list], lists.Remove[list])
		if err != nil {
			return nil, fmt.Errorf("%s: %w", list, err)
		}
		members[list] = patched
	}
	return encodeCompact(members)
}

// names lists the lists that a patch changes, sorted.
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

// patchList returns a list of named items, as JSON, with some replaced, added or removed.
// No list is an empty one.
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
			return nil, fmt.Errorf("the patch names %q twice", name)
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

// itemName returns the name of an item of a list.
func itemName(item json.RawMessage) (string, error) {
	named := struct {
		Name string `json:"name"`
	}{}
	if err := json.Unmarshal(item, &named); err != nil {
		return "", err
	}
	if named.Name == "" {
		return "", fmt.Errorf("an item has no name")
	}
	return named.Name, nil
}

// decodeMembers decodes a JSON object.
func decodeMembers(data []byte) (map[string]json.RawMessage, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(data, &members); err != nil {
		return nil, err
	}
	if members == nil {
		return nil, fmt.Errorf("it is no object")
	}
	return members, nil
}

// encodeCompact encodes a value without white space, and with '<', '>' and '&' as they are.
func encodeCompact(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), nil
}

// hashPatch adds to an update's digest what makes it a patch: the same change on another base
// is another change. Whole updates keep the digest that they had before there were patches.
func hashPatch(hash io.Writer, update *schema.ConfigurationUpdate) {
	if !update.IsPatch {
		return
	}
	fmt.Fprintf(hash, "\npatch of %d\n", update.BaseVersion)
	for _, item := range update.Removed {
		fmt.Fprintf(hash, "%q %q\n", item.GetKind(), item.GetName())
	}
}
