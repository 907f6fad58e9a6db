package mangoliveness

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
)

// detectionTimeout is the time within which the end of a process must be detected.
const detectionTimeout = time.Second

type fixedState struct{ view *mangostate.View }

func (s fixedState) View() *mangostate.View { return s.view }

// view returns a view with a split model, a plain service, daemons entry-0 to entry-(members-1) and replicas.
func view(members int, replicas ...*mangoreplica.Replica) *mangostate.View {
	v := &mangostate.View{
		Table: mangoroute.New(1, nil, []mangoroute.Service{{Name: "model", Engine: &mangoroute.Engine{Layers: 8}}, {Name: "plain"}}, nil,
			false, mangoroute.Limits{}),
		Fleet: mangoreplica.NewFleet(replicas),
	}
	for i := range members {
		v.Members = append(v.Members, mangostate.Member{Name: fmt.Sprintf("entry-%d", i)})
	}
	return v
}

func replica(id, service, address string) *mangoreplica.Replica {
	return &mangoreplica.Replica{ID: id, Service: service, Address: address, DataCentre: "a", Layers: mangoreplica.LayerRange{To: 8}}
}

func discardLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Guards against the end of a replica in the middle of a chain that shows only as silence, and against a replica that counts
// as ended because it closed an idle connection.
func TestDetectsEndedProcess(t *testing.T) {
	tests := []struct {
		name string
		// processEnds says that the listener is closed before the connection.
		processEnds bool
	}{
		{"the process ends", true},
		{"an idle connection is closed", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := listen(t)
			ended := make(chan string, 4)
			m := New(mangostate.Member{Name: "entry-0"}, fixedState{view(1, replica("r", "model", l.Addr().String()))}, nil,
				func(r *mangoreplica.Replica) { ended <- r.ID }, WithLogger(discardLogger()))
			ctx, cancel := context.WithCancel(t.Context())
			stopped := make(chan error, 1)
			go func() { stopped <- m.Run(ctx) }()
			first, err := l.Accept()
			is.NoErr(err)
			if tt.processEnds {
				is.NoErr(l.Close())
			}
			is.NoErr(first.Close())
			if tt.processEnds {
				select {
				case id := <-ended:
					is.Equal(id, "r")
				case <-time.After(detectionTimeout):
					t.Fatal("the end of the process was not detected")
				}
			} else {
				second, err := l.Accept()
				is.NoErr(err)
				is.Equal(len(ended), 0)
				_ = second.Close()
			}
			cancel()
			is.True(<-stopped != nil)
		})
	}
}

// Guards against a replica that loses its power while no request passes through it and stays unnoticed, and against the report of
// one that never could be reached, which says nothing new.
func TestDetectsSilentReplica(t *testing.T) {
	tests := []struct {
		name      string
		connected bool
		err       error
		want      string
	}{
		{"no answer after a connection", true, os.ErrDeadlineExceeded, "silent"},
		{"refused after a connection", true, syscall.ECONNREFUSED, "ended"},
		{"no answer at any time", false, os.ErrDeadlineExceeded, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				reports := make(chan string, 4)
				m := New(mangostate.Member{Name: "entry-0"}, fixedState{view(1, replica("r", "model", "r:1"))}, nil,
					func(*mangoreplica.Replica) { reports <- "ended" }, WithLogger(discardLogger()),
					WithSilenceHandler(func(*mangoreplica.Replica) { reports <- "silent" }))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				dials := 0
				m.dial = func(context.Context, string) (net.Conn, error) {
					dials++
					if dials == 1 && tt.connected {
						conn, other := net.Pipe()
						_ = other.Close()
						return conn, nil
					}
					time.AfterFunc(10*time.Millisecond, cancel)
					return nil, tt.err
				}
				m.monitorReplica(ctx, replica("r", "model", "r:1"))
				got := ""
				if len(reports) > 0 {
					got = <-reports
				}
				is.Equal(got, tt.want)
			})
		})
	}
}

// Guards against replicas that no daemon or every daemon monitors, and against idle connections that take up the few slots
// of replicas of plain services.
func TestMonitorAssignment(t *testing.T) {
	tests := []struct {
		daemons int
		want    int
	}{
		{1, 1},
		{2, 2},
		{7, 2},
		{69, 2},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d daemons", tt.daemons), func(t *testing.T) {
			is := is.New(t)
			var replicas []*mangoreplica.Replica
			for i := range 40 {
				replicas = append(replicas, replica(fmt.Sprintf("r-%d", i), "model", fmt.Sprintf("127.0.0.1:%d", 1000+i)))
			}
			v := view(tt.daemons, append(replicas, replica("p", "plain", "127.0.0.1:1"))...)
			counts := map[string]int{}
			for i := range tt.daemons {
				m := New(mangostate.Member{Name: fmt.Sprintf("entry-%d", i)}, fixedState{v}, nil, nil, WithLogger(discardLogger()))
				for incarnation := range m.assignedReplicas(v) {
					counts[incarnation.ID]++
				}
			}
			is.Equal(len(counts), len(replicas))
			for id, n := range counts {
				if n != tt.want {
					t.Errorf("replica %s is monitored by %d daemons", id, n)
				}
			}
		})
	}
}
