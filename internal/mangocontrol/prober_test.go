package mangocontrol

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangohost"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// TestEachHostHasAProber guards against hosts that no daemon probes and against daemons that probe far more than others.
func TestEachHostHasAProber(t *testing.T) {
	is := is.New(t)
	members := make([]*mangomessage.Member, 100)
	for i := range members {
		members[i] = &mangomessage.Member{Name: fmt.Sprintf("daemon-%d", i), DataCentre: fmt.Sprint(i % 2)}
	}
	const hosts = 2000
	probed, most := make([]int, hosts), 0
	for i, m := range members {
		others := append(append([]*mangomessage.Member(nil), members[:i]...), members[i+1:]...)
		selection, own := newProberSelection(Identity{Name: m.Name, DataCentre: m.DataCentre}, others), 0
		for h := range hosts {
			// The third data centre has no daemon, so that all daemons divide its hosts.
			if selection.selectsSelf(mangohost.Host{Name: fmt.Sprintf("host-%d", h), DataCentre: fmt.Sprint(h % 3)}) {
				probed[h]++
				own++
			}
		}
		most = max(most, own)
	}
	for _, n := range probed {
		is.Equal(n, 1) // one prober in a large data centre
	}
	small := newProberSelection(Identity{Name: "a", DataCentre: "0"}, members[:1])
	is.True(small.selectsSelf(mangohost.Host{Name: "host", DataCentre: "0"})) // two daemons are both probers
	is.True(most <= 2*hosts/len(members))                                     // at most twice the mean
}
