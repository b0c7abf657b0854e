package replica

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"sparnotch/internal/schema"
)

func TestStateViewJSON(t *testing.T) {
	Convey("The keys of the state view's JSON stay", t, func() {
		data, err := json.Marshal(&NodeStateView{
			Node: "a", ClusterStateVersion: 1, ConfigurationRevision: 2, IsClusterStateFresh: true, Controller: "h", ControllerLease: 3,
			ReadOnlyReason: "no space", HasHandoverPending: true,
			Groups: []*GroupStateView{{
				Group: "q#4", Role: "leader", Leader: "a", Term: 5, Commit: 6, Applied: 7, LastIndex: 8, StableIndex: 9, SnapshotIndex: 10,
				Voters: []string{"a"}, Learners: []string{"b"}, LiveJobs: 11, RetainedJobs: 12, Sessions: 13, Reenqueues: 14, Digest: "d",
				CancelledNames: 19, CommandVersion: 20,
			}},
			WorkerLeases: []*schema.WorkerLease{{Worker: "w", Scheduler: "a", FencingToken: 15}},
			Queues:       []*schema.QueuePlacement{{Queue: "q", Generation: 4, InitialVoters: []string{"a"}, PreferredLeader: "a"}},
			Members: []*schema.Member{{
				Id: "a", Incarnation: 16, Role: schema.Role_ROLE_SERVER, Zone: "z", InternalAddress: "i", HttpAddress: "o", HasStorage: true, Draining: true, Heartbeat: 17, LatencyUs: 18,
			}},
			FaultTolerance: &FaultToleranceView{
				Machines: 1, Zones: 2, Regions: 3, WantedMachines: 4, WantedZones: 5, WantedRegions: 6, Shortfall: "s",
			},
		})
		So(err, ShouldBeNil)
		So(string(data), ShouldEqual, `{"node":"a","cluster_state_version":1,"plan_generation":2,"cluster_state_fresh":true,`+
			`"controller":"h","controller_lease":3,"store_refuses":"no space",`+
			`"groups":[{"group":"q#4","role":"leader","leader":"a","term":5,"commit":6,"applied":7,"last":8,"stable":9,"released":10,`+
			`"voters":["a"],"learners":["b"],"live_jobs":11,"kept_jobs":12,"sessions":13,"carries":14,"digest":"d","cancelled_names":19,"command_version":20}],`+
			`"wards":[{"worker":"w","scheduler":"a","generation":15}],`+
			`"queues":[{"queue":"q","generation":4,"founders":["a"],"leader":"a"}],`+
			`"members":[{"id":"a","boot":16,"role":1,"cell":"z","inner":"i","outer":"o","stores":true,"leaving":true,"beat":17,"latency_us":18}],`+
			`"bears":{"machines":1,"zones":2,"regions":3,"wanted_machines":4,"wanted_zones":5,"wanted_regions":6,"short":"s"},`+
			`"needed":true}`)
	})
}
