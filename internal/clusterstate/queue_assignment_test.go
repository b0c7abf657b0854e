package clusterstate

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// routeRows returns the rows of a queue with a route for any host.
func routeRows(label, prefix string) []*schema.ConfigurationRow {
	return []*schema.ConfigurationRow{row("queue", label, "prefix", prefix), row("queue", label, "urgency", "5")}
}

// operatorState is a cluster state that is updated as its leader would do it, by operators who
// give names to routes.
type operatorState struct {
	*StateMachine
	lease uint64
}

func newOperatorState() *operatorState {
	s := &operatorState{StateMachine: New()}
	s.lease = apply(s.StateMachine, 1, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{
		ClaimControllerLease: &schema.ClaimControllerLease{Holder: "h"},
	}}).FencingToken
	return s
}

// whole returns an update to the next version with the given routes, each in the form NAME=PREFIX.
func (s *operatorState) whole(routes ...string) *schema.ConfigurationUpdate {
	version := s.Configuration().Version
	update := &schema.ConfigurationUpdate{Version: version + 1, BaseVersion: version, Document: []byte(fmt.Sprintf(`{"content":%q}`, strings.Join(routes, " "))), NamesAreLabels: proto.Bool(true)}
	for _, definition := range routes {
		name, prefix, _ := strings.Cut(definition, "=")
		update.Rows = append(update.Rows, routeRows(name, prefix)...)
	}
	return update
}

// patch returns a patch that removes routes, given by name, and sets routes in the form
// NAME=PREFIX.
func (s *operatorState) patch(removed []string, routes ...string) *schema.ConfigurationUpdate {
	update := s.whole(routes...)
	update.IsPatch = true
	for _, definition := range append(slices.Clone(removed), routes...) {
		name, _, _ := strings.Cut(definition, "=")
		update.Removed = append(update.Removed, item("queue", name))
	}
	return update
}

// submit applies an update as the leader appends it to the log, and returns the status code.
func (s *operatorState) submit(update *schema.ConfigurationUpdate) int32 {
	return apply(s.StateMachine, 1, updateCommand(s.AssignNames(update))).Code
}

// put makes the given routes the whole configuration and has the controller place their queues.
func (s *operatorState) put(routes ...string) {
	So(s.submit(s.whole(routes...)), ShouldEqual, 200)
	s.place()
}

func (s *operatorState) place() {
	command := &schema.PlaceQueues{FencingToken: s.lease}
	for _, queue := range s.Values().Queues() {
		command.Queues = append(command.Queues, &schema.QueuePlacement{Queue: queue, InitialVoters: []string{"a"}})
	}
	So(apply(s.StateMachine, 1, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: command}}).Code, ShouldEqual, 200)
}

// remove has the controller remove a queue that has no jobs.
func (s *operatorState) remove(queue string) {
	command := &schema.PlaceQueues{FencingToken: s.lease, Removed: []string{queue}}
	So(apply(s.StateMachine, 1, &schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: command}}).Code, ShouldEqual, 200)
}

// queueAt returns the queue to which a prefix leads, or "" if there is none.
func (s *operatorState) queueAt(prefix string) string {
	queue, _, _ := s.Values().MatchRoute("any.example", prefix+"job")
	return queue
}

