package httpapi

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/kataras/iris/v12"
	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/gateway"
)

func TestKeysOfCalls(t *testing.T) {
	Convey("A call's key is read with either scheme, and a 401 names the first", t, func() {
		hash := ""
		app := iris.New()
		app.Get("/", func(ctx iris.Context) {
			hash = keyHash(ctx)
			writeResponse(ctx, gateway.Response{Code: http.StatusUnauthorized})
		})
		So(app.Build(), ShouldBeNil)
		for header, expected := range map[string]string{"Token k": clusterstate.HashKey("k"), "bearer k": clusterstate.HashKey("k"), "": ""} {
			request := httptest.NewRequest(http.MethodGet, "/", nil)
			if header != "" {
				request.Header.Set("Authorization", header)
			}
			recorder := httptest.NewRecorder()
			app.ServeHTTP(recorder, request)
			So(hash, ShouldEqual, expected)
			So(recorder.Code, ShouldEqual, http.StatusUnauthorized)
			So(recorder.Header().Get("WWW-Authenticate"), ShouldEqual, "Token")
		}
	})
}
