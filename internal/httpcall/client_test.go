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

// mostPatience ends a test that would wait for ever; nothing else waits for it.
const mostPatience = 20 * time.Second

var testLimits = Limits{Connections: 4, Idle: 4, IdleTime: time.Hour, DialTime: 30 * time.Second, AnswerBytes: 1 << 10}

// behave has the stand-in do one thing after another, and answer in order once
// there is nothing more.
func behave(behaviours ...standin.Behaviour) func(int) standin.Behaviour {
	return func(number int) standin.Behaviour {
		if number > len(behaviours) {
			return standin.Answer
		}
		return behaviours[number-1]
	}
}

// echo answers with the request's own body, so that an answer shows whose it is.
func echo(arrival standin.Arrival) (int, string) { return http.StatusOK, string(arrival.Body) }

func serve(script func(int) standin.Behaviour) *standin.Server {
	server, err := standin.Serve("127.0.0.1:0", script, echo)
	So(err, ShouldBeNil)
	return server
}

func post(server *standin.Server, text string) Request {
	return Request{Address: server.Address(), Method: http.MethodPost, Path: "/order", Body: []byte(text)}
}

// times counts how often a body has arrived, whole or in part.
func times(server *standin.Server, text string) int {
	count := 0
	for _, arrival := range server.Arrivals() {
		if strings.HasPrefix(text, string(arrival.Body)) && len(arrival.Body) > 0 {
			count++
		}
	}
	return count
}

// mustAnswer sends what is answered in order, and sees that the answer is its own.
func mustAnswer(client *Client, server *standin.Server, text string) {
	ctx, isOver := context.WithTimeout(context.Background(), mostPatience)
	defer isOver()
	answer, err := client.Do(ctx, post(server, text))
	So(err, ShouldBeNil)
	So(answer, ShouldResemble, Answer{Code: http.StatusOK, Body: []byte(text)})
	So(times(server, text), ShouldEqual, 1)
}

func TestOneRequestOneArrival(t *testing.T) {
	for _, each := range []struct {
		name      string
		behaviour standin.Behaviour
	}{
		{"reset before the body is read", standin.ResetBeforeBody}, {"reset in the body", standin.ResetInBody},
		{"reset after the body", standin.ResetAfterBody}, {"reset in the answer", standin.ResetInAnswer},
		{"half an answer's body", standin.HalfAnswer}, {"half an answer's head", standin.HalfHead},
	} {
		for _, isReused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, on a used connection: %v", each.name, isReused), func(t *testing.T) {
				Convey("The request arrives once, has no answer, and the next has its own on another connection", t, func() {
					var before []standin.Behaviour
					if isReused {
						before = append(before, standin.Answer)
					}
					server := serve(behave(append(before, each.behaviour)...))
					client := New(testLimits)
					Reset(func() { client.Close(); server.Close() })
					if isReused {
						mustAnswer(client, server, "request before")
					}
					_, err := client.Do(context.Background(), post(server, "request that fails"))
					So(errorx.IsOfType(err, Unanswered), ShouldBeTrue)
					mustAnswer(client, server, "request after")
					So(len(server.Arrivals()), ShouldEqual, len(before)+2)
					So(server.Connections(), ShouldEqual, 2)
				})
			})
		}
	}
}

func TestSilenceAndLateAnswers(t *testing.T) {
	Convey("A request that is given up is not sent again, and its late answer goes to nobody", t, func() {
		server := serve(behave(standin.Answer, standin.AnswerWhenTold))
		client := New(testLimits)
		Reset(func() { client.Close(); server.Close() })
		mustAnswer(client, server, "before")
		ctx, giveUp := context.WithCancel(context.Background())
		failed := make(chan error)
		go func() {
			_, err := client.Do(ctx, post(server, "given up"))
			failed <- err
		}()
		So((<-server.Arrived).Number, ShouldEqual, 1)
		So((<-server.Arrived).Number, ShouldEqual, 2)
		giveUp()
		So(errorx.IsOfType(<-failed, Unanswered), ShouldBeTrue)
		mustAnswer(client, server, "while the answer is still to come")
		server.Release()
		mustAnswer(client, server, "after")
		So(times(server, "given up"), ShouldEqual, 1)
		So(server.Connections(), ShouldEqual, 2)
	})
	Convey("What is given up before anything was written was not sent", t, func() {
		server := serve(behave())
		client := New(Limits{Connections: 1, Idle: 1, IdleTime: time.Hour, AnswerBytes: 10})
		Reset(func() { client.Close(); server.Close() })
		ctx, giveUp := context.WithCancel(context.Background())
		giveUp()
		_, err := client.Do(ctx, post(server, "never"))
		So(errorx.IsOfType(err, NotSent), ShouldBeTrue)
		mustAnswer(client, server, "before")
		_, err = client.Do(ctx, post(server, "never"))
		So(errorx.IsOfType(err, NotSent), ShouldBeTrue)
		So(times(server, "never"), ShouldEqual, 0)
	})
	Convey("So was what nobody listens for", t, func() {
		server := serve(behave())
		request := post(server, "to nobody")
		server.Close()
		_, err := New(testLimits).Do(context.Background(), request)
		So(errorx.IsOfType(err, NotSent), ShouldBeTrue)
	})
}

