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
	return t
}

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

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name.
func (t *Table) Services() map[string]*Service { return t.services }

// Match returns the route of a host whose prefix is the longest one that the path begins with. The port of the host is
// ignored unless a route names it.
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
