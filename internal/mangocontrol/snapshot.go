package mangocontrol

import (
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/internal/mangohost"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Snapshot is the immutable control state at one moment; traffic loads it once for each decision.
type Snapshot struct {
	Book      *mangoprofile.Book
	Directory *mangohost.Directory
	// Daemons is the number of live entry hosts, at least 1; Local is that of this data centre.
	DaemonCount int
	LocalDaemonCount   int
	// Members are the live entry hosts other than this one.
	Members []*mangomessage.Member
	// Peers has the calls that other entry hosts have in flight by upstream host.
	PeerInFlight map[string]int
	// ConfirmedAt is the time at which Book was last known to be the newest.
	ConfirmedAt time.Time
	// At is the time of the snapshot.
	TakenAt time.Time

	identity Identity
	links    map[mangochain.Link]time.Duration
	meter    *mangohost.Meter
	list     *mangomessage.HostList
	heard    map[string]time.Time
	known    map[string]uint64
	// views are shared with the snapshots since the last change of hosts.
	views *sync.Map
	// listChanged is the time of the first list with the present content, in Unix milliseconds.
	listChanged int64
}

// revisionOf returns the newest revision that the daemon at an address is known to have, 0 when unknown.
func (s *Snapshot) revisionOf(address string) uint64 { return s.known[address] }

// PoolName names the replicas that serve a profile: those of one model and version.
func PoolName(profile *mangomessage.Profile) string { return profile.Model + "@" + profile.Version }

// View returns the replicas that hold the model and version of a profile; it may be as old as the last change of hosts
// or the refresh interval.
func (s *Snapshot) View(profile *mangomessage.Profile) mangochain.View {
	pool := PoolName(profile)
	if v, ok := s.views.Load(pool); ok {
		return v.(mangochain.View)
	}
	view := s.view(profile)
	s.views.Store(pool, view)
	return view
}

// view builds the view of a profile from the directory of this snapshot.
func (s *Snapshot) view(profile *mangomessage.Profile) mangochain.View {
	view := mangochain.View{LocalDataCentre: s.identity.DataCentre, DaemonCount: s.DaemonCount, LinkDelays: s.links}
	for h := range s.Directory.All(mangohost.RoleEngine) {
		if h.Engine == nil || h.Engine.Model != profile.Model || h.Engine.Version != profile.Version {
			continue
		}
		view.Replicas = append(view.Replicas, s.replica(h))
	}
	return view
}

func (s *Snapshot) replica(h mangohost.Host) mangochain.Replica {
	state := h.State(s.TakenAt)
	r := mangochain.Replica{
		Host: h.Name, Address: h.Address, DataCentre: h.DataCentre, Kind: h.Kind,
		Model: h.Engine.Model, Version: h.Engine.Version, Adapters: h.Engine.Adapters,
		FromLayer: h.Engine.FromLayer, ToLayer: h.Engine.ToLayer, MaxBatch: int(h.Engine.MaxBatch),
		PeerInFlight:    s.PeerInFlight[h.Name],
		StepTime: time.Duration(h.Engine.StepMicros) * time.Microsecond,
		SlowStartFactor:    h.Share(s.TakenAt),
		Leaving:  state == mangohost.StateLeaving,
		Ejected:  state == mangohost.StateEjected,
	}
	if measured := s.meter.StepTime(h.Name); measured > 0 {
		r.StepTime = measured
	}
	r.ReportedCalls, r.ReportAge = s.reported(h)
	return r
}

// reported returns the newer of the load in a probe and the load in a reply.
func (s *Snapshot) reported(h mangohost.Host) (int, time.Duration) {
	calls, age, ok := h.Reported(s.TakenAt)
	if n, at := s.meter.Reported(h.Name); !at.IsZero() && (!ok || s.TakenAt.Sub(at) < age) {
		return n, s.TakenAt.Sub(at)
	}
	if !ok {
		return 0, time.Hour
	}
	return calls, age
}
