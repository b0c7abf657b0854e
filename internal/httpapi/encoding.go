package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/kataras/iris/v12"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/gateway"
	"sparnotch/internal/schema"
)

// writeResponse writes a response of the gateway, with its headers, and ends the handling of
// the request.
func writeResponse(ctx iris.Context, response gateway.Response) {
	header := ctx.ResponseWriter().Header()
	header.Set("Content-Type", "application/json")
	if response.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(response.RetryAfter))
	}
	if response.Code == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", keyScheme)
	}
	ctx.StatusCode(int(response.Code))
	ctx.Write(append(response.Body, '\n'))
	ctx.StopExecution()
}

// writeJSON writes a successful response with a value as indented JSON.
func writeJSON(ctx iris.Context, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		writeError(ctx, http.StatusInternalServerError, "internal", err.Error(), "")
		return
	}
	writeResponse(ctx, gateway.Response{Code: http.StatusOK, Body: data})
}

func writeError(ctx iris.Context, status int32, code, message, field string) {
	writeResponse(ctx, gateway.Response{Code: status, Body: gateway.ErrorBody(code, message, field)})
}

// writeRoutingError writes the error response to a request whose path or method no route
// matches.
func writeRoutingError(ctx iris.Context) {
	status, code := ctx.GetStatusCode(), "no_such_path"
	if status == http.StatusMethodNotAllowed {
		code = "no_such_method"
	}
	writeError(ctx, int32(status), code, http.StatusText(status), "")
}

// readBody returns the body of a request. If the body is larger than maxBytes or can't be
// read, readBody writes an error response and returns false.
func readBody(ctx iris.Context, maxBytes int64) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxBytes))
	if err == nil {
		return data, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(ctx, http.StatusRequestEntityTooLarge, "too_large", "the body must have at most "+strconv.FormatInt(maxBytes, 10)+" bytes", "")
	} else {
		writeError(ctx, http.StatusBadRequest, "unreadable", "the body can't be read", "")
	}
	return nil, false
}

// decodeJSON decodes a single JSON value. If the data has another form, or fields that the
// target doesn't have, decodeJSON writes an error response and returns false.
func decodeJSON(ctx iris.Context, data []byte, target any) bool {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return true
		}
		writeError(ctx, http.StatusBadRequest, "bad_json", "the body has more data after the JSON value", "")
		return false
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		// A number out of the type's range is well-formed JSON, so the status is 422
		// (unprocessable) rather than 400.
		status := int32(http.StatusBadRequest)
		if strings.HasPrefix(wrongType.Value, "number ") {
			status = http.StatusUnprocessableEntity
		}
		writeError(ctx, status, "bad_value", wrongType.Value+" is not a valid value of the type "+wrongType.Type.Kind().String(), wrongType.Field)
		return false
	}
	if field, isUnknown := strings.CutPrefix(err.Error(), "json: unknown field "); isUnknown {
		name, _ := strconv.Unquote(field)
		writeUnknownField(ctx, name)
		return false
	}
	writeError(ctx, http.StatusBadRequest, "bad_json", err.Error(), "")
	return false
}

var unknownFieldPattern = regexp.MustCompile(`unknown field "([^"]*)"`)

// decodeProtoJSON decodes a message from its ProtoJSON form. If the data isn't valid,
// decodeProtoJSON writes an error response and returns false.
func decodeProtoJSON(ctx iris.Context, data []byte, target proto.Message) bool {
	err := schema.UnmarshalJSON(data, target)
	if err == nil {
		return true
	}
	// protojson randomly replaces spaces in its error texts by no-break spaces, so that no
	// program relies on them.
	message := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	if found := unknownFieldPattern.FindStringSubmatch(message); found != nil {
		writeUnknownField(ctx, found[1])
		return false
	}
	writeError(ctx, http.StatusBadRequest, "bad_json", message, "")
	return false
}

func writeUnknownField(ctx iris.Context, name string) {
	writeError(ctx, http.StatusBadRequest, "unknown_field", "the field is unknown", name)
}
