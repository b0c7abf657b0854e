package httpcall

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/standin"
)

// testTimeout ends a test that would block forever. The result of no test depends on its
// length.
const testTimeout = 20 * time.Second

var testLimits = Limits{MaxConnections: 4, MaxIdle: 4, IdleTimeout: time.Hour, DialTimeout: 30 * time.Second, MaxResponseBytes: 1 << 10}

// scripted returns a script with which the server shows one of the behaviours per request, in
// this order, and responds normally to all later requests.
func scripted(behaviours ...standin.Behaviour) func(int) standin.Behaviour {
	return func(number int) standin.Behaviour {
		if number > len(behaviours) {
			return standin.Respond
		}
		return behaviours[number-1]
	}
}

// echo responds with the body of the request, so that a response shows to which request it
// belongs.
func echo(arrival standin.Arrival) (int, string) { return http.StatusOK, string(arrival.Body) }

// serve starts a server that echoes requests, except as its script says.
func serve(script func(int) standin.Behaviour) *standin.Server {
	server, err := standin.Serve("127.0.0.1:0", script, echo)
	So(err, ShouldBeNil)
	return server
}

// post returns a POST request with a text as its body.
func post(server *standin.Server, text string) Request {
	return Request{Address: server.Address(), Method: http.MethodPost, Path: "/order", Body: []byte(text)}
}

// arrivalCount counts how often a request with this body has arrived, at least with a part of
// the body.
func arrivalCount(server *standin.Server, text string) int {
	count := 0
	for _, arrival := range server.Arrivals() {
		if strings.HasPrefix(text, string(arrival.Body)) && len(arrival.Body) > 0 {
			count++
		}
	}
	return count
}

// mustRespond sends a request, and checks that it arrives once and gets its own response.
func mustRespond(client *Client, server *standin.Server, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response, err := client.Do(ctx, post(server, text))
	So(err, ShouldBeNil)
	So(response, ShouldResemble, Response{Code: http.StatusOK, Body: []byte(text)})
	So(arrivalCount(server, text), ShouldEqual, 1)
}

// checkSentOnce sends a request whose connection ends before the response is complete, and
// checks that it isn't sent restarted. If isReused is true, the connection has carried another
// request before.
func checkSentOnce(failure standin.Behaviour, isReused bool) {
	var earlier []standin.Behaviour
	if isReused {
		earlier = append(earlier, standin.Respond)
	}
	server := serve(scripted(append(earlier, failure)...))
	client := New(testLimits)
	Reset(func() { client.Close(); server.Close() })
	if isReused {
		mustRespond(client, server, "request before")
	}
	_, err := client.Do(context.Background(), post(server, "request that fails"))
	So(errorx.IsOfType(err, Unanswered), ShouldBeTrue)
	mustRespond(client, server, "request after")
	So(len(server.Arrivals()), ShouldEqual, len(earlier)+2)
	So(server.Connections(), ShouldEqual, 2)
}

func TestRequestIsSentOnce(t *testing.T) {
	for _, failure := range []struct {
		name      string
		behaviour standin.Behaviour
	}{
		{"reset before the body is read", standin.ResetBeforeBody}, {"reset in the body", standin.ResetInBody},
		{"reset after the body", standin.ResetAfterBody}, {"reset in the response", standin.ResetInResponse},
		{"half of the response's body", standin.CloseInBody}, {"half of the response's header", standin.CloseInHeader},
	} {
		for _, isReused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, on a used connection: %v", failure.name, isReused), func(t *testing.T) {
				Convey("The request arrives once and gets no response, and the next one is on another connection", t, func() {
					checkSentOnce(failure.behaviour, isReused)
				})
			})
		}
	}
}

