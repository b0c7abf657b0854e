// Command sparnotch runs a node of a cluster. A server node accepts requests from clients,
// workers and operators, and stores replicas of the queues if it has a data directory. A
// controller node monitors the servers, is a candidate for the controller lease, and stores
// no durable data.
package main

import (
	"sparnotch/internal/daemon"
	"sparnotch/internal/schema"
)

func main() {
	daemon.Main("sparnotch",
		daemon.Command{
			Name:     "server",
			Synopsis: "run a gateway node, which is also a storage node if -data is set",
			Role:     schema.Role_ROLE_SERVER,
		},
		daemon.Command{
			Name:     "controller",
			Synopsis: "run an agent node, which detects failures and is a candidate for the controller lease",
			Role:     schema.Role_ROLE_CONTROLLER,
		},
	)
}
