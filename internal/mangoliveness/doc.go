// Package mangoliveness notices at once that the process of a replica has ended.
//
// # Usage
//
//	monitor := mangoliveness.New(self, state, changed, suspect)
//	go func() { ended <- monitor.Run(ctx) }()
//
// A monitor keeps an idle connection open to some replicas of split models. The end of a process ends the connection, while
// a request that passes through the replica as a later part of its chain sees nothing but silence. Each replica is
// monitored by two daemons, chosen by a hash of their names, so that the number of connections grows with the fleet and not
// with its square.
package mangoliveness
