package gateway

// Which tenant makes a client's call, by the key that the call carries.

import (
	"net/http"
	"strings"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
)

// unreadableKey stands for the hash of a key that can't be read. It is no hash, so no
// configuration holds it.
const unreadableKey = "unreadable"

// KeyHashOf returns the KeyHash of a call with these Authorization headers. A header holds
// one of the schemes and a key, with blanks between them; the scheme's case doesn't count.
// Whatever else it holds counts as an unknown key, not as none.
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

// authorize returns the tenant whose key a client's call for a queue carries, and whether
// the call is allowed. Without a tenant it is nobody's.
func authorize(values *clusterstate.Values, queue, keyHash string) (tenant string, isAllowed bool) {
	if !values.RequiresKeys() {
		return "", true
	}
	if keyHash == "" {
		return "", values.IsPublic(queue)
	}
	return values.TenantOfKey(keyHash)
}

// isClientKind reports whether clients make requests of a kind, so that they need a key.
func isClientKind(kind string) bool {
	switch kind {
	case KindStatus, KindCancel, KindCounts, KindList:
		return true
	}
	return false
}

// authorizeRequest is authorize for a request of any kind.
func (g *Gateway) authorizeRequest(m LeaderRequest) (tenant string, isAllowed bool) {
	if !isClientKind(m.Kind) {
		return "", true
	}
	return authorize(g.values, m.Group, m.KeyHash)
}

// handleUnauthorized refuses a call that our copy of the cluster state doesn't allow, once
// that is confirmed: its key may just have been added, or its queue become public. Calls
// like one that was refused so under the same configuration aren't confirmed again. The
// caller has checked the lease on the copy: without one nothing is refused for good.
func (g *Gateway) handleUnauthorized(now eventloop.Micros, refused refusedCall, call deferredCall, isConfirmed bool, effects eventloop.Effects) {
	switch {
	case isConfirmed:
		g.refusedKeys.add(g.state.Configuration.GetRevision(), refused)
		g.rejectUnauthorized(call.id(), effects)
	case g.refusedKeys.contains(g.state.Configuration.GetRevision(), refused):
		// The call may be refused by the copy as it is. A configuration that allows it has
		// a higher revision, which the copy lacks. Under its lease the copy holds all that
		// was committed three quarters of config_apply ago (stateLease), so that one was
		// acknowledged later, and needn't be in force yet when this call was sent.
		g.rejectUnauthorized(call.id(), effects)
	case !g.awaitConfirmation(now, keyCall{call}, effects):
		g.rejectUnavailable(call.id(), "too many requests are waiting for the list of keys", effects)
	}
}

func (g *Gateway) rejectUnauthorized(requestID uint64, effects eventloop.Effects) {
	g.reject(requestID, http.StatusUnauthorized, codeUnknownKey, "the call needs the key of a tenant, and carries none that is known", 0, effects)
}
