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
	ttl time.Duration
	end time.Time
}

// table holds keys and leases. Versions and lease ids come from one counter that a restore does not reset, so that a
// version seen before a restore never matches a value written after it.
type table struct {
	counter uint64
	items   map[string]*mangomessage.Item
	leases  map[uint64]lease
}

func newTable() *table {
	return &table{items: map[string]*mangomessage.Item{}, leases: map[uint64]lease{}}
}

// expire ends the leases whose time is over and removes their keys.
func (t *table) expire(now time.Time) {
	for id, l := range t.leases {
		if !now.Before(l.end) {
			t.revoke(id)
		}
	}
}

func (t *table) get(key string) *mangomessage.Item {
	if item, ok := t.items[key]; ok {
		return item
	}
	return &mangomessage.Item{Key: key}
}

func (t *table) list(prefix string) *mangomessage.Items {
	items := &mangomessage.Items{}
	for _, key := range slices.Sorted(maps.Keys(t.items)) {
		if strings.HasPrefix(key, prefix) {
			items.Items = append(items.Items, t.items[key])
		}
	}
	return items
}

// put writes a value by compare-and-swap; live is false when the lease has ended.
func (t *table) put(p *mangomessage.PutRequest) (reply *mangomessage.PutReply, live bool) {
	if _, ok := t.leases[p.LeaseId]; p.LeaseId != 0 && !ok {
		return nil, false
	}
	if present := t.get(p.Key).Version; present != p.ExpectedVersion {
		return &mangomessage.PutReply{Version: present}, true
	}
	t.counter++
	t.items[p.Key] = &mangomessage.Item{Key: p.Key, Value: p.Value, Version: t.counter, LeaseId: p.LeaseId}
	return &mangomessage.PutReply{Written: true, Version: t.counter}, true
}

func (t *table) remove(d *mangomessage.DeleteRequest) *mangomessage.PutReply {
	present := t.get(d.Key).Version
	if present != d.ExpectedVersion {
		return &mangomessage.PutReply{Version: present}
	}
	delete(t.items, d.Key)
	return &mangomessage.PutReply{Written: true}
}

func (t *table) grant(ttl time.Duration, now time.Time) uint64 {
	t.counter++
	t.leases[t.counter] = lease{ttl: ttl, end: now.Add(ttl)}
	return t.counter
}

func (t *table) renew(id uint64, now time.Time) bool {
	l, ok := t.leases[id]
	if !ok {
		return false
	}
	l.end = now.Add(l.ttl)
	t.leases[id] = l
	return true
}

func (t *table) revoke(id uint64) bool {
	if _, ok := t.leases[id]; !ok {
		return false
	}
	delete(t.leases, id)
	maps.DeleteFunc(t.items, func(_ string, i *mangomessage.Item) bool { return i.LeaseId == id })
	return true
}

// snapshot copies the keys and leases; items are replaced and never changed, so that the copy can share them.
func (t *table) snapshot() *table {
	return &table{items: maps.Clone(t.items), leases: maps.Clone(t.leases)}
}

// restore goes back to a snapshot and keeps the counter.
func (t *table) restore(s *table) {
	t.items, t.leases = maps.Clone(s.items), maps.Clone(s.leases)
}
