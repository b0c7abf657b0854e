// Command sparnotch runs the nodes of a cluster: servers, which take requests from
// clients, workers and operators and may hold replicas of the queues, and controller
// candidates, which watch over the servers and hold nothing durable.
package main

import (
	"sparnotch/internal/daemon"
	"sparnotch/internal/schema"
)

func main() {
	daemon.Main("sparnotch",
		daemon.Command{
			Name:     "server",
			Synopsis: "run a gateway node; with -data it is a storage node as well",
			Role:     schema.Role_ROLE_SERVER,
		},
		daemon.Command{
			Name:     "controller",
			Synopsis: "run an agent node: failure detection, and a candidate for the controller lease",
			Role:     schema.Role_ROLE_CONTROLLER,
		},
	)
}
