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

// writeRoutingError writes the error of a request that no route matched.
func writeRoutingError(ctx iris.Context) {
	status, code := ctx.GetStatusCode(), "no_such_path"
	if status == http.StatusMethodNotAllowed {
		code = "no_such_method"
	}
	writeError(ctx, int32(status), code, http.StatusText(status), "")
}

// readBody reads a body of limited size. False: it can't be read, and an error was
// written.
func readBody(ctx iris.Context, maxBytes int64) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxBytes))
	if err == nil {
		return data, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(ctx, http.StatusRequestEntityTooLarge, "too_large", "the body may have at most "+strconv.FormatInt(maxBytes, 10)+" bytes", "")
	} else {
		writeError(ctx, http.StatusBadRequest, "unreadable", "the body could not be read", "")
	}
	return nil, false
}

// decodeJSON decodes one JSON value without unknown fields. False: it isn't one, and an
// error was written.
func decodeJSON(ctx iris.Context, data []byte, into any) bool {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return true
		}
		writeError(ctx, http.StatusBadRequest, "bad_json", "there is more after the JSON value", "")
		return false
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		// A number out of the type's range is well-formed, but no acceptable value.
		status := int32(http.StatusBadRequest)
		if strings.HasPrefix(wrongType.Value, "number ") {
			status = http.StatusUnprocessableEntity
		}
		writeError(ctx, status, "bad_value", wrongType.Value+" is no "+wrongType.Type.Kind().String(), wrongType.Field)
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

// decodeProtoJSON decodes a message from its proto JSON mapping. False: it isn't one,
// and an error was written.
func decodeProtoJSON(ctx iris.Context, data []byte, into proto.Message) bool {
	err := schema.UnmarshalJSON(data, into)
	if err == nil {
		return true
	}
	// protojson randomly replaces spaces in its errors, so that nobody relies on them.
	message := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	if found := unknownFieldPattern.FindStringSubmatch(message); found != nil {
		writeUnknownField(ctx, found[1])
		return false
	}
	writeError(ctx, http.StatusBadRequest, "bad_json", message, "")
	return false
}

func writeUnknownField(ctx iris.Context, name string) {
	writeError(ctx, http.StatusBadRequest, "unknown_field", "there is no such field", name)
}
