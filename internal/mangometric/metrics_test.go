package mangometric

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// Guards against a collector that is not registered, has the wrong labels or breaks the naming rules of Prometheus.
func TestAllCollectorsAreRegistered(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	m, err := New(registry)
	is.NoErr(err)
	m.CallDone("completion", "Answer", "", time.Second)
	m.ObserveToken("tekst", time.Second, true)
	m.ObserveToken("tekst", time.Millisecond, false)
	m.ObserveRouterTime(time.Microsecond)
	m.CountStoreCall("Poll", "OK")
	end := m.CallStarted("service")
	m.SetQueuedCalls(3)
	m.CountRetry("completion")
	m.CountRecovery("Resume")
	m.CountDropped("Late")
	m.CountOrder("Load", "OK")
	m.SetSuspects(1)
	m.SetLivePeers(7)
	m.SetBookRevision(12, time.Now().Add(-time.Minute))
	m.SetUnconfirmed(true)
	is.Equal(testutil.ToFloat64(m.inFlightCalls), 1.0)
	end()
	is.Equal(testutil.ToFloat64(m.inFlightCalls), 0.0)
	is.Equal(testutil.ToFloat64(m.bookUnconfirmed), 1.0)
	is.True(testutil.ToFloat64(m.bookConfirmationAge) >= 60) // the age grows without further calls
	families, err := registry.Gather()
	is.NoErr(err)
	own := 0
	for _, f := range families {
		if len(f.GetName()) > 9 && f.GetName()[:9] == "mangopath" {
			own++
		}
	}
	is.Equal(own, len(m.collectors()))
	problems, err := testutil.GatherAndLint(registry)
	is.NoErr(err)
	is.Equal(len(problems), 0)
}

// Guards against a second set of collectors that is not registered and therefore not scraped, without an error that says so.
func TestSecondRegistrationFails(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	_, err := New(registry)
	is.NoErr(err)
	_, err = New(registry)
	var registerErr *Error
	is.True(errors.As(err, &registerErr))
	is.Equal(registerErr.Kind, KindRegister)
}

// Guards against metrics that the operators' page does not describe.
func TestOperationsPageListsMetrics(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	descriptions := make(chan *prometheus.Desc, 1)
	for _, c := range newMetrics().collectors() {
		c.Describe(descriptions)
		_, name, _ := strings.Cut((<-descriptions).String(), `fqName: "`)
		name, _, _ = strings.Cut(name, `"`)
		is.True(strings.Contains(string(page), "| `"+name+"` |"))
	}
}

// Guards against metrics of a relay that the operators' page does not describe.
func TestOperationsPageListsRelayMetrics(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	registry := prometheus.NewRegistry()
	m, err := NewRelay(registry)
	is.NoErr(err)
	zero := func() float64 { return 0 }
	is.NoErr(m.RegisterGauges(registry, RelayGauges{
		ActiveRequests: zero, Replicas: zero, AvoidedReplicas: zero, UnknownRequests: zero, Members: zero, ConfigurationVersion: zero, StoreAge: zero, StoreReachable: zero, HoldsPlacementLease: zero,
		DroppedLogLines: zero, BlockedRequests: zero, CoveredDataCentres: zero, KeptBytes: zero,
	}))
	m.Request("r", "k", "o", 200, 0)
	m.FirstEvent("r", 0)
	m.Send("s", "r")
	m.Retry("s", "r")
	m.CountOrder("r", "o")
	m.CountOwnCheck("w", "r")
	m.CountHubCheck("w", "r")
	m.CountCutOff("d", "c")
	m.CountStoreCall("c", nil)
	m.Admission(1, 1, "r")
	m.RankedStream(1, 1, "c", "z", "r")
	m.Capacity("s", "d", 1, 1)
	m.DataCentre("s", "r")
	families, err := registry.Gather()
	is.NoErr(err)
	for _, f := range families {
		if strings.HasPrefix(f.GetName(), "mangopath_") && !strings.Contains(string(page), "| `"+f.GetName()+"` |") {
			t.Errorf("docs/OPERATIONS.md has no row for the metric %s", f.GetName())
		}
	}
}
