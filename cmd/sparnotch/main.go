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
			Synopsis: "run a server; with -data it holds replicas of the queues as well",
			Role:     schema.Role_ROLE_SERVER,
		},
		daemon.Command{
			Name:     "controller",
			Synopsis: "run a controller candidate: liveness, and the controller's loops",
			Role:     schema.Role_ROLE_CONTROLLER,
		},
	)
}
