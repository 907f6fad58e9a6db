package mangoroute

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Customer identifies the customer that an API key belongs to.
type Customer struct {
	Name string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Rank returns the rank of the customer's requests on a route.
func (c Customer) Rank(r *Route) Rank {
	rank := Rank{Priority: r.Priority, RoutePriority: r.Priority}
	if c.HasPriority {
		rank.Priority = c.Priority
	}
	return rank.bounded()
}

// Limits bounds the size of requests and the time that callers may take to send headers or keep a connection idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration: routes, services, customers and limits.
type Table struct {
	version uint64
	// hosts has the routes of each host in lower case, those with the longest prefixes first.
	hosts    map[string][]*Route
	services map[string]*Service
	// customers has the customer of each API key.
	customers   map[string]Customer
	keyRequired bool
	limits      Limits
	// ranks has by service the ranks of its streams through a split model, in order.
	ranks map[string][]Rank
}

// New returns a table. customers maps each API key to its customer; keyRequired says whether routes that are not public need
// a key, which is so if the configuration has customers.
func New(version uint64, routes []Route, services []Service, customers map[string]Customer, keyRequired bool, limits Limits) *Table {
	t := &Table{
		version: version, hosts: map[string][]*Route{}, services: map[string]*Service{}, customers: customers,
		keyRequired: keyRequired, limits: limits,
	}
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range services {
		t.services[services[i].Name] = &services[i]
	}
	t.ranks = t.collectRanks(routes)
	return t
}

// collectRanks returns the ranks that streams of each service can have. There are many customers but few priorities, so routes are
// combined with priorities instead of customers.
func (t *Table) collectRanks(routes []Route) map[string][]Rank {
	ranks, priorities := map[string][]Rank{}, map[Customer]bool{}
	for _, c := range t.customers {
		priorities[Customer{Priority: c.Priority, HasPriority: c.HasPriority}] = true
	}
	for i := range routes {
		r := &routes[i]
		if r.Kind != Stream || !r.Pipelined {
			continue
		}
		var list []Rank
		for c := range priorities {
			if t.keyRequired && !r.Public {
				list = append(list, c.Rank(r))
			}
		}
		if len(list) == 0 {
			list = []Rank{Customer{}.Rank(r)}
		}
		for _, s := range r.Services {
			ranks[s.Service] = append(ranks[s.Service], list...)
		}
	}
	for name, list := range ranks {
		slices.SortFunc(list, Rank.Compare)
		ranks[name] = slices.Compact(list)
	}
	return ranks
}

// Ranks returns the ranks that streams of a service through a split model can have, the most urgent first.
func (t *Table) Ranks(service string) []Rank { return t.ranks[service] }

// Version returns the version of the configuration; a higher one is newer.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// KeyRequired reports whether requests need a key unless their route is public.
func (t *Table) KeyRequired() bool { return t.keyRequired }

// Customer returns the customer of an API key.
func (t *Table) Customer(key string) (Customer, bool) {
	c, ok := t.customers[key]
	return c, ok
}

// KeyOf returns a key of the customer of a name.
func (t *Table) KeyOf(name string) (key string, ok bool) {
	for k, c := range t.customers {
		if c.Name == name {
			return k, true
		}
	}
	return "", false
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name.
func (t *Table) Services() map[string]*Service { return t.services }

// Match returns the route of a host whose prefix is the longest one that the path begins with. The port of the host is
// ignored unless a route names it.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.routesOf(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HasHost reports whether a host has any route.
func (t *Table) HasHost(host string) bool { return len(t.routesOf(host)) > 0 }

// routesOf returns the routes of a host, those with the longest prefixes first.
func (t *Table) routesOf(host string) []*Route {
	host = strings.ToLower(host)
	routes, ok := t.hosts[host]
	if !ok {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = t.hosts[name]
		}
	}
	return routes
}
