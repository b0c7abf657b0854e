package membership

// Config holds the settings of a Membership.
type Config struct {
	Seeds           []string // internal addresses contacted first to discover the cluster
	Bootstrap       bool     // this is the first start of the cluster
	MachineFailures uint32   // how many storage nodes may be lost at once; 0 means 1
	IsAgentNode     bool     // this process is an agent node

	ZoneFailures, RegionFailures uint32            // how many zones and regions may be lost at once
	RegionByZone                 map[string]string // maps each zone to its region
}

// Tolerance returns the configured fault tolerance.
func (c Config) Tolerance() FaultTolerance {
	return FaultTolerance{
		Machines: int(c.MachineFailures), Zones: int(c.ZoneFailures), Regions: int(c.RegionFailures),
		RegionByZone: c.RegionByZone,
	}
}

// VoterCount returns how many voters each group should have so that a majority survives the
// tolerated failures. A cluster with fewer storage nodes is bootstrapped with all of them.
func (c Config) VoterCount() int { return c.Tolerance().VoterCount() }
