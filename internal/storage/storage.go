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
	// Damaged means that acknowledged content can't be read back; the error names file and offset.
	Damaged = Errors.NewType("damaged")
	// Failed means that the disk refused or broke off an operation.
	Failed = Errors.NewType("failed")
	// Foreign is a data folder that isn't this process's to use.
	Foreign = Errors.NewType("foreign")
)

// Disk is what a store needs of files. What is written lasts only once synced.
type Disk interface {
	Read(name string) ([]byte, error) // os.ErrNotExist where there is none
	Write(name string, offset int64, data []byte) error
	Cut(name string, size int64) error // makes the file where there is none
	Sync(name string) error
}

// Image is the durable content of one group.
type Image struct {
	Hard       *schema.HardState
	Checkpoint *schema.Snapshot
	Records    []*schema.Entry
}

// Content is the durable content of a process.
type Content struct {
	Self   *schema.StoreIdentity
	Groups map[string]*Image
}

func newContent() *Content {
	return &Content{Self: &schema.StoreIdentity{}, Groups: map[string]*Image{}}
}

// Apply makes one change.
func (c *Content) Apply(change *schema.StoreChange) {
	if change.Identity != nil {
		c.Self = change.Identity
	}
	if change.Group == "" {
		return
	}
	if change.Removed {
		delete(c.Groups, change.Group)
		return
	}
	image := c.Groups[change.Group]
	if image == nil {
		image = &Image{Hard: &schema.HardState{}, Checkpoint: &schema.Snapshot{}}
		c.Groups[change.Group] = image
	}
	image.apply(change)
}

func (i *Image) apply(change *schema.StoreChange) {
	if change.HardState != nil {
		i.Hard = change.HardState
	}
	if point := change.Snapshot; point != nil {
		i.Checkpoint = point
		if change.ReplacesLog {
			i.Records = nil
		}
		i.Records = after(i.Records, point.Index)
	}
	if len(change.Entries) > 0 {
		i.Records = append(before(i.Records, change.Entries[0].Index), change.Entries...)
	}
}

func after(records []*schema.Entry, index uint64) []*schema.Entry {
	at := sort.Search(len(records), func(k int) bool { return records[k].Index > index })
	return append([]*schema.Entry(nil), records[at:]...)
}

func before(records []*schema.Entry, index uint64) []*schema.Entry {
	at := sort.Search(len(records), func(k int) bool { return records[k].Index >= index })
	if at == len(records) {
		// What follows them is added in place: a long log isn't copied for each
		// batch. Nobody else adds to this list.
		return records
	}
	return records[:at:at]
}

// changes is the content as the fewest changes that make it.
func (c *Content) changes() []*schema.StoreChange {
	list := []*schema.StoreChange{{Identity: c.Self}}
	names := slices.Sorted(maps.Keys(c.Groups))
	for _, name := range names {
		image := c.Groups[name]
		list = append(list, &schema.StoreChange{Group: name, HardState: image.Hard, Snapshot: image.Checkpoint, Entries: image.Records})
	}
	return list
}

// Counts says what a store has cost.
type Counts struct {
	Bytes, Syncs, Slots uint64
}

// Store is one process's storage.
type Store struct {
	disk    Disk
	content *Content
	epoch   uint64
	seq     uint64 // of the last frame written
	synced  uint64 // of the last frame known synced
	size    int64
	limit   int64 // the log's size at which a slot is written
	least   int64
	counts  Counts

	condition condition // of the log's end
	hasFailed bool      // the last commit
}

