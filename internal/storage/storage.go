// Package storage keeps a process's durable content: two slots written in turn,
// each followed by a short log. A store is the sum of its changes, so the same
// Apply serves memory, the log and the slot.
package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"os"
	"slices"
	"sort"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

var (
	// Errors is the namespace of what this package refuses.
	Errors = errorx.NewNamespace("storage")
	// Corrupted means that acknowledged content can't be read back; the error names file and offset.
	Corrupted = Errors.NewType("damaged")
	// IOFailed means that the disk refused or broke off an operation.
	IOFailed = Errors.NewType("failed")
	// DirRejected is a data folder that isn't this process's to use.
	DirRejected = Errors.NewType("foreign")
)

// Disk is what a store needs of files. What is written lasts only once synced.
type Disk interface {
	Read(name string) ([]byte, error) // os.ErrNotExist where there is none
	Write(name string, offset int64, data []byte) error
	Truncate(name string, size int64) error // makes the file where there is none
	Sync(name string) error
}

// GroupState is the durable content of one group.
type GroupState struct {
	HardState *schema.HardState
	Snapshot  *schema.Snapshot
	Entries   []*schema.Entry
}

// State is the durable content of a process.
type State struct {
	Identity *schema.StoreIdentity
	Groups   map[string]*GroupState
}

func newState() *State {
	return &State{Identity: &schema.StoreIdentity{}, Groups: map[string]*GroupState{}}
}

// Apply makes one change.
func (c *State) Apply(change *schema.StoreChange) {
	if change.Identity != nil {
		c.Identity = change.Identity
	}
	if change.Group == "" {
		return
	}
	if change.Removed {
		delete(c.Groups, change.Group)
		return
	}
	group := c.Groups[change.Group]
	if group == nil {
		group = &GroupState{HardState: &schema.HardState{}, Snapshot: &schema.Snapshot{}}
		c.Groups[change.Group] = group
	}
	group.apply(change)
}

func (i *GroupState) apply(change *schema.StoreChange) {
	if change.HardState != nil {
		i.HardState = change.HardState
	}
	if snapshot := change.Snapshot; snapshot != nil {
		i.Snapshot = snapshot
		if change.ReplacesLog {
			i.Entries = nil
		}
		i.Entries = entriesAfter(i.Entries, snapshot.Index)
	}
	if len(change.Entries) > 0 {
		i.Entries = append(entriesBefore(i.Entries, change.Entries[0].Index), change.Entries...)
	}
}

func entriesAfter(entries []*schema.Entry, index uint64) []*schema.Entry {
	at := sort.Search(len(entries), func(k int) bool { return entries[k].Index > index })
	return append([]*schema.Entry(nil), entries[at:]...)
}

func entriesBefore(entries []*schema.Entry, index uint64) []*schema.Entry {
	at := sort.Search(len(entries), func(k int) bool { return entries[k].Index >= index })
	if at == len(entries) {
		// What follows them is added in place: a long log isn't copied for each
		// batch. Nobody else adds to this list.
		return entries
	}
	return entries[:at:at]
}

// asChanges is the content as the fewest changes that make it.
func (c *State) asChanges() []*schema.StoreChange {
	list := []*schema.StoreChange{{Identity: c.Identity}}
	names := slices.Sorted(maps.Keys(c.Groups))
	for _, name := range names {
		group := c.Groups[name]
		list = append(list, &schema.StoreChange{Group: name, HardState: group.HardState, Snapshot: group.Snapshot, Entries: group.Entries})
	}
	return list
}

// Stats says what a store has cost.
type Stats struct {
	Bytes, Syncs, Slots uint64
}

// Store is one process's storage.
type Store struct {
	disk        Disk
	state       *State
	epoch       uint64
	lastSeq     uint64 // of the last frame written
	syncedSeq   uint64 // of the last frame known synced
	logSize     int64
	logLimit    int64 // the log's size at which a slot is written
	minLogLimit int64
	stats       Stats

	tail             tailCondition // of the log's end
	lastCommitFailed bool          // the last commit
}