// TestRenamedRouteKeepsItsQueue guards against a route that leads to another queue, which knows
// none of its jobs, after the operator gave it another name.
func TestRenamedRouteKeepsItsQueue(t *testing.T) {
	Convey("Given a route with a queue", t, func() {
		s := newOperatorState()
		s.put("quotes=/q/", "other=/o/")
		queue, other := s.queueAt("/q/"), s.queueAt("/o/")
		So(queue, ShouldEqual, "quotes")
		Convey("another name, and the former name again, keep the queue and its settings", func() {
			s.put("rates=/q/", "other=/o/")
			So(s.queueAt("/q/"), ShouldEqual, queue)
			So(s.Values().Number("queue", queue, "urgency"), ShouldEqual, 5)
			So(labelOf(s.Configuration().Rows[0]), ShouldEqual, "rates")
			So(len(s.State().Queues), ShouldEqual, 2)
			s.put("quotes=/q/", "other=/o/")
			So(s.queueAt("/q/"), ShouldEqual, queue)
		})
		Convey("a patch that removes the name and adds another keeps the queue", func() {
			So(s.submit(s.patch([]string{"quotes"}, "rates=/q/")), ShouldEqual, 200)
			So(s.queueAt("/q/"), ShouldEqual, queue)
			So(s.queueAt("/o/"), ShouldEqual, other)
			Convey("and so does a patch of the route under its new name", func() {
				So(s.submit(s.patch(nil, "rates=/q/")), ShouldEqual, 200)
				So(s.queueAt("/q/"), ShouldEqual, queue)
			})
			Convey("and a patch that removes the new name removes the route", func() {
				So(s.submit(s.patch([]string{"rates"})), ShouldEqual, 200)
				So(s.queueAt("/q/"), ShouldEqual, "")
			})
			Convey("and a patch that removes the former name, which is still the queue's, removes nothing", func() {
				So(s.submit(s.patch([]string{"quotes"})), ShouldEqual, 200)
				So(s.queueAt("/q/"), ShouldEqual, queue)
			})
			Convey("and a patch that gives its route to a second name is invalid", func() {
				So(s.submit(s.patch(nil, "quotes=/q/")), ShouldEqual, 422)
			})
		})
		Convey("two routes that exchange their names keep their queues", func() {
			s.put("other=/q/", "quotes=/o/")
			So(s.queueAt("/q/"), ShouldEqual, queue)
			So(s.queueAt("/o/"), ShouldEqual, other)
			So(s.submit(s.patch(nil, "other=/o/", "quotes=/q/")), ShouldEqual, 200)
			So(s.queueAt("/q/"), ShouldEqual, queue)
			So(s.queueAt("/o/"), ShouldEqual, other)
		})
		Convey("a route that is gone for some versions leads to its queue again while the queue is placed", func() {
			for k := range 2 * maxHistory {
				s.put("other=/o/", fmt.Sprintf("more=/m%d/", k))
			}
			s.put("other=/o/", "rates=/q/")
			So(s.queueAt("/q/"), ShouldEqual, queue)
			So(s.State().FormerQueues, ShouldHaveLength, 2*maxHistory)
		})
		Convey("a route whose queue was removed gets a new queue", func() {
			s.put("other=/o/")
			So(s.State().FormerQueues, ShouldHaveLength, 1)
			s.remove("quotes")
			So(s.State().FormerQueues, ShouldBeEmpty)
			s.put("other=/o/", "rates=/q/")
			So(s.queueAt("/q/"), ShouldEqual, "rates")
		})
		Convey("a whole configuration with a route twice is invalid", func() {
			So(s.submit(s.whole("quotes=/q/", "rates=/q/")), ShouldEqual, 422)
		})
	})
}

// TestMovedNameGetsAnotherQueue guards against jobs of a route that are answered at another route
// to which the operator gave its name.
func TestMovedNameGetsAnotherQueue(t *testing.T) {
	Convey("Given a route with a queue", t, func() {
		s := newOperatorState()
		s.put("quotes=/q/")
		Convey("its name at another route belongs to another queue", func() {
			s.put("quotes=/new/")
			moved := s.queueAt("/new/")
			So(moved, ShouldNotEqual, "quotes")
			So(IsValidName(moved), ShouldBeTrue)
			s.put("quotes=/new/", "again=/q/")
			So(s.queueAt("/q/"), ShouldEqual, "quotes")
			So(s.queueAt("/new/"), ShouldEqual, moved)
		})
		Convey("a patch does the same", func() {
			So(s.submit(s.patch(nil, "quotes=/new/")), ShouldEqual, 200)
			So(s.queueAt("/new/"), ShouldNotBeIn, "", "quotes")
			So(s.queueAt("/q/"), ShouldEqual, "")
		})
		Convey("a name of the greatest length gets a valid name too", func() {
			long := strings.Repeat("a", maxNameBytes)
			s.put(long + "=/q/")
			s.put(long + "=/1/")
			s.put(long+"=/2/", "b=/1/")
			So(s.queueAt("/q/"), ShouldEqual, "")
			So(s.queueAt("/1/"), ShouldEqual, long)
			So(s.queueAt("/2/"), ShouldNotEqual, long)
			So(IsValidName(s.queueAt("/2/")), ShouldBeTrue)
		})
	})
}

