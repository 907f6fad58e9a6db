package mangohost

import (
	"iter"
	"maps"
	"slices"
	"time"

	"mangopath.org/mangopath/pkg/mangomessage"
)

// unlistedTime is the time that a host stays known after the list dropped it; the list lags, so a short absence
// says little, and a call that still fails ejects the host at once. An engine that still answers probes stays for good,
// since absence from the list is no proof that it is gone.
const unlistedTime = 30 * time.Second

// pageHosts is the number of hosts that a change of one host copies.
const pageHosts = 32

// Directory is an immutable set of hosts. Names and their order change only with the list, so a change of one host
// shares them and all pages but one with the directory before.
type Directory struct {
	names    []string
	index    map[string]int
	pages    [][]Host
	unlisted map[string]time.Time
	listAsOf int64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{unlisted: map[string]time.Time{}}
}

// Host returns a host by name.
func (d *Directory) Host(name string) (Host, bool) {
	i, ok := d.index[name]
	if !ok {
		return Host{}, false
	}
	return d.At(i), true
}

// Hosts returns all hosts of a role in the order of their names; an empty role means all roles.
func (d *Directory) Hosts(role string) []Host {
	return slices.Collect(d.All(role))
}

// All iterates over the hosts of a role like Hosts, without a copy of 1 MB at 4,500 hosts.
func (d *Directory) All(role string) iter.Seq[Host] {
	return func(yield func(Host) bool) {
		for _, page := range d.pages {
			for _, h := range page {
				if (role == "" || h.Role == role) && !yield(h) {
					return
				}
			}
		}
	}
}

// At returns the host at an index below Len.
func (d *Directory) At(i int) Host { return d.pages[i/pageHosts][i%pageHosts] }

// Len returns the number of hosts.
func (d *Directory) Len() int { return len(d.names) }

// ListAsOfMs returns the time of the newest list in Unix milliseconds.
func (d *Directory) ListAsOfMs() int64 { return d.listAsOf }

// Leaving reports whether a host is known to leave.
func (d *Directory) Leaving(name string, now time.Time) bool {
	h, ok := d.Host(name)
	return ok && h.State(now) == StateLeaving
}

// WithList returns the directory after a list; an older list or one without any host changes nothing, since a list
// that lost its content is no proof that the hosts are gone.
func (d *Directory) WithList(list *mangomessage.HostList, now time.Time) *Directory {
	if list.AsOfMs <= d.listAsOf || len(list.Hosts) == 0 {
		return d
	}
	hosts := make(map[string]Host, len(list.Hosts))
	unlisted := map[string]time.Time{}
	for _, l := range list.Hosts {
		known, ok := hosts[l.Name]
		if !ok {
			known, _ = d.Host(l.Name)
		}
		hosts[l.Name] = known.withListing(l)
	}
	for _, h := range d.Hosts("") {
		if _, listed := hosts[h.Name]; listed {
			continue
		}
		since, known := d.unlisted[h.Name]
		if !known {
			since = now
		}
		if now.Sub(since) <= unlistedTime || now.Sub(h.ReportAt) <= unlistedTime {
			hosts[h.Name], unlisted[h.Name] = h, since
		}
	}
	return newDirectory(hosts, unlisted, list.AsOfMs)
}

func newDirectory(hosts map[string]Host, unlisted map[string]time.Time, asOf int64) *Directory {
	d := &Directory{
		names: slices.Sorted(maps.Keys(hosts)), index: make(map[string]int, len(hosts)), unlisted: unlisted, listAsOf: asOf,
	}
	all := make([]Host, len(d.names))
	for i, name := range d.names {
		d.index[name], all[i] = i, hosts[name]
	}
	d.pages = slices.Collect(slices.Chunk(all, pageHosts))
	return d
}

// withListing takes over a line of the list; a host that came back under another address is a new one.
func (h Host) withListing(l *mangomessage.ListedHost) Host {
	if h.Address != l.Address || h.Role != l.Role {
		h = Host{DrainMarked: h.DrainMarked}
	}
	h.Name, h.Role, h.DataCentre = l.Name, l.Role, l.DataCentre
	h.Address, h.Kind, h.ListedLeaving = l.Address, l.Kind, l.Leaving
	return h
}

// WithMarks returns the directory with the operators' drain marks.
func (d *Directory) WithMarks(draining func(host string) bool) *Directory {
	n := *d
	n.pages = make([][]Host, len(d.pages))
	for i, page := range d.pages {
		n.pages[i] = slices.Clone(page)
		for j := range page {
			n.pages[i][j].DrainMarked = draining(page[j].Name)
		}
	}
	return &n
}

// With returns the directory after a change of one host; unknown hosts change nothing.
func (d *Directory) With(name string, change func(Host) Host) *Directory {
	i, ok := d.index[name]
	if !ok {
		return d
	}
	n := *d
	n.pages = slices.Clone(d.pages)
	page := slices.Clone(d.pages[i/pageHosts])
	page[i%pageHosts] = change(page[i%pageHosts])
	n.pages[i/pageHosts] = page
	return &n
}
