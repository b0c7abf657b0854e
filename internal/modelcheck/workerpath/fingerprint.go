package workerpath

import (
	"encoding/binary"
	"hash/maphash"
	"math"
	"reflect"
	"slices"
	"strings"
)

var hashSeed = maphash.MakeSeed()

// fingerprint returns a hash of everything in the world that its further behaviour depends on.
// Worlds that were reached by the same steps in another order mostly have the same fingerprint.
func (w *World) fingerprint() uint64 {
	h := &hasher{onPath: map[uintptr]bool{}}
	hash := func(value any) uint64 { return h.hash(reflect.ValueOf(value)) }
	sums := []uint64{hash(w.now), hash(w.clusterState.Version)}
	for _, q := range w.queues {
		sums = append(sums, hash(q.term), hash(q.leader.id), hash(string(q.stateMachine.Snapshot(false))))
		for _, p := range q.proposals {
			sums = append(sums, hash(p.node.id), hash(p.command))
		}
	}
	for _, n := range w.nodes {
		sums = append(sums, hash(n.scheduler), hash(n.stateVersion))
	}
	for _, m := range w.machines {
		sums = append(sums, hash(m.agent), hash(m.worker), hash(m.pending), hash(m.agentRestarts))
	}
	var items []uint64
	for _, it := range w.inFlight {
		items = append(items, combine(uint64(it.kind), hash(it.from), hash(it.to), hash(it.body)))
	}
	slices.Sort(items)
	return combine(append(sums, items...)...)
}

// combine returns a hash of a list of hashes.
func combine(sums ...uint64) uint64 {
	buffer := make([]byte, 0, 8*len(sums))
	for _, sum := range sums {
		buffer = binary.LittleEndian.AppendUint64(buffer, sum)
	}
	return maphash.Bytes(hashSeed, buffer)
}

// hasher hashes values by their content, including unexported fields.
type hasher struct {
	onPath map[uintptr]bool // pointers between the root and the current value, to detect cycles
}

// isSkipped reports whether values of a type are left out of the hash, since the world's
// behaviour doesn't depend on them.
func isSkipped(t reflect.Type) bool {
	path := t.PkgPath()
	return t.Kind() == reflect.Func || strings.HasPrefix(path, "google.golang.org/protobuf/internal") || strings.HasPrefix(path, "sync")
}

func (h *hasher) hash(v reflect.Value) uint64 {
	if !v.IsValid() || isSkipped(v.Type()) {
		return 0
	}
	switch v.Kind() {
	case reflect.Pointer:
		return h.hashPointer(v)
	case reflect.Interface:
		return h.hash(v.Elem())
	case reflect.Struct:
		return h.hashStruct(v)
	case reflect.Map:
		return h.hashMap(v)
	case reflect.Slice, reflect.Array:
		return h.hashList(v)
	case reflect.String:
		return maphash.String(hashSeed, v.String())
	case reflect.Bool:
		if v.Bool() {
			return 1
		}
		return 2
	case reflect.Float32, reflect.Float64:
		return math.Float64bits(v.Float())
	}
	if v.CanInt() {
		return uint64(v.Int())
	}
	if v.CanUint() {
		return v.Uint()
	}
	return 0
}

func (h *hasher) hashPointer(v reflect.Value) uint64 {
	const nilHash, cycleHash = 3, 4
	if v.IsNil() {
		return nilHash
	}
	at := v.Pointer()
	if h.onPath[at] {
		return cycleHash
	}
	h.onPath[at] = true
	defer delete(h.onPath, at)
	return h.hash(v.Elem())
}

func (h *hasher) hashStruct(v reflect.Value) uint64 {
	sums := make([]uint64, 0, v.NumField())
	for k := range v.NumField() {
		sums = append(sums, h.hash(v.Field(k)))
	}
	return combine(sums...)
}

func (h *hasher) hashList(v reflect.Value) uint64 {
	if v.Type().Elem().Kind() == reflect.Uint8 && v.Kind() == reflect.Slice {
		return maphash.Bytes(hashSeed, v.Bytes())
	}
	sums := make([]uint64, 0, v.Len()+1)
	sums = append(sums, uint64(v.Len()))
	for k := range v.Len() {
		sums = append(sums, h.hash(v.Index(k)))
	}
	return combine(sums...)
}

// hashMap returns a hash that doesn't depend on the order of iteration.
func (h *hasher) hashMap(v reflect.Value) uint64 {
	sums := make([]uint64, 0, v.Len())
	for entry := v.MapRange(); entry.Next(); {
		sums = append(sums, combine(h.hash(entry.Key()), h.hash(entry.Value())))
	}
	slices.Sort(sums)
	return combine(sums...)
}
