// Package mangoliveness detects within a second that the process of a replica has ended, and within a few that a replica does not
// answer any more. It also says which hubs monitor a replica.
//
// # Usage
//
//	monitor := mangoliveness.New(self, state, changed, reportEnded)
//	go func() { ended <- monitor.Run(ctx) }()
//
// A monitor keeps an idle TCP connection to some replicas of split models. When a process ends, its connections are closed.
// A request that passes through the replica at a later stage of its chain would only see silence. Each replica is monitored
// by two daemons, chosen by rendezvous hashing of their names, so that the number of connections grows linearly with the
// fleet and not with its square.
package mangoliveness