func TestConnectionsThatCarryMoreThanTheAnswer(t *testing.T) {
	for _, each := range []struct {
		name      string
		behaviour standin.Behaviour
	}{
		{"two answers", standin.AnswerTwice}, {"more bytes than it said", standin.AnswerLonger},
		{"the last by its own word", standin.AnswerAndClose}, {"no length", standin.AnswerUnframed},
	} {
		t.Run(each.name, func(t *testing.T) {
			Convey("The answer counts, and the connection isn't used again", t, func() {
				server := serve(behave(each.behaviour, each.behaviour))
				client := New(testLimits)
				Reset(func() { client.Close(); server.Close() })
				mustAnswer(client, server, "first")
				mustAnswer(client, server, "second")
				mustAnswer(client, server, "third")
				So(server.Connections(), ShouldEqual, 3)
			})
		})
	}
	Convey("Informational answers come before the one that counts", t, func() {
		server := serve(behave(standin.AnswerAfterNotices))
		client := New(testLimits)
		Reset(func() { client.Close(); server.Close() })
		mustAnswer(client, server, "first")
		mustAnswer(client, server, "second")
		So(server.Connections(), ShouldEqual, 1)
	})
	Convey("An answer that is longer than any should be counts as none", t, func() {
		server, err := standin.Serve("127.0.0.1:0", behave(), func(arrival standin.Arrival) (int, string) {
			return http.StatusOK, strings.Repeat("x", len(arrival.Body)*300)
		})
		So(err, ShouldBeNil)
		client := New(testLimits)
		Reset(func() { client.Close(); server.Close() })
		_, err = client.Do(context.Background(), post(server, "far too long"))
		So(errorx.IsOfType(err, Unanswered), ShouldBeTrue)
		answer, err := client.Do(context.Background(), post(server, "x"))
		So(err, ShouldBeNil)
		So(answer.Body, ShouldHaveLength, 300)
		So(server.Connections(), ShouldEqual, 2)
	})
}

func TestStraysOnIdleConnections(t *testing.T) {
	Convey("Bytes that come on an idle connection are no answer to what is asked next", t, func() {
		strays := make(chan net.Conn, 1)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		server := serve(behave())
		client := New(testLimits)
		Reset(func() { client.Close(); listener.Close(); server.Close() })
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				strays <- conn
			}
		}()
		p := client.peer(server.Address())
		stray, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		idle := newConnection(stray)
		idle.isWhole, idle.usedAt = true, client.now()
		So(idle.isQuiet(), ShouldBeTrue)
		client.keep(p, idle)
		peer := <-strays
		defer peer.Close()
		_, err = peer.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"))
		So(err, ShouldBeNil)
		for idle.isQuiet() {
			runtime.Gosched()
		}
		mustAnswer(client, server, "right")
	})
}

func TestPeersThatStartAnew(t *testing.T) {
	Convey("A request to a peer that has started anew on its address goes there once, on a fresh connection", t, func() {
		server := serve(behave())
		client := New(testLimits)
		mustAnswer(client, server, "to the first life")
		idle := client.peer(server.Address()).idle[0]
		server.Close()
		again, err := standin.Serve(server.Address(), behave(), echo)
		So(err, ShouldBeNil)
		Reset(func() { client.Close(); again.Close() })
		for idle.isQuiet() {
			runtime.Gosched()
		}
		mustAnswer(client, again, "to the second life")
		So(len(again.Arrivals()), ShouldEqual, 1)
	})
	Convey("So does one whose connection the peer has closed, or left unused for too long", t, func() {
		server := serve(behave(standin.AnswerThenClose))
		client := New(testLimits)
		now := time.Now()
		client.now = func() time.Time { return now }
		Reset(func() { client.Close(); server.Close() })
		mustAnswer(client, server, "first")
		idle := client.peer(server.Address()).idle[0]
		for idle.isQuiet() {
			runtime.Gosched()
		}
		mustAnswer(client, server, "second")
		now = now.Add(testLimits.IdleTime + 1)
		mustAnswer(client, server, "third")
		So(server.Connections(), ShouldEqual, 3)
		mustAnswer(client, server, "fourth")
		So(server.Connections(), ShouldEqual, 3)
	})
}

func TestManyAtOnce(t *testing.T) {
	Convey("Each of many requests at once gets its own answer, over as many connections as there may be", t, func() {
		server := serve(func(number int) standin.Behaviour {
			return []standin.Behaviour{standin.Answer, standin.AnswerTwice, standin.ResetAfterBody, standin.HalfAnswer}[number%4]
		})
		client := New(testLimits)
		Reset(func() { client.Close(); server.Close() })
		const many = 200
		wrong := make([]string, many)
		var all sync.WaitGroup
		for k := range many {
			all.Add(1)
			go func() {
				defer all.Done()
				text := fmt.Sprintf("request %d.", k)
				answer, err := client.Do(context.Background(), post(server, text))
				if err == nil && string(answer.Body) != text {
					wrong[k] = string(answer.Body)
				}
			}()
		}
		all.Wait()
		So(strings.Join(wrong, ""), ShouldEqual, "")
		So(len(server.Arrivals()), ShouldEqual, many)
		So(len(client.peer(server.Address()).idle), ShouldBeLessThanOrEqualTo, testLimits.Idle)
	})
}

func TestWhatCannotBeSent(t *testing.T) {
	Convey("A request that can't be written as it is meant isn't sent", t, func() {
		server := serve(behave())
		client := New(testLimits)
		Reset(func() { client.Close(); server.Close() })
		for _, spoil := range []func(*Request){
			func(request *Request) { request.Address = "no address" },
			func(request *Request) { request.Method = "PO ST" },
			func(request *Request) {
				request.Header = http.Header{"Some-Header": {"w\r\nContent-Length: 0"}}
			},
		} {
			request := post(server, "never")
			spoil(&request)
			_, err := client.Do(context.Background(), request)
			So(errorx.IsOfType(err, NotSent), ShouldBeTrue)
		}
		So(server.Arrivals(), ShouldBeEmpty)
	})
}
