package replica

import (
	"encoding/json"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

func TestConfigurationDocument(t *testing.T) {
	Convey("The configuration's document is read from the leader alone, and isn't copied to other processes", t, func() {
		c := newTestCluster()
		reply := c.putConfiguration(queuesUpdate(1, "the document", "l"))
		So(reply.Code, ShouldEqual, 200)
		So(c.putConfiguration(queuesUpdate(2, "another", "l")).Code, ShouldEqual, 200)
		configuration := &schema.Configuration{}
		So(protojson.Unmarshal(c.request("plan", nil).Body, configuration), ShouldBeNil)
		So(string(configuration.Document), ShouldEqual, "another")
		So(configuration.Version, ShouldEqual, 2)
		c.run(300 * eventloop.Millisecond)
		for _, id := range nodeIDs {
			c.step(id, "f", &schema.ClusterStateRequest{})
		}
		c.run(10 * eventloop.Millisecond)
		updates := append([]any{}, c.received["f"]...)
		for _, id := range nodeIDs {
			updates = append(updates, c.received[id+"/gateway"]...)
		}
		count := 0
		for _, body := range updates {
			if update, isUpdate := body.(*schema.ClusterStateResponse); isUpdate && update.State.GetConfiguration().GetRevision() > 0 {
				count++
				So(update.State.Configuration.Document, ShouldBeEmpty)
				So(update.State.PreviousConfigurations, ShouldBeEmpty)
				So(update.State.Configuration.Rows, ShouldNotBeEmpty)
			}
		}
		So(count, ShouldBeGreaterThanOrEqualTo, 6)
		So(c.received["f"], ShouldHaveLength, 3)
		var history []json.RawMessage
		So(json.Unmarshal(c.request("history", nil).Body, &history), ShouldBeNil)
		So(history, ShouldHaveLength, 3)
		So(string(history[1]), ShouldNotContainSubstring, "ZG9j") // no document in it
	})
	Convey("A new configuration is sent to the controller at once", t, func() {
		c := newTestCluster()
		c.claimController()
		So(c.putConfiguration(queuesUpdate(1, "", "l")).Code, ShouldEqual, 200)
		isNotified := slices.ContainsFunc(c.received["h"], func(body any) bool {
			update, isUpdate := body.(*schema.ClusterStateResponse)
			return isUpdate && update.State.GetConfiguration().GetVersion() == 1 && len(update.QueueStatuses) > 0
		})
		So(isNotified, ShouldBeTrue)
	})
}
