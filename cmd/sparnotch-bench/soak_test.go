package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/clusterstate"
	"sparnotch/internal/deployments"
	"sparnotch/internal/eventloop"
)

// TestSoak performs one short run with real processes. Longer runs are started by hand.
func TestSoak(t *testing.T) {
	bin := buildPrograms(t)
	Convey("A fleet under overlapping series of signals, restarts and changes breaks no rule", t, func() {
		c := &soakCommand{processes: 12, span: 8 * time.Second, bin: bin, folder: t.TempDir(), net: freeNetwork(t), withTenants: true}
		So(c.runSeed(context.Background(), 2, relaxedBounds), ShouldBeTrue)
	})
}

func TestSoakPlanFollowsFromItsSeed(t *testing.T) {
	Convey("The same seed draws the same plan, with at most so many processes", t, func() {
		isLarge := false
		for seed := range uint64(100) {
			plan := drawSoakPlan(seed, 10*time.Second, 60, true)
			So(plan, ShouldResemble, drawSoakPlan(seed, 10*time.Second, 60, true))
			So(plan.nodeCount(), ShouldBeLessThanOrEqualTo, 60)
			So(plan.deployment.Gateways, ShouldBeGreaterThanOrEqualTo, storageNodeCount)
			isLarge = isLarge || plan.nodeCount() == 60
		}
		So(isLarge, ShouldBeTrue)
	})
	Convey("Every process that a series ends or freezes, it also starts or resumes", t, func() {
		for seed := range uint64(100) {
			for _, series := range drawSoakPlan(seed, 10*time.Second, 60, true).series {
				last := map[int]soakAction{}
				for _, step := range series.steps {
					last[step.node] = step.action
				}
				for _, action := range last {
					So(action, ShouldBeIn, actionStart, actionThaw, actionFlushLog)
				}
			}
		}
	})
}

// TestSoakCrashesDontOverlap guards against soaks in which two processes of one worker run at
// once, because the worker was crashed again while it was down, and both crashes restarted it.
func TestSoakCrashesDontOverlap(t *testing.T) {
	Convey("A worker isn't crashed while it is down from another crash", t, func() {
		for seed := range uint64(4000) {
			crashes := drawSoakPlan(seed, 12*time.Second, 40, true).crashes
			for k, crash := range crashes {
				for _, other := range crashes[:k] {
					So(crash.worker == other.worker && crash.at < other.at+other.duration && other.at < crash.at+crash.duration, ShouldBeFalse)
				}
			}
		}
	})
}

func TestSessionKeepsItsConnection(t *testing.T) {
	Convey("A session calls one gateway node, unready or not, until that gives no answer", t, func() {
		code := http.StatusServiceUnavailable
		keys := map[string]string{}
		serve := func() *httptest.Server {
			return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				keys[r.Host] = r.Header.Get("Authorization")
				w.WriteHeader(code)
			}))
		}
		first, second := serve(), serve()
		defer second.Close()
		address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
		balancer := newLoadBalancer([]*endpoint{{address: address(first), zone: "c1", isReady: true}, {address: address(second), zone: "c1"}})
		f := &fleet{balancer: balancer, history: &history{clock: eventloop.RealClock()}}
		book := &keyBook{}
		s := newSession("c0", "a", "c1", "old", f, book)
		call := func() (int32, error) {
			reply, err := s.send(context.Background(), requestTimeout, request{method: "GET", address: s.pick("c1"), path: "/", key: s.key()})
			return reply.code, err
		}
		answered, err := call()
		So(err, ShouldBeNil)
		So(answered, ShouldEqual, http.StatusServiceUnavailable)
		balancer.endpoints[0].isReady, balancer.endpoints[1].isReady = false, true
		So(s.pick("c1"), ShouldEqual, address(first))
		first.Close()
		_, err = call()
		So(err, ShouldNotBeNil)
		So(s.pick("c1"), ShouldEqual, address(second))
		Convey("and takes its tenant's newest key once its own is refused", func() {
			book.accept(map[string][]string{"a": {"older", "newer"}})
			code = http.StatusUnauthorized
			_, err := call()
			So(err, ShouldBeNil)
			So(keys[address(second)], ShouldEqual, "Token old")
			_, err = call()
			So(err, ShouldBeNil)
			So(keys[address(second)], ShouldEqual, "Token newer")
		})
	})
}

// TestClientCancelsWhatItGivesUp guards against soaks in which no client cancels a job whose
// submission may still be on its way.
func TestClientCancelsWhatItGivesUp(t *testing.T) {
	Convey("A client that gives up after an unclear answer cancels the job, and submits it no more", t, func() {
		var calls []string
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls = append(calls, r.Method+" "+r.URL.Path)
			w.WriteHeader(map[string]int{"PUT": http.StatusGatewayTimeout, "POST": http.StatusNotFound}[r.Method])
		}))
		defer server.Close()
		balancer := newLoadBalancer([]*endpoint{{address: strings.TrimPrefix(server.URL, "http://"), zone: "c1", isReady: true}})
		f := &fleet{balancer: balancer, history: &history{clock: eventloop.RealClock()}}
		jobType := deployments.All[0].JobTypes[0]
		c := newClients(balancer, f.history, "p")
		c.stats[jobType.Name] = &jobStats{codes: map[int32]int{}}
		j := &clientJob{
			clients: c, requester: newSession("c0", "a", "c1", "", f, &keyBook{}), jobType: jobType,
			zone: "c1", client: "c0", name: "j", givesUp: true,
		}
		j.run(context.Background())
		path := "/v1/queues/" + j.jobType.Queue + "/jobs/j"
		So(calls, ShouldResemble, []string{"PUT " + path, "POST " + path + "/cancel"})
		So(*c.stats[jobType.Name], ShouldResemble, jobStats{sent: 1, givenUp: 1, codes: map[int32]int{504: 1}, refusalTimes: c.stats[jobType.Name].refusalTimes})
	})
}

func TestSoakConfigurationsAreValid(t *testing.T) {
	Convey("Every configuration that an operator draws is valid, and each tenant keeps a key", t, func() {
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 2))
			c := drawConfiguration(rng, deployments.All[0].ConfigRows(), "quotes", true)
			for range 30 {
				So(clusterstate.ValidateRows(c.rows()), ShouldBeNil)
				So(clusterstate.ValidateRows(c.labels.named(c.rows())), ShouldBeNil)
				c.change(rng)
				for _, keys := range c.keys() {
					So(len(keys), ShouldBeBetweenOrEqual, 1, maxKeysPerTenant)
				}
			}
			operator := &soakOperator{configuration: c, rng: rng}
			So(clusterstate.ValidateRows(operator.invalidRows()), ShouldNotBeNil)
		}
	})
}
