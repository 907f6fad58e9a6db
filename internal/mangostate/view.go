package mangostate

import (
	"cmp"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
)

// SeatsPerDataCentre is the number of hubs of a data centre: two, since one may freeze, end or be cut off.
const SeatsPerDataCentre = 2

// seatPrefix is the prefix of the keys of the hubs' seats. It is followed by the data centre, escaped, and the seat.
const seatPrefix = "mangopath/hub/"

// PlacementKey is the key that the daemon which places layers holds by a lease.
const PlacementKey = "mangopath/placement"

// Member is a hub: a daemon that holds a seat of its data centre.
type Member struct {
	Name       string
	DataCentre string
	// Address is the one at which the daemon listens for other daemons.
	Address string
	// Seat is the number of its seat, from 0.
	Seat int
}

// SeatKey returns the key of a seat of a data centre.
func SeatKey(dataCentre string, seat int) string {
	return seatPrefix + url.PathEscape(dataCentre) + "/" + strconv.Itoa(seat)
}

// SeatValue returns the value of a seat's key that names its holder; boot is an id that differs for each start of a daemon.
func SeatValue(holder Member, boot string) string {
	return holder.Name + "/" + boot + " " + holder.Address
}

// View is an immutable snapshot of what the daemon knows from the store.
type View struct {
	// Table is nil until the first configuration has arrived.
	Table *mangoroute.Table
	Fleet *mangoreplica.Fleet
	// Members are the hubs, which may include this daemon, ordered by data centre and seat.
	Members []Member
	// Synced reports that the store has answered at least once.
	Synced bool
	// Revision is the revision of the store that the view reflects.
	Revision uint64
	// LastAnswer is the time of the store's last answer.
	LastAnswer time.Time
	// Reachable reports that the store answered the last call.
	Reachable bool
	// RestoredUntil is the end of the grace period after the store has returned from a copy, in which entries may be those of the
	// copy; zero if it never has.
	RestoredUntil time.Time
	// Fence is the highest fencing number of any holder of PlacementKey so far; 0 if there was none.
	Fence uint64
	// keys has the keys that daemons write, with their values.
	keys map[string]string
}

// Holder returns the value of a key that daemons write, which names its holder, or "" if nobody holds it. The second result
// is false until the store has answered.
func (v *View) Holder(key string) (string, bool) { return v.keys[key], v.Synced }

// membersFromKeys returns the hubs that hold seats.
func membersFromKeys(keys map[string]string) []Member {
	var members []Member
	for k, value := range keys {
		if m, ok := parseSeat(k, value); ok {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Seat, b.Seat))
	})
	return members
}

// parseSeat returns the holder of a seat from its key and value, or false if they are not those of a seat.
func parseSeat(key, value string) (Member, bool) {
	rest, ok := strings.CutPrefix(key, seatPrefix)
	if !ok {
		return Member{}, false
	}
	escaped, number, _ := strings.Cut(rest, "/")
	dataCentre, err := url.PathUnescape(escaped)
	seat, seatErr := strconv.Atoi(number)
	owner, address, found := strings.Cut(value, " ")
	name, _, _ := strings.Cut(owner, "/")
	if _, addressErr := netip.ParseAddrPort(address); err != nil || seatErr != nil || addressErr != nil || !found || name == "" {
		return Member{}, false
	}
	return Member{Name: name, DataCentre: dataCentre, Address: address, Seat: seat}, true
}
