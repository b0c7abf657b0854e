package storage

// File format. The number of a snapshot is called its epoch. The snapshot of epoch e is in the file
// slot-(e mod 2), which consists of one block with a SnapshotSlot. The changes since that
// snapshot are in the file log-(e mod 2), a sequence of blocks that contain one LogFrame
// each. A block consists of a header of three big-endian 32-bit words (magic number, length
// of the payload in bytes, CRC-32C of the payload) and the payload, a protobuf message.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

const (
	frameMagic  = 0x5350464d // "SPFM"
	slotMagic   = 0x5350534c // "SPSL"
	headerBytes = 12

	slotPrefix = "slot-"
	logPrefix  = "log-"
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

func slotName(epoch uint64) string { return fmt.Sprint(slotPrefix, epoch%2) }
func logName(epoch uint64) string  { return fmt.Sprint(logPrefix, epoch%2) }

// encodeBlock encodes a message as a block with the given magic number.
func encodeBlock(message proto.Message, magic uint32) ([]byte, error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	data := make([]byte, headerBytes, headerBytes+len(payload))
	binary.BigEndian.PutUint32(data[0:], magic)
	binary.BigEndian.PutUint32(data[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(data[8:], crc32.Checksum(payload, crcTable))
	return append(data, payload...), nil
}

// decodeBlock decodes the block at the start of data. It returns the payload and the size
// of the block in bytes, including the header. ok is false if the block is incomplete, has
// a different magic number or doesn't match its checksum.
func decodeBlock(data []byte, magic uint32) (payload []byte, size int, ok bool) {
	if len(data) < headerBytes || binary.BigEndian.Uint32(data) != magic {
		return nil, 0, false
	}
	length := int64(binary.BigEndian.Uint32(data[4:]))
	if headerBytes+length > int64(len(data)) {
		return nil, 0, false
	}
	payload = data[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, crcTable) != binary.BigEndian.Uint32(data[8:]) {
		return nil, 0, false
	}
	return payload, headerBytes + int(length), true
}

// parseFrame decodes the log frame at the start of data. It returns the frame and its size
// in bytes; ok is false if there is no valid frame.
func parseFrame(data []byte) (frame *schema.LogFrame, size int, ok bool) {
	payload, size, ok := decodeBlock(data, frameMagic)
	if !ok {
		return nil, 0, false
	}
	frame = &schema.LogFrame{}
	if proto.Unmarshal(payload, frame) != nil {
		return nil, 0, false
	}
	return frame, size, true
}

// readFile returns the content of a file, or nil if the file doesn't exist.
func readFile(disk Disk, name string) ([]byte, error) {
	data, err := disk.Read(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, IOFailed.Wrap(err, "reading %s", name)
	}
	return data, nil
}

// readSlot reads a snapshot slot. It returns nil if the slot doesn't exist or can't be
// decoded. A crash while a slot is written leaves it undecodable; the other slot is still
// the current one then.
func readSlot(disk Disk, name string) (*schema.SnapshotSlot, error) {
	data, err := readFile(disk, name)
	if err != nil {
		return nil, err
	}
	payload, _, ok := decodeBlock(data, slotMagic)
	if !ok {
		return nil, nil
	}
	slot := &schema.SnapshotSlot{}
	if err := proto.Unmarshal(payload, slot); err != nil {
		return nil, nil
	}
	return slot, nil
}

// newestSlot returns the readable slot with the highest epoch, or nil if there is none.
func newestSlot(disk Disk) (*schema.SnapshotSlot, error) {
	var newest *schema.SnapshotSlot
	for k := range uint64(2) {
		slot, err := readSlot(disk, slotName(k))
		if err != nil {
			return nil, err
		}
		if slot != nil && (newest == nil || slot.Epoch > newest.Epoch) {
			newest = slot
		}
	}
	return newest, nil
}