const (
	frameMagic      = 0x5350464d
	slotMagic       = 0x5350534c
	headerBytes     = 12
	defaultLogLimit = 4 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Open reads what stands on the disk. A torn tail that was never synced is
// cut; damage before acknowledged content is an error of type Damaged which
// names the file and offset.
func Open(disk Disk) (*Store, error) { return OpenWithLogLimit(disk, defaultLogLimit) }

// OpenWithLogLimit is Open for a log that is to stay shorter than a limit before a
// slot is written.
func OpenWithLogLimit(disk Disk, limit int64) (*Store, error) {
	s := &Store{disk: disk, state: newState(), logLimit: limit, minLogLimit: limit}
	slots := [2]*schema.SnapshotSlot{}
	for k := range slots {
		slot, err := readSlot(disk, slotName(uint64(k)))
		if err != nil {
			return nil, err
		}
		slots[k] = slot
	}
	newest := slots[0]
	if newest == nil || slots[1] != nil && slots[1].Epoch > newest.Epoch {
		newest = slots[1]
	}
	if newest != nil {
		s.epoch = newest.Epoch
		for _, change := range newest.Changes {
			s.state.Apply(change)
		}
	}
	// The other log can be newer only if the slot it followed has been lost
	// after it was synced.
	other, err := readFile(disk, logName(s.epoch+1))
	if err != nil {
		return nil, err
	}
	if frame, _, _ := parseFrame(other); frame != nil && frame.Epoch > s.epoch {
		return nil, Corrupted.New("%s at offset 0: unreadable, yet %s continues it", slotName(s.epoch+1), logName(s.epoch+1))
	}
	if err := s.replay(); err != nil {
		return nil, err
	}
	if newest != nil && s.lastSeq == 0 {
		if err := s.rewriteSlot(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func slotName(epoch uint64) string { return fmt.Sprintf("slot-%d", epoch%2) }
func logName(epoch uint64) string  { return fmt.Sprintf("log-%d", epoch%2) }

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

// readSlot gives nil for a slot that is absent or was being written when the
// power went: the other one stands then.
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

func encodeBlock(payload []byte, magic uint32) []byte {
	data := make([]byte, headerBytes, headerBytes+len(payload))
	binary.BigEndian.PutUint32(data[0:], magic)
	binary.BigEndian.PutUint32(data[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(data[8:], crc32.Checksum(payload, crcTable))
	return append(data, payload...)
}

func decodeBlock(data []byte, magic uint32) (payload []byte, used int, ok bool) {
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

func parseFrame(data []byte) (*schema.LogFrame, int, bool) {
	payload, used, ok := decodeBlock(data, frameMagic)
	if !ok {
		return nil, 0, false
	}
	frame := &schema.LogFrame{}
	if proto.Unmarshal(payload, frame) != nil {
		return nil, 0, false
	}
	return frame, used, true
}

func (s *Store) replay() error {
	name := logName(s.epoch)
	data, err := readFile(s.disk, name)
	if err != nil {
		return err
	}
	offset, syncedEnd := 0, 0
	ends := map[uint64]int{}
	for offset < len(data) {
		frame, used, ok := parseFrame(data[offset:])
		if ok && frame.Epoch < s.epoch {
			break // left from two slots ago
		}
		if !ok || frame.Epoch != s.epoch || frame.Seq != s.lastSeq+1 {
			// A later frame that knew this one as synced proves that it was
			// acknowledged; without such a witness it is a torn end.
			if s.provesSynced(data[offset+1:], s.lastSeq+1) {
				return Corrupted.New("%s at offset %d: damaged before acknowledged content", name, offset)
			}
			break
		}
		for _, change := range frame.Changes {
			s.state.Apply(change)
		}
		s.lastSeq = frame.Seq
		offset += used
		ends[frame.Seq] = offset
		syncedEnd = max(syncedEnd, ends[frame.Synced])
	}
	s.syncedSeq = s.lastSeq
	s.logSize = int64(offset)
	if offset < len(data) || len(data) == 0 {
		if err := s.disk.Truncate(name, s.logSize); err != nil {
			return IOFailed.Wrap(err, "cutting %s at %d", name, offset)
		}
	}
	// What was read may still be only in the machine's memory: it must last
	// before anybody builds on it.
	return s.rewriteUnsynced(name, data[:offset], syncedEnd)
}

func (s *Store) provesSynced(data []byte, seq uint64) bool {
	var magic [4]byte
	binary.BigEndian.PutUint32(magic[:], frameMagic)
	for {
		at := bytes.Index(data, magic[:])
		if at < 0 {
			return false
		}
		if frame, _, ok := parseFrame(data[at:]); ok && frame.Epoch == s.epoch && frame.Synced >= seq {
			return true
		}
		data = data[at+1:]
	}
}

// State is what the store holds; it must not be written to.
func (s *Store) State() *State { return s.state }

// Stats says what the store has cost since it was opened.
func (s *Store) Stats() Stats { return s.stats }

// Commit makes changes last. When it returns nil they are synced. After an
// error none of them counts, though they may turn up after a restart; the same
// ones may be given again, and the store mends itself first.
func (s *Store) Commit(changes []*schema.StoreChange) error {
	if err := s.repair(); err != nil {
		s.lastCommitFailed = true
		return IOFailed.Wrap(err, "mending the store")
	}
	if err := s.commit(changes); err != nil {
		return IOFailed.Wrap(err, "store")
	}
	s.lastCommitFailed = false
	return nil
}

func (s *Store) commit(changes []*schema.StoreChange) error {
	if err := s.appendFrame(changes); err != nil {
		s.noteFailure(tailTorn)
		return err
	}
	if err := s.disk.Sync(logName(s.epoch)); err != nil {
		s.noteFailure(tailUncertain)
		return err
	}
	s.stats.Syncs++
	s.syncedSeq = s.lastSeq
	for _, change := range changes {
		s.state.Apply(change)
	}
	// What fails from here on takes nothing back: the changes last.
	if s.logSize > s.logLimit {
		if s.switchSlot() != nil {
			s.tail = tailUncertain
		}
		return nil
	}
	// The mark tells a later reader that the frame before it was synced, so
	// that rot at the very end isn't taken for a torn write. It isn't synced
	// itself; losing it loses nothing.
	if s.appendFrame(nil) != nil {
		s.tail = tailTorn
	}
	return nil
}

func (s *Store) appendFrame(changes []*schema.StoreChange) error {
	frame := &schema.LogFrame{Epoch: s.epoch, Seq: s.lastSeq + 1, Synced: s.syncedSeq, Changes: changes}
	payload, err := proto.Marshal(frame)
	if err != nil {
		return err
	}
	data := encodeBlock(payload, frameMagic)
	if err := s.disk.Write(logName(s.epoch), s.logSize, data); err != nil {
		return err
	}
	s.lastSeq++
	s.logSize += int64(len(data))
	s.stats.Bytes += uint64(len(data))
	return nil
}

// switchSlot writes the whole content into the other slot and starts its log.
func (s *Store) switchSlot() error {
	next := s.epoch + 1
	payload, err := proto.Marshal(&schema.SnapshotSlot{Epoch: next, Changes: s.state.asChanges()})
	if err != nil {
		return err
	}
	data := encodeBlock(payload, slotMagic)
	// The log of two slots ago goes first: none of it may follow the new slot.
	if err := s.disk.Truncate(logName(next), 0); err != nil {
		return err
	}
	if err := s.disk.Sync(logName(next)); err != nil {
		return err
	}
	if err := s.disk.Write(slotName(next), 0, data); err != nil {
		return err
	}
	if err := s.disk.Truncate(slotName(next), int64(len(data))); err != nil {
		return err
	}
	if err := s.disk.Sync(slotName(next)); err != nil {
		return err
	}
	s.epoch, s.lastSeq, s.syncedSeq, s.logSize = next, 0, 0, 0
	s.stats.Bytes += uint64(len(data))
	s.stats.Syncs += 2
	s.stats.Slots++
	// A log that grows past the slot's own size is not short any more; one
	// that is much smaller would have the slot written over and over.
	s.logLimit = max(int64(len(data)), s.minLogLimit)
	return nil
}

// IsCorrupted tells whether an error of Open means that the store can't be
// trusted.
func IsCorrupted(err error) bool { return err != nil && errorx.IsOfType(err, Corrupted) }
