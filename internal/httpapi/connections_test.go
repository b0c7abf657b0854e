package httpapi

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"sparnotch/internal/process"
	"sparnotch/internal/schema"
)

// freeAddress returns a local address with a port that is free at the moment.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer listener.Close()
	return listener.Addr().String()
}

func TestPipelinedRequests(t *testing.T) {
	Convey("Given a node of a cluster without a configuration", t, func() {
		options := &schema.Settings{Zone: "c", InternalAddress: freeAddress(), HttpAddress: freeAddress(), Seeds: []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}}
		node, err := process.Start(options, schema.Role_ROLE_SERVER, zap.NewNop())
		So(err, ShouldBeNil)
		server, err := Serve(node, zap.NewNop())
		So(err, ShouldBeNil)
		client, err := net.Dial("tcp", options.HttpAddress)
		So(err, ShouldBeNil)
		reader := bufio.NewReader(client)
		Reset(func() { client.Close(); server.httpServer.Close(); node.Stop() })
		send := func(text string) {
			_, err := io.WriteString(client, text)
			So(err, ShouldBeNil)
		}
		// nextResponse returns the status and body of the next response, or 0 and "" if the
		// connection has ended.
		nextResponse := func() (int, string) {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return 0, ""
			}
			body, err := io.ReadAll(response.Body)
			So(err, ShouldBeNil)
			return response.StatusCode, string(body)
		}
		mustBeAlive := func() {
			code, body := nextResponse()
			So([]any{code, strings.Contains(body, `"alive"`)}, ShouldResemble, []any{200, true})
		}
		const alive = "GET /livez HTTP/1.1\r\nHost: x\r\n\r\n"
		const counts = "GET /v1/counts HTTP/1.1\r\nHost: x\r\n\r\n"
		put := func(path, body string) string {
			return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
		}
		Convey("pipelined requests are answered in order", func() {
			send(counts + alive + counts + alive)
			for range 2 {
				_, body := nextResponse()
				So(body, ShouldContainSubstring, "lost_mails")
				mustBeAlive()
			}
		})
		Convey("after each error the next request has its own response, and a request inside a body has none", func() {
			for _, step := range []struct {
				request string
				code    int
			}{
				{put("/nowhere", counts), 404}, {put("/livez", counts), 404}, {put("/v1/queues/l/jobs/j", counts), 400},
				{put("/v1/queues/l/jobs/"+strings.Repeat("x", 200), counts), 422}, {put("/v1/plan", counts), 400},
				{put("/v1/queues/l/jobs/j", `{"text":"t","steps":[{"name":"s","tasks":1,"cores_milli":1,"memory_mb":1}]}`), 503},
			} {
				send(step.request + alive)
				code, _ := nextResponse()
				So(code, ShouldEqual, step.code)
				mustBeAlive()
			}
		})
		Convey("a body that is too large ends its connection", func() {
			go io.WriteString(client, put("/v1/queues/l/jobs/j", strings.Repeat(" ", 2*maxJobBytes)+strings.Repeat(counts, 100))+alive)
			code, body := nextResponse()
			So(code, ShouldBeIn, 413, 0)
			So(body, ShouldNotContainSubstring, "lost_mails")
			code, _ = nextResponse()
			So(code, ShouldEqual, 0)
		})
	})
}
