package mangohost

import (
	"maps"
	"slices"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// unlistedTime is the time that a host stays known after the list dropped it; the list lags, so a short absence
// says little, and a call that still fails ejects the host at once. An engine that still answers probes stays for good,
// since absence from the list is no proof that it is gone.
const unlistedTime = 30 * time.Second

// Directory is an immutable set of hosts.
type Directory struct {
	hosts    map[string]Host
	unlisted map[string]time.Time
	listAsOf int64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{hosts: map[string]Host{}, unlisted: map[string]time.Time{}}
}

// Host returns a host by name.
func (d *Directory) Host(name string) (Host, bool) {
	h, ok := d.hosts[name]
	return h, ok
}

// Hosts returns all hosts of a role in the order of their names; an empty role means all roles.
func (d *Directory) Hosts(role string) []Host {
	names := slices.Sorted(maps.Keys(d.hosts))
	hosts := make([]Host, 0, len(names))
	for _, n := range names {
		if role == "" || d.hosts[n].Role == role {
			hosts = append(hosts, d.hosts[n])
		}
	}
	return hosts
}

// ListAsOf returns the time of the newest list in Unix milliseconds.
func (d *Directory) ListAsOf() int64 { return d.listAsOf }

// Leaving reports whether a host is known to leave.
func (d *Directory) Leaving(name string, now time.Time) bool {
	h, ok := d.hosts[name]
	return ok && h.State(now) == StateLeaving
}

// WithList returns the directory after a list; an older list or one without any host changes nothing, since a list
// that lost its content is no proof that the hosts are gone.
func (d *Directory) WithList(list *mangomessage.HostList, now time.Time) *Directory {
	if list.AsOfMs <= d.listAsOf || len(list.Hosts) == 0 {
		return d
	}
	n := d.clone()
	n.listAsOf = list.AsOfMs
	listed := make(map[string]bool, len(list.Hosts))
	for _, l := range list.Hosts {
		listed[l.Name] = true
		delete(n.unlisted, l.Name)
		n.hosts[l.Name] = n.hosts[l.Name].withListing(l)
	}
	for name := range n.hosts {
		n.dropUnlisted(name, listed[name], now)
	}
	return n
}

func (d *Directory) dropUnlisted(name string, listed bool, now time.Time) {
	if listed {
		return
	}
	since, known := d.unlisted[name]
	switch {
	case !known:
		d.unlisted[name] = now
	case now.Sub(since) > unlistedTime && now.Sub(d.hosts[name].EngineAt) > unlistedTime:
		delete(d.hosts, name)
		delete(d.unlisted, name)
	}
}

// withListing takes over a line of the list; a host that came back under another address is a new one.
func (h Host) withListing(l *mangomessage.ListedHost) Host {
	if h.Address != l.Address || h.Role != l.Role {
		h = Host{Marked: h.Marked}
	}
	h.Name, h.Role, h.DataCentre = l.Name, l.Role, l.DataCentre
	h.Address, h.Kind, h.ListedLeaving = l.Address, l.Kind, l.Leaving
	return h
}

// WithMarks returns the directory with the operators' drain marks.
func (d *Directory) WithMarks(draining func(host string) bool) *Directory {
	n := d.clone()
	for name, h := range n.hosts {
		h.Marked = draining(name)
		n.hosts[name] = h
	}
	return n
}

// With returns the directory after a change of one host; unknown hosts change nothing.
func (d *Directory) With(name string, change func(Host) Host) *Directory {
	h, ok := d.hosts[name]
	if !ok {
		return d
	}
	n := d.clone()
	n.hosts[name] = change(h)
	return n
}

func (d *Directory) clone() *Directory {
	return &Directory{hosts: maps.Clone(d.hosts), unlisted: maps.Clone(d.unlisted), listAsOf: d.listAsOf}
}