// TestRetriedPatchOfRenamedRoute guards against a patch that is refused when it is sent again
// after a lost answer, because the leader changed its names before it was accepted.
func TestRetriedPatchOfRenamedRoute(t *testing.T) {
	Convey("A patch of a renamed route is recognized when it is sent again", t, func() {
		s := newOperatorState()
		s.put("quotes=/q/")
		s.put("rates=/q/")
		patch := s.patch([]string{"rates"}, "third=/q/")
		So(s.submit(patch), ShouldEqual, 200)
		So(s.submit(patch), ShouldEqual, 200)
		s.put("fourth=/q/")
		So(s.submit(patch), ShouldEqual, 200)
		So(s.queueAt("/q/"), ShouldEqual, "quotes")
		rival := s.patch([]string{"fourth"}, "fifth=/q/")
		rival.BaseVersion--
		So(s.submit(rival), ShouldEqual, 412)
	})
}

// TestQueuesOfOlderVersions guards against queues that are lost when the software is upgraded:
// an older version identified queues by the names of their routes, and kept no former queues.
func TestQueuesOfOlderVersions(t *testing.T) {
	Convey("Given the state of an older version, with a route that was removed", t, func() {
		s := newOperatorState()
		s.put("quotes=/q/", "other=/o/")
		s.put("other=/o/")
		older := s.State()
		older.FormerQueues = nil
		data, err := proto.Marshal(older)
		So(err, ShouldBeNil)
		restored, err := Restore(data)
		So(err, ShouldBeNil)
		s.StateMachine = restored
		Convey("its queues are found at their routes under other names", func() {
			s.put("a=/o/", "b=/q/")
			So(s.queueAt("/o/"), ShouldEqual, "other")
			So(s.queueAt("/q/"), ShouldEqual, "quotes")
		})
		Convey("a snapshot of this version is restored unchanged", func() {
			again, err := Restore(s.Snapshot())
			So(err, ShouldBeNil)
			So(string(again.Snapshot()), ShouldEqual, string(s.Snapshot()))
		})
		Convey("an update whose names aren't labels names queues itself", func() {
			update := s.whole("a=/o/")
			update.NamesAreLabels = proto.Bool(false)
			So(s.submit(update), ShouldEqual, 200)
			So(s.queueAt("/o/"), ShouldEqual, "a")
		})
		Convey("an update of an older process keeps the queues of its routes", func() {
			update := s.whole("a=/o/", "other=/n/")
			update.NamesAreLabels = nil
			So(s.submit(update), ShouldEqual, 200)
			So(s.queueAt("/o/"), ShouldEqual, "other")
			So(s.queueAt("/n/"), ShouldNotEqual, "other")
			Convey("and so does a patch", func() {
				patch := s.patch([]string{"a"}, "b=/o/")
				patch.NamesAreLabels = nil
				So(s.submit(patch), ShouldEqual, 200)
				So(s.queueAt("/o/"), ShouldEqual, "other")
			})
			Convey("but not if callers know a queue of it by its name", func() {
				update := s.whole("b=/o/")
				update.NamesAreLabels = nil
				update.Rows = append(update.Rows, row("queue", "plain", "urgency", "1"))
				So(s.submit(update), ShouldEqual, 200)
				So(s.queueAt("/o/"), ShouldEqual, "b")
			})
		})
		Convey("a replica of an older version applies the same rows", func() {
			replica := &StateMachine{state: s.State()}
			update := s.AssignNames(s.whole("a=/o/", "b=/q/"))
			So(apply(s.StateMachine, 1, updateCommand(update)).Code, ShouldEqual, 200)
			replica.state.FormerQueues = nil
			So(apply(replica, 1, updateCommand(update)).Code, ShouldEqual, 200)
			So(EqualRows(replica.Configuration().Rows, s.Configuration().Rows), ShouldBeTrue)
		})
	})
}

