package mangoroute

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// Guards against ranks that a service does not have, which would change how its requests are admitted, and against ranks of
// customers that are missing or that make the routes of a customer equal.
func TestRanks(t *testing.T) {
	stream := func(priority int, public bool) Route {
		return Route{Kind: Stream, Pipelined: true, Priority: priority, Public: public, Services: []WeightedService{{Service: "s", Weight: 1}}}
	}
	customers := map[string]Customer{"a": {Name: "a", Priority: 3, HasPriority: true}, "b": {Name: "b"}}
	plain := stream(7, false)
	plain.Pipelined = false
	tests := []struct {
		name        string
		routes      []Route
		customers   map[string]Customer
		keyRequired bool
		want        []Rank
	}{
		{"one route", []Route{stream(1, false)}, nil, false, []Rank{{1, 1}}},
		{"two routes", []Route{stream(4, false), stream(1, false), stream(4, false)}, nil, false, []Rank{{1, 1}, {4, 4}}},
		{"customers of a route", []Route{stream(1, false)}, customers, true, []Rank{{1, 1}, {3, 1}}},
		{"routes of customers with one priority", []Route{stream(2, false), stream(0, false)}, map[string]Customer{"a": customers["a"]}, true, []Rank{{3, 0}, {3, 2}}},
		{"customers do not count on a public route", []Route{stream(1, true)}, customers, true, []Rank{{1, 1}}},
		{"customers do not count without keys", []Route{stream(1, false)}, customers, false, []Rank{{1, 1}}},
		{"a plain route does not count", []Route{stream(1, false), plain}, nil, false, []Rank{{1, 1}}},
		{"beyond the bounds", []Route{stream(-1, false), stream(12, false)}, nil, false, []Rank{{0, 0}, {9, 9}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(New(1, tt.routes, nil, tt.customers, tt.keyRequired, Limits{}).Ranks("s"), tt.want)
		})
	}
}

// Guards against a table whose construction takes time and memory for each pair of a customer and a route.
func TestRanksOfManyCustomers(t *testing.T) {
	customers := map[string]Customer{}
	for i := range 1000 {
		customers[strconv.Itoa(i)] = Customer{Priority: i % 10, HasPriority: i%2 == 0}
	}
	routes := make([]Route, 100)
	for i := range routes {
		routes[i] = Route{Kind: Stream, Pipelined: true, Services: []WeightedService{{Service: "s", Weight: 1}}}
	}
	made := testing.AllocsPerRun(5, func() { New(1, routes, nil, customers, true, Limits{}) })
	is.New(t).True(made < 900) // 1,230 if each pair has a rank, 525 if each priority has one.
}
