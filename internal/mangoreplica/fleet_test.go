package mangoreplica

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against chains through a replica that has ended and whose address a later start has taken: the store was away, so
// its entry stayed, and each request through it was answered 421 by the new owner.
func TestReusedAddress(t *testing.T) {
	tests := []struct {
		name     string
		replicas []*Replica
		want     []string
	}{
		{"different addresses", []*Replica{{ID: "a", Address: "1", Born: 1}, {ID: "b", Address: "2", Born: 2}}, []string{"a", "b"}},
		{"a later start took the address", []*Replica{{ID: "a", Address: "1", Born: 1}, {ID: "b", Address: "1", Born: 2}}, []string{"b"}},
		{"the other order of ids", []*Replica{{ID: "a", Address: "1", Born: 2}, {ID: "b", Address: "1", Born: 1}}, []string{"a"}},
		{"another service took the address", []*Replica{{ID: "a", Address: "1", Born: 1}, {ID: "b", Address: "1", Born: 2, Service: "other"}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := NewFleet(tt.replicas)
			var ids []string
			for _, r := range f.ByService("") {
				ids = append(ids, r.ID)
			}
			is.Equal(ids, tt.want)
			is.Equal(f.Len(), len(tt.replicas))
			is.True(f.ByID("a") != nil)
		})
	}
}
