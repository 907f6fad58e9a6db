package mangopipeline

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mangopath.org/mangopath/internal/mangoreplica"
)

// BenchmarkChoose measures one choice for a model of 80 layers in a fleet of the target size, 4,100 replicas for 28 models
// in 4 data centres: each model has about 147 replicas.
func BenchmarkChoose(b *testing.B) {
	var replicas []*mangoreplica.Replica
	for i := range 147 {
		from := i / 4 * 6 % 80
		replicas = append(replicas, replica(fmt.Sprint(i), fmt.Sprint(i%4), "b", from, min(from+8, 80)))
	}
	view := View{
		Replicas: replicas, Engine: engine(80), Status: mangoreplica.NewHealthTracker(), LocalDataCentre: "0", Now: time.Now(),
	}
	for b.Loop() {
		if _, err := Choose(view, Request{Tokens: 900, Random: rand.Float64}); err != nil {
			b.Fatal(err)
		}
	}
}
