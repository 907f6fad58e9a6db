package mangorelay

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangopipeline"
	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangostate"
)

// choiceCounter counts the choices of data centres by result.
type choiceCounter struct {
	noObserver
	results map[string]int
}

func (c choiceCounter) DataCentre(_, result string) { c.results[result]++ }

// Guards against requests that stay in a full data centre, against shares that take effect with one data centre or for restarts, and
// against choices that are neither counted nor logged.
func TestRequestsLeaveFullDataCentre(t *testing.T) {
	tests := []struct {
		name    string
		used    float64
		remote  string
		restart bool
		want    string
		counted string
	}{
		{"room", 100, "b", false, "a", choseLocal},
		{"full", 1000, "b", false, "b", choseRemote},
		{"full and a single data centre", 1000, "a", false, "", ""},
		{"a restart", 1000, "b", true, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			c := shortCall(t, &out, 0)
			counter := choiceCounter{results: map[string]int{}}
			c.relay.observer = counter
			c.sends, c.view = 1, &mangostate.View{}
			if tt.restart {
				c.route.MaxAttempts, c.mayHaveRunOn = 3, map[string]bool{"x": true}
			}
			c.relay.health.SetFleetLoad(map[string]mangoreplica.Load{"i": {Requests: 5, Tokens: tt.used}}, nil, 2, time.Now())
			layers := mangoreplica.LayerRange{To: 1}
			chosen, ok := c.chooseChain(mangopipeline.View{Replicas: []*mangoreplica.Replica{
				{ID: "i", DataCentre: "a", Accelerator: "x", Layers: layers, Slots: 100}, {ID: "j", DataCentre: tt.remote, Accelerator: "x", Layers: layers, Slots: 100},
			}, Engine: c.service.Engine, Status: c.relay.health, LocalDataCentre: "a", Now: time.Now()})
			is.True(ok)
			is.Equal(c.preferred, tt.want)
			c.logSend(chosen, resultDelivered)
			if tt.want == "" {
				is.Equal(len(counter.results), 0)
				is.True(!strings.Contains(out.String(), "shares="))
				return
			}
			is.Equal(chosen.dataCentre, tt.want)
			is.Equal(counter.results, map[string]int{tt.counted: 1})
			is.True(strings.Contains(out.String(), "preferred="+tt.want))
			is.True(strings.Contains(out.String(), "shares="))
		})
	}
}
