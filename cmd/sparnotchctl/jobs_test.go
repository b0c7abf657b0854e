package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestKeyIsSentWithJobCalls guards against commands for jobs that don't send the tenant's key,
// and against operators' commands that do.
func TestKeyIsSentWithJobCalls(t *testing.T) {
	Convey("The key of the environment is sent with the calls for jobs alone", t, func() {
		var received []string
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			received = append(received, r.Header.Get("Authorization"))
			w.Write([]byte("[]"))
		}))
		defer server.Close()
		address := strings.TrimPrefix(server.URL, "http://")
		t.Setenv("SPARNOTCH_KEY", "the key")
		jobCalls := func() {
			for _, verb := range []string{"status", "cancel"} {
				code, _ := runCommand(&jobCommand{verb: verb}, "-nodes", address, "-queue", "q", "-name", "j")
				So(code, ShouldEqual, 0)
			}
			code, _ := runCommand(&listJobsCommand{}, "-nodes", address, "-queue", "q")
			So(code, ShouldEqual, 0)
		}
		jobCalls()
		So(received, ShouldResemble, []string{"Token the key", "Token the key", "Token the key"})
		received = nil
		code, _ := runCommand(&configHistoryCommand{}, "-nodes", address)
		So(code, ShouldEqual, 0)
		So(received, ShouldResemble, []string{""})
		received = nil
		t.Setenv("SPARNOTCH_KEY", "")
		jobCalls()
		So(received, ShouldResemble, []string{"", "", ""})
	})
}