func TestAbandonedRequests(t *testing.T) {
	Convey("An abandoned request isn't retried, and its late response is dropped", t, func() {
		server := serve(scripted(standin.Respond, standin.RespondOnRelease))
		client := New(testLimits)
		Reset(func() { client.Close(); server.Close() })
		mustRespond(client, server, "before")
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error)
		go func() {
			_, err := client.Do(ctx, post(server, "given up"))
			failed <- err
		}()
		So((<-server.Arrived).Number, ShouldEqual, 1)
		So((<-server.Arrived).Number, ShouldEqual, 2)
		cancel()
		So(errorx.IsOfType(<-failed, Unanswered), ShouldBeTrue)
		mustRespond(client, server, "while the response is pending")
		server.Release()
		mustRespond(client, server, "after")
		So(arrivalCount(server, "given up"), ShouldEqual, 1)
		So(server.Connections(), ShouldEqual, 2)
	})
	Convey("A request abandoned before anything was written wasn't sent", t, func() {
		server := serve(scripted())
		client := New(Limits{MaxConnections: 1, MaxIdle: 1, IdleTimeout: time.Hour, MaxResponseBytes: 10})
		Reset(func() { client.Close(); server.Close() })
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := client.Do(ctx, post(server, "never"))
		So(errorx.IsOfType(err, NotSent), ShouldBeTrue)
		mustRespond(client, server, "before")
		_, err = client.Do(ctx, post(server, "never"))
		So(errorx.IsOfType(err, NotSent), ShouldBeTrue)
		So(arrivalCount(server, "never"), ShouldEqual, 0)
	})
	Convey("Neither was one to an address that nobody listens on", t, func() {
		server := serve(scripted())
		request := post(server, "to nobody")
		server.Close()
		_, err := New(testLimits).Do(context.Background(), request)
		So(errorx.IsOfType(err, NotSent), ShouldBeTrue)
	})
}

func TestUnreusableConnections(t *testing.T) {
	for _, defect := range []struct {
		name      string
		behaviour standin.Behaviour
	}{
		{"two responses", standin.RespondTwice}, {"more bytes than announced", standin.RespondWithExtraBytes},
		{"Connection: close", standin.RespondAndClose}, {"no length", standin.RespondUnframed},
	} {
		t.Run(defect.name, func(t *testing.T) {
			Convey("The response counts, and the connection isn't reused", t, func() {
				server := serve(scripted(defect.behaviour, defect.behaviour))
				client := New(testLimits)
				Reset(func() { client.Close(); server.Close() })
				mustRespond(client, server, "first")
				mustRespond(client, server, "second")
				mustRespond(client, server, "third")
				So(server.Connections(), ShouldEqual, 3)
			})
		})
	}
	Convey("Informational responses are skipped", t, func() {
		server := serve(scripted(standin.RespondAfterInformational))
		client := New(testLimits)
		Reset(func() { client.Close(); server.Close() })
		mustRespond(client, server, "first")
		mustRespond(client, server, "second")
		So(server.Connections(), ShouldEqual, 1)
	})
	Convey("A response over the limit counts as none", t, func() {
		server, err := standin.Serve("127.0.0.1:0", scripted(), func(arrival standin.Arrival) (int, string) {
			return http.StatusOK, strings.Repeat("x", len(arrival.Body)*300)
		})
		So(err, ShouldBeNil)
		client := New(testLimits)
		Reset(func() { client.Close(); server.Close() })
		_, err = client.Do(context.Background(), post(server, "far too long"))
		So(errorx.IsOfType(err, Unanswered), ShouldBeTrue)
		response, err := client.Do(context.Background(), post(server, "x"))
		So(err, ShouldBeNil)
		So(response.Body, ShouldHaveLength, 300)
		So(server.Connections(), ShouldEqual, 2)
	})
}

