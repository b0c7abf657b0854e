package clusterstate

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// EncodeUpdate prepares a shared state for a process that holds the configuration of a
// revision (0: none). If it is the current one, its rows are omitted; else they are included,
// compressed if they are many. The result shares its parts with the given state.
func (m *StateMachine) EncodeUpdate(shared *schema.ClusterState, heldRevision uint64) (update *schema.ClusterState, omitted bool) {
	current := shared.Configuration
	configuration := &schema.Configuration{Revision: current.GetRevision(), Version: current.GetVersion()}
	update = withConfiguration(shared, configuration)
	if heldRevision > 0 && heldRevision == current.GetRevision() {
		return update, true
	}
	if m.compressedFrom != current {
		m.compressedFrom, m.compressedRows = current, compressRows(current.GetRows())
	}
	if m.compressedRows == nil {
		configuration.Rows = current.GetRows()
	}
	configuration.PackedRows = m.compressedRows
	return update, false
}

// compressRows returns nil for rows that are few.
func compressRows(rows []*schema.ConfigurationRow) []byte {
	data, err := proto.Marshal(&schema.Configuration{Rows: rows})
	if err != nil || len(data) < compressionThreshold {
		return nil
	}
	return Compress(data)
}

// DecodeUpdate completes a state from EncodeUpdate with the configuration that the receiver
// holds; a message without a state gives nil. The error is InvalidEncoding: the rows can't be
// decoded, or they were omitted and the receiver doesn't hold that revision, as when the
// message was meant for its previous incarnation.
func DecodeUpdate(message *schema.ClusterStateResponse, held *schema.Configuration) (*schema.ClusterState, error) {
	state := message.State
	if state == nil {
		return nil, nil
	}
	configuration := state.Configuration
	switch {
	case configuration.GetRevision() > 0 && configuration.GetRevision() == held.GetRevision():
		// Keep the pointer, by which readers know that nothing has changed.
		return withConfiguration(state, held), nil
	case message.ConfigurationOmitted:
		return nil, InvalidEncoding.New("revision %d of the configuration is omitted but isn't held here", configuration.GetRevision())
	case len(configuration.GetPackedRows()) > 0:
		rows, err := decompressRows(configuration.PackedRows)
		if err != nil {
			return nil, InvalidEncoding.Wrap(err, "rows of revision %d", configuration.Revision)
		}
		complete := &schema.Configuration{Revision: configuration.Revision, Version: configuration.Version, Rows: rows}
		return withConfiguration(state, complete), nil
	}
	return state, nil
}

func decompressRows(compressed []byte) ([]*schema.ConfigurationRow, error) {
	data, err := Decompress(compressed)
	if err != nil {
		return nil, err
	}
	decoded := &schema.Configuration{}
	if err := proto.Unmarshal(data, decoded); err != nil {
		return nil, err
	}
	return decoded.Rows, nil
}
