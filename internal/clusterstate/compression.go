package clusterstate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// The rows of a configuration repeat the same few strings thousands of times. Large
// commands are compressed once, where they enter the system, and stay so in the log, in
// snapshots and on every link.

const (
	compressionThreshold = 4 << 10  // bytes; less isn't worth it
	maxDecompressedBytes = 64 << 20 // bounds what a small input can expand to
	compressedMarker     = 0x00     // no encoded message of the schema and no JSON begins with it
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("clusterstate")
	// InvalidEncoding is the type of errors for data that can't be decompressed or decoded,
	// and for updates without a configuration that the receiver doesn't hold.
	InvalidEncoding = Errors.NewType("invalid_encoding")
)

// Compress compresses data unless it is small or doesn't shrink: then it is returned as it
// is.
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

// Decompress undoes Compress. Data without the marker is returned as it is. The error is
// InvalidEncoding.
func Decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMarker {
		return data, nil
	}
	decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxDecompressedBytes+1))
	if err != nil {
		return nil, InvalidEncoding.Wrap(err, "decompressing")
	}
	if len(decompressed) > maxDecompressedBytes {
		return nil, InvalidEncoding.New("more than %d bytes when decompressed", maxDecompressedBytes)
	}
	return decompressed, nil
}

// DecodeCommand decodes a command, compressed or not.
func DecodeCommand(data []byte) (*schema.ClusterStateCommand, error) {
	decompressed, err := Decompress(data)
	if err != nil {
		return nil, err
	}
	command := &schema.ClusterStateCommand{}
	return command, proto.Unmarshal(decompressed, command)
}