// TestQueueWithoutRoute guards against a queue that callers know by its name and that gets
// another one.
func TestQueueWithoutRoute(t *testing.T) {
	Convey("A queue without a route keeps its name", t, func() {
		s := newOperatorState()
		update := s.whole("quotes=/q/")
		update.Rows = append(update.Rows, row("queue", "plain", "urgency", "1"))
		So(s.submit(update), ShouldEqual, 200)
		So(s.Values().HasQueue("plain"), ShouldBeTrue)
		Convey("an edit by revision names queues itself", func() {
			revision := s.Configuration().Revision
			edit := &schema.ConfigurationUpdate{BaseRevision: &revision, Rows: routeRows("rates", "/q/")}
			So(s.submit(edit), ShouldEqual, 200)
			So(s.queueAt("/q/"), ShouldEqual, "rates")
		})
		Convey("unless it says that it identifies them by their routes; then it is recognized when it is sent again", func() {
			revision := s.Configuration().Revision
			edit := &schema.ConfigurationUpdate{BaseRevision: &revision, Rows: routeRows("rates", "/q/"), NamesAreLabels: proto.Bool(true)}
			So(s.submit(edit), ShouldEqual, 200)
			So(s.queueAt("/q/"), ShouldEqual, "quotes")
			So(s.submit(edit), ShouldEqual, 200)
			So(s.Configuration().Revision, ShouldEqual, revision+1)
		})
	})
}

// TestEditKeepsLabels guards against an operator who can't change a route any more after somebody
// has edited the configuration by hand: the edit, which goes by the names that the cluster uses,
// must not make the cluster forget the operator's own.
func TestEditKeepsLabels(t *testing.T) {
	Convey("Given a route with another name than its queue, and an edit by the queue's name", t, func() {
		s := newOperatorState()
		s.put("quotes=/q/", "other=/o/")
		s.put("rates=/q/", "other=/o/")
		revision := s.Configuration().Revision
		edit := &schema.ConfigurationUpdate{BaseRevision: &revision, Rows: append(routeRows("quotes", "/q/"), routeRows("other", "/o/")...)}
		edit.Rows[1].Value = "9"
		So(s.submit(edit), ShouldEqual, 200)
		So(s.Values().Number("queue", "quotes", "urgency"), ShouldEqual, 9)
		Convey("a patch still finds the route by the operator's name", func() {
			So(s.submit(s.patch([]string{"rates"}, "third=/q/")), ShouldEqual, 200)
			So(s.queueAt("/q/"), ShouldEqual, "quotes")
			So(s.submit(s.patch([]string{"third"})), ShouldEqual, 200)
			So(s.Values().HasQueue("quotes"), ShouldBeFalse)
		})
		Convey("and so does one after an edit by patch", func() {
			revision := s.Configuration().Revision
			edit := &schema.ConfigurationUpdate{BaseRevision: &revision, IsPatch: true, Rows: []*schema.ConfigurationRow{row("queue", "quotes", "target_ms", "700")}}
			So(s.submit(edit), ShouldEqual, 200)
			So(s.submit(s.patch([]string{"rates"})), ShouldEqual, 200)
			So(s.Values().HasQueue("quotes"), ShouldBeFalse)
		})
	})
}
