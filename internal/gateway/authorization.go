package gateway

// This file determines which tenant makes a client's call, by the key that the call
// carries, and refuses calls without a valid key.

import (
	"net/http"
	"strings"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// unreadableKey replaces the hash of a key that can't be read. It doesn't have the form of
// a hash, so no configuration contains it.
const unreadableKey = "unreadable"

// KeyHashOf returns the KeyHash of a call with these Authorization headers, or "" if there
// are none. A valid header holds one of the schemes, in upper or lower case, then blanks and
// the key. Any other header, or more than one, counts as an unknown key rather than as a
// missing one.
func KeyHashOf(headers []string, schemes ...string) string {
	if len(headers) == 0 {
		return ""
	}
	const blanks = " \t"
	header := strings.Trim(headers[0], blanks)
	schemeEnd := strings.IndexAny(header, blanks)
	if len(headers) > 1 || schemeEnd < 0 {
		return unreadableKey
	}
	for _, scheme := range schemes {
		if strings.EqualFold(scheme, header[:schemeEnd]) {
			return clusterstate.HashKey(strings.TrimLeft(header[schemeEnd:], blanks))
		}
	}
	return unreadableKey
}

// authorize reports whether a client's call for a queue is allowed, and returns the tenant
// whose key the call carries. The tenant is empty if the configuration doesn't require keys,
// or if the call carries none.
func authorize(values *clusterstate.Values, queue, keyHash string) (tenant string, isAllowed bool) {
	if !values.RequiresKeys() {
		return "", true
	}
	if keyHash == "" {
		return "", values.IsPublic(queue)
	}
	return values.TenantOfKey(keyHash)
}

// isClientKind reports whether requests of a kind are made by clients, which need a key.
// The other kinds are requests of operators and of the gateway itself.
func isClientKind(kind string) bool {
	switch kind {
	case KindStatus, KindCancel, KindCounts, KindList:
		return true
	}
	return false
}

// authorizeRequest does the same as authorize for a request of any kind. Requests of kinds
// that aren't made by clients are always allowed.
func (g *Gateway) authorizeRequest(m LeaderRequest) (tenant string, isAllowed bool) {
	if !isClientKind(m.Kind) {
		return "", true
	}
	return authorize(g.values, m.Group, m.KeyHash)
}

// handleUnauthorized refuses a call that the gateway's copy of the cluster state doesn't
// allow, after a confirmation that the newest configuration doesn't allow it either: the
// key may just have been added, or the queue have become public. A call with the same queue
// and key as one that was refused under the same configuration is refused without another
// confirmation. The caller must have checked that the lease on the copy is valid, as
// nothing may be refused for good without it.
func (g *Gateway) handleUnauthorized(now eventloop.Micros, refused refusedCall, call deferredCall, isConfirmed bool, effects eventloop.Effects) {
	switch {
	case isConfirmed:
		g.refusedKeys.add(g.state.Configuration.GetRevision(), refused)
		g.rejectUnauthorized(call.id(), effects)
	case g.refusedKeys.contains(g.state.Configuration.GetRevision(), refused):
		// No confirmation is needed. A configuration that allows the call would have a
		// higher revision, which the copy lacks. While the lease is valid, the copy holds
		// everything that was committed until three quarters of Bounds.ConfigApplyUs ago
		// (stateLease). Such a configuration was therefore acknowledged later than that,
		// and needn't have been in force yet when this call was sent.
		g.rejectUnauthorized(call.id(), effects)
	case !g.awaitConfirmation(now, keyCall{call}, effects):
		g.rejectUnavailable(call.id(), "too many requests are waiting for the list of keys", effects)
	}
}

func (g *Gateway) rejectUnauthorized(requestID uint64, effects eventloop.Effects) {
	g.reject(requestID, http.StatusUnauthorized, codeUnknownKey, "the call must carry the key of a tenant, but carries no known key", 0, effects)
}
