package clusterstate

import (
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

// TestDelayedQueueRemoval guards against a delayed removal command that deletes a queue which was
// created after the command under the same name.
func TestDelayedQueueRemoval(t *testing.T) {
	Convey("Given a queue that was removed and created again under the same name", t, func() {
		m := New()
		now := int64(0)
		run := func(command *schema.ClusterStateCommand) *Result {
			now++
			return apply(m, now, command)
		}
		version := uint64(0)
		configure := func(queues ...string) {
			var rows []*schema.ConfigurationRow
			for _, queue := range queues {
				rows = append(rows, row("queue", queue, "urgency", "1"))
			}
			So(putVersion(m, version+1, version, "", rows...).Code, ShouldEqual, 200)
			version++
		}
		lease := run(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: "h"}}}).FencingToken
		place := func(command *schema.PlaceQueues) {
			command.FencingToken = lease
			So(run(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: command}}).Code, ShouldEqual, 200)
		}
		created := func() *schema.PlaceQueues {
			return &schema.PlaceQueues{Queues: []*schema.QueuePlacement{{Queue: "l", InitialVoters: []string{"a"}, PreferredLeader: "a"}}}
		}
		removed := func() *schema.PlaceQueues {
			return &schema.PlaceQueues{Removed: []string{"l#" + strconv.FormatUint(FindQueue(m.State(), "l").Generation, 10)}}
		}
		configure("l", "k")
		place(created())
		configure("k")
		first := removed()
		place(first)
		So(FindQueue(m.State(), "l"), ShouldBeNil)
		configure("l", "k")
		place(created())
		generation := FindQueue(m.State(), "l").Generation
		configure("k")
		Convey("a delayed removal of the former queue leaves the new one, whose jobs still run", func() {
			place(first)
			So(FindQueue(m.State(), "l").GetGeneration(), ShouldEqual, generation)
			Convey("and a removal that names the new queue's generation removes it", func() {
				place(removed())
				So(FindQueue(m.State(), "l"), ShouldBeNil)
			})
		})
		Convey("a removal from the log of an older version, which gives no generation, is still applied", func() {
			place(&schema.PlaceQueues{Removed: []string{"l"}})
			So(FindQueue(m.State(), "l"), ShouldBeNil)
		})
	})
}
