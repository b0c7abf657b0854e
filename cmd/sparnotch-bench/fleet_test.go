package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/checker"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// relaxedBounds allows for other load on the machine that runs the tests: the limits on
// latencies are so large that only the events themselves are checked.
var relaxedBounds = checker.Tolerances{
	Retention: 100 * eventloop.Second, EarlyStart: checker.DefaultTolerances.EarlyStart, Drain: 120 * eventloop.Second, Cancel: 120 * eventloop.Second, Stop: 120 * eventloop.Second,
	Propagation: 120 * eventloop.Second, Recovery: 300 * eventloop.Second, GangStart: 120 * eventloop.Second, LossDetection: eventloop.Second, GatewayReady: 300 * eventloop.Second,
}

// buildPrograms builds sparnotch and sparnotchctl and returns the folder of the programs.
func buildPrograms(t *testing.T) string {
	bin := t.TempDir()
	command := exec.Command("go", "build", "-o", bin, "sparnotch/cmd/sparnotch", "sparnotch/cmd/sparnotchctl")
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("the programs could not be built: %v: %s", err, out)
	}
	return bin
}

// freeNetwork returns the first three numbers of loopback addresses that no other process
// listens on.
func freeNetwork(t *testing.T) string {
	for k := 0; k < 200; k++ {
		prefix := fmt.Sprintf("127.0.%d", 20+(os.Getpid()+k)%200)
		listener, err := net.Listen("tcp", prefix+".1:7400")
		if err != nil {
			continue
		}
		listener.Close()
		return prefix
	}
	t.Fatal("no loopback addresses are free")
	return ""
}

func TestFleet(t *testing.T) {
	bin := buildPrograms(t)
	Convey("A fleet accepts jobs, loses its leader to a kill -9, and loses nothing else", t, func() {
		c := &fleetCommand{duration: 8 * time.Second, bin: bin, folder: t.TempDir(), net: freeNetwork(t), rate: 1, seed: 1}
		p, err := deployments.Find("bank")
		So(err, ShouldBeNil)
		faults, err := parseFaults("race@1s,kill:1s@2s,leave@5s,mute:2s@6s")
		So(err, ShouldBeNil)
		So(c.run(context.Background(), c.newFleet(p), faults, relaxedBounds), ShouldBeTrue)
	})
}

func TestDaemonSettings(t *testing.T) {
	bin := buildPrograms(t)
	validArgs := []string{"-cell", "c1", "-inner", "127.0.0.1:1", "-outer", "127.0.0.1:2", "-seeds", "127.0.0.1:3,127.0.0.1:4,127.0.0.1:5"}
	// without returns the valid arguments without one flag, followed by others.
	without := func(name string, more ...string) []string {
		var args []string
		for k := 0; k < len(validArgs); k += 2 {
			if validArgs[k] != name {
				args = append(args, validArgs[k], validArgs[k+1])
			}
		}
		return append(args, more...)
	}
	file := filepath.Join(t.TempDir(), "options.json")
	Convey("A bad setting stops the start with code 2 and its name; valid ones pass", t, func() {
		So(os.WriteFile(file, []byte(`{"cell":"c9","speed":3}`), 0o600), ShouldBeNil)
		for _, test := range []struct {
			daemon, field string
			args          []string
		}{
			{"server", "cell", without("-cell")},
			{"server", "inner", without("-inner")},
			{"server", "inner", without("-inner", "-inner", "localhost:7")},
			{"server", "outer", without("-outer", "-outer", "127.0.0.1:99999")},
			{"server", "seeds", without("-seeds")},
			{"server", "seeds[2]", without("-seeds", "-seeds", "127.0.0.1:3,127.0.0.1:4,127.0.0.1:4")},
			{"server", "warn_us", without("", "-warn_us", "5")},
			{"server", "speed", without("", "-options", file)},
			{"controller", "cell", without("-cell")},
		} {
			command := exec.Command(filepath.Join(bin, "sparnotch"), append([]string{test.daemon}, test.args...)...)
			out, err := command.CombinedOutput()
			So(err, ShouldNotBeNil)
			So(command.ProcessState.ExitCode(), ShouldEqual, 2)
			So(string(out), ShouldContainSubstring, test.field)
		}
		command := exec.Command(filepath.Join(bin, "sparnotch"), append([]string{"check-server"}, validArgs...)...)
		So(command.Run(), ShouldBeNil)
	})
	Convey("A flag wins over the file", t, func() {
		So(os.WriteFile(file, []byte(`{"cell":"Not A Cell"}`), 0o600), ShouldBeNil)
		args := append([]string{"check-server", "-options", file}, validArgs...)
		So(exec.Command(filepath.Join(bin, "sparnotch"), args...).Run(), ShouldBeNil)
		args = append([]string{"check-server", "-options", file}, without("-cell")...)
		So(exec.Command(filepath.Join(bin, "sparnotch"), args...).Run(), ShouldNotBeNil)
	})
}

