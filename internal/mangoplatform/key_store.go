package mangoplatform

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// lease is a time limit to which keys are attached.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// keyStore holds keys and leases. Versions and lease ids come from one counter that a restore does not reset, so that a
// version seen before a restore never matches a value written after it.
type keyStore struct {
	lastNumber uint64
	items      map[string]*mangomessage.Item
	leases     map[uint64]lease
}

func newKeyStore() *keyStore {
	return &keyStore{items: map[string]*mangomessage.Item{}, leases: map[uint64]lease{}}
}

// expireLeases ends the leases whose time is over and removes their keys.
func (k *keyStore) expireLeases(now time.Time) {
	for id, l := range k.leases {
		if !now.Before(l.expiresAt) {
			k.revokeLease(id)
		}
	}
}

func (k *keyStore) get(key string) *mangomessage.Item {
	if item, ok := k.items[key]; ok {
		return item
	}
	return &mangomessage.Item{Key: key}
}

func (k *keyStore) list(prefix string) *mangomessage.Items {
	items := &mangomessage.Items{}
	for _, key := range slices.Sorted(maps.Keys(k.items)) {
		if strings.HasPrefix(key, prefix) {
			items.Items = append(items.Items, k.items[key])
		}
	}
	return items
}

// put writes a value by compare-and-swap; live is false when the lease has ended.
func (k *keyStore) put(p *mangomessage.PutRequest) (reply *mangomessage.PutReply, live bool) {
	if _, ok := k.leases[p.LeaseId]; p.LeaseId != 0 && !ok {
		return nil, false
	}
	if present := k.get(p.Key).Version; present != p.ExpectedVersion {
		return &mangomessage.PutReply{Version: present}, true
	}
	k.lastNumber++
	k.items[p.Key] = &mangomessage.Item{Key: p.Key, Value: p.Value, Version: k.lastNumber, LeaseId: p.LeaseId}
	return &mangomessage.PutReply{Written: true, Version: k.lastNumber}, true
}

func (k *keyStore) remove(d *mangomessage.DeleteRequest) *mangomessage.PutReply {
	present := k.get(d.Key).Version
	if present != d.ExpectedVersion {
		return &mangomessage.PutReply{Version: present}
	}
	delete(k.items, d.Key)
	return &mangomessage.PutReply{Written: true}
}

func (k *keyStore) grantLease(ttl time.Duration, now time.Time) uint64 {
	k.lastNumber++
	k.leases[k.lastNumber] = lease{ttl: ttl, expiresAt: now.Add(ttl)}
	return k.lastNumber
}

func (k *keyStore) renewLease(id uint64, now time.Time) bool {
	l, ok := k.leases[id]
	if !ok {
		return false
	}
	l.expiresAt = now.Add(l.ttl)
	k.leases[id] = l
	return true
}

func (k *keyStore) revokeLease(id uint64) bool {
	if _, ok := k.leases[id]; !ok {
		return false
	}
	delete(k.leases, id)
	maps.DeleteFunc(k.items, func(_ string, i *mangomessage.Item) bool { return i.LeaseId == id })
	return true
}

// snapshot copies the keys and leases; items are replaced and never changed, so that the copy can share them.
func (k *keyStore) snapshot() *keyStore {
	return &keyStore{items: maps.Clone(k.items), leases: maps.Clone(k.leases)}
}

// restore goes back to a snapshot and keeps the counter.
func (k *keyStore) restore(s *keyStore) {
	k.items, k.leases = maps.Clone(s.items), maps.Clone(s.leases)
}
