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
	// DaemonCount is the number of live entry hosts, at least 1; Local is that of this data centre.
	DaemonCount      int
	LocalDaemonCount int
	// Members are the live entry hosts other than this one.
	Members []*mangomessage.Member
	// PeerInFlight has the calls that other entry hosts have in flight by upstream host.
	PeerInFlight map[string]int
	// ConfirmedAt is the time at which Book was last known to be the newest.
	ConfirmedAt time.Time
	// TakenAt is the time of the snapshot.
	TakenAt time.Time

	identity       Identity
	linkDelays     map[mangochain.Link]time.Duration
	meter          *mangohost.Meter
	hostList       *mangomessage.HostList
	heardAt        map[string]time.Time
	knownRevisions map[string]uint64
	// viewCache are shared with the snapshots since the last change of hosts.
	viewCache *sync.Map
	// hostListChangedMs is the time of the first list with the present content, in Unix milliseconds.
	hostListChangedMs int64
}

// revisionOfPeer returns the newest revision that the daemon at an address is known to have, 0 when unknown.
func (s *Snapshot) revisionOfPeer(address string) uint64 { return s.knownRevisions[address] }

// PoolName names the replicas that serve a profile: those of one model and version.
func PoolName(profile *mangomessage.Profile) string { return profile.Model + "@" + profile.Version }

// View returns the replicas that hold the model and version of a profile; it may be as old as the last change of hosts
// or the refresh interval.
func (s *Snapshot) View(profile *mangomessage.Profile) mangochain.View {
	pool := PoolName(profile)
	if v, ok := s.viewCache.Load(pool); ok {
		return v.(mangochain.View)
	}
	view := s.buildView(profile)
	s.viewCache.Store(pool, view)
	return view
}

// buildView builds the buildView of a profile from the directory of this snapshot.
func (s *Snapshot) buildView(profile *mangomessage.Profile) mangochain.View {
	view := mangochain.View{Local: s.identity.DataCentre, Daemons: s.DaemonCount, Links: s.linkDelays}
	for h := range s.Directory.All(mangohost.RoleEngine) {
		if h.Engine == nil || h.Engine.Model != profile.Model || h.Engine.Version != profile.Version {
			continue
		}
		view.Replicas = append(view.Replicas, s.buildReplica(h))
	}
	return view
}

func (s *Snapshot) buildReplica(h mangohost.Host) mangochain.Replica {
	state := h.State(s.TakenAt)
	r := mangochain.Replica{
		Host: h.Name, Address: h.Address, DataCentre: h.DataCentre, Kind: h.Kind,
		Model: h.Engine.Model, Version: h.Engine.Version, Adapters: h.Engine.Adapters,
		FromLayer: h.Engine.FromLayer, ToLayer: h.Engine.ToLayer, MaxBatch: int(h.Engine.MaxBatch),
		Peers:    s.PeerInFlight[h.Name],
		StepTime: time.Duration(h.Engine.StepMicros) * time.Microsecond,
		Share:    h.Share(s.TakenAt),
		Leaving:  state == mangohost.StateLeaving,
		Ejected:  state == mangohost.StateEjected,
	}
	if measured := s.meter.StepTime(h.Name); measured > 0 {
		r.StepTime = measured
	}
	r.Reported, r.ReportAge = s.reportedCalls(h)
	return r
}

// reportedCalls returns the newer of the load in a probe and the load in a reply.
func (s *Snapshot) reportedCalls(h mangohost.Host) (int, time.Duration) {
	calls, age, ok := h.Reported(s.TakenAt)
	if n, at := s.meter.Reported(h.Name); !at.IsZero() && (!ok || s.TakenAt.Sub(at) < age) {
		return n, s.TakenAt.Sub(at)
	}
	if !ok {
		return 0, time.Hour
	}
	return calls, age
}
