package clusterstate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// A configuration says the same few words thousands of times. Large ones are
// packed once, where they come in, and so lie in the log, in checkpoints, and on
// every link.

const (
	compressionThreshold = 4 << 10  // less isn't worth it
	maxDecompressedBytes = 64 << 20 // what packed bytes may become
	compressedMarker     = 0x00     // no message of the schema and no JSON begins so
)

var (
	// Errors are those of this package.
	Errors = errorx.NewNamespace("clusterstate")
	// InvalidEncoding is what can't be unpacked, or is a copy without a plan that isn't held.
	InvalidEncoding = Errors.NewType("bad_packed")
)

// Compress makes large bytes smaller; Unpack gives them back, and what isn't packed
// as it is.
func Compress(data []byte) []byte {
	if len(data) < compressionThreshold {
		return data
	}
	var compressed bytes.Buffer
	compressed.WriteByte(compressedMarker)
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return data
	}
	if _, err := writer.Write(data); err != nil || writer.Close() != nil || compressed.Len() >= len(data) {
		return data
	}
	return compressed.Bytes()
}

// Decompress undoes Pack.
func Decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMarker {
		return data, nil
	}
	decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxDecompressedBytes+1))
	if err != nil {
		return nil, InvalidEncoding.Wrap(err, "unpacking")
	}
	if len(decompressed) > maxDecompressedBytes {
		return nil, InvalidEncoding.New("more than %d bytes", maxDecompressedBytes)
	}
	return decompressed, nil
}

// DecodeCommand decodes a command, packed or not.
func DecodeCommand(data []byte) (*schema.ClusterStateCommand, error) {
	decompressed, err := Decompress(data)
	if err != nil {
		return nil, err
	}
	command := &schema.ClusterStateCommand{}
	return command, proto.Unmarshal(decompressed, command)
}

// EncodeUpdate is a copy of the cluster state as it is told to a process that holds a
// generation of the plan: without the plan's rows if it is that one, else with
// them packed where they are many.
func (m *StateMachine) EncodeUpdate(shared *schema.ClusterState, heldRevision uint64) (update *schema.ClusterState, omitted bool) {
	configuration := shared.Configuration
	omitted = heldRevision > 0 && heldRevision == configuration.GetRevision()
	update = &schema.ClusterState{
		Version: shared.Version, Queues: shared.Queues, WorkerLeases: shared.WorkerLeases, ControllerLease: shared.ControllerLease,
		Voters: shared.Voters, NowUs: shared.NowUs, NextToken: shared.NextToken,
		Configuration: &schema.Configuration{Revision: configuration.GetRevision(), Version: configuration.GetVersion()},
	}
	if omitted {
		return update, true
	}
	if m.compressedFrom != configuration {
		m.compressedFrom, m.compressedRows = configuration, compressRows(configuration.GetRows())
	}
	if m.compressedRows == nil {
		update.Configuration.Rows = configuration.GetRows()
	}
	update.Configuration.PackedRows = m.compressedRows
	return update, false
}

// compressRows gives nil for rows that are few.
func compressRows(rows []*schema.ConfigurationRow) []byte {
	data, err := proto.Marshal(&schema.Configuration{Rows: rows})
	if err != nil || len(data) < compressionThreshold {
		return nil
	}
	return Compress(data)
}

// DecodeUpdate is the whole of a copy that was told to a process, given the plan that
// it holds. It fails for a copy without rows of a plan that isn't held, as one
// that was meant for an earlier life.
func DecodeUpdate(message *schema.ClusterStateResponse, held *schema.Configuration) (*schema.ClusterState, error) {
	state := message.State
	if state == nil {
		return nil, nil
	}
	configuration := state.Configuration
	switch {
	case configuration.GetRevision() > 0 && configuration.GetRevision() == held.GetRevision():
		// The same plan as long as it has this generation.
		configuration = held
	case message.ConfigurationOmitted:
		return nil, InvalidEncoding.New("a copy without generation %d of the plan, which isn't held", configuration.GetRevision())
	case len(configuration.GetPackedRows()) > 0:
		data, err := Decompress(configuration.PackedRows)
		decoded := &schema.Configuration{}
		if err == nil {
			err = proto.Unmarshal(data, decoded)
		}
		if err != nil {
			return nil, InvalidEncoding.Wrap(err, "rows of generation %d", configuration.Revision)
		}
		configuration = &schema.Configuration{Revision: configuration.Revision, Version: configuration.Version, Rows: decoded.Rows}
	default:
		return state, nil
	}
	return &schema.ClusterState{
		Version: state.Version, Queues: state.Queues, WorkerLeases: state.WorkerLeases, ControllerLease: state.ControllerLease,
		Voters: state.Voters, NowUs: state.NowUs, NextToken: state.NextToken, Configuration: configuration,
	}, nil
}
