package gateway

// Error responses.

import (
	"encoding/json"
	"net/http"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// Error codes in the bodies of responses.
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

// NameRule explains to clients what IsValidName accepts.
const NameRule = "letters, digits, '.', '_', ':' and '-', at most 128"

const (
	gatewayFullMessage    = "this gateway has too many pending requests"
	maxNotReadyRetryAfter = 10 // seconds
)

// ErrorBody is the JSON body of an error response; field names the part of the request
// that is at fault, if one is.
func ErrorBody(code, message, field string) []byte {
	data, err := json.Marshal(&schema.Error{Code: code, Message: message, Field: field})
	if err != nil {
		return nil
	}
	return data
}

// Overloaded is the response where the gateway has no room for another request.
// RetryAfter is given in seconds.
func Overloaded(retryAfter int) Response {
	return Response{
		Code: http.StatusTooManyRequests, Body: ErrorBody(codeGatewayFull, gatewayFullMessage, ""), RetryAfter: retryAfter,
	}
}

// Unprocessable is the response to a request that can't be accepted as it is.
func Unprocessable(fault *schema.Error) Response {
	body, _ := json.Marshal(fault)
	return Response{Code: http.StatusUnprocessableEntity, Body: body}
}

// outcomeUnknown is the response where a command may or may not have taken effect.
func outcomeUnknown() Response {
	return Response{
		Code: http.StatusGatewayTimeout, Body: ErrorBody(codeUnknown, "whether this took effect is not known: send it again under the same name", ""), RetryAfter: 1,
	}
}

func (g *Gateway) reject(requestID uint64, status int32, code, message string, retryAfter int, effects eventloop.Effects) {
	effects.Respond(requestID, Response{Code: status, Body: ErrorBody(code, message, ""), RetryAfter: retryAfter})
}

// rejectUnavailable rejects a request that may succeed in a second.
func (g *Gateway) rejectUnavailable(requestID uint64, message string, effects eventloop.Effects) {
	g.reject(requestID, http.StatusServiceUnavailable, codeNotReady, message, 1, effects)
}

// rejectNotReady rejects a request for want of a valid read lease. The longer the lease
// is over, the later a retry here is worthwhile.
func (g *Gateway) rejectNotReady(now eventloop.Micros, requestID uint64, effects eventloop.Effects) {
	retryAfter := 1
	if since := g.lease.confirmedAt; since > 0 {
		retryAfter = min(max(int((now-since)/(2*eventloop.Second)), 1), maxNotReadyRetryAfter)
	}
	g.reject(requestID, http.StatusServiceUnavailable, codeNotReady, "this gateway's copy of the cluster state is stale: try another gateway", retryAfter, effects)
}