const (
	frameMagic   = 0x5350464d
	slotMagic    = 0x5350534c
	headerBytes  = 12
	defaultLimit = 4 << 20
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Open reads what stands on the disk. A torn tail that was never synced is
// cut; damage before acknowledged content is an error of type Damaged which
// names the file and offset.
func Open(disk Disk) (*Store, error) { return OpenLimited(disk, defaultLimit) }

// OpenLimited is Open for a log that is to stay shorter than a limit before a
// slot is written.
func OpenLimited(disk Disk, limit int64) (*Store, error) {
	s := &Store{disk: disk, content: newContent(), limit: limit, least: limit}
	slots := [2]*schema.SnapshotSlot{}
	for k := range slots {
		slot, err := readSlot(disk, slotName(uint64(k)))
		if err != nil {
			return nil, err
		}
		slots[k] = slot
	}
	best := slots[0]
	if best == nil || slots[1] != nil && slots[1].Epoch > best.Epoch {
		best = slots[1]
	}
	if best != nil {
		s.epoch = best.Epoch
		for _, change := range best.Changes {
			s.content.Apply(change)
		}
	}
	// The other log can be newer only if the slot it followed has been lost
	// after it was synced.
	other, err := readFile(disk, logName(s.epoch+1))
	if err != nil {
		return nil, err
	}
	if frame, _, _ := parseFrame(other); frame != nil && frame.Epoch > s.epoch {
		return nil, Damaged.New("%s at offset 0: unreadable, yet %s continues it", slotName(s.epoch+1), logName(s.epoch+1))
	}
	if err := s.replay(); err != nil {
		return nil, err
	}
	if best != nil && s.seq == 0 {
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
		return nil, Failed.Wrap(err, "reading %s", name)
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
	payload, _, ok := unseal(data, slotMagic)
	if !ok {
		return nil, nil
	}
	slot := &schema.SnapshotSlot{}
	if err := proto.Unmarshal(payload, slot); err != nil {
		return nil, nil
	}
	return slot, nil
}

func seal(payload []byte, magic uint32) []byte {
	data := make([]byte, headerBytes, headerBytes+len(payload))
	binary.BigEndian.PutUint32(data[0:], magic)
	binary.BigEndian.PutUint32(data[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(data[8:], crc32.Checksum(payload, table))
	return append(data, payload...)
}

func unseal(data []byte, magic uint32) (payload []byte, used int, ok bool) {
	if len(data) < headerBytes || binary.BigEndian.Uint32(data) != magic {
		return nil, 0, false
	}
	length := int64(binary.BigEndian.Uint32(data[4:]))
	if headerBytes+length > int64(len(data)) {
		return nil, 0, false
	}
	payload = data[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, table) != binary.BigEndian.Uint32(data[8:]) {
		return nil, 0, false
	}
	return payload, headerBytes + int(length), true
}

func parseFrame(data []byte) (*schema.LogFrame, int, bool) {
	payload, used, ok := unseal(data, frameMagic)
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
	offset, certain := 0, 0
	ends := map[uint64]int{}
	for offset < len(data) {
		frame, used, ok := parseFrame(data[offset:])
		if ok && frame.Epoch < s.epoch {
			break // left from two slots ago
		}
		if !ok || frame.Epoch != s.epoch || frame.Seq != s.seq+1 {
			// A later frame that knew this one as synced proves that it was
			// acknowledged; without such a witness it is a torn end.
			if s.witnessed(data[offset+1:], s.seq+1) {
				return Damaged.New("%s at offset %d: damaged before acknowledged content", name, offset)
			}
			break
		}
		for _, change := range frame.Changes {
			s.content.Apply(change)
		}
		s.seq = frame.Seq
		offset += used
		ends[frame.Seq] = offset
		certain = max(certain, ends[frame.Synced])
	}
	s.synced = s.seq
	s.size = int64(offset)
	if offset < len(data) || len(data) == 0 {
		if err := s.disk.Cut(name, s.size); err != nil {
			return Failed.Wrap(err, "cutting %s at %d", name, offset)
		}
	}
	// What was read may still be only in the machine's memory: it must last
	// before anybody builds on it.
	return s.rewrite(name, data[:offset], certain)
}

func (s *Store) witnessed(data []byte, seq uint64) bool {
	var mark [4]byte
	binary.BigEndian.PutUint32(mark[:], frameMagic)
	for {
		at := bytes.Index(data, mark[:])
		if at < 0 {
			return false
		}
		if frame, _, ok := parseFrame(data[at:]); ok && frame.Epoch == s.epoch && frame.Synced >= seq {
			return true
		}
		data = data[at+1:]
	}
}

// Content is what the store holds; it must not be written to.
func (s *Store) Content() *Content { return s.content }

// Counts says what the store has cost since it was opened.
func (s *Store) Counts() Counts { return s.counts }

// Commit makes changes last. When it returns nil they are synced. After an
// error none of them counts, though they may turn up after a restart; the same
// ones may be given again, and the store mends itself first.
func (s *Store) Commit(changes []*schema.StoreChange) error {
	if err := s.repair(); err != nil {
		s.hasFailed = true
		return Failed.Wrap(err, "mending the store")
	}
	if err := s.commit(changes); err != nil {
		return Failed.Wrap(err, "store")
	}
	s.hasFailed = false
	return nil
}

func (s *Store) commit(changes []*schema.StoreChange) error {
	if err := s.write(changes); err != nil {
		s.worsen(torn)
		return err
	}
	if err := s.disk.Sync(logName(s.epoch)); err != nil {
		s.worsen(unsure)
		return err
	}
	s.counts.Syncs++
	s.synced = s.seq
	for _, change := range changes {
		s.content.Apply(change)
	}
	// What fails from here on takes nothing back: the changes last.
	if s.size > s.limit {
		if s.turn() != nil {
			s.condition = unsure
		}
		return nil
	}
	// The mark tells a later reader that the frame before it was synced, so
	// that rot at the very end isn't taken for a torn write. It isn't synced
	// itself; losing it loses nothing.
	if s.write(nil) != nil {
		s.condition = torn
	}
	return nil
}

func (s *Store) write(changes []*schema.StoreChange) error {
	frame := &schema.LogFrame{Epoch: s.epoch, Seq: s.seq + 1, Synced: s.synced, Changes: changes}
	payload, err := proto.Marshal(frame)
	if err != nil {
		return err
	}
	data := seal(payload, frameMagic)
	if err := s.disk.Write(logName(s.epoch), s.size, data); err != nil {
		return err
	}
	s.seq++
	s.size += int64(len(data))
	s.counts.Bytes += uint64(len(data))
	return nil
}

// turn writes the whole content into the other slot and starts its log.
func (s *Store) turn() error {
	next := s.epoch + 1
	payload, err := proto.Marshal(&schema.SnapshotSlot{Epoch: next, Changes: s.content.changes()})
	if err != nil {
		return err
	}
	data := seal(payload, slotMagic)
	// The log of two slots ago goes first: none of it may follow the new slot.
	if err := s.disk.Cut(logName(next), 0); err != nil {
		return err
	}
	if err := s.disk.Sync(logName(next)); err != nil {
		return err
	}
	if err := s.disk.Write(slotName(next), 0, data); err != nil {
		return err
	}
	if err := s.disk.Cut(slotName(next), int64(len(data))); err != nil {
		return err
	}
	if err := s.disk.Sync(slotName(next)); err != nil {
		return err
	}
	s.epoch, s.seq, s.synced, s.size = next, 0, 0, 0
	s.counts.Bytes += uint64(len(data))
	s.counts.Syncs += 2
	s.counts.Slots++
	// A log that grows past the slot's own size is not short any more; one
	// that is much smaller would have the slot written over and over.
	s.limit = max(int64(len(data)), s.least)
	return nil
}

// IsDamaged tells whether an error of Open means that the store can't be
// trusted.
func IsDamaged(err error) bool { return err != nil && errorx.IsOfType(err, Damaged) }
