package clusterstate

import (
	"net/http"

	"sparnotch/internal/schema"
)

// ControllerLeaseUs is the duration of the controller lease in µs of the group's time.
const ControllerLeaseUs = 2_000_000

// ControllerLeaseExpiry returns when the controller lease expires, in µs of the group's
// time; 0 if it was never granted.
func (m *StateMachine) ControllerLeaseExpiry() int64 { return m.state.ControllerLease.GetExpiresUs() }

// HoldsControllerLease reports whether a fencing token is that of the current controller
// lease and the lease hasn't expired.
func (m *StateMachine) HoldsControllerLease(token uint64) bool {
	current := m.state.ControllerLease
	return current.FencingToken == token && token != 0 && current.ExpiresUs > m.state.NowUs
}

// claimControllerLease grants or renews the lease, unless another controller holds it.
func (m *StateMachine) claimControllerLease(holder string) *Result {
	current := m.state.ControllerLease
	expired := current.Holder == "" || current.ExpiresUs <= m.state.NowUs
	if current.Holder != holder && !expired {
		return &Result{Code: http.StatusConflict, Error: &schema.Error{
			Code: "controller_taken", Message: "another controller holds the lease",
		}}
	}
	token := current.FencingToken
	// A holder that let its lease expire gets a new token too: commands that it sent under
	// the old one may still be in flight.
	if current.Holder != holder || expired {
		token = m.nextToken()
		m.changed = true
	}
	m.state.ControllerLease = &schema.ControllerLease{
		Holder: holder, FencingToken: token, ExpiresUs: m.state.NowUs + ControllerLeaseUs,
	}
	return &Result{Code: http.StatusOK, FencingToken: token}
}

// staleTokenResult rejects a command whose fencing token isn't that of the current, unexpired
// lease.
func staleTokenResult() *Result {
	return &Result{Code: http.StatusForbidden, Error: &schema.Error{
		Code: "lease_over", Message: "the controller lease is not the current one",
	}}
}
