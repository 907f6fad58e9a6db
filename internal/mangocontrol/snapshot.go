package mangocontrol

import (
	"sync"
	"time"

	"mangopath.org/mangopath/internal/mangochain"
	"mangopath.org/mangopath/internal/mangohost"
	"mangopath.org/mangopath/internal/mangoprofile"
	"mangopath.org/mangopath/pkg/mangomessage"
)

// Snapshot is the immutable control state at one moment. A call loads it once for each decision.
type Snapshot struct {
	Book      *mangoprofile.Book
	Directory *mangohost.Directory
	// DaemonCount is the number of live entry hosts including this one, LocalDaemonCount that in this data centre.
	DaemonCount      int
	LocalDaemonCount int
	// Members are the live entry hosts other than this one.
	Members []*mangomessage.Member
	// PeerInFlight is the number of calls that other entry hosts have in flight, by upstream host.
	PeerInFlight map[string]int
	// ConfirmedAt is the latest time at which Book is known to have been the newest one; zero when it never was confirmed.
	ConfirmedAt time.Time
	// TakenAt is the time at which the snapshot was published.
	TakenAt time.Time

	identity       Identity
	linkDelays     map[mangochain.Link]time.Duration
	meter          *mangohost.Meter
	hostList       *mangomessage.HostList
	heardAt        map[string]time.Time
	knownRevisions map[string]uint64
	// viewCache holds the views by pool; it is shared by all snapshots since views were last stale.
	viewCache *sync.Map
	// hostListChangedMs is the time of the first host list with the content of hostList, in Unix milliseconds.
	hostListChangedMs int64
}

// revisionOfPeer returns the highest revision of the book that the daemon at an address reported, 0 when it reported none.
func (s *Snapshot) revisionOfPeer(address string) uint64 { return s.knownRevisions[address] }

// PoolName returns the name of the pool that serves a profile: the replicas with the profile's model and version.
func PoolName(profile *mangomessage.Profile) string { return profile.Model + "@" + profile.Version }

// View returns the replicas that hold the model and version of a profile. It is cached, so that its load figures may be
// as old as the refresh interval.
func (s *Snapshot) View(profile *mangomessage.Profile) mangochain.View {
	pool := PoolName(profile)
	if v, ok := s.viewCache.Load(pool); ok {
		return v.(mangochain.View)
	}
	view := s.buildView(profile)
	s.viewCache.Store(pool, view)
	return view
}

// buildView builds the view of a profile from the host directory, without the cache.
func (s *Snapshot) buildView(profile *mangomessage.Profile) mangochain.View {
	view := mangochain.View{LocalDataCentre: s.identity.DataCentre, DaemonCount: s.DaemonCount, LinkDelays: s.linkDelays}
	for h := range s.Directory.All(mangohost.RoleEngine) {
		if h.Report == nil || h.Report.Model != profile.Model || h.Report.Version != profile.Version {
			continue
		}
		view.Replicas = append(view.Replicas, s.buildReplica(h))
	}
	return view
}

// buildReplica builds the entry of a host in a view.
func (s *Snapshot) buildReplica(h mangohost.Host) mangochain.Replica {
	state := h.State(s.TakenAt)
	r := mangochain.Replica{
		Host: h.Name, Address: h.Address, DataCentre: h.DataCentre, Kind: h.Kind,
		Model: h.Report.Model, Version: h.Report.Version, Adapters: h.Report.Adapters,
		FromLayer: h.Report.FromLayer, ToLayer: h.Report.ToLayer, MaxBatch: int(h.Report.MaxBatch),
		PeerInFlight:    s.PeerInFlight[h.Name],
		StepTime:        time.Duration(h.Report.StepMicros) * time.Microsecond,
		SlowStartFactor: h.SlowStartFactor(s.TakenAt),
		Leaving:         state == mangohost.StateLeaving,
		Ejected:         state == mangohost.StateEjected,
	}
	if measured := s.meter.StepTime(h.Name); measured > 0 {
		r.StepTime = measured
	}
	r.ReportedCalls, r.ReportAge = s.reportedCalls(h)
	return r
}

// reportedCalls returns the number of running and waiting calls that a host stated last, in a load report or in the
// reply to a step, and the age of that figure. Without a usable figure it returns no calls and an age of one hour.
func (s *Snapshot) reportedCalls(h mangohost.Host) (int, time.Duration) {
	calls, age, ok := h.ReportedLoad(s.TakenAt)
	if n, at := s.meter.ReportedLoad(h.Name); !at.IsZero() && (!ok || s.TakenAt.Sub(at) < age) {
		return n, s.TakenAt.Sub(at)
	}
	if !ok {
		return 0, time.Hour
	}
	return calls, age
}
