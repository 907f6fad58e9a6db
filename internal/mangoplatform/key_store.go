package mangoplatform

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// lease holds the time to live and the expiry of a lease. Keys can be attached to a lease and are removed with it.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// keyStore holds keys and leases. Versions and lease ids come from one counter that a restore does not reset, so that a
// version seen before a restore never matches a value written after it.
type keyStore struct {
	// lastNumber is the last version or lease id that was assigned.
	lastNumber uint64
	items      map[string]*mangomessage.Item
	leases     map[uint64]lease
}

func newKeyStore() *keyStore {
	return &keyStore{items: map[string]*mangomessage.Item{}, leases: map[uint64]lease{}}
}

// expireLeases removes the leases that have expired, and their keys.
func (k *keyStore) expireLeases(now time.Time) {
	for id, l := range k.leases {
		if !now.Before(l.expiresAt) {
			k.revokeLease(id)
		}
	}
}

// get returns the item of a key. An absent key has version 0.
func (k *keyStore) get(key string) *mangomessage.Item {
	if item, ok := k.items[key]; ok {
		return item
	}
	return &mangomessage.Item{Key: key}
}

// list returns the items of the keys with a prefix, sorted by key.
func (k *keyStore) list(prefix string) *mangomessage.Items {
	items := &mangomessage.Items{}
	for _, key := range slices.Sorted(maps.Keys(k.items)) {
		if strings.HasPrefix(key, prefix) {
			items.Items = append(items.Items, k.items[key])
		}
	}
	return items
}

// put writes a value if the version of the key is ExpectedVersion. live is false if the lease to attach it to does not
// exist, such as after its expiry; then nothing is written.
func (k *keyStore) put(p *mangomessage.PutRequest) (reply *mangomessage.PutReply, live bool) {
	if _, ok := k.leases[p.LeaseId]; p.LeaseId != 0 && !ok {
		return nil, false
	}
	if current := k.get(p.Key).Version; current != p.ExpectedVersion {
		return &mangomessage.PutReply{Version: current}, true
	}
	k.lastNumber++
	k.items[p.Key] = &mangomessage.Item{Key: p.Key, Value: p.Value, Version: k.lastNumber, LeaseId: p.LeaseId}
	return &mangomessage.PutReply{Written: true, Version: k.lastNumber}, true
}

// remove removes a key if its version is ExpectedVersion.
func (k *keyStore) remove(d *mangomessage.DeleteRequest) *mangomessage.PutReply {
	current := k.get(d.Key).Version
	if current != d.ExpectedVersion {
		return &mangomessage.PutReply{Version: current}
	}
	delete(k.items, d.Key)
	return &mangomessage.PutReply{Written: true}
}

// grantLease adds a lease and returns its id.
func (k *keyStore) grantLease(ttl time.Duration, now time.Time) uint64 {
	k.lastNumber++
	k.leases[k.lastNumber] = lease{ttl: ttl, expiresAt: now.Add(ttl)}
	return k.lastNumber
}

// renewLease extends a lease by its time to live from now. It returns false if the lease does not exist.
func (k *keyStore) renewLease(id uint64, now time.Time) bool {
	l, ok := k.leases[id]
	if !ok {
		return false
	}
	l.expiresAt = now.Add(l.ttl)
	k.leases[id] = l
	return true
}

// revokeLease removes a lease and its keys. It returns false if the lease does not exist.
func (k *keyStore) revokeLease(id uint64) bool {
	if _, ok := k.leases[id]; !ok {
		return false
	}
	delete(k.leases, id)
	maps.DeleteFunc(k.items, func(_ string, i *mangomessage.Item) bool { return i.LeaseId == id })
	return true
}

// snapshot returns a copy of the keys and leases. The copy shares the items, since these are replaced and never modified.
func (k *keyStore) snapshot() *keyStore {
	return &keyStore{items: maps.Clone(k.items), leases: maps.Clone(k.leases)}
}

// restore replaces the keys and leases by those of a snapshot and keeps the counter.
func (k *keyStore) restore(s *keyStore) {
	k.items, k.leases = maps.Clone(s.items), maps.Clone(s.leases)
}
