// Command heed is the side daemon: control that holds nothing durable.
package main

import (
	"sparnotch/internal/daemon"
	"sparnotch/internal/schema"
)

func main() {
	daemon.Main("heed", "run a side process: liveness, and the controller's loops", schema.Role_ROLE_HEED)
}