// callUntilAnswered sends a request to a gateway node until the answer is final or the
// context ends. It returns the HTTP status (0: no answer) and the error in the answer.
func callUntilAnswered(ctx context.Context, f *fleet, method, path, body string) (int32, *schema.Error) {
	for ctx.Err() == nil {
		code, data, err := f.balancer.call(ctx, 10*time.Second, method, f.gateways[4].httpAddress, path, []byte(body), "")
		if err == nil && code != http.StatusServiceUnavailable && code != http.StatusGatewayTimeout {
			failure := &schema.Error{}
			_ = json.Unmarshal(data, failure)
			return code, failure
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return 0, &schema.Error{}
}

// readRevision returns the revision of the fleet's configuration, or 0 if that could not
// be read before the context ended.
func readRevision(ctx context.Context, f *fleet) uint64 {
	for ctx.Err() == nil {
		code, data, err := f.balancer.call(ctx, operatorTimeout, "GET", f.gateways[4].httpAddress, configPath, nil, "")
		config := &schema.Configuration{}
		if err == nil && code == http.StatusOK && protojson.Unmarshal(data, config) == nil {
			return config.Revision
		}
		sleep(ctx, operatorRetry)
	}
	return 0
}

// TestBadInput checks the answers to invalid requests of clients and operators.
func TestBadInput(t *testing.T) {
	bin := buildPrograms(t)
	Convey("Invalid requests are answered with a code and the field", t, func() {
		c := &fleetCommand{bin: bin, folder: t.TempDir(), net: freeNetwork(t)}
		p := *deployments.All[0]
		p.Agents = 1
		f := c.newFleet(&p)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		Reset(func() { So(f.stop(), ShouldBeTrue) })
		So(f.start(ctx), ShouldBeNil)
		call := func(method, path, body string) (int32, *schema.Error) {
			return callUntilAnswered(ctx, f, method, path, body)
		}
		// The gateway nodes receive the configuration a moment after its acceptance. Until
		// then they don't know the queue.
		for ctx.Err() == nil {
			if _, failure := call("GET", "/v1/queues/quotes/jobs/nobody", ""); failure.Code == "unknown_job" {
				break
			}
			sleep(ctx, 50*time.Millisecond)
		}
		job := func(step string) string { return `{"text":"x","steps":[` + step + `]}` }
		validStep := `{"name":"a","tasks":1,"cores_milli":10}`
		for _, test := range []struct {
			body  string
			code  int32
			field string
		}{
			{`{"text":`, 400, ""},
			{job(validStep) + "more", 400, ""},
			{`{"steps":[{"name":"a","tasks":1,"cores_milli":1,"speed":1}]}`, 400, "speed"},
			{`{"text":5}`, 400, "text"},
			{`{"text":"x"}`, 422, "steps"},
			{job(`{"name":"a","tasks":0,"cores_milli":1}`), 422, "steps[0].tasks"},
			{job(`{"name":"a","tasks":-1,"cores_milli":1}`), 422, "steps.tasks"},
			{job(`{"name":"a","tasks":99999999,"cores_milli":1}`), 422, "steps[0].tasks"},
			{job(`{"name":"a","tasks":1,"cores_milli":0}`), 422, "steps[0].cores_milli"},
			{job(`{"name":"a","tasks":1,"cores_milli":1,"after":["b"]}`), 422, "steps[0].after[0]"},
			{job(`{"name":"a","tasks":1,"cores_milli":1,"after":["b"]},{"name":"b","tasks":1,"cores_milli":1,"after":["a"]}`), 422, "steps[1].after[0]"},
			{job(`{"name":"a","tasks":1,"cores_milli":64001}`), 422, "steps[0].cores_milli"},
			{`{"text":"` + strings.Repeat("x", 300<<10) + `"}`, 413, ""},
			{job(validStep), 201, ""},
			{job(validStep), 200, ""},
			{`{"text":"y","steps":[` + validStep + `]}`, 409, "name"},
		} {
			code, failure := call("PUT", "/v1/queues/quotes/jobs/j", test.body)
			So(code, ShouldEqual, test.code)
			So(failure.Field, ShouldEqual, test.field)
		}
		code, _ := call("PUT", "/v1/queues/nope/jobs/j", job(validStep))
		So(code, ShouldEqual, 404)
		code, _ = call("GET", "/v1/queues/quotes/jobs/nobody", "")
		So(code, ShouldEqual, 404)
		code, _ = call("PUT", "/v1/plan", `{"rows":[]}`)
		So(code, ShouldEqual, 428)
		// The operator that started the fleet repeats an application that got no answer, so
		// the revision may be above 1.
		current := readRevision(ctx, f)
		So(current, ShouldBeGreaterThanOrEqualTo, 1)
		code, failure := call("PUT", "/v1/plan", `{"generation":0,"rows":[]}`)
		So(code, ShouldEqual, 412)
		So(failure.Current, ShouldEqual, current)
		onCurrent := func(content string) string { return fmt.Sprintf(`{"generation":%d,%s}`, current, content) }
		code, failure = call("PUT", "/v1/plan", onCurrent(`"rows":[{"kind":"queue","name":"x","key":"urgency","value":"101"}]`))
		So(code, ShouldEqual, 422)
		So(failure.Field, ShouldEqual, "rows[0].value")
		code, failure = call("PATCH", "/v1/plan", onCurrent(`"removed":[{"kind":"queue","name":"gone"}],"rows":[{"kind":"queue","name":"x","key":"urgency","value":"101"}]`))
		So(code, ShouldEqual, 422)
		So(failure.Field, ShouldEndWith, "value")
		code, failure = call("PATCH", "/v1/plan", `{"generation":0,"rows":[]}`)
		So(code, ShouldEqual, 412)
		So(failure.Current, ShouldEqual, current)
		code, _ = call("PATCH", "/v1/plan", onCurrent(`"rows":[{"kind":"rack","name":"r9","key":"weight","value":"90"}]`))
		So(code, ShouldEqual, 200)
		code, failure = call("PUT", "/v1/plan", `{"generation":0,"rows":[]}`)
		So(code, ShouldEqual, 412)
		So(failure.Current, ShouldEqual, current+1)
		code, _ = call("POST", "/v1/workers/w/announce", `{"seq":1}`)
		So(code, ShouldEqual, 422)
		Convey("and garbage on the internal port does no harm", func() {
			conn, err := net.Dial("tcp", f.gateways[4].internalAddress)
			So(err, ShouldBeNil)
			_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
			So(err, ShouldBeNil)
			conn.SetReadDeadline(time.Now().Add(time.Minute))
			_, err = conn.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			conn.Close()
			code, _ := call("GET", "/v1/queues/quotes/jobs/j", "")
			So(code, ShouldEqual, 200)
		})
	})
}

func TestInvalidHistories(t *testing.T) {
	complete := "{\"at\":1,\"kind\":\"fault\"}\n{\"at\":2,\"kind\":\"close\"}\n"
	path := filepath.Join(t.TempDir(), "history.jsonl")
	Convey("A truncated or foreign history is an error with its line", t, func() {
		for text, line := range map[string]string{
			complete: "", complete[:len(complete)-20]: "line 2", complete[:24]: "line 2: cut off", "": "line 1: cut off",
			"{\"at\":1}\n" + complete: "line 1: not an event", complete + "hello\n": "line 3: not an event",
			"{\"at\":5,\"kind\":\"fault\"}\n" + complete: "line 2: earlier", "{\"at\":1,\"kind\":\"fault\",\"mood\":2}\n" + complete: "line 1: not an event",
		} {
			So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
			_, err := readHistory(path)
			if line == "" {
				So(err, ShouldBeNil)
				continue
			}
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, line)
		}
	})
}
