package gateway

// maxRefusedKeys is how many refused calls are remembered.
const maxRefusedKeys = 1024

// refusedCall is what calls have in common that are refused for the same reason.
type refusedCall struct {
	queue   string
	keyHash string // empty: they carry no key
}

// refusedKeys remembers which calls were refused, once the configuration's present revision
// was confirmed to be the newest.
type refusedKeys struct {
	revision uint64 // of the configuration
	calls    map[refusedCall]bool
}

// add forgets what was refused under another revision. A full set is emptied: what fills it
// is calls whose keys differ, of which none may come again.
func (r *refusedKeys) add(revision uint64, call refusedCall) {
	if r.revision != revision || len(r.calls) >= maxRefusedKeys {
		r.revision, r.calls = revision, map[refusedCall]bool{}
	}
	r.calls[call] = true
}

func (r *refusedKeys) contains(revision uint64, call refusedCall) bool {
	return r.revision == revision && r.calls[call]
}
