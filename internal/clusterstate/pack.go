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
	packLeast   = 4 << 10  // less isn't worth it
	unpackMost  = 64 << 20 // what packed bytes may become
	packedStart = 0x00     // no message of the schema and no JSON begins so
)

var (
	// Errors are those of this package.
	Errors = errorx.NewNamespace("clusterstate")
	// BadPacked is what can't be unpacked, or is a copy without a plan that isn't held.
	BadPacked = Errors.NewType("bad_packed")
)

// Pack makes large bytes smaller; Unpack gives them back, and what isn't packed
// as it is.
func Pack(data []byte) []byte {
	if len(data) < packLeast {
		return data
	}
	var packed bytes.Buffer
	packed.WriteByte(packedStart)
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return data
	}
	if _, err := writer.Write(data); err != nil || writer.Close() != nil || packed.Len() >= len(data) {
		return data
	}
	return packed.Bytes()
}

// Unpack undoes Pack.
func Unpack(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != packedStart {
		return data, nil
	}
	whole, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), unpackMost+1))
	if err != nil {
		return nil, BadPacked.Wrap(err, "unpacking")
	}
	if len(whole) > unpackMost {
		return nil, BadPacked.New("more than %d bytes", unpackMost)
	}
	return whole, nil
}

// ReadCommand decodes a command, packed or not.
func ReadCommand(data []byte) (*schema.ClusterStateCommand, error) {
	whole, err := Unpack(data)
	if err != nil {
		return nil, err
	}
	command := &schema.ClusterStateCommand{}
	return command, proto.Unmarshal(whole, command)
}

// Outgoing is a copy of the cluster state as it is told to a process that holds a
// generation of the plan: without the plan's rows if it is that one, else with
// them packed where they are many.
func (m *Machine) Outgoing(state *schema.ClusterState, held uint64) (told *schema.ClusterState, isHeld bool) {
	plan := state.Configuration
	isHeld = held > 0 && held == plan.GetRevision()
	told = &schema.ClusterState{
		Version: state.Version, Queues: state.Queues, WorkerLeases: state.WorkerLeases, ControllerLease: state.ControllerLease,
		Voters: state.Voters, NowUs: state.NowUs, NextToken: state.NextToken,
		Configuration: &schema.Configuration{Revision: plan.GetRevision(), Version: plan.GetVersion()},
	}
	if isHeld {
		return told, true
	}
	if m.packedOf != plan {
		m.packedOf, m.packed = plan, packRows(plan.GetRows())
	}
	if m.packed == nil {
		told.Configuration.Rows = plan.GetRows()
	}
	told.Configuration.PackedRows = m.packed
	return told, false
}

// packRows gives nil for rows that are few.
func packRows(rows []*schema.ConfigurationRow) []byte {
	data, err := proto.Marshal(&schema.Configuration{Rows: rows})
	if err != nil || len(data) < packLeast {
		return nil
	}
	return Pack(data)
}

// Incoming is the whole of a copy that was told to a process, given the plan that
// it holds. It fails for a copy without rows of a plan that isn't held, as one
// that was meant for an earlier life.
func Incoming(tell *schema.ClusterStateResponse, held *schema.Configuration) (*schema.ClusterState, error) {
	state := tell.State
	if state == nil {
		return nil, nil
	}
	plan := state.Configuration
	switch {
	case plan.GetRevision() > 0 && plan.GetRevision() == held.GetRevision():
		// The same plan as long as it has this generation.
		plan = held
	case tell.ConfigurationOmitted:
		return nil, BadPacked.New("a copy without generation %d of the plan, which isn't held", plan.GetRevision())
	case len(plan.GetPackedRows()) > 0:
		data, err := Unpack(plan.PackedRows)
		whole := &schema.Configuration{}
		if err == nil {
			err = proto.Unmarshal(data, whole)
		}
		if err != nil {
			return nil, BadPacked.Wrap(err, "rows of generation %d", plan.Revision)
		}
		plan = &schema.Configuration{Revision: plan.Revision, Version: plan.Version, Rows: whole.Rows}
	default:
		return state, nil
	}
	return &schema.ClusterState{
		Version: state.Version, Queues: state.Queues, WorkerLeases: state.WorkerLeases, ControllerLease: state.ControllerLease,
		Voters: state.Voters, NowUs: state.NowUs, NextToken: state.NextToken, Configuration: plan,
	}, nil
}
