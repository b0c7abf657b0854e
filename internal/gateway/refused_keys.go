package gateway

// maxRefusedKeys is the maximum number of refusedCall values that are remembered.
const maxRefusedKeys = 1024

// refusedCall identifies the calls to one queue with one key, which are all refused for the
// same reason.
type refusedCall struct {
	queue   string
	keyHash string // empty if the calls carry no key
}

// refusedKeys remembers which calls were refused after one revision of the configuration
// was confirmed to be the newest.
type refusedKeys struct {
	revision uint64 // revision of the configuration under which calls were refused
	calls    map[refusedCall]bool
}

// add remembers a refused call, and forgets the calls that were refused under another
// revision. A full set is emptied, because only calls with many different keys can fill it,
// and none of these keys may be used again.
func (r *refusedKeys) add(revision uint64, call refusedCall) {
	if r.revision != revision || len(r.calls) >= maxRefusedKeys {
		r.revision, r.calls = revision, map[refusedCall]bool{}
	}
	r.calls[call] = true
}

// contains reports whether a call was refused under a revision of the configuration.
func (r *refusedKeys) contains(revision uint64, call refusedCall) bool {
	return r.revision == revision && r.calls[call]
}
