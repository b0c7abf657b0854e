package modelcheck

import (
	"hash/maphash"

	"sparnotch/internal/schema"
)

var hashSeed = maphash.MakeSeed()

// hashValues returns a hash of two texts and a list of numbers.
func hashValues(text, more string, values ...uint64) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(append(append(buffer, text...), '|'), more...)
	return maphash.Bytes(hashSeed, appendNumbers(buffer, values...))
}

// entryDigest returns a hash of an entry's content, without its index and term.
func entryDigest(entry *schema.Entry) uint64 {
	var h maphash.Hash
	h.SetSeed(hashSeed)
	h.WriteByte(byte(entry.Kind))
	h.Write(entry.Data)
	for _, id := range entry.MemberSet.GetVoters() {
		h.WriteString(id)
	}
	h.WriteByte('/')
	for _, id := range entry.MemberSet.GetLearners() {
		h.WriteString(id)
	}
	return h.Sum64()
}
