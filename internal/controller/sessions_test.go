package controller

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

// The sessions of a restarted gateway were ended by a controller that still knew its former incarnation.
func TestSessionsOfRestartedGateways(t *testing.T) {
	endedWith := func(known, inQueue uint64) []*schema.ExpiredGateway {
		f := newControllerFixture()
		f.otherMembers = map[string]*schema.Member{"g": {Id: "g", Role: schema.Role_ROLE_SERVER, Incarnation: known}}
		status := &schema.QueueStatus{Group: "l#1", Queue: "l", Leader: "a", Gateways: []*schema.ExpiredGateway{{Gateway: "g", Incarnation: inQueue}}}
		f.tick()
		f.sendUpdate(status)
		f.tick()
		return f.endedSessions
	}
	const sessionRestart = 1 << 32
	Convey("Sessions of a former incarnation of a gateway are ended", t, func() {
		So(endedWith(2, 1), ShouldHaveLength, 1)
		So(endedWith(2, 5*sessionRestart+1), ShouldHaveLength, 1)
	})
	Convey("Sessions of the known incarnation, and of one that is newer than it, stay", t, func() {
		So(endedWith(2, 2), ShouldBeEmpty)
		So(endedWith(2, 3), ShouldBeEmpty)
		So(endedWith(2, 5*sessionRestart+3), ShouldBeEmpty)
	})
}
