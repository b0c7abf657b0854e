package clusterstate

import (
	"net/http"

	"sparnotch/internal/schema"
)

// ControllerLeaseUs is the duration of the controller lease in µs of the group's time, the
// time that the log entries carry.
const ControllerLeaseUs = 2_000_000

// ControllerLeaseExpiry returns the time at which the controller lease expires, in µs of the
// group's time, or 0 if the lease was never granted.
func (m *StateMachine) ControllerLeaseExpiry() int64 { return m.state.ControllerLease.GetExpiresUs() }

// HoldsControllerLease reports whether the given fencing token belongs to the current
// controller lease and the lease hasn't expired.
func (m *StateMachine) HoldsControllerLease(token uint64) bool {
	current := m.state.ControllerLease
	return current.FencingToken == token && token != 0 && current.ExpiresUs > m.state.NowUs
}

// claimControllerLease grants or renews the controller lease, unless another controller holds
// it.
func (m *StateMachine) claimControllerLease(holder string) *Result {
	current := m.state.ControllerLease
	expired := current.Holder == "" || current.ExpiresUs <= m.state.NowUs
	if current.Holder != holder && !expired {
		return &Result{Code: http.StatusConflict, Error: &schema.Error{
			Code: "controller_taken", Message: "another controller holds the controller lease",
		}}
	}
	token := current.FencingToken
	// A holder whose lease has expired gets a new token too, because commands that it sent
	// with the old token may still be in flight.
	if current.Holder != holder || expired {
		token = m.nextToken()
		m.changed = true
	}
	m.state.ControllerLease = &schema.ControllerLease{
		Holder: holder, FencingToken: token, ExpiresUs: m.state.NowUs + ControllerLeaseUs,
	}
	return &Result{Code: http.StatusOK, FencingToken: token}
}

// staleTokenResult returns the rejection of a command whose fencing token doesn't belong to
// the current, unexpired controller lease.
func staleTokenResult() *Result {
	return &Result{Code: http.StatusForbidden, Error: &schema.Error{
		Code: "lease_over", Message: "the sender doesn't hold the controller lease, or its lease has expired",
	}}
}
