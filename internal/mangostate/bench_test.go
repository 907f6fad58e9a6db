package mangostate

import (
	"fmt"
	"testing"
)

// BenchmarkReplicaChange measures a change of one replica's entry in a fleet of 4,100 replicas.
func BenchmarkReplicaChange(b *testing.B) {
	s := newState(discardLogger(), 0)
	var all []Change
	for i := range 4100 {
		all = append(all, Change{Replica: replica(fmt.Sprint(i), 0, 8)})
	}
	s.applyAnswer(answer{snapshot: true, changes: all}, at(0))
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		r := replica("7", 0, 8)
		r.Slots = i + 1
		s.applyAnswer(answer{changes: []Change{{Replica: r}}}, at(0))
		_ = s.view()
	}
}
