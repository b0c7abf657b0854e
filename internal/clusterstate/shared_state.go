package clusterstate

import (
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// EncodeUpdate prepares a shared state for sending to a process that holds the configuration
// of revision heldRevision (0: none). If that is the current revision, the rows are omitted.
// Otherwise they are included, compressed if their size reaches compressionThreshold. The
// result shares its parts with the given state.
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

// compressRows encodes and compresses rows. It returns nil if they are too small to compress.
func compressRows(rows []*schema.ConfigurationRow) []byte {
	data, err := proto.Marshal(&schema.Configuration{Rows: rows})
	if err != nil || len(data) < compressionThreshold {
		return nil
	}
	return Compress(data)
}

// DecodeUpdate returns the state of a message that EncodeUpdate prepared, completed with held,
// the configuration that the receiver holds. It returns nil if the message contains no state.
// Errors are of type InvalidEncoding: either the rows can't be decoded, or they were omitted
// although the receiver doesn't hold their revision, which happens when the message was
// addressed to the receiver's previous incarnation.
func DecodeUpdate(message *schema.ClusterStateResponse, held *schema.Configuration) (*schema.ClusterState, error) {
	state := message.State
	if state == nil {
		return nil, nil
	}
	configuration := state.Configuration
	switch {
	case configuration.GetRevision() > 0 && configuration.GetRevision() == held.GetRevision():
		// Readers compare the pointer to detect that the configuration hasn't changed.
		return withConfiguration(state, held), nil
	case message.ConfigurationOmitted:
		return nil, InvalidEncoding.New("the message omits revision %d of the configuration, which this process doesn't hold", configuration.GetRevision())
	case len(configuration.GetPackedRows()) > 0:
		rows, err := decompressRows(configuration.PackedRows)
		if err != nil {
			return nil, InvalidEncoding.Wrap(err, "the rows of revision %d of the configuration can't be decoded", configuration.Revision)
		}
		complete := &schema.Configuration{Revision: configuration.Revision, Version: configuration.Version, Rows: rows}
		return withConfiguration(state, complete), nil
	}
	return state, nil
}

// decompressRows reverses compressRows.
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
