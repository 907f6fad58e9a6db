// Package mangohub lets a few daemons of each data centre read the store on behalf of all.
//
// Two daemons of a data centre, its hubs, hold a seat each: a leased key of the store. The hub in the first seat reads the
// store; the other one and all daemons without a seat follow a hub. A follower has one stream from its hub, on which come
// the changes of the store, what other daemons announce, and the load that all daemons together put on replicas. A daemon
// that hears nothing from its hub follows another one, and reads the store itself if there is none.
//
// # Usage
//
//	mirror := mangohub.NewMirror()
//	seats := mangohub.NewSeats(...)
//	follower := mangohub.NewFollower(self, dialer, state, mirror)
//	reader := mangohub.NewReader(store, mirror, seats, follower)
//	server := mangohub.NewServer(mirror, loads)
//
// All of what a daemon knows of the store passes through its Mirror: the Reader or the Follower writes to it, the controller
// of package mangostate reads it, and the Server sends it on to followers. Seats, Follower, Reader and Server have methods
// Run or Serve that end with their context.
package mangohub