func TestUnsolicitedBytesOnIdleConnections(t *testing.T) {
	Convey("Unsolicited bytes on an idle connection are no response to the next request", t, func() {
		accepted := make(chan net.Conn, 1)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		server := serve(scripted())
		client := New(testLimits)
		Reset(func() { client.Close(); listener.Close(); server.Close() })
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				accepted <- conn
			}
		}()
		p := client.peer(server.Address())
		dialed, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		idle := newConnection(dialed)
		idle.isReusable, idle.lastUsed = true, client.now()
		So(idle.isClean(), ShouldBeTrue)
		client.release(p, idle)
		peer := <-accepted
		defer peer.Close()
		_, err = peer.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"))
		So(err, ShouldBeNil)
		for idle.isClean() {
			runtime.Gosched()
		}
		mustRespond(client, server, "right")
	})
}

func TestPeerRestart(t *testing.T) {
	Convey("A request to a peer that has restarted is sent once, on a new connection", t, func() {
		server := serve(scripted())
		client := New(testLimits)
		mustRespond(client, server, "to the first incarnation")
		idle := client.peer(server.Address()).idle[0]
		server.Close()
		restarted, err := standin.Serve(server.Address(), scripted(), echo)
		So(err, ShouldBeNil)
		Reset(func() { client.Close(); restarted.Close() })
		for idle.isClean() {
			runtime.Gosched()
		}
		mustRespond(client, restarted, "to the second incarnation")
		So(len(restarted.Arrivals()), ShouldEqual, 1)
	})
	Convey("So is one where the idle connection was closed by the peer, or idle for too long", t, func() {
		server := serve(scripted(standin.RespondThenClose))
		client := New(testLimits)
		now := time.Now()
		client.now = func() time.Time { return now }
		Reset(func() { client.Close(); server.Close() })
		mustRespond(client, server, "first")
		idle := client.peer(server.Address()).idle[0]
		for idle.isClean() {
			runtime.Gosched()
		}
		mustRespond(client, server, "second")
		now = now.Add(testLimits.IdleTimeout + 1)
		mustRespond(client, server, "third")
		So(server.Connections(), ShouldEqual, 3)
		mustRespond(client, server, "fourth")
		So(server.Connections(), ShouldEqual, 3)
	})
}

func TestConcurrentRequests(t *testing.T) {
	Convey("Each of many concurrent requests gets its own response, within the limit of connections", t, func() {
		server := serve(func(number int) standin.Behaviour {
			return []standin.Behaviour{standin.Respond, standin.RespondTwice, standin.ResetAfterBody, standin.CloseInBody}[number%4]
		})
		client := New(testLimits)
		Reset(func() { client.Close(); server.Close() })
		const requestCount = 200
		wrongBodies := make([]string, requestCount)
		var group sync.WaitGroup
		for k := range requestCount {
			group.Add(1)
			go func() {
				defer group.Done()
				text := fmt.Sprintf("request %d.", k)
				response, err := client.Do(context.Background(), post(server, text))
				if err == nil && string(response.Body) != text {
					wrongBodies[k] = string(response.Body)
				}
			}()
		}
		group.Wait()
		So(strings.Join(wrongBodies, ""), ShouldEqual, "")
		So(len(server.Arrivals()), ShouldEqual, requestCount)
		So(len(client.peer(server.Address()).idle), ShouldBeLessThanOrEqualTo, testLimits.MaxIdle)
	})
}

func TestInvalidRequests(t *testing.T) {
	Convey("A request that can't be encoded isn't sent", t, func() {
		server := serve(scripted())
		client := New(testLimits)
		Reset(func() { client.Close(); server.Close() })
		for _, makeInvalid := range []func(*Request){
			func(request *Request) { request.Address = "no address" },
			func(request *Request) { request.Method = "PO ST" },
			func(request *Request) {
				request.Header = http.Header{"Some-Header": {"w\r\nContent-Length: 0"}}
			},
		} {
			request := post(server, "never")
			makeInvalid(&request)
			_, err := client.Do(context.Background(), request)
			So(errorx.IsOfType(err, NotSent), ShouldBeTrue)
		}
		So(server.Arrivals(), ShouldBeEmpty)
	})
}
