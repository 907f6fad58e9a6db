package mangoliveness

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"mangopath.org/mangopath/internal/mangoreplica"
	"mangopath.org/mangopath/internal/mangoroute"
	"mangopath.org/mangopath/internal/mangostate"
)

// bound is the time within which a lost part has to be noticed.
const bound = time.Second

type fixedState struct{ view *mangostate.View }

func (s fixedState) View() *mangostate.View { return s.view }

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

func quiet() *logrus.Logger {
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

// Guards against a replica in the middle of a chain whose end is noticed by silence only, and against one that is taken
// for lost because it closed an idle connection.
func TestEnd(t *testing.T) {
	tests := []struct {
		name string
		// closes says that the listener is closed before the connection.
		ends bool
	}{
		{"the process ends", true},
		{"an idle connection is closed", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := listen(t)
			suspects := make(chan string, 4)
			m := New(mangostate.Member{Name: "entry-0"}, fixedState{view(1, replica("r", "model", l.Addr().String()))}, nil,
				func(r *mangoreplica.Replica) { suspects <- r.ID }, WithLogger(quiet()))
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- m.Run(ctx) }()
			first, err := l.Accept()
			is.NoErr(err)
			if tt.ends {
				is.NoErr(l.Close())
			}
			is.NoErr(first.Close())
			if tt.ends {
				select {
				case id := <-suspects:
					is.Equal(id, "r")
				case <-time.After(bound):
					t.Fatal("the end was not noticed")
				}
			} else {
				second, err := l.Accept()
				is.NoErr(err)
				is.Equal(len(suspects), 0)
				_ = second.Close()
			}
			cancel()
			is.True(<-ended != nil)
		})
	}
}

// Guards against replicas that nobody or everybody watches, and against idle connections that hold the few slots of plain
// services.
func TestWatchers(t *testing.T) {
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
				m := New(mangostate.Member{Name: fmt.Sprintf("entry-%d", i)}, fixedState{v}, nil, nil, WithLogger(quiet()))
				for incarnation := range m.wanted(v) {
					counts[incarnation.ID]++
				}
			}
			is.Equal(len(counts), len(replicas))
			for id, n := range counts {
				if n != tt.want {
					t.Errorf("%s is watched by %d daemons", id, n)
				}
			}
		})
	}
}
