// Command keep is the front daemon: gateway everywhere; with a data folder also
// replicas of the queues and the scheduler.
package main

import (
	"sparnotch/internal/daemon"
	"sparnotch/internal/schema"
)

func main() {
	daemon.Main("keep", "run a front process; with -data it holds replicas of the queues as well", schema.Role_ROLE_KEEP)
}
