package mangostate

import (
	"strings"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// memberPrefix is the prefix of the keys under which daemons announce themselves.
const memberPrefix = "mangopath/member/"

// PlacementKey is the key that the daemon which places layers holds by a lease.
const PlacementKey = "mangopath/placement"

// Member is a live daemon that has announced itself in the store.
type Member struct {
	Name string
	// Address is the one at which the daemon listens for other daemons.
	Address string
}

// MemberKey returns the key under which a daemon announces itself; boot is an id that differs for each start.
func MemberKey(name, boot string) string { return memberPrefix + name + "/" + boot }

// View is an immutable snapshot of what the daemon knows from the store.
type View struct {
	// Table is nil until the first configuration has arrived.
	Table *mangoroute.Table
	Fleet *mangoreplica.Fleet
	// Members are the live daemons including this one, each name once, in no particular order.
	Members []Member
	// Synced reports that the store has answered at least once.
	Synced bool
	// Revision is the revision of the store that the view reflects.
	Revision uint64
	// LastAnswer is the time of the store's last answer.
	LastAnswer time.Time
	// Reachable reports that the store answered the last call.
	Reachable bool
	// Fence is the highest fencing number of any holder of PlacementKey so far; 0 if there was none.
	Fence uint64
	// keys has the keys that daemons write, with their values.
	keys map[string]string
}

// Holder returns the value of a key that daemons write, which names its holder, or "" if nobody holds it. The second result
// is false until the store has answered.
func (v *View) Holder(key string) (string, bool) { return v.keys[key], v.Synced }

// membersFromKeys returns the daemons that are announced by keys with memberPrefix.
func membersFromKeys(keys map[string]string) []Member {
	var members []Member
	seen := map[string]bool{}
	for k, address := range keys {
		rest, ok := strings.CutPrefix(k, memberPrefix)
		if !ok {
			continue
		}
		name, _, _ := strings.Cut(rest, "/")
		// A restarted daemon is announced twice until the lease of its previous start expires.
		if seen[name] {
			continue
		}
		seen[name] = true
		members = append(members, Member{Name: name, Address: address})
	}
	return members
}
