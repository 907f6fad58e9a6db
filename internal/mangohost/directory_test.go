package mangohost_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mangopath.org/mangopath/internal/mangohost"
	"mangopath.org/mangopath/pkg/mangomessage"
)

func list(asOf int64, hosts ...*mangomessage.ListedHost) *mangomessage.HostList {
	return &mangomessage.HostList{AsOfMs: asOf, Hosts: hosts}
}

func engine(name string, leaving bool) *mangomessage.ListedHost {
	return &mangomessage.ListedHost{Name: name, Role: mangohost.RoleEngine, Address: "127.0.0.1:1", Leaving: leaving}
}

// Guards against a host that leaves by one source being used because another source says that it is live.
func TestMostRestrictiveSourceDecides(t *testing.T) {
	now := time.Unix(1000, 0)
	report := func(h mangohost.Host) mangohost.Host {
		return h.WithReport(&mangomessage.EngineState{}, now)
	}
	for _, c := range []struct {
		name   string
		change func(d *mangohost.Directory) *mangohost.Directory
		state  mangohost.State
	}{
		{"probed", func(d *mangohost.Directory) *mangohost.Directory { return d.With("a", report) }, mangohost.StateLive},
		{"not probed", func(d *mangohost.Directory) *mangohost.Directory { return d }, mangohost.StateUnprobed},
		{"drain mark", func(d *mangohost.Directory) *mangohost.Directory {
			return d.With("a", report).WithMarks(func(string) bool { return true })
		}, mangohost.StateLeaving},
		{"list says leaving", func(d *mangohost.Directory) *mangohost.Directory {
			return d.With("a", report).WithList(list(2, engine("a", true)), now)
		}, mangohost.StateLeaving},
		{"own refusal", func(d *mangohost.Directory) *mangohost.Directory {
			return d.With("a", func(h mangohost.Host) mangohost.Host {
				return h.WithReport(&mangomessage.EngineState{Leaving: true}, now)
			})
		}, mangohost.StateLeaving},
		{"failed", func(d *mangohost.Directory) *mangohost.Directory {
			return d.With("a", report).With("a", func(h mangohost.Host) mangohost.Host { return h.WithFailure(now) })
		}, mangohost.StateEjected},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := c.change(mangohost.NewDirectory().WithList(list(1, engine("a", false)), now))
			h, ok := d.Host("a")
			is.True(ok)
			is.Equal(h.State(now), c.state)
		})
	}
}

// Guards against an empty, old or silent list removing hosts that still serve.
func TestListWithoutContentRemovesNoHost(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		later *mangomessage.HostList
		after time.Duration
		known bool
	}{
		{"empty list", list(2), time.Hour, true},
		{"older list", list(1, engine("b", false)), time.Hour, true},
		{"just dropped", list(2, engine("b", false)), 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := mangohost.NewDirectory().WithList(list(1, engine("a", false)), now)
			_, ok := d.WithList(c.later, now.Add(c.after)).Host("a")
			is.Equal(ok, c.known)
		})
	}
	is := is.New(t)
	d := mangohost.NewDirectory().WithList(list(1, engine("a", false)), now)
	d = d.WithList(list(2, engine("b", false)), now).WithList(list(3, engine("b", false)), now.Add(time.Minute))
	_, ok := d.Host("a")
	is.True(!ok) // dropped by the list for longer than unlistedTime
	d = mangohost.NewDirectory().WithList(list(1, engine("a", false)), now).WithList(list(2, engine("b", false)), now)
	d = d.With("a", func(h mangohost.Host) mangohost.Host {
		return h.WithReport(&mangomessage.EngineState{}, now.Add(50*time.Second))
	})
	_, ok = d.WithList(list(3, engine("b", false)), now.Add(time.Minute)).Host("a")
	is.True(ok) // still answers probes
}

// Guards against full load on a host that has just joined or recovered.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	h := mangohost.Host{Role: mangohost.RoleEngine}.WithReport(&mangomessage.EngineState{}, now)
	is.True(h.SlowStartFactor(now) < 0.2)
	is.Equal(h.SlowStartFactor(now.Add(time.Minute)), 1.0)
	h = h.WithFailure(now.Add(time.Minute)).WithSuccess(now.Add(2 * time.Minute))
	is.True(h.SlowStartFactor(now.Add(2*time.Minute)) < 0.2)
}
