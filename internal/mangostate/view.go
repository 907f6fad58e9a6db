package mangostate

import (
	"strings"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// memberPrefix begins the keys that announce daemons.
const memberPrefix = "mangopath/member/"

// PlacementKey is the key of the daemon that places layers.
const PlacementKey = "mangopath/placement"

// Member is a daemon that has announced itself.
type Member struct {
	Name    string
	Address string
}

// MemberKey returns the key of one start of a daemon; boot differs for each start.
func MemberKey(name, boot string) string { return memberPrefix + name + "/" + boot }

// View is what the daemon knows at a moment.
type View struct {
	// Table is nil until the first configuration has arrived.
	Table *mangoroute.Table
	Fleet *mangoreplica.Fleet
	// Members are the live daemons, this one included, by name.
	Members []Member
	// Synced says that the store has answered at least once.
	Synced bool
	// Revision is the revision of the store that the view follows.
	Revision uint64
	// LastAnswer is the time of the store's last answer.
	LastAnswer time.Time
	// Reachable says that the store answered the last call.
	Reachable bool
	// Fence is the fencing number of the last daemon that was seen to hold the placement; 0 if none was.
	Fence uint64
	keys  map[string]string
}

// Holder returns the value of a key of the daemons' own.
func (v *View) Holder(key string) (string, bool) { return v.keys[key], v.Synced }

func membersOf(keys map[string]string) []Member {
	var members []Member
	seen := map[string]bool{}
	for k, address := range keys {
		rest, ok := strings.CutPrefix(k, memberPrefix)
		if !ok {
			continue
		}
		name, _, _ := strings.Cut(rest, "/")
		// A daemon that has just started again is announced twice until the lease of its last start ends.
		if seen[name] {
			continue
		}
		seen[name] = true
		members = append(members, Member{Name: name, Address: address})
	}
	return members
}
