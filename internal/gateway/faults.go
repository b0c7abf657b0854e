package gateway

// This file builds error responses.

import (
	"encoding/json"
	"net/http"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Error codes in the bodies of error responses.
const (
	codeBadJob       = "bad_job"
	codeBadName      = "bad_name"
	codeDraining     = "leaving"
	codeGatewayFull  = "front_full"
	codeInternal     = "internal"
	codeNeverFits    = "never_fits"
	codeNoLease      = "no_ward"
	codeNotReady     = "not_ready"
	codeQueueFull    = "queue_full"
	codeStorageFull  = "store_full"
	codeUnknown      = "unknown"
	codeUnknownKey   = "unknown_key"
	codeUnknownQueue = "unknown_queue"
	codeWindowFull   = "window_full"
)

// NameRule is the error message for names that IsValidName rejects.
const NameRule = "a name has at most 128 characters: letters, digits, '.', '_', ':' and '-'; the first is a letter or digit"

const (
	gatewayFullMessage    = "this gateway has too many pending requests"
	overdueMessage        = "this gateway handled the call only after its deadline, so it took no effect"
	maxNotReadyRetryAfter = 10 // seconds
)

// ErrorBody returns the JSON body of an error response. The field names the part of the
// request that caused the error; it is empty if no single part did.
func ErrorBody(code, message, field string) []byte {
	data, err := json.Marshal(&schema.Error{Code: code, Message: message, Field: field})
	if err != nil {
		return nil
	}
	return data
}

// Overloaded returns the response for a request that the gateway rejects because too many
// requests are pending. retryAfter is in seconds.
func Overloaded(retryAfter int) Response {
	return Response{
		Code: http.StatusTooManyRequests, Body: ErrorBody(codeGatewayFull, gatewayFullMessage, ""), RetryAfter: retryAfter,
	}
}

// Unprocessable returns the response to a request that is invalid, so that a retry without
// a change would fail too.
func Unprocessable(fault *schema.Error) Response {
	body, _ := json.Marshal(fault)
	return Response{Code: http.StatusUnprocessableEntity, Body: body}
}

// outcomeUnknown returns the response to a request that may or may not have taken effect.
func outcomeUnknown() Response {
	return Response{
		Code: http.StatusGatewayTimeout, Body: ErrorBody(codeUnknown, "it is not known whether the request took effect; send it again under the same name", ""), RetryAfter: 1,
	}
}

func (g *Gateway) reject(requestID uint64, status int32, code, message string, retryAfter int, effects eventloop.Effects) {
	effects.Respond(requestID, Response{Code: status, Body: ErrorBody(code, message, ""), RetryAfter: retryAfter})
}

// rejectUnavailable rejects a request for now, and tells the client to retry after a second.
func (g *Gateway) rejectUnavailable(requestID uint64, message string, effects eventloop.Effects) {
	g.reject(requestID, http.StatusServiceUnavailable, codeNotReady, message, 1, effects)
}

// rejectNotReady rejects a request because the gateway has no valid read lease. The longer
// ago the copy was last confirmed, the later the client is told to retry at this gateway.
func (g *Gateway) rejectNotReady(now eventloop.Micros, requestID uint64, effects eventloop.Effects) {
	retryAfter := 1
	if since := g.lease.confirmedAt; since > 0 {
		retryAfter = min(max(int((now-since)/(2*eventloop.Second)), 1), maxNotReadyRetryAfter)
	}
	g.reject(requestID, http.StatusServiceUnavailable, codeNotReady, "this gateway's copy of the cluster state is stale; try another gateway", retryAfter, effects)
}
