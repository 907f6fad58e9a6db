package mangoroute

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Customer is the holder of a key.
type Customer struct {
	Name string
	// Priority goes before the priority of the route if Ranked is set.
	Priority int
	HasPriority   bool
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	version  uint64
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]Customer
	keyed    bool
	limits   Limits
}

// New returns a table. keys maps each key to its customer; without customers no route needs a key.
func New(version uint64, routes []Route, services []Service, keys map[string]Customer, keyed bool, limits Limits) *Table {
	t := &Table{
		version: version, hosts: map[string][]*Route{}, services: map[string]*Service{}, keys: keys, keyed: keyed, limits: limits,
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
	return t
}

// Version returns the version; a higher one is newer.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// KeyRequired reports whether requests need a key unless their route is public.
func (t *Table) KeyRequired() bool { return t.keyed }

// Customer returns the holder of a key.
func (t *Table) Customer(key string) (Customer, bool) {
	c, ok := t.keys[key]
	return c, ok
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name.
func (t *Table) Services() map[string]*Service { return t.services }

// Match returns the route of a host with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	routes, ok := t.hosts[host]
	if !ok {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = t.hosts[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
