package membership

// Config are the settings of a Membership.
type Config struct {
	Seeds           []string // internal addresses to start from
	Bootstrap       bool     // this is the first start of the cluster
	MachineFailures uint32   // storage nodes that may be lost at once; 0: one
	IsAgentNode     bool

	ZoneFailures, RegionFailures uint32            // zones and regions that may be lost at once
	RegionByZone                 map[string]string // the region of each zone
}

// Tolerance returns the failures to tolerate.
func (c Config) Tolerance() FaultTolerance {
	return FaultTolerance{
		Machines: int(c.MachineFailures), Zones: int(c.ZoneFailures), Regions: int(c.RegionFailures),
		RegionByZone: c.RegionByZone,
	}
}

// VoterCount returns how many voters each group is to have: a majority survives the tolerated
// failures. A cluster with fewer storage nodes is bootstrapped with all of them.
func (c Config) VoterCount() int { return c.Tolerance().VoterCount() }
