package clusterstate

import (
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

func TestLateWordOfAQueueThatIsToGo(t *testing.T) {
	Convey("Given a queue that was dropped, ended, and made anew under its name", t, func() {
		m := New()
		at := int64(0)
		do := func(command *schema.ClusterStateCommand) *Result {
			at++
			return apply(m, at, command)
		}
		number := uint64(0)
		table := func(lanes ...string) {
			var rows []*schema.ConfigurationRow
			for _, lane := range lanes {
				rows = append(rows, row("queue", lane, "urgency", "1"))
			}
			So(putVersion(m, number+1, number, "", rows...).Code, ShouldEqual, 200)
			number++
		}
		lease := do(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_ClaimControllerLease{ClaimControllerLease: &schema.ClaimControllerLease{Holder: "h"}}}).FencingToken
		lanes := func(command *schema.PlaceQueues) {
			command.FencingToken = lease
			So(do(&schema.ClusterStateCommand{Body: &schema.ClusterStateCommand_PlaceQueues{PlaceQueues: command}}).Code, ShouldEqual, 200)
		}
		place := func() *schema.PlaceQueues {
			return &schema.PlaceQueues{Queues: []*schema.QueuePlacement{{Queue: "l", InitialVoters: []string{"a"}, PreferredLeader: "a"}}}
		}
		gone := func() *schema.PlaceQueues {
			return &schema.PlaceQueues{Removed: []string{"l#" + strconv.FormatUint(FindQueue(m.State(), "l").Generation, 10)}}
		}
		table("l", "k")
		lanes(place())
		table("k")
		first := gone()
		lanes(first)
		So(FindQueue(m.State(), "l"), ShouldBeNil)
		table("l", "k")
		lanes(place())
		anew := FindQueue(m.State(), "l").Generation
		table("k")
		Convey("the word that the former was to go, come late, leaves the new one, whose jobs still run", func() {
			lanes(first)
			So(FindQueue(m.State(), "l").GetGeneration(), ShouldEqual, anew)
			Convey("and it goes by its own", func() {
				lanes(gone())
				So(FindQueue(m.State(), "l"), ShouldBeNil)
			})
		})
		Convey("a log of an older program, which has the bare name, does what it did", func() {
			lanes(&schema.PlaceQueues{Removed: []string{"l"}})
			So(FindQueue(m.State(), "l"), ShouldBeNil)
		})
	})
}
