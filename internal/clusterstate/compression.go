package clusterstate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// The rows of a configuration repeat the same few strings thousands of times. Large commands
// are therefore compressed once, by the process that receives them, and stay compressed in
// the log, in snapshots and on the network.

const (
	compressionThreshold = 4 << 10  // bytes; compressing smaller data isn't worth it
	maxDecompressedBytes = 64 << 20 // limits how far a small input can expand
	compressedMarker     = 0x00     // first byte of compressed data; neither an encoded message nor JSON begins with it
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("clusterstate")
	// InvalidEncoding is the type of two kinds of errors: data can't be decompressed or
	// decoded, or an update omits the configuration although the receiver doesn't hold it.
	InvalidEncoding = Errors.NewType("invalid_encoding")
)

// Compress returns data in compressed form. Data that is small or doesn't shrink is returned
// unchanged.
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

// Decompress reverses Compress. Data without the marker is returned unchanged. Errors are of
// type InvalidEncoding.
func Decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMarker {
		return data, nil
	}
	decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxDecompressedBytes+1))
	if err != nil {
		return nil, InvalidEncoding.Wrap(err, "decompressing")
	}
	if len(decompressed) > maxDecompressedBytes {
		return nil, InvalidEncoding.New("the decompressed data is larger than %d bytes", maxDecompressedBytes)
	}
	return decompressed, nil
}

// DecodeCommand decodes a command of the cluster state group, compressed or not.
func DecodeCommand(data []byte) (*schema.ClusterStateCommand, error) {
	decompressed, err := Decompress(data)
	if err != nil {
		return nil, err
	}
	command := &schema.ClusterStateCommand{}
	return command, proto.Unmarshal(decompressed, command)
}
